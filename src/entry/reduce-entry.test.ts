import test from 'ava';
import {create} from '@bufbuild/protobuf';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {HeartbeatSchema, HelloSchema} from '../generated/arbutushinge/v1/agent_pb.js';
import {firstUpToDate, placementRankOf} from '../placement/placement-owner.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {type EntryEvent, type EventInputs, type PartFailure} from './entry-event.js';
import {initialEntryState} from './entry-state.js';
import {type EntryTransition, reduceEntry} from './reduce-entry.js';

const settings = entrySettingsSchema.parse({
	role: 'entry',
	entryId: 'entry-1',
	failureDomain: 'domain-1',
	callerAddress: '127.0.0.1:1',
	operatorAddress: '127.0.0.1:2',
	agentAddress: '127.0.0.1:3',
	operatorTokenFile: 'token',
	logServiceUrl: 'http://127.0.0.1:4',
});

const capacity = {processorsMilli: 16_000, memoryMb: 60_000, accelerators: 0};
const demand = {processorsMilli: 1000, memoryMb: 512, accelerators: 0};

const vmRegistered: ClusterRecord = {
	kind: 'vm-registered',
	vmId: 'vm-1',
	agentIncarnation: 'agent-1',
	workerIncarnation: 'worker-1',
	failureDomain: 'domain-1',
	rack: 'rack-1',
	requestAddress: '127.0.0.1:6',
	capacity,
	runningTasks: [],
};

/** Creates an entry whose log also contains records of other entries. */
function createEntry(inputs: Partial<EventInputs> = {}) {
	let state = initialEntryState('own');
	let offset = -1;
	const sequences = new Map<string, number>();

	function dispatch(event: EntryEvent, nowMs: number): EntryTransition {
		const transition = reduceEntry(state, event, {
			nowMs, wallTimeMs: nowMs, seed: 1, pendingAppends: 0, ...inputs,
		}, settings);
		state = transition.state;
		return transition;
	}

	return {
		state: () => state,
		dispatch,
		read(incarnation: string, records: readonly ClusterRecord[], nowMs: number): EntryTransition {
			return dispatch({
				kind: 'log-page', readSentAtMs: nowMs, reachedTail: true, records: records.map(record => {
					offset++;
					const sequence = (sequences.get(incarnation) ?? 0) + 1;
					sequences.set(incarnation, sequence);
					return {
						offset, envelope: {
							writer: incarnation, incarnation, sequence, record,
						},
					};
				}),
			}, nowMs);
		},
	};
}

const startedTasks = ({effects}: EntryTransition): readonly string[] => effects.flatMap(effect =>
	effect.kind === 'send-to-agent' && effect.command.case === 'startTask' ? [effect.command.value.taskId ?? ''] : []);

// The control tick checks only the claims whose takeover is due; a claim of an entry that has ended must be among them.
test('a claim of another entry is not left without a start command when that entry does not send it in time', t => {
	const entry = createEntry();
	entry.read('own', [{
		kind: 'entry-registered', entryId: 'entry-1', failureDomain: 'domain-1', operatorAddress: '127.0.0.1:2',
	}], 0);
	entry.read('other', [
		{
			kind: 'entry-registered', entryId: 'entry-2', failureDomain: 'domain-1', operatorAddress: '127.0.0.1:5',
		},
		vmRegistered,
		{
			kind: 'job-submitted', job: {
				jobId: 'job-1', teamId: 'team-1', workClass: 'batch', priority: 'normal', tasks: [{
					taskId: 'task-1', demand, declaredRunTimeMs: 1000, payload: '',
				}],
			},
		},
	], 0);
	entry.dispatch({kind: 'agent-hello', sessionId: 'session-1', hello: create(HelloSchema, {vmId: 'vm-1', agentIncarnation: 'agent-1'})}, 0);
	const claimed = entry.read('other', [{
		kind: 'task-claimed', taskId: 'task-1', attempt: 1, vmId: 'vm-1', agentIncarnation: 'agent-1', committed: demand, evictTaskIds: [], decision: {
			policy: 'test', seed: 1, stateOffset: 0, candidates: [], consideredVms: 1, reason: '',
		},
	}], 100);
	t.deepEqual(startedTasks(claimed), []);
	const {commandTakeoverMs} = settings.timings;
	t.deepEqual(startedTasks(entry.dispatch({kind: 'tick'}, 100 + commandTakeoverMs - 1)), []);
	t.deepEqual(startedTasks(entry.dispatch({kind: 'tick'}, 100 + commandTakeoverMs + 300)), ['task-1']);
	t.deepEqual(startedTasks(entry.dispatch({kind: 'tick'}, 100 + commandTakeoverMs + 600)), []);
});

