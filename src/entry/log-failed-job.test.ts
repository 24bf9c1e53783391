import test from 'ava';
import {applyRecord, emptyClusterState} from '../cluster/reduce-cluster.js';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type LoggedRecord} from '../log/log-envelope.js';
import {type ControlEffect} from './control-effect.js';
import {logFailedJob, logFailedJobs} from './log-failed-job.js';

const jobId = '5c0e7a21d94b36f8';
const taskId = `${jobId}.0.0.0`;
const demand = {processorsMilli: 500, memoryMb: 64, accelerators: 0};

const registered = (entryId: string): ClusterRecord => ({
	kind: 'entry-registered', entryId, failureDomain: 'a', operatorAddress: '127.0.0.1:1',
});

const vm: ClusterRecord = {
	kind: 'vm-registered',
	vmId: 'vm-1',
	agentIncarnation: 'a1',
	workerIncarnation: 'w1',
	failureDomain: 'a',
	rack: 'r1',
	requestAddress: '127.0.0.1:2',
	capacity: {processorsMilli: 16_000, memoryMb: 64_000, accelerators: 0},
	runningTasks: [],
	service: 'loaf-orders',
};

const submitted: ClusterRecord = {
	kind: 'job-submitted',
	job: {
		jobId,
		teamId: 't',
		workClass: 'batch',
		priority: 'normal',
		workflow: {
			queue: 'q1', service: 'loaf-orders', payload: '', maxFailures: 2, steps: [{count: 2, demand, declaredRunTimeMs: 100}],
		},
		tasks: [],
	},
};

const claimed = (attempt: number, claimedTaskId = taskId): ClusterRecord => ({
	kind: 'task-claimed',
	taskId: claimedTaskId,
	attempt,
	vmId: 'vm-1',
	agentIncarnation: 'a1',
	committed: demand,
	evictTaskIds: [],
	decision: {
		policy: 'p', seed: 1, stateOffset: 0, candidates: [], consideredVms: 1, reason: '',
	},
});

const failed = (attempt: number): ClusterRecord => ({
	kind: 'task-ended', taskId, attempt, agentIncarnation: 'a1', outcome: 'failed', reason: 'exit 3',
});

type Written = Readonly<{by: string; record: ClusterRecord}>;

/** Applies records and returns the fields of the lines that the given entry writes. */
function linesOf(incarnation: string, written: readonly Written[]): ReadonlyArray<Extract<ControlEffect, {kind: 'log-event'}>['fields']> {
	let state: ClusterState = emptyClusterState;
	return written.flatMap(({by, record}, offset) => {
		const logged: LoggedRecord = {
			offset, envelope: {
				writer: by, incarnation: by, sequence: offset + 1, record,
			},
		};
		const next = applyRecord(state, logged);
		const effects = logFailedJob(logged, state, next, incarnation);
		state = next;
		return effects.filter(effect => effect.kind === 'log-event').map(({fields}) => fields);
	});
}

const start: readonly Written[] = [
	{by: 'e1', record: registered('e1')},
	{by: 'e2', record: registered('e2')},
	{by: 'e1', record: vm},
	{by: 'e1', record: submitted},
];

test('a failed job is logged once, by the entry whose record decided it, although several entries report the same failure', t => {
	const all: readonly Written[] = [
		...start,
		{by: 'e1', record: claimed(1)},
		{by: 'e1', record: failed(1)},
		{by: 'e2', record: failed(1)},
		{by: 'e1', record: claimed(2)},
		{by: 'e2', record: failed(2)},
		{by: 'e1', record: failed(2)},
	];
	t.deepEqual(linesOf('e1', all), []);
	const lines = linesOf('e2', all);
	t.is(lines.length, 1);
	t.like(lines[0], {
		jobId, taskId, attempts: 2, failures: 2, maxFailures: 2, vmId: 'vm-1', reason: 'exit 3', decidedBy: 'task-ended',
	});
});

test('the log line of a job that fits no current VM is not mistaken for that of a job whose tasks failed', t => {
	const [line] = linesOf('e1', [...start, {by: 'e1', record: {kind: 'task-unplaceable', taskId, lacks: 'needs label x, which no VM has'}}]);
	t.is(line?.decidedBy, 'task-unplaceable');
	t.is(line?.reason, 'needs label x, which no VM has');
	t.is(line?.attempts, 0);
});

test('a job that its caller cancelled is not reported as failed', t => {
	t.deepEqual(linesOf('e1', [
		...start,
		{by: 'e1', record: claimed(1)},
		{by: 'e1', record: {kind: 'job-cancelled', jobId}},
		{by: 'e1', record: failed(1)},
	]), []);
});

test('a finished task is not logged as the cause when its page also contains the failure of the job', t => {
	const before = [...start, {by: 'e1', record: claimed(1)}];
	let state: ClusterState = emptyClusterState;
	const apply = ({by, record}: Written): LoggedRecord => {
		const logged: LoggedRecord = {
			offset: state.offset + 1, envelope: {
				writer: by, incarnation: by, sequence: state.offset + 2, record,
			},
		};
		state = applyRecord(state, logged);
		return logged;
	};

	for (const written of before) {
		apply(written);
	}

	const other = `${jobId}.0.0.1`;
	apply({by: 'e1', record: claimed(1, other)});
	const beforePage = state;
	const finished = apply({
		by: 'e1', record: {
			kind: 'task-ended', taskId: other, attempt: 1, agentIncarnation: 'a1', outcome: 'finished', reason: 'done',
		},
	});
	const records = [finished, ...[failed(1), claimed(2), failed(2)].map(record => apply({by: 'e2', record}))];
	t.deepEqual(logFailedJobs(records, {before: beforePage, after: state}, 'e1'), []);
	t.is(logFailedJobs(records, {before: beforePage, after: state}, 'e2').length, 1);
});
