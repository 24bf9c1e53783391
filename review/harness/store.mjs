import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {buffer} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';

const pollMs = 4;
const newestPageItems = 500;

/** Largest record, and largest total of the records of one call, as the settings of the platform's page have them. */
const recordBytes = 262_144;
const callBytes = 2_097_152;

function frame(record) {
	const length = Buffer.alloc(4);
	length.writeUInt32BE(record.length);
	return Buffer.concat([length, record]);
}

function unframe(body) {
	const records = [];
	for (let position = 0; position < body.length;) {
		const length = body.readUInt32BE(position);
		records.push(body.subarray(position + 4, position + 4 + length));
		position += 4 + length;
	}

	return records;
}

/**
Starts the platform's metadata store, which has an address for each machine, so that it can turn some away. `setTrouble` takes what a call meets:
`busy` (503, nothing is done), `silent` (nothing is done, no answer), a delay of all answers in milliseconds, or undefined. It may be limited to
calls of some machines and to some topics.
*/
export async function startStore({addresses, appendMs = 2, keepMs = 300_000}) {
	const topics = new Map();
	/** Bytes that each machine has appended to each topic. */
	const appended = new Map();
	let trouble;
	let isTroubled = () => true;
	let appending = Promise.resolve();

	function topicOf(name) {
		const topic = topics.get(name) ?? {
			first: 0, records: [], times: [], newest: new Map(),
		};
		topics.set(name, topic);
		let expired = 0;
		while (expired < topic.times.length && topic.times[expired] < performance.now() - keepMs) {
			expired++;
		}

		topic.records.splice(0, expired);
		topic.times.splice(0, expired);
		topic.first += expired;
		return topic;
	}

	const endOf = ({first, records}) => first + records.length;

	/** Appends records and returns the offset of the first one. */
	function append(name, records) {
		const topic = topicOf(name);
		const offset = endOf(topic);
		for (const [index, record] of records.entries()) {
			topic.records.push(record);
			topic.times.push(performance.now());
			if (name.startsWith('keyed.')) {
				const keyEnd = 1 + record[0];
				topic.newest.set(record.subarray(1, keyEnd).toString(), {value: record.subarray(keyEnd), offset: offset + index});
			}
		}

		return offset;
	}

	function sendJson(response, status, body) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}

	const handlers = {
		async '/arbutushinge/log-append'(query, request, response, machine) {
			const body = await buffer(request);
			const records = unframe(body);
			if (body.length - (4 * records.length) > callBytes || records.some(({length}) => length > recordBytes)) {
				sendJson(response, 400, {reason: 'size'});
				return;
			}

			// A partition takes one append at a time.
			appending = appending.then(async () => delay(appendMs));
			await appending;
			const name = query.get('topic');
			const offset = append(name, records);
			const writer = `${machine} ${name}`;
			appended.set(writer, (appended.get(writer) ?? 0) + body.length);
			sendJson(response, 200, {offset, end: endOf(topicOf(name))});
		},
		async '/arbutushinge/log-read'(query, _request, response) {
			const name = query.get('topic');
			const from = Number(query.get('from'));
			const untilMs = performance.now() + Number(query.get('waitMs') ?? 0);
			while (endOf(topicOf(name)) <= from && performance.now() < untilMs) {
				await delay(pollMs);
			}

			const topic = topicOf(name);
			if (from < topic.first) {
				sendJson(response, 410, {first: topic.first});
				return;
			}

			const header = Buffer.alloc(16);
			header.writeBigUInt64BE(BigInt(endOf(topic)), 0);
			header.writeBigUInt64BE(BigInt(topic.first), 8);
			const page = [header];
			let bytes = 0;
			for (let index = from - topic.first; index < topic.records.length; index++) {
				bytes += topic.records[index].length + 4;
				if (page.length > 1 && bytes > Number(query.get('maxKb') ?? 1024) * 1024) {
					break;
				}

				page.push(frame(topic.records[index]));
			}

			response.end(Buffer.concat(page));
		},
		async '/arbutushinge/log-newest'(query, _request, response) {
			const topic = topicOf(query.get('topic'));
			const after = query.get('dependsOn') ?? '';
			const items = [...topic.newest].filter(([key, {value}]) => key > after && value.length > 0).toSorted(([left], [right]) => left < right ? -1 : 1);
			sendJson(response, 200, {
				items: items.slice(0, newestPageItems).map(([key, {value, offset}]) => ({key, value: value.toString('base64'), offset})),
				hasMore: items.length > newestPageItems,
				end: endOf(topic),
			});
		},
	};

	async function serve(machine, request, response) {
		const url = new URL(request.url, 'http://store');
		const met = isTroubled({machine, topic: url.searchParams.get('topic')}) ? trouble : undefined;
		if (met === 'silent') {
			request.resume();
			return;
		}

		if (met === 'busy') {
			request.resume();
			sendJson(response, 503, {});
			return;
		}

		if (typeof met === 'number') {
			await delay(met);
		}

		await handlers[url.pathname](url.searchParams, request, response, machine);
	}

	const servers = await Promise.all(addresses.map(async (address, machine) => {
		const [host, port] = address.split(':');
		const server = createServer((request, response) => {
			serve(machine, request, response).catch(() => {
				response.destroy();
			});
		});
		server.listen(Number(port), host);
		await once(server, 'listening');
		return server;
	}));
	return {
		setTrouble(next, where = () => true) {
			trouble = next;
			isTroubled = where;
		},
		/** Returns how many bytes a machine has appended to a topic. */
		appendedBytes: (machine, name) => appended.get(`${machine} ${name}`) ?? 0,
		/** Returns the offset behind the newest record of a topic. */
		endOf: name => endOf(topicOf(name)),
		/** Writes a key to a keyed topic, as the operator does. */
		putKey(name, key, value) {
			const keyBytes = Buffer.from(key);
			append(name, [Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)])]);
		},
		async close() {
			for (const server of servers) {
				server.closeAllConnections();
				server.close();
			}
		},
	};
}