// Tasks are placed on a VM as soon as it is registered; an agent without a lease refuses every one of them.
test('an agent gets its lease with its registration, not with the next heartbeat', t => {
	const entry = createEntry();
	entry.read('own', [{
		kind: 'entry-registered', entryId: 'entry-1', failureDomain: 'domain-1', operatorAddress: '127.0.0.1:2',
	}], 0);
	entry.dispatch({kind: 'agent-hello', sessionId: 'session-1', hello: create(HelloSchema, {vmId: 'vm-1', agentIncarnation: 'agent-1'})}, 0);
	entry.dispatch({kind: 'agent-heartbeat', sessionId: 'session-1', heartbeat: create(HeartbeatSchema, {sequence: 3n})}, 10);
	const registered = entry.read('other', [
		{
			kind: 'entry-registered', entryId: 'entry-2', failureDomain: 'domain-1', operatorAddress: '127.0.0.1:5',
		},
		vmRegistered,
	], 100);
	const grants = registered.effects.flatMap(effect => effect.kind === 'send-to-agent' && effect.command.case === 'leaseGrant' ? [effect.command.value] : []);
	t.deepEqual(grants.map(({heartbeatSequence, durationMs}) => ({heartbeatSequence, durationMs})), [{heartbeatSequence: 3n, durationMs: settings.timings.leaseDurationMs}]);
});

const decision = {
	policy: 'test', seed: 1, stateOffset: 0, candidates: [], consideredVms: 1, reason: '',
};

/** Demand of half of the VM's processors. */
const halfOfVm = {processorsMilli: 8000, memoryMb: 512, accelerators: 0};

const claimOf = (taskId: string, evictTaskIds: readonly string[] = []): ClusterRecord => ({
	kind: 'task-claimed', taskId, attempt: 1, vmId: 'vm-1', agentIncarnation: 'agent-1', committed: halfOfVm, evictTaskIds, decision,
});

/** Creates an entry with the stream of a VM's agent. Two started background tasks fill the VM, and an urgent task is queued. */
function createLinkedEntry() {
	const entry = createEntry();
	entry.read('own', [
		{
			kind: 'entry-registered', entryId: 'entry-1', failureDomain: 'domain-1', operatorAddress: '127.0.0.1:2',
		},
		vmRegistered,
		{
			kind: 'job-submitted', job: {
				jobId: 'job-1', teamId: 'team-1', workClass: 'batch', priority: 'urgent', tasks: [{
					taskId: 'urgent-1', demand: halfOfVm, declaredRunTimeMs: 1000, payload: '',
				}],
			},
		},
		{
			kind: 'job-submitted', job: {
				jobId: 'job-2', teamId: 'team-1', workClass: 'batch', priority: 'background', tasks: [], workflow: {
					queue: 'queue-1', service: '', payload: '', maxFailures: 1, steps: [{count: 2, demand: halfOfVm, declaredRunTimeMs: 1000}],
				},
			},
		},
	], 0);
	entry.dispatch({kind: 'agent-hello', sessionId: 'session-1', hello: create(HelloSchema, {vmId: 'vm-1', agentIncarnation: 'agent-1'})}, 0);
	const claimed = entry.read('own', [claimOf('job-2.0.0.0'), claimOf('job-2.0.0.1')], 100);
	entry.read('own', ['job-2.0.0.0', 'job-2.0.0.1'].map(taskId => ({
		kind: 'task-started', taskId, attempt: 1, agentIncarnation: 'agent-1',
	})), 200);
	return {entry, claimed};
}

