import test from 'ava';
import {create} from '@bufbuild/protobuf';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {HeartbeatSchema, HelloSchema} from '../generated/arbutushinge/v1/agent_pb.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {type EntryEvent} from './entry-event.js';
import {initialEntryState} from './entry-state.js';
import {type EntryTransition, reduceEntry} from './reduce-entry.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'entry-1', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});
const {heartbeatTimeoutMs} = settings.timings;
const heartbeatMs = 1000;
const vmIds = ['vm-1', 'vm-2', 'vm-3'];

/** Starts an entry that hears the agents of three VMs. */
function startEntry() {
	let state = initialEntryState('own');
	let sequence = 0;
	const heartbeats = new Map<string, bigint>();

	function dispatch(event: EntryEvent, nowMs: number): EntryTransition {
		const transition = reduceEntry(state, event, {
			nowMs, wallTimeMs: nowMs, seed: 1, pendingAppends: 0,
		}, settings);
		state = transition.state;
		return transition;
	}

	function read(records: readonly ClusterRecord[], nowMs: number, incarnation = 'own'): EntryTransition {
		return dispatch({
			kind: 'log-page', readSentAtMs: nowMs, reachedTail: true, records: records.map(record => {
				sequence++;
				return {
					offset: sequence, envelope: {
						writer: incarnation, incarnation, sequence, record,
					},
				};
			}),
		}, nowMs);
	}

	function heartbeat(vmId: string, nowMs: number, isLeaving = false): void {
		const heartbeatSequence = (heartbeats.get(vmId) ?? 0n) + 1n;
		heartbeats.set(vmId, heartbeatSequence);
		dispatch({kind: 'agent-heartbeat', sessionId: vmId, heartbeat: create(HeartbeatSchema, {sequence: heartbeatSequence, leaving: isLeaving})}, nowMs);
	}

	function hello(vmId: string, nowMs: number): void {
		dispatch({kind: 'agent-hello', sessionId: vmId, hello: create(HelloSchema, {vmId, agentIncarnation: `${vmId}-agent`})}, nowMs);
	}

	read([{
		kind: 'entry-registered', entryId: 'entry-1', failureDomain: 'a', operatorAddress: '127.0.0.1:2',
	}], 0);
	for (const vmId of vmIds) {
		read([{
			kind: 'vm-registered', vmId, agentIncarnation: `${vmId}-agent`, workerIncarnation: `${vmId}-worker`, failureDomain: 'a', rack: vmId, requestAddress: '127.0.0.1:6',
			capacity: {processorsMilli: 16_000, memoryMb: 60_000, accelerators: 0}, runningTasks: [],
		}], 0);
		hello(vmId, 0);
	}

	return {
		dispatch, read, heartbeat, hello,
		/** Lets time pass with heartbeats of the given VMs. */
		pass(fromMs: number, toMs: number, heardVmIds: readonly string[]) {
			for (let nowMs = fromMs; nowMs <= toMs; nowMs += 250) {
				for (const vmId of nowMs % heartbeatMs === 0 ? heardVmIds : []) {
					heartbeat(vmId, nowMs);
				}

				read([], nowMs);
				dispatch({kind: 'tick'}, nowMs);
			}
		},
		/** Submits more tasks than two VMs can hold, and returns the VMs that they are placed on. */
		placedOn(nowMs: number): readonly string[] {
			const tasks = Array.from({length: 24}, (_, index) => ({
				taskId: `task-${nowMs}-${index}`, demand: {processorsMilli: 1500, memoryMb: 512, accelerators: 0}, declaredRunTimeMs: 1000, payload: '',
			}));
			const {effects} = read([{
				kind: 'job-submitted', job: {
					jobId: `job-${nowMs}`, teamId: 'team', workClass: 'batch', priority: 'normal', tasks,
				},
			}], nowMs);
			const claimed = effects.flatMap(effect => effect.kind === 'append-record' && effect.record.kind === 'task-claimed' ? [effect.record.vmId] : []);
			return [...new Set(claimed)].toSorted();
		},
	};
}

test('no task is claimed for a VM whose agent has just stopped, which would hold it until the leases have expired', t => {
	const stopping = startEntry();
	stopping.pass(250, 5000, vmIds);
	stopping.heartbeat('vm-2', 5100, true);
	t.deepEqual(stopping.placedOn(5110), ['vm-1', 'vm-3']);
	const stopped = startEntry();
	stopped.pass(250, 5000, vmIds);
	stopped.heartbeat('vm-2', 5100, true);
	stopped.dispatch({kind: 'agent-session-closed', sessionId: 'vm-2'}, 5120);
	t.deepEqual(stopped.placedOn(5130), ['vm-1', 'vm-3']);
});

test('no task is claimed for a VM whose agent was killed or has missed two heartbeats', t => {
	const killed = startEntry();
	killed.pass(250, 5000, vmIds);
	killed.dispatch({kind: 'agent-session-closed', sessionId: 'vm-2'}, 5100);
	t.deepEqual(killed.placedOn(5200), ['vm-1', 'vm-3']);
	const silent = startEntry();
	silent.pass(250, 5000, vmIds);
	silent.pass(5250, 5000 + (2 * heartbeatMs), ['vm-1', 'vm-3']);
	t.deepEqual(silent.placedOn(5000 + (2 * heartbeatMs) + 100), ['vm-1', 'vm-3']);
});

test('no task is claimed for a VM that no entry hears, though it is not revoked yet', t => {
	const entry = startEntry();
	entry.pass(250, 5000, vmIds);
	entry.pass(5250, 5000 + heartbeatTimeoutMs, ['vm-1', 'vm-3']);
	entry.read([{kind: 'vm-unreachable', vmId: 'vm-2', agentIncarnation: 'vm-2-agent'}], 5000 + heartbeatTimeoutMs + 250);
	entry.pass(5500 + heartbeatTimeoutMs, 6500 + heartbeatTimeoutMs, ['vm-1', 'vm-3']);
	t.deepEqual(entry.placedOn(6600 + heartbeatTimeoutMs), ['vm-1', 'vm-3']);
});

test('a VM takes tasks again as soon as its agent is back', t => {
	const entry = startEntry();
	entry.pass(250, 5000, vmIds);
	entry.dispatch({kind: 'agent-session-closed', sessionId: 'vm-2'}, 5100);
	entry.hello('vm-2', 5400);
	t.deepEqual(entry.placedOn(5500), vmIds);
});

test('an entry that loses all its streams does not stop the placement, since others deliver the starts', t => {
	const entry = startEntry();
	entry.pass(250, 5000, vmIds);
	for (const vmId of vmIds) {
		entry.dispatch({kind: 'agent-session-closed', sessionId: vmId}, 5100);
	}

	t.deepEqual(entry.placedOn(5200), vmIds);
});

test('a VM that only other entries hear is used when they have had time to say so', t => {
	const entry = startEntry();
	entry.read(vmIds.map(vmId => ({kind: 'vm-reachable', vmId, agentIncarnation: `${vmId}-agent`})), 250, 'other');
	entry.pass(500, 5000, vmIds);
	entry.dispatch({kind: 'agent-session-closed', sessionId: 'vm-2'}, 5000);
	entry.pass(5250, 6500 + heartbeatTimeoutMs, ['vm-1', 'vm-3']);
	t.deepEqual(entry.placedOn(6600 + heartbeatTimeoutMs), vmIds);
});
