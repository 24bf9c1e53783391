import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import test from 'ava';
import fc from 'fast-check';
import {err, ok, type Result} from 'true-myth/result';
import {request} from 'undici';
import {type TypedError} from '../errors/typed-error.js';
import {type Confirmation} from '../operator/operator-api.js';
import {createOperatorClient} from '../operator/operator-client.js';
import {emptyStateFixture, planFixture} from '../operator/state-fixture.js';
import {type EventLog} from '../telemetry/event-log.js';
import {type OperatorBackend, type OperatorServer, startOperatorServer} from './operator-server.js';

const token = 'test-token-0123456789';

const ignore = (): void => undefined;

const eventLog: EventLog = {
	debug: ignore, info: ignore, warn: ignore, error: ignore,
};

const valueOf = async <Value>(call: Promise<Result<Value, TypedError>>): Promise<Value | undefined> => {
	const result = await call;
	return result.unwrapOr(undefined);
};

const backend: OperatorBackend = {
	state: () => emptyStateFixture,
	computePlan: intent => intent.kind === 'drain-vm'
		? ok(planFixture)
		: err({kind: 'plan-impossible', message: 'no such service', remedy: 'check its name'}),
	confirm: async plan => ({
		planId: plan.planId, result: 'accepted', offset: 21, reason: '',
	}),
	liveness: () => ({
		appliedOffsetByVm: {}, appliedOffsetByEntry: {}, logReachable: true, tailAgeMs: 5,
	}),
	timeline: async from => [{
		process: 'entry-1', sequence: from, wallTimeMs: 1, event: 'started', offset: -1,
	}],
	records: async () => err({kind: 'log-unavailable', message: 'the log does not answer', remedy: 'try again later'}),
	snapshot: async () => ok({snapshot: null}),
	explainRequest: id => id === 'r1' ? ['Request r1 was sent to b1.'] : undefined,
	encodeState: () => Buffer.from([1, 2, 255]),
};

const start = async (overrides: Partial<OperatorBackend> = {}, bodyBytes?: number): Promise<OperatorServer> => startOperatorServer({
	address: '127.0.0.1:0', token, eventLog, backend: {...backend, ...overrides}, bodyBytes,
});

test('the client gets every kind of answer from the server', async t => {
	const server = await start();
	const address = `127.0.0.1:${server.port}`;
	const client = createOperatorClient({addresses: [address], token});
	t.deepEqual(await valueOf(client.computePlan(planFixture.intent)), planFixture);
	t.like(await valueOf(client.confirm(planFixture)), {result: 'accepted'});
	t.like(await valueOf(client.status()), {log: {tailAgeMs: 5}});
	t.like(await valueOf(client.explain('r1')), {kind: 'request'});
	t.like(await valueOf(client.timeline(address, 4)), [{sequence: 4}]);
	t.deepEqual(await valueOf(client.peerState()), Uint8Array.of(1, 2, 255));
	const records = await client.records(0, 10);
	t.is(records.isErr && records.error.kind, 'log-unavailable');
	const refused = await client.computePlan({kind: 'remove-service', service: 'x'});
	t.is(refused.isErr && refused.error.remedy, 'check its name');
	await client.close();
	await server.close();
});

type Malformed = Readonly<{name: string; path: string; method?: 'GET' | 'POST'; body?: string; authorization?: string; status: number; kind: string}>;

const malformed: readonly Malformed[] = [
	{
		name: 'no token', path: '/status', authorization: '', status: 401, kind: 'token-refused',
	},
	{
		name: 'a wrong token', path: '/status', authorization: `Bearer ${token}x`, status: 401, kind: 'token-refused',
	},
	{
		name: 'a wrong token for an unknown path', path: '/secret', authorization: 'Bearer x', status: 401, kind: 'token-refused',
	},
	{
		name: 'an unknown path', path: '/nothing', status: 404, kind: 'not-found',
	},
	{
		name: 'a body that is not JSON', path: '/plans', method: 'POST', body: '{', status: 400, kind: 'request-invalid',
	},
	{
		name: 'an unknown intent', path: '/plans', method: 'POST', body: '{"intent":{"kind":"place-task"}}', status: 400, kind: 'request-invalid',
	},
	{
		name: 'a plan without its parts', path: '/plans/confirm', method: 'POST', body: '{"plan":{"planId":"p"}}', status: 400, kind: 'request-invalid',
	},
	{
		name: 'a body over the limit', path: '/plans', method: 'POST', body: 'x'.repeat(200_000), status: 413, kind: 'request-too-large',
	},
	{
		name: 'a negative offset', path: '/records?from=-1', status: 400, kind: 'request-invalid',
	},
	{
		name: 'a repeated parameter', path: '/explain?subject=a&subject=b', status: 400, kind: 'request-invalid',
	},
	{
		name: 'an unknown subject', path: '/explain?subject=zz', status: 404, kind: 'subject-unknown',
	},
];

