import {createServer, request as forward, type Server} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import {createBackendServerStandIn, type BackendServerStandIn} from './backend-server-stand-in.js';
import {checkAnswer, runCallerLoad, type CallerLoadOptions} from './caller-load.js';
import {hashBody} from './echo-answer.js';
import {listenLocally} from './json-server.js';

/** Creates a server that forwards requests to a backend server and adds the outcome header, as an entry does. */
function createProxyServer(backendServerUrl: string): Server {
	return createServer((request, response) => {
		const forwarded = forward(backendServerUrl + (request.url ?? ''), {method: request.method, headers: request.headers}, answer => {
			response.writeHead(answer.statusCode ?? 500, {...answer.headers, 'x-arbutushinge-outcome': 'done'});
			answer.on('error', () => {
				response.destroy();
			});
			answer.pipe(response);
		});
		forwarded.on('error', () => {
			response.destroy();
		});
		request.pipe(forwarded);
	});
}

async function setUp(t: ExecutionContext): Promise<{backendServer: BackendServerStandIn; load: CallerLoadOptions}> {
	const backendServer = await createBackendServerStandIn({serviceTimeMs: 0});
	const entry = await listenLocally(createProxyServer(backendServer.url), 0);
	t.teardown(async () => {
		await entry.close();
		await backendServer.close();
	});
	return {
		backendServer,
		load: {
			entries: [entry.address], service: 's', requests: 60, seed: 3, concurrency: 6, pauseMs: 0, largeBodyBytes: 20_000,
		},
	};
}

test('every request of a load without faults is answered once and matched to its own answer', async t => {
	const {backendServer, load} = await setUp(t);
	backendServer.setFaults({outOfOrder: true, serviceTimeMs: 1});
	const journal = await runCallerLoad(load);
	t.like(journal, {
		requests: 60, answered: 60, refused: 0, unknown: 0, failed: 0, wrong: 0, retries: 0,
	});
	const {runsByRequestId, runsByKey} = backendServer.journal();
	t.is(Object.keys(runsByRequestId).length, 60);
	t.true(Object.values(runsByRequestId).every(runs => runs === 1));
	t.deepEqual(Object.keys(runsByKey).toSorted(), journal.ordersAnswered.toSorted());
});

test('runs with the same seed send the same mix of requests', async t => {
	const first = await setUp(t);
	const second = await setUp(t);
	const load = {concurrency: 1};
	const [left, right] = await Promise.all([runCallerLoad({...first.load, ...load}), runCallerLoad({...second.load, ...load})]);
	t.deepEqual(left.ordersAnswered, right.ordersAnswered);
	t.true(left.ordersAnswered.length > 0);
});

test('an answer that is cut in the middle counts as no answer and its request is sent again', async t => {
	const {backendServer, load} = await setUp(t);
	backendServer.setFaults({cutAnswerEvery: 20});
	const journal = await runCallerLoad(load);
	t.like(journal, {requests: 60, answered: 60, wrong: 0});
	t.true(journal.retries >= 3);
	// Every retry is one more run of its request, also when several answers to the same request are cut.
	const runs = Object.values(backendServer.journal().runsByRequestId);
	t.is(runs.reduce((sum, count) => sum + count - 1, 0), journal.retries);
});

test('an answer that is incomplete or belongs to another request or body is not accepted', t => {
	const answer = {
		requestId: 'a', bodyHash: hashBody('body'), bodyBytes: 4, backendServerId: 'b', padding: '....',
	};
	t.is(checkAnswer(JSON.stringify(answer), 'a', 'body'), '');
	t.not(checkAnswer(JSON.stringify(answer), 'other', 'body'), '');
	t.not(checkAnswer(JSON.stringify(answer), 'a', 'other body'), '');
	t.not(checkAnswer(JSON.stringify(answer).slice(0, -1), 'a', 'body'), '');
	t.not(checkAnswer(JSON.stringify({...answer, padding: '...'}), 'a', 'body'), '');
});
