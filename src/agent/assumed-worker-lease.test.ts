import test from 'ava';
import {agentSettingsSchema} from '../settings/agent-settings.js';
import type {WorkerTask} from '../worker/worker-api.js';
import {initialAgentState} from './agent-state.js';
import type {AgentEvent} from './agent-event.js';
import {reduceAgent} from './reduce-agent.js';

const workerHoldMs = 7000;
const workerTimeoutMs = 2500;

const settings = agentSettingsSchema.parse({
	role: 'agent', vmId: 'vm-1', failureDomain: 'a', rack: 'r1', requestAddress: '127.0.0.1:1', workerUrl: 'http://127.0.0.1:4',
	timings: {workerHoldMs, workerTimeoutMs, workerLeaseLimitMs: 9800},
});

const running: WorkerTask = {
	taskId: 't1', attempt: 1, phase: 'running', limit: {processorsMilli: 1, memoryMb: 1, accelerators: 0}, latencyCritical: false, checkpoint: '', reason: '',
};

const listOf = (workerIncarnation: string, tasks: readonly WorkerTask[], nowMs: number): AgentEvent => ({
	kind: 'worker-tasks', nowMs, requestedAtMs: nowMs, list: {
		workerIncarnation, capacity: {processorsMilli: 4000, memoryMb: 4096, accelerators: 0}, tasks, listedEnds: 'all',
	},
});

/** Applies events, and then failed polls until the worker counts as lost. Returns the time of that. */
function timeOfLoss(events: readonly AgentEvent[]): number {
	let state = initialAgentState(settings, 'i0');
	for (const event of events) {
		state = reduceAgent(state, event).state;
	}

	for (let nowMs = events.at(-1)!.nowMs + 10; ; nowMs += 10) {
		state = reduceAgent(state, {kind: 'worker-look-failed', nowMs, isConnectionRefused: false}).state;
		if (state.worker.lost) {
			return nowMs;
		}
	}
}

/** Guards against a second run of tasks that a new process of the worker runs under a lease that was meant for its former one. */
test('the tasks of a new worker process are not given up while it may hold a lease of its former one', t => {
	const lostAtMs = timeOfLoss([listOf('w0', [], 1000), listOf('w1', [running], 2000)]);
	t.true(lostAtMs > 2000 + 10_000 && lostAtMs <= 2000 + 10_020, `lost at ${lostAtMs}`);
	const lostIdleAtMs = timeOfLoss([listOf('w0', [], 1000), listOf('w1', [], 2000)]);
	t.true(lostIdleAtMs <= 2000 + workerTimeoutMs + 20, `lost at ${lostIdleAtMs}`);
});

/** Guards against a second run of tasks that an earlier agent has just renewed, when the list is the first that a new agent hears. */
test('an agent whose first event is a list with running tasks does not give them up before the lease of an earlier agent has expired', t => {
	const lostAtMs = timeOfLoss([listOf('w0', [running], 1000)]);
	t.true(lostAtMs > 1000 + workerHoldMs && lostAtMs <= 1000 + (workerHoldMs * 1.02) + 20, `lost at ${lostAtMs}`);
});
