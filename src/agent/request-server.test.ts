import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {agentSettingsSchema} from '../settings/agent-settings.js';
import type {AgentEffect} from './agent-effect.js';
import type {AgentEvent} from './agent-event.js';
import {initialAgentState} from './agent-state.js';
import {createBackendServerClient} from './backend-server-client.js';
import {reduceAgent} from './reduce-agent.js';
import {openRequestServer} from './request-server.js';

const ignore = (): void => undefined;

/** Holds answers until the test sends them, so that the test determines their order. */
class HeldResponses {
	readonly responses = new Map<string, ServerResponse>();
	readonly #waiting: Array<Readonly<{count: number; resolve: () => void}>> = [];

	add(path: string, response: ServerResponse): void {
		this.responses.set(path, response);
		for (const {count, resolve} of this.#waiting) {
			if (this.responses.size >= count) {
				resolve();
			}
		}
	}

	async until(count: number): Promise<void> {
		if (this.responses.size < count) {
			await new Promise<void>(resolve => {
				this.#waiting.push({count, resolve});
			});
		}
	}
}

type Backend = (request: IncomingMessage, response: ServerResponse) => void;

/** Opens the agent's port in front of a backend server with 2 slots and a queue of 1. */
async function open(t: ExecutionContext, backend: Backend) {
	const settings = agentSettingsSchema.parse({
		role: 'agent', vmId: 'vm-1', failureDomain: 'a', rack: 'r1', requestAddress: '127.0.0.1:0', entryAddresses: ['127.0.0.1:2'], workerUrl: 'http://127.0.0.1:4', limits: {backendQueueLimit: 1, keyedAnswerBytes: 1024},
	});
	const backendServer = createServer(backend);
	backendServer.listen(0, '127.0.0.1');
	await once(backendServer, 'listening');
	const bound = backendServer.address();
	const address = `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`;
	const nowMs = (): number => performance.now();
	let state = initialAgentState(settings, 'i0');
	const effectHandler: {execute?: (effect: AgentEffect) => void} = {};
	const dispatch = (event: AgentEvent): void => {
		const reduced = reduceAgent(state, event);
		state = reduced.state;
		for (const effect of reduced.effects) {
			effectHandler.execute?.(effect);
		}
	};

	const client = createBackendServerClient({
		keyedAnswerBytes: settings.limits.keyedAnswerBytes,
		nowMs,
		eventLog: {
			debug: ignore, info: ignore, warn: ignore, error: ignore,
		},
		settle(requestId, settlement) {
			dispatch({
				kind: 'request-settled', nowMs: nowMs(), requestId, settlement,
			});
		},
	});
	const opened = await openRequestServer({
		requestAddress: settings.requestAddress, headerBytes: settings.limits.headerBytes, client, nowMs, dispatch, health: () => ({}), timeline: () => [],
	});
	const server = opened.unwrapOrElse(error => {
		throw new Error(error.message);
	});
	effectHandler.execute = effect => {
		if (effect.kind === 'run-request' || effect.kind === 'refuse-request' || effect.kind === 'answer-request' || effect.kind === 'answer-leaving') {
			server.execute(effect);
		}
	};

	t.teardown(async () => {
		await client.close();
		await server.close();
		backendServer.closeAllConnections();
		backendServer.close();
	});
	const url = `http://127.0.0.1:${server.port}`;
	await request(`${url}/announce`, {
		method: 'POST', body: JSON.stringify({
			backendServerId: 'b1', service: 's', address, slots: 2, connections: 4,
		}),
	});
	return {
		url,
		backendServer,
		async send(path: string, headers: Readonly<Record<string, string>> = {}, body?: Uint8Array) {
			return request(`${url}/requests/s${path}`, {
				method: 'POST', body, headers: {
					'x-arbutushinge-request-id': path, 'x-arbutushinge-backend-server': 'b1', 'x-arbutushinge-method': 'POST', ...headers,
				},
			});
		},
	};
}

const keyed = (key: string): Readonly<Record<string, string>> => ({
	'x-arbutushinge-key': key, 'x-arbutushinge-body-hash': 'h', 'x-arbutushinge-claim-offset': '5', 'x-arbutushinge-agent-incarnation': 'i0',
});

/** Guards against an answer that reaches another request's caller. */
test('answers that come late and out of order reach their own requests', async t => {
	const held = new HeldResponses();
	const agent = await open(t, (received, response) => {
		held.add(received.url ?? '', response);
	});
	const first = agent.send('/first');
	const second = agent.send('/second');
	await held.until(2);
	held.responses.get('/second')?.end('second');
	const secondAnswer = await second;
	t.is(await secondAnswer.body.text(), 'second');
	held.responses.get('/first')?.end('first');
	const firstAnswer = await first;
	t.is(await firstAnswer.body.text(), 'first');
});

