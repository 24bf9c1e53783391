import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {buffer} from 'node:stream/consumers';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';

/** Faults that the store injects until they are changed. */
export type StoreFaults = Readonly<{
	/** Status with which every call is refused. */
	refuseWith?: 429 | 503;
	/** Appends are applied but not answered. */
	losesAnswers?: boolean;
	/** Calls have no effect and are not answered. */
	isSilent?: boolean;
	/** Lists of newest records show topics without the records from this offset on, as a stale list does. */
	listsEndAt?: number;
	/** Bandwidth of the caller's link in KB per second; the answer to a read is delayed by its transfer time. */
	linkKbPerS?: number;
}>;

/** A running stand-in of the platform's store, with one partition per topic. */
export type StoreStandIn = Readonly<{
	address: string;
	setFaults: (faults: StoreFaults) => void;
	/** Drops a topic's records before an offset, as if their time to live had passed. */
	expire: (topic: string, beforeOffset: number) => void;
	/** Writes a key to a keyed topic, as an operator does. */
	putKey: (topic: string, key: string, value: string | Uint8Array) => void;
	/** Appends a record to a topic, as another writer does. */
	append: (topic: string, record: string | Uint8Array) => void;
	/** Returns a topic's records that are still retained. */
	records: (topic: string) => readonly Buffer[];
	close: () => Promise<void>;
}>;

type Topic = {first: number; records: Buffer[]};

/** Interval between two checks for new records while a read waits. */
const pollMs = 5;

/** Largest record, and largest total of the records of one append, in bytes. */
const maxRecordBytes = 262_144;
const maxCallBytes = 2_097_152;

/** Page size of a read without `maxKb`. */
const defaultMaxKb = 1024;

/** Largest page of newest records. */
const maxNewestPageBytes = 1024 * 1024;

function frame(record: Buffer): Buffer {
	const length = Buffer.alloc(4);
	length.writeUInt32BE(record.length);
	return Buffer.concat([length, record]);
}

/** Returns as many framed records as fit into `maxKb`, but at least one. */
function pageOf(records: readonly Buffer[], maxKb: number): readonly Buffer[] {
	const page: Buffer[] = [];
	let bytes = 0;
	for (const record of records) {
		bytes += record.length + 4;
		if (page.length > 0 && bytes > maxKb * 1024) {
			break;
		}

		page.push(frame(record));
	}

	return page;
}

function unframe(body: Buffer): Buffer[] {
	const records: Buffer[] = [];
	for (let position = 0; position < body.length;) {
		const length = body.readUInt32BE(position);
		records.push(body.subarray(position + 4, position + 4 + length));
		position += 4 + length;
	}

	return records;
}

