import test from 'ava';
import {z} from 'zod';
import {fetchJson, sendJson} from './json-client.js';
import {createLogServiceStandIn} from './log-service-stand-in.js';
import {LogStream} from './log-stream.js';

const pageSchema = z.object({
	records: z.array(z.object({offset: z.int(), value: z.string()})),
	nextOffset: z.int(),
	tailOffset: z.int(),
	firstRetainedOffset: z.int(),
});

async function append(url: string, records: readonly string[]): Promise<number> {
	const {status} = await sendJson({method: 'POST', url: `${url}/streams/s/records`, body: {records}});
	return status;
}

async function read(url: string, from: number, waitMs = 0): Promise<z.infer<typeof pageSchema>> {
	return fetchJson(pageSchema, {url: `${url}/streams/s/records?from=${from}&limit=100&waitMs=${waitMs}`, timeoutMs: 60_000});
}

test('the records of one append have consecutive offsets, and reads return them with the tail offset', async t => {
	const log = await createLogServiceStandIn();
	t.teardown(log.close);
	t.is(await append(log.url, ['a', 'b']), 200);
	t.deepEqual(await sendJson({method: 'POST', url: `${log.url}/streams/s/records`, body: {records: ['c']}}), {status: 200, body: {firstOffset: 2}});
	t.deepEqual(await read(log.url, 1), {
		records: [{offset: 1, value: 'b'}, {offset: 2, value: 'c'}], nextOffset: 3, tailOffset: 3, firstRetainedOffset: 0,
	});
	const bounds = await sendJson({url: `${log.url}/streams/s`});
	t.deepEqual(bounds.body, {firstRetainedOffset: 0, nextOffset: 3});
});

test('a waiting read is answered as soon as a record is appended, not only after its timeout', async t => {
	const log = await createLogServiceStandIn();
	t.teardown(log.close);
	const waiting = read(log.url, 0, 60_000);
	await append(log.url, ['a']);
	const page = await waiting;
	t.deepEqual(page.records, [{offset: 0, value: 'a'}]);
});

test('an append whose answer is lost is applied, and applied again when `delayedDuplicateMs` is set', async t => {
	const log = await createLogServiceStandIn();
	t.teardown(log.close);
	log.setFaults({loseAnswerEvery: 1, delayedDuplicateMs: 1});
	await t.throwsAsync(append(log.url, ['a']));
	const page = await read(log.url, 1, 60_000);
	t.deepEqual(page.records, [{offset: 1, value: 'a'}]);
});

test('a log service that is down answers with status 503, including to a read that already waits', async t => {
	const log = await createLogServiceStandIn();
	t.teardown(log.close);
	const waiting = sendJson({url: `${log.url}/streams/s/records?from=0&waitMs=60000`, timeoutMs: 60_000});
	await read(log.url, 0);
	const faults = await sendJson({method: 'PUT', url: `${log.url}/faults`, body: {down: true}});
	t.like(faults, {status: 200, body: {down: true}});
	const answer = await waiting;
	t.is(answer.status, 503);
	t.is(await append(log.url, ['a']), 503);
});

test('appends above the rate limit are answered with status 429 and are not applied', async t => {
	const log = await createLogServiceStandIn({appendsPerSecond: 2, nowMs: () => 0});
	t.teardown(log.close);
	t.is(await append(log.url, ['a']), 200);
	t.is(await append(log.url, ['b']), 200);
	t.is(await append(log.url, ['c']), 429);
	const page = await read(log.url, 0);
	t.is(page.tailOffset, 2);
	t.is(log.rateLimited(), 1);
});

test('retention drops the oldest records by count and by age but never changes an offset', t => {
	let nowMs = 0;
	const stream = new LogStream({maxRecords: 2, maxAgeMs: 100}, () => nowMs);
	stream.append(['a', 'b', 'c']);
	t.deepEqual(stream.read(0, 10), [{offset: 1, value: 'b'}, {offset: 2, value: 'c'}]);
	nowMs = 101;
	t.deepEqual(stream.read(0, 10), []);
	t.is(stream.firstRetainedOffset, 3);
	t.is(stream.append(['d']), 3);
});
