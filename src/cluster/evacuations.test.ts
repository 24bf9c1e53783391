import test from 'ava';
import fc from 'fast-check';
import {type ClusterRecord} from './cluster-record.js';
import {decodeClusterState, encodeClusterState} from './cluster-state-codec.js';
import {type ClusterState} from './cluster-state.js';
import {
	type EvacuationRequest, isEvacuated, newerRequests, withRequests,
} from './evacuations.js';
import {applyRecord, emptyClusterState} from './reduce-cluster.js';

const demand = {processorsMilli: 1000, memoryMb: 1, accelerators: 0};

const evacuation = (isRequested: boolean, requestOffset: number): ClusterRecord => ({
	kind: 'failure-domain-evacuation', failureDomain: 'zone-a', isRequested, requestOffset, noticedAtMs: 5,
});

const claim = (taskNumber: number, attempt = 1): ClusterRecord => ({
	kind: 'task-claimed', taskId: `task-${taskNumber}`, attempt, vmId: 'vm-1', agentIncarnation: 'agent-1', committed: demand, evictTaskIds: [], decision: {
		policy: 'test', seed: 1, stateOffset: 0, candidates: [], consideredVms: 1, reason: '',
	},
});

const registered: readonly ClusterRecord[] = [
	{
		kind: 'entry-registered', entryId: 'e1', failureDomain: 'zone-b', operatorAddress: '',
	},
	{
		kind: 'vm-registered', vmId: 'vm-1', agentIncarnation: 'agent-1', workerIncarnation: 'w', failureDomain: 'zone-a', rack: 'r', requestAddress: '', capacity: {processorsMilli: 64_000, memoryMb: 64_000, accelerators: 0}, runningTasks: [],
	},
	{
		kind: 'job-submitted', job: {
			jobId: 'job-1', teamId: 't', workClass: 'batch', priority: 'normal', tasks: Array.from({length: 20}, (_, index) => ({
				taskId: `task-${index}`, demand, declaredRunTimeMs: 1, payload: '',
			})),
		},
	},
];

function apply(state: ClusterState, records: readonly ClusterRecord[]): ClusterState {
	let next = state;
	for (const record of records) {
		const offset = next.offset + 1;
		next = applyRecord(next, {
			offset, envelope: {
				writer: 'e1', incarnation: 'i1', sequence: offset + 1, record,
			},
		});
	}

	return next;
}

const base = apply(emptyClusterState, registered);
const phasesOf = (state: ClusterState): readonly string[] => [0, 1].map(number => state.tasks.get(`task-${number}`)!.phase);

// Guards against a decider that was cut off placing tasks in an evacuated failure domain, and against evicting what runs there.
test('claims behind the record are rejected and counted, those before it stay, and a removal admits claims again', t => {
	const evacuated = apply(base, [claim(0), evacuation(true, 7), claim(1)]);
	t.deepEqual(phasesOf(evacuated), ['claimed', 'queued']);
	t.is(evacuated.configuration.evacuations.get('zone-a')?.refusedClaims, 1);
	t.is(evacuated.configuration.offset, base.offset + 2);
	const returned = apply(evacuated, [evacuation(false, 9), claim(1)]);
	t.deepEqual(phasesOf(returned), ['claimed', 'claimed']);
	t.is(returned.configuration.offset, base.offset + 4);
});

test('a stale view of the topic changes nothing, and a request that is written again counts', t => {
	const returned = apply(base, [evacuation(true, 7), evacuation(false, 9), evacuation(true, 7), evacuation(true, 8)]);
	t.false(isEvacuated(returned, 'zone-a'));
	const again = apply(returned, [evacuation(true, 10), evacuation(false, 9)]);
	t.true(isEvacuated(again, 'zone-a'));
	const rewritten = apply(again, [evacuation(true, 12), evacuation(false, 11)]);
	t.true(isEvacuated(rewritten, 'zone-a'));
	t.is(rewritten.configuration.offset, again.offset - 1, 'no agent has to apply a request that is only written again');
});

test('a start that is refused because of an evacuation does not count against the VM afterwards', t => {
	const ended: ClusterRecord = {
		kind: 'task-ended', taskId: 'task-0', attempt: 1, agentIncarnation: 'agent-1', outcome: 'refused-not-run', reason: '',
	};
	t.deepEqual(apply(base, [claim(0), evacuation(true, 7), ended]).tasks.get('task-0')?.failedOnVmIds, []);
	t.deepEqual(apply(base, [claim(0), ended]).tasks.get('task-0')?.failedOnVmIds, ['vm-1']);
});

test('a snapshot keeps evacuations, and one of a version without them has none', t => {
	const evacuated = apply(base, [evacuation(true, 7), claim(0)]);
	const encoded = encodeClusterState(evacuated);
	t.deepEqual(decodeClusterState(structuredClone(encoded)).map(state => [...state.configuration.evacuations]).unwrapOr([]), [...evacuated.configuration.evacuations]);
	const {evacuations, ...configuration} = encoded.configuration;
	t.is(evacuations.length, 1);
	t.is(decodeClusterState({...encoded, configuration}).map(state => state.configuration.evacuations.size).unwrapOr(-1), 0);
	t.true(decodeClusterState({...encoded, configuration: {...configuration, evacuations: [['zone-a', true, 7, evacuated.offset + 1, 0, 0]]}}).isErr);
});

// A list that is as old as the request does not show that the request was removed.
test('a list without the key is evidence of a removal only when it ends behind the request', t => {
	const evacuated = apply(base, [evacuation(true, 7)]);
	const newer = (listedEndOffset: number) => [...newerRequests(evacuated, {byFailureDomain: new Map(), listedEndOffset})];
	t.deepEqual(newer(7), []);
	t.deepEqual(newer(8), []);
	t.deepEqual(newer(9), [['zone-a', {isRequested: false, requestOffset: 8}]]);
});

test('an entry places nothing from when it has read a request, and places again once the log holds the removal', t => {
	const requests = (request: EvacuationRequest) => ({byFailureDomain: new Map([['zone-a', request]]), listedEndOffset: 0});
	t.true(isEvacuated(withRequests(base, requests({isRequested: true, requestOffset: 7})), 'zone-a'));
	const returned = apply(base, [evacuation(true, 7), evacuation(false, 9)]);
	t.false(isEvacuated(withRequests(returned, requests({isRequested: true, requestOffset: 7})), 'zone-a'));
	const evacuated = apply(base, [evacuation(true, 7)]);
	t.true(isEvacuated(withRequests(evacuated, requests({isRequested: false, requestOffset: 9})), 'zone-a'));
});

// The topic holds requests and removals in turn; several deciders write what they have read of it, in any order and again, among claims.
test('whatever deciders with stale views write, no claim counts while the newest record that was read is a request', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.record({isClaim: fc.boolean(), readThrough: fc.nat(12), number: fc.nat(19)}), {maxLength: 40}), steps => {
			let state = base;
			let newestRead = -1;
			for (const {isClaim, readThrough, number} of steps) {
				const before = state.tasks.get(`task-${number}`)!.phase;
				state = apply(state, [isClaim ? claim(number) : evacuation(readThrough % 2 === 0, readThrough)]);
				newestRead = isClaim ? newestRead : Math.max(newestRead, readThrough);
				const isRequested = newestRead >= 0 && newestRead % 2 === 0;
				const {phase} = (state.tasks.get(`task-${number}`)!);
				if (isClaim && before === 'queued' && (phase === 'claimed') === isRequested) {
					throw new Error(`task-${number} is ${phase} while the newest record read has offset ${newestRead}`);
				}
			}
		}));
	});
});