const commandsTo = ({effects}: EntryTransition): readonly string[] => effects.flatMap(effect =>
	effect.kind === 'send-to-agent' && effect.command.case !== undefined && 'taskId' in effect.command.value
		? [`${effect.command.case} ${effect.command.value.taskId}`]
		: []);

// After a page that only advances attempts, only the tasks of its records are checked; a claim with evictions affects other tasks too.
test('a claim that evicts tasks sends their evictions with the page that holds it', t => {
	const {entry, claimed} = createLinkedEntry();
	t.deepEqual(commandsTo(claimed), ['startTask job-2.0.0.0', 'startTask job-2.0.0.1']);
	const evicting = entry.read('own', [claimOf('urgent-1', ['job-2.0.0.0'])], 300);
	t.deepEqual(commandsTo(evicting).toSorted(), ['evictTask job-2.0.0.0', 'startTask urgent-1']);
});

test('a failure that ends a job cancels its other tasks on the VM with the page that holds it', t => {
	const {entry} = createLinkedEntry();
	const failed = entry.read('own', [{
		kind: 'task-ended', taskId: 'job-2.0.0.0', attempt: 1, agentIncarnation: 'agent-1', outcome: 'failed', reason: 'exit code 1',
	}], 300);
	t.deepEqual(commandsTo(failed), ['cancelTask job-2.0.0.1']);
});

test('a drain reaches an agent that was sent a configuration before', t => {
	const {entry} = createLinkedEntry();
	const drained = entry.read('own', [{
		kind: 'plan-confirmed', plan: {
			planId: 'plan-1', intent: {kind: 'drain-vm', vmId: 'vm-1'}, baseOffset: 6, touches: ['vm/vm-1'], summary: [], createdAtMs: 0, expiresAtMs: 60_000,
		},
	}], 300);
	const configurations = drained.effects.flatMap(effect => effect.kind === 'send-to-agent' && effect.command.case === 'configuration' ? [effect.command.value] : []);
	t.deepEqual(configurations.map(({vmDraining}) => vmDraining), [true]);
});

test('an entry removes the processors available to filling tasks on a VM when its agent closes the stream', t => {
	const entry = createEntry();
	entry.dispatch({kind: 'agent-hello', sessionId: 'session-1', hello: create(HelloSchema, {vmId: 'vm-1', agentIncarnation: 'agent-1'})}, 0);
	const reported = entry.dispatch({kind: 'agent-heartbeat', sessionId: 'session-1', heartbeat: create(HeartbeatSchema, {sequence: 1n, fillingRoomMilli: 300})}, 10);
	t.is(reported.state.placement.fillingRoomByVm.get('vm-1'), 300);
	const closed = entry.dispatch({kind: 'agent-session-closed', sessionId: 'session-1'}, 20);
	t.is(closed.state.placement.fillingRoomByVm.get('vm-1'), undefined);
});

