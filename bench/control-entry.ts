import {setMaxListeners} from 'node:events';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {connect as connectTcp, type Socket} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {create} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createGrpcTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {Map as immutableMap} from 'immutable';
import {stringify} from 'yaml';
import {findFreeAddresses} from '../demo/free-addresses.js';
import {createProcessRunner, type RunnerProcess, waitUntil} from '../demo/process-runner.js';
import {encodeClusterState} from '../src/cluster/cluster-state-codec.js';
import {type ClusterState} from '../src/cluster/cluster-state.js';
import {
	AgentMessageSchema, AgentSession, type AgentMessage, TaskEndedSchema, type TaskEvent, TaskEventSchema, TaskEventsSchema, TaskOutcome, TaskStartedSchema,
} from '../src/generated/arbutushinge/v1/agent_pb.js';
import {createMessageQueue} from '../src/entry/message-queue.js';
import {createHttpLogService} from '../src/log/http-log-service.js';
import {createSnapshotStore} from '../src/log/snapshot-store.js';
import {confirmationSchema, planEnvelopeSchema} from '../src/operator/operator-api.js';
import {fetchJson, sendJson} from '../stand-ins/json-client.js';
import {heartbeatOf, helloOf} from './agent-messages.js';
import {buildFleet, designSize, shareOfDesignSize} from './fleet.js';
import {percentile} from './percentile.js';
import {printFigures} from './print-figures.js';

const agentCounts = [50, 200, 800, 1400];
const heartbeatMs = 1000;
const settleMs = 4000;
const steadyMs = 5000;
const urgentTasks = 20;
const fillerRecords = 5000;
const token = 'bench-operator-token';
/** Kernel clock ticks per second, the unit of processor time in /proc. */
const clockTicksPerSecond = 100;

type Fleet = Readonly<{
	bytes: () => number;
	/** Configuration offset that each agent sent in its newest heartbeat. */
	reportedOffsets: readonly number[];
	startedAtMs: ReadonlyMap<string, number>;
	/** Streams that ended before the fleet was closed. */
	brokenStreams: () => number;
	close: () => Promise<void>;
}>;

/** Opens one connection and one stream for each agent, all from this process. */
function openFleet(address: string, count: number, cluster: ClusterState): Fleet {
	const size = shareOfDesignSize(count / designSize.vms);
	const sockets: Socket[] = [];
	const reportedOffsets = Array.from({length: count}, () => -1);
	const startedAtMs = new Map<string, number>();
	const closing = new AbortController();
	setMaxListeners(0, closing.signal);
	const timers: NodeJS.Timeout[] = [];
	let brokenStreamCount = 0;
	let nextEventId = 1n;

	async function runAgent(index: number): Promise<void> {
		const queue = createMessageQueue<AgentMessage>(4096);
		const taskIds = cluster.vms.get(`vm-${index}`)?.taskIds ?? [];
		let appliedOffset = -1;
		let sequence = 0;
		const sessionManager = new Http2SessionManager(`http://${address}`, {}, {
			createConnection() {
				const [host, port] = address.split(':');
				const socket = connectTcp(Number(port), host);
				sockets.push(socket);
				return socket;
			},
		});
		const client = createClient(AgentSession, createGrpcTransport({baseUrl: `http://${address}`, sessionManager}));
		const sendTaskEvent = (taskId: string, attempt: number, outcome: TaskEvent['outcome']): void => {
			nextEventId++;
			const event = create(TaskEventSchema, {
				eventId: nextEventId, taskId, attempt, outcome,
			});
			queue.push(create(AgentMessageSchema, {message: {case: 'taskEvents', value: create(TaskEventsSchema, {events: [event]})}}));
		};

		queue.push(create(AgentMessageSchema, {message: {case: 'hello', value: helloOf(index, size, taskIds)}}));
		timers.push(setInterval(() => {
			sequence++;
			reportedOffsets[index] = appliedOffset;
			queue.push(create(AgentMessageSchema, {
				message: {
					case: 'heartbeat', value: heartbeatOf({
						index, sequence, configurationOffset: appliedOffset, taskIds,
					}),
				},
			}));
		}, heartbeatMs));
		try {
			for await (const {message} of client.connect(queue, {signal: closing.signal})) {
				if (message.case === 'configuration') {
					appliedOffset = Math.max(appliedOffset, Number(message.value.offset));
				} else if (message.case === 'startTask' && !startedAtMs.has(message.value.taskId)) {
					const {taskId, attempt} = message.value;
					startedAtMs.set(taskId, performance.now());
					sendTaskEvent(taskId, attempt, {case: 'started', value: create(TaskStartedSchema)});
					setTimeout(() => {
						sendTaskEvent(taskId, attempt, {case: 'ended', value: create(TaskEndedSchema, {outcome: TaskOutcome.FINISHED})});
					}, 200);
				}
			}
		} catch {
			// Either the fleet was closed, or the stream is counted as broken below.
		}

		queue.close();
		sessionManager.abort();
		if (!closing.signal.aborted) {
			brokenStreamCount++;
		}
	}

	async function startAgentWithOffset(index: number): Promise<void> {
		await delay((heartbeatMs * index) / count);
		await runAgent(index);
	}

	const running = Promise.all(Array.from({length: count}, async (_, index) => startAgentWithOffset(index)));
	return {
		bytes: () => sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0),
		reportedOffsets,
		startedAtMs,
		brokenStreams: () => brokenStreamCount,
		async close() {
			for (const timer of timers) {
				clearInterval(timer);
			}

			closing.abort();
			await running;
		},
	};
}