/** Guards against more than `slots` requests at a time, and against a "not run" for a request that ran. */
test('requests beyond slots and queue are refused as not run', async t => {
	const held = new HeldResponses();
	const agent = await open(t, (received, response) => {
		held.add(received.url ?? '', response);
	});
	const running = [agent.send('/1'), agent.send('/2')];
	await held.until(2);
	const queued = agent.send('/3', {'x-arbutushinge-deadline-ms': '20'});
	const overdue = await queued;
	t.is(overdue.headers['x-arbutushinge-outcome'], 'refused-not-run');
	const more = [agent.send('/4'), agent.send('/5')];
	const refused = await Promise.race(more);
	t.is(refused.statusCode, 503);
	t.is(refused.headers['x-arbutushinge-outcome'], 'refused-not-run');
	t.is(refused.headers['retry-after'], '1');
	t.like(await refused.body.json(), {error: {kind: 'busy'}});
	t.deepEqual([...held.responses.keys()].toSorted(), ['/1', '/2']);
	for (const response of held.responses.values()) {
		response.end();
	}

	await held.until(3);
	held.responses.get('/4')?.end();
	held.responses.get('/5')?.end();
	await Promise.all([...running, ...more]);
	t.false(held.responses.has('/3'));
});

/** Guards against a truncated answer that looks whole. */
test('an answer that breaks off resets the connection, or has an unknown outcome when no part of it was passed on', async t => {
	const agent = await open(t, (received, response) => {
		if (received.url === '/cut') {
			response.writeHead(200, {'content-length': '100'});
			response.write('part', () => {
				response.destroy();
			});
		} else {
			response.destroy();
		}
	});
	const cut = await agent.send('/cut');
	await t.throwsAsync(cut.body.text());
	const lost = await agent.send('/lost');
	t.is(lost.statusCode, 504);
	t.is(lost.headers['x-arbutushinge-outcome'], 'outcome-unknown');
	const keyedCut = await agent.send('/cut', keyed('k1'));
	t.is(keyedCut.headers['x-arbutushinge-outcome'], 'outcome-unknown');
});

/** Guards against an unknown outcome although no byte was sent. */
test('a request to a backend server that accepts no connection is refused as not run', async t => {
	const agent = await open(t, (_, response) => {
		response.end();
	});
	agent.backendServer.closeAllConnections();
	agent.backendServer.close();
	await once(agent.backendServer, 'close');
	const refused = await agent.send('/1');
	t.is(refused.headers['x-arbutushinge-outcome'], 'refused-not-run');
});

/** Guards against a second run of a keyed request by a retry that arrives while it runs or after its answer. */
test('a keyed request runs once, and its retries get the same answer', async t => {
	const held = new HeldResponses();
	let runs = 0;
	const agent = await open(t, (received, response) => {
		runs += 1;
		held.add(received.url ?? '', response);
	});
	const original = agent.send('/order', keyed('k1'));
	const timedOut = await agent.send('/order', {...keyed('k1'), 'x-arbutushinge-deadline-ms': '20'});
	t.is(timedOut.headers['x-arbutushinge-outcome'], 'outcome-unknown');
	await held.until(1);
	held.responses.get('/order')?.writeHead(201, {'x-loaf': 'rye'}).end('{"order":7}');
	for (const answer of [await original, await agent.send('/order', keyed('k1'))]) {
		t.is(answer.statusCode, 201);
		t.is(answer.headers['x-loaf'], 'rye');
		t.deepEqual(await answer.body.json(), {order: 7});
	}

	t.is(runs, 1);
	const other = await agent.send('/order', {...keyed('k1'), 'x-arbutushinge-body-hash': 'other'});
	t.is(other.statusCode, 422);
});

/** Guards against bodies that are buffered, changed or cut. A keyed answer beyond the limit still reaches its first caller. */
test('large bodies pass through whole', async t => {
	const agent = await open(t, (received, response) => {
		response.writeHead(200, {'x-path': received.url ?? ''});
		received.pipe(response);
	});
	const body = Buffer.alloc(8_000_000, 'crumb');
	const digest = (bytes: Uint8Array): string => createHash('sha256').update(bytes).digest('hex');
	for (const headers of [{}, keyed('k1')]) {
		const answer = await agent.send('/echo?x=%2F', headers, body);
		t.is(answer.headers['x-path'], '/echo?x=%2F');
		t.is(digest(new Uint8Array(await answer.body.arrayBuffer())), digest(body));
	}

	const retry = await agent.send('/echo?x=%2F', keyed('k1'));
	t.is(retry.headers['x-arbutushinge-outcome'], 'outcome-unknown');
});

/** Guards against a stop of a backend server that cuts a request in flight. */
test('a notice of leaving is answered only after the requests in flight', async t => {
	const held = new HeldResponses();
	const agent = await open(t, (received, response) => {
		held.add(received.url ?? '', response);
	});
	const running = agent.send('/1');
	await held.until(1);
	const leaving = request(`${agent.url}/leaving`, {method: 'POST', body: '{"backendServerId":"b1"}'});
	let text = '';
	while (!text.includes('draining')) {
		const refused = await agent.send('/2', {'x-arbutushinge-deadline-ms': '1'});
		text = await refused.body.text();
	}

	for (const response of held.responses.values()) {
		response.end('whole');
	}

	const answer = await running;
	t.is(await answer.body.text(), 'whole');
	const left = await leaving;
	t.is(left.statusCode, 200);
});
