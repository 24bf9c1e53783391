import test from 'ava';
import {ok} from 'true-myth/result';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type LoggedRecord} from '../log/log-envelope.js';
import {chooseVm, type PlacementCandidate, scoreCandidate} from '../placement/choose-vm.js';
import {replayFunctions} from './replay-functions.js';
import {type ReplayFunctions, replayRecords, type TaskClaimedRecord} from './replay-records.js';
import {
	decisionFixture, emptyStateFixture, taskFixture, vmFixture,
} from './state-fixture.js';

const claim = (taskId: string, stateOffset: number): TaskClaimedRecord => ({
	kind: 'task-claimed',
	taskId,
	attempt: 1,
	vmId: 'vm-1',
	agentIncarnation: 'agent-1',
	committed: {processorsMilli: 1, memoryMb: 1, accelerators: 0},
	evictTaskIds: [],
	decision: {...decisionFixture, stateOffset},
});

const logged = (offset: number, record: LoggedRecord['envelope']['record']): LoggedRecord => ({
	offset,
	envelope: {
		writer: 'entry-1', incarnation: 'i1', sequence: offset + 1, record,
	},
});

const functions: ReplayFunctions = {
	initialState: emptyStateFixture,
	applyRecord: (state, record) => ({...state, offset: record.offset}),
	decide: (state, {vmId, decision}) => ({vmId, decision: {...decision, stateOffset: state.offset}}),
	decodeState: () => ok(emptyStateFixture),
};

const records = [logged(0, {kind: 'entry-alive', appliedOffset: 0}), logged(1, claim('t1', 0)), logged(2, claim('t2', -1)), logged(3, claim('t3', 99))];

test('decisions are made again on the state that they name, and one whose state is not kept is skipped', t => {
	const states: number[] = [];
	const report = replayRecords(records, {
		...functions,
		decide(state, {vmId, decision}) {
			states.push(state.offset);
			return {vmId, decision};
		},
	});
	t.deepEqual(states, [0, -1]);
	t.deepEqual(report, {
		firstOffset: 0, lastOffset: 3, decisions: 3, skipped: 1, differences: [],
	});
});

test('a decision that comes out differently is reported with its offset and field', t => {
	const report = replayRecords(records, {
		...functions,
		decide: (_state, {taskId, decision}) => taskId === 't1' ? {vmId: 'vm-2', decision} : undefined,
	});
	t.deepEqual(report.differences, [
		{
			offset: 1, taskId: 't1', field: 'vmId', recorded: 'vm-1', replayed: 'vm-2',
		},
		{
			offset: 2, taskId: 't2', field: 'vmId', recorded: 'vm-1', replayed: 'no placement',
		},
	]);
});

const queued = {
	...emptyStateFixture,
	tasks: emptyStateFixture.tasks.set('t1', {...taskFixture, phase: 'queued', claim: undefined}),
	vms: emptyStateFixture.vms
		.set('vm-1', vmFixture)
		.set('vm-2', {...vmFixture, vmId: 'vm-2'}),
} as const;

const candidate = (vmId: string, serviceHarmMilli: number): PlacementCandidate => ({
	vmId,
	capacity: vmFixture.capacity,
	room: {processorsMilli: 12_000, memoryMb: 50_000, accelerators: 0},
	serviceHarmMilli,
	batchHarmMilli: 30,
	siblingsInRack: 1,
	siblingsInFailureDomain: 2,
	failedBefore: false,
	wastesAccelerators: true,
	evictions: 1,
	packs: true,
});

const {decision} = chooseVm(
	[candidate('vm-1', 10), candidate('vm-2', 400)],
	scoreCandidate,
	{demand: taskFixture.spec.demand, weights: emptyStateFixture.configuration.weights},
	{
		policy: 'least-harm', seed: 7, stateOffset: 0, consideredVms: 2,
	},
)!;

const decided: TaskClaimedRecord = {...claim('t1', 0), attempt: taskFixture.attempt + 1, decision};

test('a decision that its inputs and the state support comes out the same, scores included', t => {
	t.deepEqual(replayFunctions.decide(queued, decided), {vmId: 'vm-1', decision});
});

test('a VM that took no tasks or had less room is not chosen again, and another attempt is not decided at all', t => {
	const without = (change: Partial<typeof vmFixture>) => ({...queued, vms: queued.vms.set('vm-1', {...vmFixture, ...change})});
	t.is(replayFunctions.decide(without({draining: true}), decided)?.vmId, 'vm-2');
	t.is(replayFunctions.decide(without({committed: vmFixture.capacity}), decided)?.vmId, 'vm-2');
	t.is(replayFunctions.decide(emptyStateFixture, decided), undefined);
	t.is(replayFunctions.decide(queued, {...decided, attempt: decided.attempt + 1}), undefined);
});

test('a score that was not computed from the recorded inputs and the weights of the state is a difference', t => {
	const replayOn = (state: ClusterState, record: TaskClaimedRecord) =>
		replayRecords([logged(0, record)], {...replayFunctions, initialState: {...state, offset: 0}}).differences.map(({field}) => field);
	t.deepEqual(replayOn(queued, decided), []);
	const [first, second] = decision.candidates;
	const better: TaskClaimedRecord = {...decided, vmId: 'vm-2', decision: {...decision, candidates: [{...second!, scoreMilli: first!.scoreMilli + 1}, first!]}};
	t.deepEqual(replayOn(queued, better), ['vmId', 'candidates']);
	const {configuration} = queued;
	const otherWeights = {...queued, configuration: {...configuration, weights: {...configuration.weights, evictionsMilli: 0}}};
	t.deepEqual(replayOn(otherWeights, decided), ['candidates']);
});

test('a decision whose record lacks the inputs of its scores is skipped, not called right', t => {
	const older = {...decided, decision: {...decision, candidates: decision.candidates.map(({inputs: _, ...rest}) => rest)}};
	t.like(replayRecords([logged(0, older)], {...replayFunctions, initialState: {...queued, offset: 0}}), {decisions: 1, skipped: 1, differences: []});
});