async function processorMsOf({pid}: RunnerProcess): Promise<number> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return ((Number(fields[11]) + Number(fields[12])) * 1000) / clockTicksPerSecond;
}

async function residentMbOf({pid}: RunnerProcess): Promise<number> {
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	return Number(/^VmRSS:\s+(\d+)/mv.exec(status)?.[1] ?? Number.NaN) / 1024;
}

type Addresses = Readonly<{caller: string; operator: string}>;

/** Changes the weights and returns the seconds from the confirmation until every agent has reported the offset of the change. */
async function changeConfiguration({operator}: Addresses, fleet: Fleet, batchThroughputMilli: number): Promise<number> {
	const headers = {authorization: `Bearer ${token}`};
	const intent = {
		kind: 'set-weights', weights: {
			tailLatencyMilli: 1000, batchThroughputMilli, evictionsMilli: 1000, floodMilli: 1000,
		},
	};
	const plan = await fetchJson(planEnvelopeSchema, {
		method: 'POST', url: `http://${operator}/plans`, body: {intent}, headers,
	});
	const sentAtMs = performance.now();
	const confirmed = await fetchJson(confirmationSchema, {
		method: 'POST', url: `http://${operator}/plans/confirm`, body: plan, headers,
	});
	if (confirmed.result !== 'accepted') {
		throw new Error(`the change was ${confirmed.result}: ${confirmed.reason}`);
	}

	return waitUntil('every agent has reported the change', 15_000, () => fleet.reportedOffsets.every(offset => offset >= confirmed.offset)
		? (performance.now() - sentAtMs) / 1000
		: undefined);
}

/** Submits urgent tasks one after another and returns the milliseconds from each submission to the start command at an agent. */
async function submitUrgent({caller}: Addresses, fleet: Fleet): Promise<readonly number[]> {
	const delaysMs: number[] = [];
	for (let index = 0; index < urgentTasks; index++) {
		const taskId = `urgent-${index}`;
		const sentAtMs = performance.now();
		await sendJson({
			method: 'POST', url: `http://${caller}/jobs`, body: {
				jobId: taskId,
				teamId: 'team-0',
				workClass: 'batch',
				priority: 'urgent',
				tasks: [{
					taskId, demand: {processorsMilli: 500, memoryMb: 256, accelerators: 0}, declaredRunTimeMs: 200, payload: '',
				}],
			},
		});
		delaysMs.push(await waitUntil(`${taskId} is started`, 10_000, () => fleet.startedAtMs.get(taskId)) - sentAtMs);
	}

	return delaysMs;
}