// A reader passes its page on only once: what the page's records change must not depend on what follows from them.
test('a page is applied, and the control tick runs, although a record and a part of the reducer throw', t => {
	const failures: PartFailure[] = [];
	const entry = createEntry({
		onPartFailed(failure) {
			failures.push(failure);
		},
		measurePart() {
			throw new RangeError('out of range');
		},
	});
	// @ts-expect-error -- A record without its plan stands for one that the schema accepts and its handler does not expect.
	const broken: ClusterRecord = {kind: 'plan-confirmed'};
	entry.read('own', [
		{
			kind: 'entry-registered', entryId: 'entry-1', failureDomain: 'domain-1', operatorAddress: '127.0.0.1:2',
		},
		broken,
		vmRegistered,
	], 0);
	t.true(entry.state().cluster.vms.has('vm-1'));
	t.is(entry.state().cluster.offset, 2);
	t.is(entry.state().log.tailConfirmedSentAtMs, 0);
	t.deepEqual(failures.map(({part, offset}) => [part, offset]), [['record-plan-confirmed', 1], ['placement', undefined]]);
	const ticked = entry.dispatch({kind: 'tick'}, 1000);
	t.true(ticked.effects.some(effect => effect.kind === 'append-record' && effect.record.kind === 'entry-alive'));
	t.is(failures.length, 3);
});

test('an entry that does not place a task knows from the log that it fails at once on every start', t => {
	const entry = createEntry();
	const taskId = 'job.0.0.0';
	const attempts = [1, 2].flatMap((attempt): readonly ClusterRecord[] => [
		{
			kind: 'task-claimed', taskId, attempt, vmId: 'vm-1', agentIncarnation: 'agent-1', committed: demand, evictTaskIds: [], decision: {
				policy: 'least-harm', seed: 1, stateOffset: 0, candidates: [], consideredVms: 1, reason: '',
			},
		},
		{
			kind: 'task-ended', taskId, attempt, agentIncarnation: 'agent-1', outcome: 'failed', reason: '',
		},
	]);
	const {state} = entry.read('other', [
		{
			kind: 'entry-registered', entryId: 'entry-2', failureDomain: 'domain-1', operatorAddress: '127.0.0.1:5',
		},
		{...vmRegistered, service: 's', labels: []},
		{
			kind: 'job-submitted', job: {
				jobId: 'job', teamId: 't', workClass: 'batch', priority: 'urgent', tasks: [], workflow: {
					queue: 'q', service: 's', payload: '', maxFailures: 2, steps: [{
						count: 1, demand, declaredRunTimeMs: 100, longRunning: true,
					}],
				},
			},
		},
		...attempts,
	], 5000);
	t.deepEqual(state.placement.failedStarts.get(taskId), {attempt: 2, failures: 2, readAtMs: 5000});
});

test('placement passes that take long leave time for the records that they wait for, and no queued task waits for more than a few of them', t => {
	let passes = 0;
	const entry = createEntry({
		newestPassMs: 30,
		measurePart(_part, run) {
			passes++;
			return run();
		},
	});
	for (let nowMs = 0; nowMs < 3000; nowMs += 10) {
		if (nowMs % 50 === 0) {
			entry.dispatch({kind: 'tick'}, nowMs);
		}

		entry.read('other', [{kind: 'entry-alive', appliedOffset: 0}], nowMs);
	}

	t.is(passes, 20, 'one pass of 30 ms in 150 ms');
	const slow = createEntry({newestPassMs: 5000});
	slow.dispatch({kind: 'tick'}, 0);
	const before = slow.state().lastPassAtMs;
	slow.dispatch({kind: 'tick'}, 250);
	t.deepEqual([before, slow.state().lastPassAtMs], [0, 250]);
});

