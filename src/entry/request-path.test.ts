import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {text} from 'node:stream/consumers';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {ok} from 'true-myth/result';
import {request as sendRequest} from 'undici';
import {type ClusterState} from '../cluster/cluster-state.js';
import {reduceRequests} from '../requests/reduce-requests.js';
import {fixtureCluster, fixtureContext} from '../requests/request-fixture.js';
import {initialRequestState} from '../requests/request-state.js';
import {type RequestEvent} from '../requests/request-event.js';
import {type EventLog} from '../telemetry/event-log.js';
import {type CallerExchanges} from './caller-exchange.js';
import {createCallerServer} from './caller-server.js';
import {createRequestEffectExecutor} from './request-effects.js';
import {createRequestForwarder} from './request-forwarder.js';

type AgentHandler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

async function startAgent(t: ExecutionContext, handler: AgentHandler): Promise<string> {
	const server = createServer((request, response) => {
		void handler(request, response);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	const address = server.address();
	return `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
}

const ignore = (): void => undefined;

/** Runs caller server, request reducer and forwarder with the given agents; key claims are read back at once. */
async function startEntry(t: ExecutionContext, agents: readonly string[], limits: Partial<Record<string, number>> = {}) {
	const lines: string[] = [];
	const refused: string[] = [];
	const counted: string[] = [];
	const events: string[] = [];
	const write = (event: string, fields: unknown) => {
		lines.push(`${event} ${JSON.stringify(fields)}`);
	};

	const log: EventLog = {
		debug: write, info: write, warn: write, error: write,
	};
	let cluster: ClusterState = fixtureCluster(agents, {
		queuedRequestsPerService: 100,
		queueTimeoutMs: 2000,
		retryBudgetMilli: 1000,
		shareByClass: {urgent: 10, normal: 5, background: 1},
		floorMilliByClass: {urgent: 100, normal: 100, background: 100},
	});
	let state = initialRequestState;
	const exchanges: CallerExchanges = new Map();
	const dispatch = (event: RequestEvent) => {
		events.push(event.kind);
		const reduced = reduceRequests(state, event, fixtureContext(cluster, performance.now(), {tailConfirmedSentAtMs: performance.now()}));
		state = reduced.state;
		for (const effect of reduced.effects) {
			execute(effect);
		}
	};

	const forwarder = createRequestForwarder({
		exchanges, dispatch, log, concurrency: 64,
	});
	const execute = createRequestEffectExecutor({
		forwarder,
		appendRecord(record) {
			if (record.kind !== 'key-claimed') {
				return;
			}

			const {kind: _, ...claim} = record;
			cluster = {...cluster, offset: cluster.offset + 1, keys: cluster.keys.set(claim.keyHash, {...claim, claimOffset: cluster.offset + 1})};
			queueMicrotask(() => {
				dispatch({kind: 'cluster-advanced'});
			});
		},
		confirmLogTail() {
			queueMicrotask(() => {
				dispatch({kind: 'tail-confirmed'});
			});
		},
	});
	const server = createCallerServer({
		settings: {
			callerAddress: '127.0.0.1:0',
			limits: {
				headerBytes: 16_384, bodyBytes: 4_194_304, keyedBodyBytes: 65_536, connections: 64, idleTimeoutMs: 30_000, defaultDeadlineMs: 10_000, ...limits,
			},
		},
		dispatch,
		exchanges,
		jobs: {submit: async body => ok({submitted: body}), find: async jobId => ok({jobId}), cancel: async jobId => ok({cancelled: jobId})},
		onRefusal(requestId) {
			refused.push(requestId);
		},
		metrics: {
			increment(name) {
				counted.push(name);
			},
			gauge: ignore,
			timingMs: ignore,
			close: async () => undefined,
		},
		readiness: () => ({isReady: true, reason: ''}),
		nowMs: () => performance.now(),
		log,
	});
	const port = await server.listen();
	const ticker = setInterval(() => {
		dispatch({kind: 'tick'});
	}, 20);
	t.teardown(async () => {
		clearInterval(ticker);
		await Promise.all([server.close(), forwarder.close()]);
	});
	return {
		url: `http://127.0.0.1:${port}`, port, lines, refused, counted, events, exchanges, pending: () => state.pending.size, close: async () => server.close(),
	};
}

function answerDone(response: ServerResponse, body: string | Buffer, headers: Record<string, string> = {}): void {
	response.writeHead(200, {'x-arbutushinge-outcome': 'done', ...headers});
	response.end(body);
}

/** Waits until a condition holds; the timeout of the test runner applies. */
async function until(isReached: () => boolean): Promise<void> {
	while (!isReached()) {
		await nextTurn();
	}
}

async function exchangeBytes(port: number, bytes: Uint8Array): Promise<string> {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', ignore);
	const closed = once(socket, 'close');
	const chunks: Buffer[] = [];
	socket.on('data', (chunk: Buffer) => {
		chunks.push(chunk);
	});
	socket.end(bytes);
	await closed;
	return Buffer.concat(chunks).toString('latin1');
}

async function exchangeRaw(port: number, bytes: string): Promise<string> {
	const socket = connect(port, '127.0.0.1');
	socket.end(bytes);
	return text(socket);
}

// Guards against answers that reach another caller when they complete late and in another order.
test('each caller gets its own whole answer when the answers come in reverse order', async t => {
	const held: Array<() => void> = [];
	const agent = await startAgent(t, async (request, response) => {
		const body = await text(request);
		held.push(() => {
			answerDone(response, body.repeat(1000));
		});
		if (held.length === 4) {
			for (const release of held.toReversed()) {
				release();
			}
		}
	});
	const entry = await startEntry(t, [agent]);
	const bodies = ['a', 'b', 'c', 'd'];
	const answers = await Promise.all(bodies.map(async body => {
		const {body: answer, headers} = await sendRequest(`${entry.url}/services/loaf-ordering/echo`, {method: 'POST', body});
		t.is(headers['x-arbutushinge-outcome'], 'done');
		return answer.text();
	}));
	t.deepEqual(answers, bodies.map(body => body.repeat(1000)));
	t.is(entry.pending(), 0);
	await until(() => entry.exchanges.size === 0);
	t.is(entry.exchanges.size, 0);
});

// Guards against bodies that are held in memory or changed, and against hop-by-hop and forged headers that pass.
test('a large body passes unchanged in both directions, without hop-by-hop and forged headers', async t => {
	const body = Buffer.alloc(3_000_000, 'loaf');
	let seen: IncomingMessage | undefined;
	const agent = await startAgent(t, async (request, response) => {
		seen = request;
		const chunks = await request.toArray();
		answerDone(response, Buffer.concat(chunks), {'x-baked': 'yes', 'keep-alive': 'timeout=9', 'x-arbutushinge-internal': 'no'});
	});
	const entry = await startEntry(t, [agent]);
	const answer = await sendRequest(`${entry.url}/services/loaf-ordering/a/b?c=d%20e`, {
		method: 'PUT', body, headers: {'x-order': '7', 'x-arbutushinge-claim-offset': '99', te: 'trailers'},
	});
	t.true(body.equals(Buffer.from(await answer.body.arrayBuffer())));
	t.is(answer.headers['x-baked'], 'yes');
	t.is(answer.headers['x-arbutushinge-internal'], undefined);
	t.is(seen?.url, '/requests/loaf-ordering/a/b?c=d%20e');
	t.like(seen?.headers, {
		'x-order': '7', 'x-arbutushinge-method': 'PUT', 'x-arbutushinge-claim-offset': undefined, te: undefined,
	});
});

// Guards against a truncated answer that looks like a success.
test('an agent\'s answer that breaks off closes the caller\'s connection', async t => {
	const agent = await startAgent(t, (request, response) => {
		request.resume();
		response.writeHead(200, {'x-arbutushinge-outcome': 'done'});
		response.write('half', () => {
			response.destroy();
		});
	});
	const entry = await startEntry(t, [agent]);
	await t.throwsAsync(async () => {
		const {body} = await sendRequest(`${entry.url}/services/loaf-ordering/`, {method: 'GET'});
		await body.text();
	});
});

// Guards against a retry of work that may have run, and against an idempotent request that is not retried.
test('a connection that breaks before the answer is retried only for idempotent requests', async t => {
	let runs = 0;
	const agent = await startAgent(t, async (request, response) => {
		const body = await text(request);
		runs++;
		if (runs === 1) {
			response.destroy();
		} else {
			answerDone(response, body);
		}
	});
	const entry = await startEntry(t, [agent]);
	const url = `${entry.url}/services/loaf-ordering/`;
	const idempotent = await sendRequest(url, {method: 'POST', body: 'x', headers: {'x-arbutushinge-idempotent': 'true'}});
	t.is(await idempotent.body.text(), 'x');
	t.is(runs, 2);
	runs = 0;
	const unkeyed = await sendRequest(url, {method: 'POST', body: 'x'});
	t.is(unkeyed.statusCode, 504);
	t.is(unkeyed.headers['x-arbutushinge-outcome'], 'outcome-unknown');
	t.is(runs, 1);
});

// Guards against "outcome unknown" for a request of which no byte was sent, and against a refusal while another agent has a free slot.
test('a request that one agent refuses or that cannot be sent to it is run by the other', async t => {
	const refusing = await startAgent(t, (request, response) => {
		request.resume();
		response.writeHead(503, {'x-arbutushinge-outcome': 'refused-not-run', 'retry-after': '2'});
		response.end(JSON.stringify({error: {kind: 'busy', message: 'no slot is free', remedy: 'retry'}}));
	});
	const working = await startAgent(t, async (request, response) => {
		answerDone(response, await text(request));
	});
	const closed = '127.0.0.1:1';
	for (const other of [refusing, closed]) {
		const entry = await startEntry(t, [other, working]);
		for (let count = 0; count < 8; count++) {
			const {statusCode, body} = await sendRequest(`${entry.url}/services/loaf-ordering/`, {method: 'POST', body: `x${count}`});
			t.is(statusCode, 200);
			t.is(await body.text(), `x${count}`);
		}
	}

	const alone = await startEntry(t, [refusing]);
	const refused = await sendRequest(`${alone.url}/services/loaf-ordering/`, {method: 'POST', body: 'x', headers: {'x-arbutushinge-deadline-ms': '200'}});
	t.is(refused.statusCode, 503);
	t.is(refused.headers['x-arbutushinge-outcome'], 'refused-not-run');
	t.truthy(refused.headers['retry-after']);
});

// Guards against keys or bodies in logs and in the agent's headers, and against a key that is used for another body.
test('a keyed request is claimed, sent with hashes only, and refused with another body', async t => {
	let seen: IncomingMessage | undefined;
	const agent = await startAgent(t, async (request, response) => {
		seen = request;
		answerDone(response, await text(request));
	});
	const entry = await startEntry(t, [agent]);
	const send = async (body: string) => sendRequest(`${entry.url}/services/loaf-ordering/orders`, {method: 'POST', body, headers: {'idempotency-key': 'secret-key'}});
	const first = await send('secret-body');
	t.is(await first.body.text(), 'secret-body');
	t.is(seen?.headers['x-arbutushinge-claim-offset'], '1');
	t.is(seen?.headers['x-arbutushinge-key']?.length, 43);
	const repeated = await send('secret-body');
	t.is(await repeated.body.text(), 'secret-body');
	t.is(seen?.headers['x-arbutushinge-claim-offset'], '1');
	const other = await send('another');
	t.is(other.statusCode, 422);
	t.notRegex(entry.lines.join('\n'), /secret/v);
});

// Guards against malformed requests that reach a backend server or get an answer without a typed error.
test('malformed requests are refused with a typed error and reach no backend server', async t => {
	let runs = 0;
	const agent = await startAgent(t, (_request, response) => {
		runs++;
		answerDone(response, '');
	});
	const entry = await startEntry(t, [agent], {bodyBytes: 1024, keyedBodyBytes: 1024, headerBytes: 2048});
	const line = 'POST /services/loaf-ordering/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n';
	const cases: ReadonlyArray<readonly [bytes: string, status: number, kind: string]> = [
		['nonsense\r\n\r\n', 400, 'request-malformed'],
		['GET /elsewhere HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n', 404, 'path-unknown'],
		['GET /services/a%20b/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n', 400, 'path-invalid'],
		['GET /services/unknown/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n', 404, 'service-unknown'],
		[`${line}X-Arbutushinge-Priority: highest\r\n\r\n`, 400, 'header-invalid'],
		[`${line}X-Arbutushinge-Deadline-Ms: -5\r\n\r\n`, 400, 'header-invalid'],
		[`${line}Idempotency-Key: ${'k'.repeat(300)}\r\n\r\n`, 400, 'header-invalid'],
		[`${line}X-Long: ${'x'.repeat(4000)}\r\n\r\n`, 431, 'header-too-large'],
		[`${line}Content-Length: 5000\r\n\r\n`, 413, 'body-too-large'],
		[`${line}Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n${'x'.repeat(2048)}\r\n0\r\n\r\n`, 413, 'body-too-large'],
		[`${line}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`, 400, 'request-malformed'],
	];
	for (const [bytes, status, kind] of cases) {
		const answer = await exchangeRaw(entry.port, bytes);
		t.regex(answer, new RegExp(`^HTTP/1.1 ${status} `, 'v'));
		t.true(answer.includes(`"kind":"${kind}"`));
	}

	t.is(runs, 0);
	t.is(entry.pending(), 0);
});

// Guards against slow callers that hold connections open.
test('a caller that stops within its header or its body loses its connection', async t => {
	const agent = await startAgent(t, async (request, response) => {
		await text(request).catch(() => '');
		answerDone(response, '');
	});
	const entry = await startEntry(t, [agent], {idleTimeoutMs: 100});
	for (const start of ['GET /services/loaf-', 'POST /services/loaf-ordering/ HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc']) {
		const socket = connect(entry.port, '127.0.0.1');
		socket.write(start);
		const answer = await text(socket).catch(() => '');
		t.notRegex(answer, /^HTTP\/1.1 200/v);
	}

	await until(() => entry.pending() === 0);
	t.is(entry.exchanges.size, 0);
});

// Guards against a close that cuts requests in flight.
test('closing stops accepting and completes the request in flight', async t => {
	let release: (() => void) | undefined;
	let markArrived: (() => void) | undefined;
	const arrived = new Promise<void>(resolve => {
		markArrived = resolve;
	});
	const agent = await startAgent(t, (request, response) => {
		request.resume();
		release = () => {
			answerDone(response, 'whole');
		};

		markArrived?.();
	});
	const entry = await startEntry(t, [agent]);
	const answer = sendRequest(`${entry.url}/services/loaf-ordering/`, {method: 'GET'});
	await arrived;
	const closed = entry.close();
	await t.throwsAsync(async () => sendRequest(`${entry.url}/ready`));
	release?.();
	const {body} = await answer;
	t.is(await body.text(), 'whole');
	await closed;
});

test('jobs and health are answered as JSON', async t => {
	const entry = await startEntry(t, []);
	const submitted = await sendRequest(`${entry.url}/jobs`, {method: 'POST', body: '{"jobId":"j1"}'});
	t.deepEqual(await submitted.body.json(), {submitted: {jobId: 'j1'}});
	const invalid = await sendRequest(`${entry.url}/jobs`, {method: 'POST', body: '{'});
	t.is(invalid.statusCode, 400);
	const found = await sendRequest(`${entry.url}/jobs/j1`);
	t.deepEqual(await found.body.json(), {jobId: 'j1'});
	const cancelled = await sendRequest(`${entry.url}/jobs/j1`, {method: 'DELETE'});
	t.deepEqual(await cancelled.body.json(), {cancelled: 'j1'});
	const ready = await sendRequest(`${entry.url}/ready`);
	t.is(ready.statusCode, 200);
	const health = await sendRequest(`${entry.url}/health`);
	t.is(health.statusCode, 200);
});

test('garbage at the callers\' port reaches no backend server, is counted and leaves the server alive', async t => {
	let reached = 0;
	const agent = await startAgent(t, (_request, response) => {
		reached++;
		answerDone(response, 'ok');
	});
	const entry = await startEntry(t, [agent]);
	await fc.assert(fc.asyncProperty(fc.uint8Array({minLength: 1, maxLength: 400}), async bytes => {
		await exchangeBytes(entry.port, bytes);
	}), {numRuns: 60});
	const own = ['priority', 'deadline-ms', 'caller', 'attempt'].map(name => `x-arbutushinge-${name}`);
	const header = fc.constantFrom('idempotency-key', 'content-length', 'transfer-encoding', ...own);
	await fc.assert(fc.asyncProperty(header, fc.string({maxLength: 40}), async (name, value) => {
		const head = `GET /services/none/x HTTP/1.1\r\nhost: a\r\n${name}: ${value}\r\nconnection: close\r\n\r\n`;
		const answer = await exchangeBytes(entry.port, Buffer.from(head, 'latin1'));
		return answer === '' || /^HTTP\/1\.1 4\d\d /v.test(answer);
	}), {numRuns: 60});
	t.is(reached, 0);
	t.true(entry.counted.includes('callers.malformed'));
	const alive = await sendRequest(`${entry.url}/services/loaf-ordering/x`);
	t.is(alive.statusCode, 200);
	await alive.body.dump();
});

test('neither keys nor bodies nor tokens of callers reach the log', async t => {
	const agent = await startAgent(t, async (request, response) => {
		await text(request);
		response.writeHead(503, {'x-arbutushinge-outcome': 'failed', 'content-type': 'application/json'});
		response.end('{"error":{"kind":"failed","message":"the backend server failed","remedy":"none"}}');
	});
	const entry = await startEntry(t, [agent]);
	const headers = {'idempotency-key': 'private-key', authorization: 'Bearer private-token'};
	const bodies = ['private-body', 'private-other'];
	for (const body of bodies) {
		const answer = await sendRequest(`${entry.url}/services/loaf-ordering/private-path`, {method: 'POST', headers, body});
		await answer.body.dump();
	}

	const refused = await sendRequest(`${entry.url}/services/loaf-ordering/x`, {method: 'POST', headers: {...headers, 'x-arbutushinge-priority': 'private-priority'}, body: 'private-body'});
	t.is(refused.statusCode, 400);
	await refused.body.dump();
	t.is(entry.refused.length, 1);
	t.true(entry.lines.length > 0);
	t.deepEqual(entry.lines.filter(line => line.includes('private')), []);
});

test('a complete answer is recorded as the end of its forward, not as an abandoned request', async t => {
	const agent = await startAgent(t, (_request, response) => {
		answerDone(response, 'ok');
	});
	const entry = await startEntry(t, [agent]);
	const answer = await sendRequest(`${entry.url}/services/loaf-ordering/x`);
	await answer.body.dump();
	await until(() => entry.events.includes('request-abandoned'));
	t.deepEqual(entry.events.filter(kind => kind === 'forward-finished' || kind === 'request-abandoned'), ['forward-finished', 'request-abandoned']);
});