async function measure(count: number, directory: string): Promise<void> {
	const runner = createProcessRunner();
	const {cluster: built} = buildFleet(shareOfDesignSize(count / designSize.vms), ['earlier-entry']);
	// Removes the entries that built the fleet, so that the measured entry does not wait for them.
	const cluster: ClusterState = {...built, entries: immutableMap(), sequences: immutableMap()};
	try {
		const [caller = '', operator = '', agent = ''] = await findFreeAddresses(3);
		const log = runner.start('log', ['stand-ins/main.ts', 'log-service']);
		const [, logServiceUrl = ''] = await log.waitForLine(/^ready url=(\S+)$/v, 20_000);
		const logService = createHttpLogService({baseUrl: logServiceUrl, timeoutMs: 5000});
		const snapshots = createSnapshotStore({service: logService, stream: 'arbutushinge-snapshots'});
		const written = await snapshots.write({snapshotId: 'fleet', coversOffset: cluster.offset, value: encodeClusterState(cluster)});
		// Fills the log up to the snapshot's offset, so that later records have higher offsets than those of the fleet.
		for (let offset = 0; offset <= cluster.offset; offset += fillerRecords) {
			await logService.append('arbutushinge', Array.from({length: Math.min(fillerRecords, cluster.offset + 1 - offset)}, () => '{}'));
		}

		if (written.isErr) {
			throw new Error(written.error.message);
		}

		const tokenFile = path.join(directory, 'token');
		const settingsFile = path.join(directory, `entry-${count}.yaml`);
		await writeFile(tokenFile, `${token}\n`);
		await writeFile(settingsFile, stringify({
			role: 'entry',
			entryId: 'entry-1',
			failureDomain: 'domain-0',
			callerAddress: caller,
			operatorAddress: operator,
			agentAddress: agent,
			operatorTokenFile: tokenFile,
			logServiceUrl,
			logLevel: 'warn',
		}));
		const startedAtMs = performance.now();
		const entry = runner.start('entry', ['src/main.ts', 'entry', '--settings', settingsFile]);
		await waitUntil('the entry is ready', 20_000, async () => {
			try {
				const answer = await sendJson({url: `http://${caller}/ready`, timeoutMs: 1000});
				return answer.status === 200 ? true : undefined;
			} catch {
				return undefined;
			}
		});
		const readySeconds = (performance.now() - startedAtMs) / 1000;
		const fleet = openFleet(agent, count, cluster);
		await delay(settleMs);
		const before = {processorMs: await processorMsOf(entry), bytes: fleet.bytes(), atMs: performance.now()};
		await delay(steadyMs);
		const seconds = (performance.now() - before.atMs) / 1000;
		const processorMsPerSecond = (await processorMsOf(entry) - before.processorMs) / seconds;
		const bytesPerSecondPerAgent = (fleet.bytes() - before.bytes) / seconds / count;
		const addresses = {caller, operator};
		const changeInForceSeconds = await changeConfiguration(addresses, fleet, 1100 + count);
		const urgentMs = await submitUrgent(addresses, fleet);
		printFigures({
			bench: 'control-entry',
			agents: count,
			tasks: cluster.tasks.size,
			residentMb: await residentMbOf(entry),
			processorMsPerSecond,
			bytesPerSecondPerAgent,
			changeInForceSeconds,
			urgentMedianMs: percentile(urgentMs, 0.5),
			urgentMaxMs: Math.max(...urgentMs),
			readySeconds,
			brokenStreams: fleet.brokenStreams(),
			entryWarnings: entry.lines().length,
		});
		await fleet.close();
	} finally {
		await runner.killAll();
	}
}

/**
Measures one entry process with a log service and up to 1,400 agent streams on loopback, in less than 90 s.

@example
await runBench();
*/
export async function runBench(): Promise<void> {
	const directory = await mkdtemp(path.join(tmpdir(), 'arbutushinge-bench-'));
	try {
		for (const count of agentCounts) {
			await measure(count, directory);
		}
	} finally {
		await rm(directory, {recursive: true, force: true});
	}
}