test('an entry whose placement passes all fail leaves the placement to another one while its heartbeats go on', t => {
	const failures: PartFailure[] = [];
	let isPoisoned = false;
	const entry = createEntry({
		onPartFailed(failure) {
			failures.push(failure);
		},
		measurePart(_part, run) {
			if (isPoisoned) {
				throw new RangeError('out of range');
			}

			return run();
		},
	});
	entry.read('own', [{
		kind: 'entry-registered', entryId: 'entry-1', failureDomain: 'domain-1', operatorAddress: '127.0.0.1:2',
	}], 0);
	entry.read('other', [{
		kind: 'entry-registered', entryId: 'entry-2', failureDomain: 'domain-1', operatorAddress: '127.0.0.1:5',
	}], 0);
	const {cluster} = entry.state();
	const subject = Array.from({length: 64}, (_, index) => `job-${index}`).find(each => placementRankOf(each, cluster)[0] === 'own')!;
	const ownerNow = (): string | undefined => firstUpToDate(placementRankOf(subject, entry.state().cluster), entry.state().cluster);
	/** Passes a time in ticks of 50 ms, in which both entries write their heartbeats and this one reads all records. Returns when the owner changed. */
	const passTo = (fromMs: number, toMs: number): number | undefined => {
		const before = ownerNow();
		let changedMs: number | undefined;
		for (let nowMs = fromMs; nowMs < toMs; nowMs += 50) {
			const own = entry.dispatch({kind: 'tick'}, nowMs).effects.flatMap(effect => effect.kind === 'append-record' && effect.record.kind === 'entry-alive' ? [effect.record] : []);
			entry.read('own', own, nowMs);
			if (nowMs % 300 === 0) {
				entry.read('other', [{kind: 'entry-alive', appliedOffset: entry.state().cluster.offset}], nowMs);
			}

			changedMs ??= ownerNow() === before ? undefined : nowMs;
		}

		return changedMs;
	};

	t.is(passTo(50, 3000), undefined);
	t.is(ownerNow(), 'own');
	isPoisoned = true;
	const changedMs = passTo(3000, 9000);
	t.true(changedMs !== undefined && changedMs < 7500, `given up at ${changedMs ?? 'no time'}`);
	t.is(ownerNow(), 'other');
	isPoisoned = false;
	t.is(passTo(9000, 18_000), undefined, 'a pass of an entry that does not place shows nothing');
	t.not(passTo(18_000, 21_000), undefined);
	t.is(ownerNow(), 'own');
});

/** Guards against run times that are learned from records which an entry reads late: after a pause of the entry or an outage of the log, the first page reaches the tail. */
test('the page that an entry reads first after a pause teaches no run times, nor does a task that ran while the VM was suspended', t => {
	const learnedEnds = (endedAtMs: number, suspendedMs = 0): number => {
		const entry = createEntry();
		const step = {
			count: 1, demand, declaredRunTimeMs: 1000, image: 'bake',
		};
		entry.read('other', [
			{
				kind: 'entry-registered', entryId: 'entry-2', failureDomain: 'domain-1', operatorAddress: '127.0.0.1:5',
			},
			vmRegistered,
			{
				kind: 'job-submitted', job: {
					jobId: 'job-1', teamId: 'team-1', workClass: 'batch', priority: 'normal', tasks: [], workflow: {
						queue: 'q', service: '', payload: '', maxFailures: 3, steps: [step],
					},
				},
			},
		], 800);
		const taskId = [...entry.state().cluster.tasks.keys()][0]!;
		entry.read('other', [{
			kind: 'task-claimed', taskId, attempt: 1, vmId: 'vm-1', agentIncarnation: 'agent-1', committed: demand, evictTaskIds: [], decision: {
				policy: 'test', seed: 1, stateOffset: 0, candidates: [], consideredVms: 1, reason: '',
			},
		}, {
			kind: 'task-started', taskId, attempt: 1, agentIncarnation: 'agent-1',
		}], 1000);
		if (suspendedMs > 0) {
			entry.dispatch({kind: 'vm-resumed', suspendedMs}, 1500);
		}

		entry.read('other', [], 2000);
		entry.read('other', [{
			kind: 'task-ended', taskId, attempt: 1, agentIncarnation: 'agent-1', outcome: 'finished', reason: '',
		}], endedAtMs);
		return entry.state().runTimes.errors.ends;
	};

	t.is(learnedEnds(2100), 1);
	t.is(learnedEnds(12_000), 0);
	// The clock of a suspended VM stands still, so that the task ran for longer than it shows.
	t.is(learnedEnds(2100, 10_000), 0);
});
