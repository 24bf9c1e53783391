import {create} from '@bufbuild/protobuf';
import test from 'ava';
import {EntryMessageSchema} from '../generated/arbutushinge/v1/agent_pb.js';
import {agentSettingsSchema} from '../settings/agent-settings.js';
import type {WorkerTask} from '../worker/worker-api.js';
import type {AgentEvent, AgentEventKind, AgentEventPayloads} from './agent-event.js';
import {initialAgentState} from './agent-state.js';
import {reduceAgent} from './reduce-agent.js';

const entryAddress = '127.0.0.1:2';

const settings = agentSettingsSchema.parse({
	role: 'agent', vmId: 'vm-1', failureDomain: 'a', rack: 'r1', requestAddress: '127.0.0.1:1', entryAddresses: [entryAddress], workerUrl: 'http://127.0.0.1:4', tasksAtStop: 'keep', timings: {workerHoldMs: 7000, workerTimeoutMs: 2500},
});

const running: WorkerTask = {
	taskId: 't1', attempt: 1, phase: 'running', limit: {processorsMilli: 1000, memoryMb: 64, accelerators: 0}, latencyCritical: false, checkpoint: '', reason: '',
};

/** Sends events to an agent that has registered and holds a lease, and records the incarnations that register and when its stop finishes. */
function startAgent(tasks: readonly WorkerTask[]) {
	let state = initialAgentState(settings, 'i0');
	let nowMs = 1000;
	let finishedAtMs: number | undefined;
	let incarnations = 0;

	function send<Kind extends AgentEventKind>(kind: Kind, payload: AgentEventPayloads[Kind]): void {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The parameters keep kind and payload together.
		const {state: next, effects} = reduceAgent(state, {kind, nowMs, ...payload} as AgentEvent);
		state = next;
		for (const effect of effects) {
			if (effect.kind === 'create-incarnation') {
				incarnations++;
				send('incarnation-created', {incarnation: `i${incarnations}`});
			}

			if (effect.kind === 'finish-stop') {
				finishedAtMs ??= nowMs;
			}
		}
	}

	const agent = {
		list(listed = tasks, leaving = false): void {
			send('worker-tasks', {
				requestedAtMs: nowMs, list: {
					workerIncarnation: 'w0', capacity: {processorsMilli: 4000, memoryMb: 4096, accelerators: 0}, tasks: listed, listedEnds: 'all', leaving,
				},
			});
		},
		failPoll(isConnectionRefused: boolean): void {
			send('worker-look-failed', {isConnectionRefused});
		},
		/** Grants the lease that an entry grants once it has read the registration. */
		grant(): void {
			const {message} = create(EntryMessageSchema, {message: {case: 'leaseGrant', value: {heartbeatSequence: BigInt(state.heartbeatSequence), durationMs: 9000}}});
			send('entry-message', {entryAddress, message});
		},
		acknowledge(): void {
			const {message} = create(EntryMessageSchema, {message: {case: 'acknowledgeTaskEvents', value: {eventIds: [...state.events.pending.keys()].map(BigInt)}}});
			send('entry-message', {entryAddress, message});
		},
		stop(): number {
			send('stop-requested', {});
			return nowMs;
		},
		/** Repeats an action every 250 ms for a time, or until the stop finishes. */
		pass(durationMs: number, action: () => void = () => undefined): void {
			const endMs = nowMs + durationMs;
			while (nowMs < endMs && finishedAtMs === undefined) {
				nowMs += 250;
				send('tick', {latencies: []});
				action();
			}
		},
		incarnation: () => state.incarnation,
		finishedAtMs: () => finishedAtMs,
	};
	send('entry-connected', {entryAddress});
	agent.list();
	agent.grant();
	return agent;
}

test('an agent that is stopped right after its worker has refused a connection does not leave before the end of the worker is in the log', t => {
	const agent = startAgent([running]);
	agent.failPoll(true);
	agent.stop();
	agent.pass(1500, () => {
		agent.failPoll(true);
	});
	t.is(agent.incarnation(), 'i1');
	t.is(agent.finishedAtMs(), undefined);
	agent.grant();
	t.not(agent.finishedAtMs(), undefined);
});

test('an agent that is stopped while its worker leaves reports the last ends before it goes', t => {
	const agent = startAgent([running]);
	agent.list([running], true);
	agent.stop();
	agent.pass(3500, () => {
		agent.list([running], true);
	});
	t.is(agent.finishedAtMs(), undefined);
	agent.list([{...running, phase: 'stopped'}], true);
	t.is(agent.finishedAtMs(), undefined);
	agent.acknowledge();
	t.not(agent.finishedAtMs(), undefined);
});

test('an agent whose worker answers, or has nothing to lose, stops at once', t => {
	const answering = startAgent([running]);
	const answeringStoppedAtMs = answering.stop();
	t.is(answering.finishedAtMs(), answeringStoppedAtMs);

	const idle = startAgent([]);
	idle.list([], true);
	idle.failPoll(true);
	const idleStoppedAtMs = idle.stop();
	t.is(idle.finishedAtMs(), idleStoppedAtMs);
});

test('an agent whose worker answers again after a failed poll stops at once', t => {
	const agent = startAgent([running]);
	agent.failPoll(false);
	agent.stop();
	t.is(agent.finishedAtMs(), undefined);
	agent.list();
	t.not(agent.finishedAtMs(), undefined);
});

test('a stop without a proof that the worker has ended frees no task and ends before the process is killed', t => {
	const agent = startAgent([running]);
	agent.failPoll(false);
	const stoppedAtMs = agent.stop();
	agent.pass(10_000, () => {
		agent.failPoll(false);
	});
	t.is(agent.incarnation(), 'i0');
	t.is(agent.finishedAtMs(), stoppedAtMs + settings.timings.workerEndTimeoutMs);
});
