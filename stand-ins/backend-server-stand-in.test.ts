import test from 'ava';
import {z} from 'zod';
import {createBackendServerStandIn} from './backend-server-stand-in.js';
import {sendJson} from './json-client.js';
import {startJsonServer} from './json-server.js';
import {createWorkerStandIn} from './worker-stand-in.js';

test('a backend server announces itself and keeps answering until the agent answers its `/leaving` request', async t => {
	const calls: string[] = [];
	let announce: (body: unknown) => void = () => undefined;
	const announced = new Promise<unknown>(resolve => {
		announce = resolve;
	});
	const agent = await startJsonServer([
		{
			method: 'POST', path: '/announce', handle(_request, body) {
				announce(body);
				return {status: 204};
			},
		},
		{
			method: 'POST', path: '/leaving', async handle(_request, body) {
				calls.push(z.object({backendServerId: z.string()}).parse(body).backendServerId);
				const answer = await sendJson({url: `${backendServer.url}/lookups/last`});
				calls.push(String(answer.status));
				return {status: 204};
			},
		},
	], 0);
	const backendServer = await createBackendServerStandIn({backendServerId: 'b1', service: 's', agentUrl: agent.url});
	t.teardown(agent.close);
	t.deepEqual(await announced, {
		backendServerId: 'b1', service: 's', address: new URL(backendServer.url).host, slots: 8, connections: 64,
	});
	t.true(await backendServer.leave());
	t.deepEqual(calls, ['b1', '200']);
	t.like(backendServer.journal(), {started: 1, answered: 1, cutByOwnStop: 0});
});

test('a request in flight at the stop is counted as cut', async t => {
	const backendServer = await createBackendServerStandIn({serviceTimeMs: 60_000});
	const cut = t.throwsAsync(sendJson({url: `${backendServer.url}/lookups/a`, timeoutMs: 60_000}));
	while (backendServer.journal().runsByRequestId.a !== 1) {
		await sendJson({url: `${backendServer.url}/journal`});
	}

	await backendServer.close();
	await cut;
	t.like(backendServer.journal(), {started: 1, answered: 0, cutByOwnStop: 1});
});

test('a server whose agent is unreachable reports that it was not drained', async t => {
	const agent = await startJsonServer([], 0);
	await agent.close();
	const backendServer = await createBackendServerStandIn({agentUrl: agent.url});
	t.false(await backendServer.leave());
});

test('a task slows the backend server on its VM down according to its kind and its processor share', async t => {
	const worker = await createWorkerStandIn({capacity: {processorsMilli: 4000, memoryMb: 8192, accelerators: 0}, nowMs: () => 1000});
	t.teardown(worker.close);
	const relativeSpeedMilliOf = async (kind: string): Promise<number> => {
		const {body} = await sendJson({url: `${worker.url}/pressure/${kind}`});
		return z.object({relativeSpeedMilli: z.number()}).parse(body).relativeSpeedMilli;
	};

	t.is(await relativeSpeedMilliOf('service'), 1000);
	await sendJson({
		method: 'PUT',
		url: `${worker.url}/tasks/noisy`,
		body: {
			attempt: 1,
			limit: {processorsMilli: 2000, memoryMb: 1024, accelerators: 0},
			payload: JSON.stringify({kind: 'stress-run', workMs: 60_000}),
			checkpoint: '',
			latencyCritical: false,
			leaseDeadlineMonotonicMs: 100_000,
		},
	});
	t.is(await relativeSpeedMilliOf('service'), 571);
	t.true(await relativeSpeedMilliOf('curing-watch') > 571);
	await sendJson({method: 'POST', url: `${worker.url}/tasks/noisy/throttle`, body: {processorsShareMilli: 300}});
	t.is(await relativeSpeedMilliOf('service'), 816);
});
