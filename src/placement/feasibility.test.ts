import test from 'ava';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {decodeClusterState, encodeClusterState} from '../cluster/cluster-state-codec.js';
import {MAX_VM_OFFERS} from '../cluster/state-limits.js';
import {applyRecord, emptyClusterState} from '../cluster/reduce-cluster.js';
import {type EntryContext} from '../entry/entry-context.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {describeMissingCapacity} from './feasibility.js';
import {placeQueuedTasks} from './place-queued-tasks.js';
import {initialPlacement, type PlacementState} from './placement-state.js';

const vm = (vmId: string, incarnation: string, labels: readonly string[]): ClusterRecord => ({
	kind: 'vm-registered', vmId, agentIncarnation: incarnation, workerIncarnation: incarnation, failureDomain: 'a', rack: 'r', requestAddress: '', capacity: {processorsMilli: 8000, memoryMb: 100, accelerators: 0}, runningTasks: [], service: 's', labels,
});

const start: readonly ClusterRecord[] = [
	{
		kind: 'entry-registered', entryId: 'e', failureDomain: 'a', operatorAddress: '',
	},
	vm('plain', 'p1', []),
];

/** One task that needs an oven. */
const job: ClusterRecord = {
	kind: 'job-submitted', job: {
		jobId: 'job', teamId: 't', workClass: 'batch', priority: 'normal', tasks: [], workflow: {
			queue: 'q', service: 's', payload: '', maxFailures: 2, steps: [{
				count: 1, demand: {processorsMilli: 1000, memoryMb: 1, accelerators: 0}, declaredRunTimeMs: 100, requiredLabel: 'oven',
			}],
		},
	},
};

function stateAfter(records: readonly ClusterRecord[]): ClusterState {
	let state = emptyClusterState;
	for (const [offset, record] of records.entries()) {
		state = applyRecord(state, {
			offset, envelope: {
				writer: 'e', incarnation: 'i', sequence: offset + 1, record,
			},
		});
	}

	return state;
}

const missingOf = (cluster: ClusterState) => describeMissingCapacity(cluster.tasks.get('job.0.0.0')!, cluster);

test('a job that needs a label that no VM ever had is refused', t => {
	t.is(missingOf(stateAfter([...start, job])), 'needs label oven, which no VM has');
});

test('a job that needs a label is not refused after the loss of all VMs with it', t => {
	const lost = ['oven-1', 'oven-2'].flatMap((vmId): readonly ClusterRecord[] => [
		{kind: 'vm-unreachable', vmId, agentIncarnation: vmId},
		{
			kind: 'vm-revoked', vmId, agentIncarnation: vmId, reason: 'no entry hears it',
		},
		{kind: 'vm-lease-expired', vmId, agentIncarnation: vmId},
	]);
	const cluster = stateAfter([...start, vm('oven-1', 'oven-1', ['oven']), vm('oven-2', 'oven-2', ['oven']), ...lost, job]);
	t.is(cluster.expiredVmIds.size, 2);
	t.is(missingOf(cluster), undefined);
});

test('a VM that registers again with another worker refuses no job that needs what the one before had', t => {
	t.is(missingOf(stateAfter([...start, vm('oven-1', 'o1', ['oven']), vm('oven-1', 'o2', []), job])), undefined);
});

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});

/** Runs a pass every 100 ms and returns the last state with the kinds of the records written. */
function placeFor(durationMs: number, before: PlacementState, context: EntryContext): Readonly<{state: PlacementState; kinds: readonly string[]}> {
	let state = before;
	const kinds = new Set<string>();
	for (let {nowMs} = context; nowMs <= context.nowMs + durationMs; nowMs += 100) {
		const pass = placeQueuedTasks(state, {
			...context, nowMs, wallTimeMs: nowMs, tailConfirmedSentAtMs: context.tailConfirmedSentAtMs + nowMs - context.nowMs,
		});
		state = pass.state;
		for (const effect of pass.effects) {
			kinds.add(effect.kind === 'append-record' ? effect.record.kind : effect.kind);
		}
	}

	return {state, kinds: [...kinds]};
}

const contextOf = (cluster: ClusterState, nowMs: number): EntryContext => ({
	cluster, settings, incarnation: 'i', nowMs, wallTimeMs: nowMs, tailConfirmedSentAtMs: nowMs, pendingAppends: 0, seed: 1,
});

test('while a site starts, no job is refused by the VMs that have registered first', t => {
	const first = placeFor(3000, initialPlacement, contextOf(stateAfter([...start, job]), 100_000));
	t.deepEqual(first.kinds, []);
	const second = placeFor(3000, first.state, contextOf(stateAfter([...start, job, vm('plain-2', 'p2', [])]), 103_100));
	t.deepEqual(second.kinds, []);
	const third = placeFor(3000, second.state, contextOf(stateAfter([...start, job, vm('plain-2', 'p2', []), vm('oven-1', 'o1', ['oven'])]), 106_200));
	t.deepEqual(third.kinds, ['task-claimed']);
});

test('a job that no VM of a settled fleet could run is refused after some seconds', t => {
	t.deepEqual(placeFor(6000, initialPlacement, contextOf(stateAfter([...start, job]), 100_000)).kinds, ['task-unplaceable']);
});

test('the time in which the log cannot be read does not count towards the refusal of a job', t => {
	const context = contextOf(stateAfter([...start, job]), 100_000);
	const seen = placeFor(1000, initialPlacement, context);
	const blind = placeFor(6000, seen.state, {...context, nowMs: 101_100, tailConfirmedSentAtMs: 90_000});
	t.deepEqual(placeFor(1000, blind.state, contextOf(context.cluster, 107_200)).kinds, []);
});

test('the offers of former workers are bounded, and the newest stay', t => {
	const workers = Array.from({length: MAX_VM_OFFERS + 50}, (_, index) => vm('one', `a${index}`, [`kind-${index}`]));
	const {vmOffers} = stateAfter([...start, ...workers]);
	t.is(vmOffers.size, MAX_VM_OFFERS);
	t.deepEqual(vmOffers.last()?.labels, [`kind-${workers.length - 1}`]);
});

test('a worker that registers again and again with what is known changes no offer', t => {
	const once = stateAfter([...start, vm('oven-1', 'o1', ['oven'])]).vmOffers;
	const again = stateAfter([...start, vm('oven-1', 'o1', ['oven']), vm('plain', 'p2', []), vm('oven-1', 'o2', ['oven'])]).vmOffers;
	t.deepEqual([...again.keys()], [...once.keys()]);
});

function loadSnapshot(text: string): ClusterState {
	return decodeClusterState(JSON.parse(text)).unwrapOr(emptyClusterState);
}

test('a snapshot of a version that did not store offers is loaded, with the offers of its VMs', t => {
	const {vmOffers, ...before} = encodeClusterState(stateAfter([...start, vm('oven-1', 'o1', ['oven']), job]));
	t.is(vmOffers?.length, 2);
	const loaded = loadSnapshot(JSON.stringify(before));
	t.is(loaded.vmOffers.size, 2);
	t.is(missingOf(loaded), undefined);
});

test('an entry that starts from a snapshot remembers the workers that others have replaced', t => {
	const cluster = stateAfter([...start, vm('oven-1', 'o1', ['oven']), vm('oven-1', 'o2', []), job]);
	t.is(missingOf(loadSnapshot(JSON.stringify(encodeClusterState(cluster)))), undefined);
});