for (const {name, path, method = 'GET', body, authorization = `Bearer ${token}`, status, kind} of malformed) {
	test(`the server refuses ${name} with a typed error`, async t => {
		const server = await start({}, 100_000);
		const response = await request(`http://127.0.0.1:${server.port}${path}`, {method, body: body ?? null, headers: {authorization}});
		t.is(response.statusCode, status);
		t.like(await response.body.json(), {error: {kind}});
		await server.close();
	});
}

test('a failure inside the entry is answered without its details', async t => {
	const server = await start({
		liveness() {
			throw new Error('private detail');
		},
	});
	const response = await request(`http://127.0.0.1:${server.port}/status`, {headers: {authorization: `Bearer ${token}`}});
	t.is(response.statusCode, 500);
	t.notRegex(await response.body.text(), /private/v);
	await server.close();
});

test('a connection beyond the limit is closed', async t => {
	const server = await startOperatorServer({
		address: '127.0.0.1:0', token, eventLog, backend, connections: 1,
	});
	const first = connect(server.port, '127.0.0.1');
	await new Promise(resolve => {
		first.once('connect', resolve);
	});
	const second = connect(server.port, '127.0.0.1');
	await t.notThrowsAsync(new Promise<void>(resolve => {
		second.once('close', () => {
			resolve();
		});
		second.on('error', ignore);
	}));
	first.destroy();
	await server.close();
});

test('a confirmation that an entry could not append to the log is retried at the next entry', async t => {
	const cutOff = await start({
		confirm: async plan => ({
			planId: plan.planId, result: 'rejected', offset: -1, reason: 'the log is out of reach',
		}),
	});
	const server = await start();
	const addresses = [cutOff, server].map(each => `127.0.0.1:${each.port}`);
	const client = createOperatorClient({addresses, token});
	t.like(await valueOf(client.confirm(planFixture)), {result: 'accepted'});
	const alone = createOperatorClient({addresses: addresses.slice(0, 1), token});
	t.like(await valueOf(alone.confirm(planFixture)), {result: 'rejected', offset: -1});
	await Promise.all([client.close(), alone.close()]);
	await Promise.all([cutOff.close(), server.close()]);
});

test('garbage at the operators\' port is answered with an error or dropped and does not stop the server', async t => {
	const server = await start({}, 10_000);
	const paths = ['/plans', '/plans/confirm', '/status', '/explain', '/records', '/timeline', '/%00', '/\u00E9'];
	const attack = fc.record({
		method: fc.constantFrom('GET', 'POST'), path: fc.constantFrom(...paths), query: fc.string({maxLength: 40}), body: fc.oneof(fc.json(), fc.string({maxLength: 200})),
	});
	await fc.assert(fc.asyncProperty(attack, async ({method, path, query, body}) => {
		const response = await request(`http://127.0.0.1:${server.port}${encodeURI(path)}?${encodeURIComponent(query)}`, {
			method: method === 'GET' ? 'GET' : 'POST', body: method === 'GET' ? null : body, headers: {authorization: `Bearer ${token}`},
		});
		await response.body.dump();
		return response.statusCode !== 500;
	}), {numRuns: 50});
	await fc.assert(fc.asyncProperty(fc.uint8Array({minLength: 1, maxLength: 300}), async bytes => {
		const socket = connect(server.port, '127.0.0.1');
		socket.on('error', ignore);
		const closed = once(socket, 'close');
		socket.resume();
		socket.end(bytes);
		await closed;
	}), {numRuns: 30});
	const alive = await request(`http://127.0.0.1:${server.port}/status`, {headers: {authorization: `Bearer ${token}`}});
	t.is(alive.statusCode, 200);
	await alive.body.dump();
	await server.close();
});

test('the client tries the next entry when one does not answer', async t => {
	const server = await start();
	const client = createOperatorClient({addresses: ['127.0.0.1:1', `127.0.0.1:${server.port}`], token});
	t.truthy(await valueOf(client.status()));
	await client.close();
	await server.close();
});

test('a confirmation whose outcome is unknown is sent again with the same plan', async t => {
	const asked: string[] = [];
	const server = await start({
		async confirm(plan): Promise<Confirmation> {
			asked.push(plan.planId);
			return {
				planId: plan.planId, result: asked.length < 3 ? 'unknown' : 'rejected', offset: 30, reason: 'vm/vm-1 changed',
			};
		},
	});
	const client = createOperatorClient({addresses: [`127.0.0.1:${server.port}`], token, roundDelayMs: 0});
	t.like(await valueOf(client.confirm(planFixture)), {result: 'rejected'});
	t.deepEqual(asked, ['plan-1', 'plan-1', 'plan-1']);
	await client.close();
	await server.close();
});

test('a confirmation whose answer is lost is sent again with the same plan', async t => {
	let asked = 0;
	const server = await start({
		async confirm(plan): Promise<Confirmation> {
			asked++;
			if (asked === 1) {
				throw new Error('answer lost');
			}

			return {
				planId: plan.planId, result: 'accepted', offset: 30, reason: '',
			};
		},
	});
	const client = createOperatorClient({addresses: [`127.0.0.1:${server.port}`], token, roundDelayMs: 0});
	t.like(await valueOf(client.confirm(planFixture)), {result: 'accepted'});
	await client.close();
	await server.close();
});
