import {once} from 'node:events';
import {createServer as createHttpServer} from 'node:http';
import {createServer as createHttp2Server} from 'node:http2';
import type {Server} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {create} from '@bufbuild/protobuf';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import test from 'ava';
import {Result} from 'true-myth';
import {request} from 'undici';
import {
	AgentSession, EntryMessageSchema, type AgentMessage, type EntryMessage,
} from '../generated/arbutushinge/v1/agent_pb.js';
import type {WorkerTask} from '../worker/worker-api.js';
import {agentSettingsSchema} from '../settings/agent-settings.js';
import {startAgent} from './agent-process.js';
import type {Worker} from './worker.js';

const nothing = (): undefined => undefined;

/** Returns the port of a listening server. */
function portOf(server: Pick<Server, 'address'>): number {
	const address = server.address();
	return typeof address === 'object' && address !== null ? address.port : 0;
}

/** Opens an entry that grants every lease, starts one task at the first heartbeat and acknowledges every event. */
async function openEntry(received: AgentMessage[]) {
	const connections = new Set<{destroy: () => void}>();
	async function * connect(messages: AsyncIterable<AgentMessage>): AsyncGenerator<EntryMessage> {
		let incarnation = '';
		let isStarted = false;
		const reply = (message: EntryMessage['message']): EntryMessage => {
			const envelope = create(EntryMessageSchema);
			envelope.message = message;
			return envelope;
		};

		for await (const agentMessage of messages) {
			received.push(agentMessage);
			const {message} = agentMessage;
			if (message.case === 'hello') {
				incarnation = message.value.agentIncarnation;
			}

			if (message.case === 'taskEvents') {
				yield reply(create(EntryMessageSchema, {message: {case: 'acknowledgeTaskEvents', value: {eventIds: message.value.events.map(event => event.eventId)}}}).message);
			}

			if (message.case === 'heartbeat') {
				yield reply(create(EntryMessageSchema, {message: {case: 'leaseGrant', value: {heartbeatSequence: message.value.sequence, durationMs: 15_000}}}).message);
				if (!isStarted) {
					isStarted = true;
					yield reply(create(EntryMessageSchema, {message: {case: 'configuration', value: {offset: 0n}}}).message);
					yield reply(create(EntryMessageSchema, {
						message: {
							case: 'startTask', value: {
								taskId: 't1', attempt: 1, agentIncarnation: incarnation, claimOffset: 9n, demand: {processorsMilli: 1000, memoryMb: 64}, payload: '{}',
							},
						},
					}).message);
				}
			}
		}
	}

	const server = createHttp2Server(connectNodeAdapter({
		routes(router) {
			router.service(AgentSession, {connect});
		},
	}));
	server.on('connection', (socket: {destroy: () => void}) => {
		connections.add(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		port: portOf(server),
		close() {
			for (const connection of connections) {
				connection.destroy();
			}

			server.close();
		},
	};
}

/** Returns a worker that holds its tasks in memory. */
function memoryWorker() {
	const tasks = new Map<string, WorkerTask>();
	const calls: string[] = [];
	const end = (taskId: string, phase: WorkerTask['phase']): Result<unknown, never> => {
		calls.push(`${phase} ${taskId}`);
		const task = tasks.get(taskId);
		if (task !== undefined) {
			tasks.set(taskId, {...task, phase, checkpoint: 'c1'});
		}

		return Result.ok(undefined);
	};

	const worker: Worker = {
		async startTask(taskId, {attempt, limit, latencyCritical}) {
			calls.push(`start ${taskId}`);
			tasks.set(taskId, {
				taskId, attempt, limit, latencyCritical, phase: 'running', checkpoint: '', reason: '',
			});
			return Result.ok(undefined);
		},
		listTasks: async () => Result.ok({
			workerIncarnation: 'w0', capacity: {processorsMilli: 4000, memoryMb: 4096, accelerators: 0}, tasks: [...tasks.values()], listedEnds: 'all' as const,
		}),
		async deleteTask(taskId) {
			calls.push(`delete ${taskId}`);
			tasks.delete(taskId);
			return Result.ok(undefined);
		},
		setLease: async () => Result.ok(undefined),
		checkpointTask: async taskId => end(taskId, 'checkpointed'),
		throttleTask: async () => Result.ok(undefined),
		stopTask: async taskId => end(taskId, 'stopped'),
		readUsage: async () => Result.ok({
			measuredAtMonotonicMs: 0, processorsUsedMilli: 0, memoryUsedMb: 0, tasks: [],
		}),
	};
	return {worker, calls};
}

async function until(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await delay(5);
	}
}

/** Guards against a break anywhere between the stream, the worker, the backend server and the graceful stop. */
test('an agent registers, runs a task, serves a request and checkpoints its work at a stop', async t => {
	const received: AgentMessage[] = [];
	const entry = await openEntry(received);
	const backendServer = createHttpServer((_, response) => {
		response.end('{"loaves":3}');
	});
	backendServer.listen(0, '127.0.0.1');
	await once(backendServer, 'listening');
	const reserved = createHttpServer();
	reserved.listen(0, '127.0.0.1');
	await once(reserved, 'listening');
	const requestAddress = `127.0.0.1:${portOf(reserved)}`;
	reserved.close();
	await once(reserved, 'close');

	const {worker, calls} = memoryWorker();
	const agent = await startAgent({
		settings: agentSettingsSchema.parse({
			role: 'agent', vmId: 'vm-1', failureDomain: 'a', rack: 'r1', requestAddress, entryAddresses: [`127.0.0.1:${entry.port}`], workerUrl: 'http://127.0.0.1:1', timings: {heartbeatMs: 50, workerPollMs: 50},
		}),
		eventLog: {
			debug: nothing, info: nothing, warn: nothing, error: nothing,
		},
		metrics: {
			increment: nothing, gauge: nothing, timingMs: nothing, close: async () => undefined,
		},
		timeline: {record: nothing, read: () => []},
		worker,
	});
	await until(() => received.some(({message}) => message.case === 'taskEvents' && message.value.events.some(event => event.outcome.case === 'started')));
	t.is(received[0]?.message.case, 'hello');

	const announced = await request(`http://${requestAddress}/announce`, {
		method: 'POST',
		body: JSON.stringify({
			backendServerId: 'b1', service: 'loaf-ordering', address: `127.0.0.1:${portOf(backendServer)}`, slots: 8, connections: 64,
		}),
	});
	t.is(announced.statusCode, 200);
	const answer = await request(`http://${requestAddress}/requests/loaf-ordering/loaves?size=2`, {method: 'POST', headers: {'x-arbutushinge-request-id': 'r1', 'x-arbutushinge-backend-server': 'b1', 'x-arbutushinge-method': 'GET'}});
	t.is(answer.headers['x-arbutushinge-outcome'], 'done');
	t.deepEqual(await answer.body.json(), {loaves: 3});
	await until(() => received.some(({message}) => message.case === 'heartbeat' && message.value.backendServers.some(report => report.backendServerId === 'b1')));

	t.true(agent.isOk);
	if (agent.isOk) {
		await agent.value.stop();
	}

	t.true(received.some(({message}) => message.case === 'heartbeat' && message.value.leaving));
	t.true(received.some(({message}) => message.case === 'taskEvents' && message.value.events.some(event => event.outcome.case === 'checkpointed' && event.outcome.value.checkpoint === 'c1')));
	t.deepEqual(calls.filter(call => call.startsWith('start')), ['start t1']);
	entry.close();
	backendServer.closeAllConnections();
	backendServer.close();
});

test('an agent that is stopped within a second of its worker\'s end registers without the worker before it goes', async t => {
	const received: AgentMessage[] = [];
	const entry = await openEntry(received);
	t.teardown(entry.close);
	const {worker} = memoryWorker();
	let hasEnded = false;
	const agent = await startAgent({
		settings: agentSettingsSchema.parse({
			role: 'agent', vmId: 'vm-1', failureDomain: 'a', rack: 'r1', requestAddress: '127.0.0.1:0', entryAddresses: [`127.0.0.1:${entry.port}`], workerUrl: 'http://127.0.0.1:1', tasksAtStop: 'keep', timings: {heartbeatMs: 50, workerPollMs: 50},
		}),
		eventLog: {
			debug: nothing, info: nothing, warn: nothing, error: nothing,
		},
		metrics: {
			increment: nothing, gauge: nothing, timingMs: nothing, close: async () => undefined,
		},
		timeline: {record: nothing, read: () => []},
		worker: {
			...worker,
			listTasks: async () => hasEnded ? Result.err({kind: 'worker-gone', message: 'refused', remedy: ''}) : worker.listTasks(),
		},
	});
	await until(() => received.some(({message}) => message.case === 'taskEvents' && message.value.events.some(event => event.outcome.case === 'started')));
	hasEnded = true;
	await until(() => received.some(({message}) => message.case === 'heartbeat' && message.value.workerSilent));
	if (agent.isOk) {
		await agent.value.stop();
	}

	const hellos = received.flatMap(({message}) => message.case === 'hello' ? [message.value] : []);
	t.like(hellos.at(-1), {workerLost: true, runningTasks: []});
});