/**
Starts a stand-in of the platform's store on a free port of 127.0.0.1. `mapAppended` may change the records that processes append. A
page of newest records holds two of them unless `newestPageItems` is set, so that readers have to request further pages.

@example
const store = await createStoreStandIn();
store.setFaults({losesAnswers: true});
await store.close();
*/
export async function createStoreStandIn({mapAppended = (_topic, record) => record, newestPageItems = 2}: Readonly<{
	mapAppended?: (topic: string, record: Buffer) => Buffer;
	newestPageItems?: number;
}> = {}): Promise<StoreStandIn> {
	const topics = new Map<string, Topic>();
	let faults: StoreFaults = {};

	function topicOf(name: string): Topic {
		const topic = topics.get(name) ?? {first: 0, records: []};
		topics.set(name, topic);
		return topic;
	}

	const endOf = ({first, records}: Topic): number => first + records.length;

	function sendJson(response: ServerResponse, status: number, body: unknown): void {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}

	const handlers: Readonly<Record<string, (query: URLSearchParams, request: IncomingMessage, response: ServerResponse) => Promise<void>>> = {
		async '/arbutushinge/log-append'(query, request, response) {
			const name = query.get('topic')!;
			const topic = topicOf(name);
			const sent = unframe(await buffer(request));
			const totalBytes = sent.reduce((total, {length}) => total + length, 0);
			if (totalBytes > maxCallBytes || sent.some(({length}) => length > maxRecordBytes)) {
				sendJson(response, 400, {reason: 'size'});
				return;
			}

			const records = sent.map(record => mapAppended(name, record));
			const offset = endOf(topic);
			topic.records.push(...records);
			if (!faults.losesAnswers) {
				sendJson(response, 200, {offset, end: endOf(topic)});
			}
		},
		async '/arbutushinge/log-read'(query, _request, response) {
			const topic = topicOf(query.get('topic')!);
			const from = Number(query.get('from'));
			const untilMs = performance.now() + Number(query.get('waitMs') ?? 0);
			if (from < topic.first) {
				sendJson(response, 410, {first: topic.first});
				return;
			}

			while (endOf(topic) <= from && performance.now() < untilMs) {
				await new Promise(resolve => {
					setTimeout(resolve, pollMs);
				});
			}

			const header = Buffer.alloc(16);
			header.writeBigUInt64BE(BigInt(endOf(topic)), 0);
			header.writeBigUInt64BE(BigInt(topic.first), 8);
			const page = Buffer.concat([header, ...pageOf(topic.records.slice(Math.max(0, from - topic.first)), Number(query.get('maxKb') ?? defaultMaxKb))]);
			if (faults.linkKbPerS !== undefined) {
				await delay(1000 * page.length / (faults.linkKbPerS * 1024));
			}

			response.end(page);
		},
		async '/arbutushinge/log-newest'(query, _request, response) {
			const topic = topicOf(query.get('topic')!);
			const newest = new Map<string, Readonly<{key: string; value: string; offset: number}>>();
			const listEnd = Math.min(endOf(topic), faults.listsEndAt ?? Number.POSITIVE_INFINITY);
			for (const [index, record] of topic.records.entries()) {
				if (record.length === 0 || topic.first + index >= listEnd) {
					continue;
				}

				const keyEnd = 1 + record[0]!;
				const key = record.subarray(1, keyEnd).toString();
				newest.set(key, {key, value: record.subarray(keyEnd).toString('base64'), offset: topic.first + index});
			}

			const items = [...newest.values()].toSorted((left, right) => left.key < right.key ? -1 : 1).filter(({key}) => key > (query.get('dependsOn') ?? ''));
			let pageBytes = 0;
			const page = items.filter(({value}, index) => {
				pageBytes += value.length;
				return index < newestPageItems && (index === 0 || pageBytes <= maxNewestPageBytes);
			});
			sendJson(response, 200, {items: page, hasMore: items.length > page.length, end: listEnd});
		},
	};

	const server = createServer((request, response) => {
		void (async () => {
			const url = new URL(request.url ?? '/', 'http://store');
			if (faults.isSilent) {
				return;
			}

			if (faults.refuseWith !== undefined) {
				request.resume();
				sendJson(response, faults.refuseWith, {});
				return;
			}

			await handlers[url.pathname]!(url.searchParams, request, response);
		})();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	const port = typeof bound === 'object' && bound ? bound.port : 0;
	return {
		address: `127.0.0.1:${port}`,
		setFaults(next) {
			faults = next;
		},
		expire(name, beforeOffset) {
			const topic = topicOf(name);
			topic.records.splice(0, Math.max(0, beforeOffset - topic.first));
			topic.first = Math.max(topic.first, beforeOffset);
		},
		putKey(name, key, value) {
			const keyBytes = Buffer.from(key);
			topicOf(name).records.push(Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)]));
		},
		append(name, record) {
			topicOf(name).records.push(Buffer.from(record));
		},
		records: name => topicOf(name).records,
		async close() {
			server.closeAllConnections();
			server.close();
			await once(server, 'close');
		},
	};
}
