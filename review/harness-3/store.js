import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {buffer} from 'node:stream/consumers';

/** Interval between two checks for records of a waiting read, and between two passes that expire records, in milliseconds. */
const readCheckMs = 10;
const expiryMs = 250;

const maxNewestItems = 500;
const maxNewestBytes = 1_000_000;

/** Splits the body of an append into its records; undefined when the lengths do not fit. */
function splitRecords(body) {
	const records = [];
	for (let position = 0; position < body.length;) {
		const end = position + 4 <= body.length ? position + 4 + body.readUInt32BE(position) : Number.POSITIVE_INFINITY;
		if (end > body.length) {
			return undefined;
		}

		records.push(body.subarray(position + 4, end));
		position = end;
	}

	return records;
}

function frame(record) {
	const length = Buffer.alloc(4);
	length.writeUInt32BE(record.length);
	return Buffer.concat([length, record]);
}

function keyOf(record) {
	return record.subarray(1, 1 + record[0]).toString();
}

/**
Starts a stand-in of the platform's store at an address: one partition of each topic, with the limits of the page. Records of topics that are not
keyed expire after `keepMs`; of a keyed topic, the newest record of each key stays.
*/
export async function startStore({host, port, keepMs, recordBytes, callBytes, appendMs, onRefused = () => undefined, onAppended = () => undefined}) {
	const topics = new Map();
	const waiters = new Map();
	let mode = 'up';
	let appends = 0;

	function topicOf(name) {
		const topic = topics.get(name) ?? {
			first: 0, records: [], newest: new Map(), busyUntilMs: 0,
		};
		topics.set(name, topic);
		return topic;
	}

	const endOf = topic => topic.first + topic.records.length;

	function send(response, status, body) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}

	function add(name, contents) {
		const topic = topicOf(name);
		const offset = endOf(topic);
		for (const content of contents) {
			if (name.startsWith('keyed.')) {
				topic.newest.set(keyOf(content), {content, offset: endOf(topic)});
			}

			topic.records.push({content, atMs: performance.now()});
		}

		return offset;
	}

	async function append(query, request, response) {
		const body = await buffer(request);
		const name = query.get('topic');
		const records = splitRecords(body);
		const totalBytes = records?.reduce((sum, {length}) => sum + length, 0) ?? 0;
		if (!records || totalBytes > callBytes || records.some(({length}) => length > recordBytes)) {
			onRefused({topic: name, records: records?.length, totalBytes});
			send(response, 400, {reason: 'size'});
			return;
		}

		const topic = topicOf(name);
		topic.busyUntilMs = Math.max(performance.now(), topic.busyUntilMs) + appendMs;
		await new Promise(resolve => {
			setTimeout(resolve, topic.busyUntilMs - performance.now());
		});
		const offset = add(name, records);
		appends++;
		onAppended({topic: name, records: records.length, totalBytes});
		for (const tell of waiters.get(name)?.splice(0) ?? []) {
			tell();
		}

		send(response, 200, {offset, end: endOf(topic)});
	}

	async function read(query, response) {
		const topic = topicOf(query.get('topic'));
		const from = Number(query.get('from'));
		const untilMs = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0));
		const isToWait = () => mode === 'silent' || (from >= topic.first && endOf(topic) <= from && performance.now() < untilMs);
		while (isToWait() && !response.destroyed) {
			await new Promise(resolve => {
				setTimeout(resolve, readCheckMs);
			});
		}

		if (from < topic.first) {
			send(response, 410, {first: topic.first});
			return;
		}

		const header = Buffer.alloc(16);
		header.writeBigUInt64BE(BigInt(endOf(topic)), 0);
		header.writeBigUInt64BE(BigInt(topic.first), 8);
		const maxBytes = 1024 * Number(query.get('maxKb') ?? 1024);
		const page = [header];
		let bytes = 0;
		for (const {content} of topic.records.slice(from - topic.first)) {
			bytes += content.length + 4;
			if (bytes > maxBytes && page.length > 1) {
				break;
			}

			page.push(frame(content));
		}

		response.end(Buffer.concat(page));
	}

	function listNewest(query, response) {
		const topic = topicOf(query.get('topic'));
		const after = query.get('dependsOn') ?? '';
		const items = [...topic.newest]
			.map(([key, {content, offset}]) => ({key, value: content.subarray(1 + content[0]).toString('base64'), offset}))
			.filter(({key, value}) => value !== '' && key > after)
			.toSorted((left, right) => left.key < right.key ? -1 : 1);
		let bytes = 0;
		const page = items.slice(0, maxNewestItems).filter(({value}, index) => {
			bytes += value.length;
			return index === 0 || bytes <= maxNewestBytes;
		});
		send(response, 200, {items: page, hasMore: page.length < items.length, end: endOf(topic)});
	}

	async function handle(request, response) {
		const url = new URL(request.url, 'http://store');
		if (mode === 'silent') {
			request.resume();
			return;
		}

		if (mode === 'busy') {
			request.resume();
			send(response, 503, {});
			return;
		}

		switch (url.pathname) {
			case '/arbutushinge/log-append': {
				await append(url.searchParams, request, response);
				break;
			}

			case '/arbutushinge/log-read': {
				await read(url.searchParams, response);
				break;
			}

			case '/arbutushinge/log-newest': {
				listNewest(url.searchParams, response);
				break;
			}

			default: {
				request.resume();
				send(response, 404, {});
			}
		}
	}

	const expiryTimer = setInterval(() => {
		const beforeMs = performance.now() - keepMs;
		for (const [name, topic] of topics) {
			const kept = name.startsWith('keyed.') ? 0 : topic.records.findIndex(({atMs}) => atMs >= beforeMs);
			const expired = kept === -1 ? topic.records.length : kept;
			topic.records.splice(0, expired);
			topic.first += expired;
		}
	}, expiryMs);

	const server = createServer({keepAliveTimeout: 60_000}, (request, response) => {
		handle(request, response).catch(() => {
			response.destroy();
		});
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {
		/** Sets how the store answers: `up`, `busy` (503) or `silent`. */
		setMode(next) {
			mode = next;
		},
		/** Writes a key of a keyed topic, as the operator does. */
		putKey(name, key, value) {
			const keyBytes = Buffer.from(key);
			return add(name, [Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)])]);
		},
		/** Returns the offset of a topic's first retained record and that of its end. */
		bounds(name) {
			const topic = topicOf(name);
			return {first: topic.first, end: endOf(topic)};
		},
		appendCount: () => appends,
		/** Resolves as soon as records are appended to a topic. */
		nextAppend: async name => new Promise(resolve => {
			waiters.set(name, [...waiters.get(name) ?? [], resolve]);
		}),
		close() {
			clearInterval(expiryTimer);
			server.closeAllConnections();
			server.close();
		},
	};
}
