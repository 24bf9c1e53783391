import test from 'ava';
import {Map as immutableMap} from 'immutable';
import {type ClusterState, type Task, type WorkflowRun} from '../cluster/cluster-state.js';
import {createdTasksFixture, withTaskIds} from '../cluster/workflow-run-fixture.js';
import {emptyClusterState} from '../cluster/reduce-cluster.js';
import {taskFixture} from '../operator/state-fixture.js';
import {orderQueue} from './queue-order.js';

type TestJob = Readonly<{jobId: string; submittedAtMs: number; tasks: number; runTimeMs: number}>;

const slackMs = 1000;

/** Returns a cluster with queued jobs of one step each, submitted in the given order. */
function clusterWith(testJobs: readonly TestJob[]): ClusterState {
	const workflows = testJobs.map(({jobId, submittedAtMs, tasks, runTimeMs}): [string, WorkflowRun] => [jobId, {
		workflow: {
			queue: 'q',
			service: 's',
			payload: '',
			steps: [{count: tasks, demand: {processorsMilli: 1000, memoryMb: 1, accelerators: 0}, declaredRunTimeMs: runTimeMs}],
			maxFailures: 1,
			objective: {submittedAtMs, stretchMilli: 2000, slackMs},
		},
		owner: {
			jobId, teamId: 't', workClass: 'batch', priority: 'normal',
		},
		phase: 'queued',
		unfinishedByStep: immutableMap([['0.0', tasks]]),
		madeOccurrences: 1,
		...createdTasksFixture(),
	}]);
	const tasks = testJobs.flatMap(({jobId, tasks: count}, offset) => Array.from({length: count}, (_, index): [string, Task] => {
		const taskId = `${jobId}.0.0.${index}`;
		return [taskId, {
			...taskFixture, spec: {...taskFixture.spec, taskId}, jobId, position: {occurrence: 0, stepIndex: 0}, phase: 'queued', claim: undefined, submittedOffset: offset,
		}];
	}));
	return {...emptyClusterState, workflows: immutableMap(workflows), tasks: immutableMap(tasks)};
}

/** Simulates a service with `places` that each run one task at a time, and returns the number of jobs that meet their objective. */
function countInTime(testJobs: readonly TestJob[], places: number, order: (taskIds: readonly string[], cluster: ClusterState, nowMs: number) => readonly string[]): number {
	const cluster = clusterWith(testJobs);
	const waiting = new Set(cluster.tasks.keys());
	const left = new Map(testJobs.map(({jobId, tasks}) => [jobId, tasks]));
	const freeAtMs = Array.from({length: places}, () => 0);
	let inTime = 0;
	while (waiting.size > 0) {
		const place = freeAtMs.indexOf(Math.min(...freeAtMs));
		const nowMs = freeAtMs[place]!;
		const arrived = [...waiting].filter(taskId => testJobs.some(testJob => taskId.startsWith(`${testJob.jobId}.`) && testJob.submittedAtMs <= nowMs));
		const [taskId] = order(arrived, cluster, nowMs);
		if (taskId === undefined) {
			freeAtMs[place] = nowMs + 50;
			continue;
		}

		waiting.delete(taskId);
		const testJob = testJobs.find(({jobId}) => taskId.startsWith(`${jobId}.`))!;
		freeAtMs[place] = nowMs + testJob.runTimeMs;
		left.set(testJob.jobId, left.get(testJob.jobId)! - 1);
		if (left.get(testJob.jobId) === 0 && freeAtMs[place] <= testJob.submittedAtMs + (2 * testJob.runTimeMs) + slackMs) {
			inTime++;
		}
	}

	return inTime;
}

test('in a burst of jobs beyond the capacity, more jobs end in time than in the order of arrival', t => {
	// Ten seconds of 2.5 times the load that eight places can take, with one large job in four.
	const testJobs = Array.from({length: 60}, (_, index): TestJob => ({
		jobId: `j${String(index).padStart(2, '0')}`, submittedAtMs: index * 170, tasks: index % 4 === 0 ? 16 : 4, runTimeMs: 500 + ((index * 37) % 400),
	}));
	const inOrderOfArrival = countInTime(testJobs, 8, taskIds => taskIds);
	const ordered = countInTime(testJobs, 8, orderQueue);
	t.true(ordered > 2 * inOrderOfArrival, `${ordered} against ${inOrderOfArrival} jobs in time`);
});

test('a job that is abandoned by its caller does not delay one that can still be in time', t => {
	const cluster = clusterWith([
		{
			jobId: 'late', submittedAtMs: 0, tasks: 1, runTimeMs: 500,
		},
		{
			jobId: 'fresh', submittedAtMs: 60_000, tasks: 8, runTimeMs: 5000,
		},
	]);
	t.is(orderQueue(cluster.tasks.keys(), cluster, 60_000)[0], 'fresh.0.0.0');
});

test('a long-running task that has to start again does not wait behind the short tasks of its class because its job is old', t => {
	const cluster = clusterWith([
		{
			jobId: 'lasting', submittedAtMs: 0, tasks: 1, runTimeMs: 500,
		},
		{
			jobId: 'short', submittedAtMs: 59_000, tasks: 1, runTimeMs: 1000,
		},
	]);
	const run = cluster.workflows.get('lasting')!;
	const {workflow} = run;
	const workflows = cluster.workflows.set('lasting', {...run, workflow: {...workflow, steps: workflow.steps.map(step => ({...step, longRunning: true}))}});
	t.deepEqual(orderQueue(['short.0.0.0', 'lasting.0.0.0'], {...cluster, workflows}, 60_000), ['lasting.0.0.0', 'short.0.0.0']);
});

/** Returns a cluster with a long-running job, whose tasks run, never ran, or ended at the given offset, another long-running job and a new short job of the same class. */
function clusterWithShortJob(tasks: ReadonlyArray<'running' | 'never-ran' | number>, maxUnavailable?: number): ClusterState {
	const cluster = clusterWith([
		{
			jobId: 'lasting', submittedAtMs: 0, tasks: tasks.length, runTimeMs: 500,
		},
		{
			jobId: 'other', submittedAtMs: 0, tasks: 2, runTimeMs: 500,
		},
		{
			jobId: 'short', submittedAtMs: 59_000, tasks: 1, runTimeMs: 1000,
		},
	]);
	const longRunningRun = (jobId: string, change: Readonly<{maxUnavailable?: number | undefined}>): WorkflowRun => {
		const run = cluster.workflows.get(jobId)!;
		return {...run, workflow: {...run.workflow, steps: run.workflow.steps.map(step => ({...step, longRunning: true, ...change}))}};
	};

	const ids = tasks.map((_, index) => `lasting.0.0.${index}`);
	const changed = tasks.map((task, index): [string, Task] => [ids[index]!, {
		...cluster.tasks.get(ids[index]!)!,
		...(task === 'running' ? {phase: 'running'} : {attempt: task === 'never-ran' ? 0 : 1, changedOffset: task === 'never-ran' ? 0 : task}),
	}]);
	const others = [0, 1].map((index): [string, Task] => [`other.0.0.${index}`, {...cluster.tasks.get(`other.0.0.${index}`)!, attempt: 1, changedOffset: 50 + index}]);
	const changedCluster = {
		...cluster,
		tasks: cluster.tasks.merge(changed, others),
		workflows: cluster.workflows.set('lasting', longRunningRun('lasting', {maxUnavailable})).set('other', longRunningRun('other', {})),
	};
	return withTaskIds(withTaskIds(changedCluster, 'lasting', ids), 'other', others.map(([taskId]) => taskId));
}

test('of restarts of long-running tasks the one that ended first goes first, and one of a step at its maxUnavailable limit goes before it', t => {
	const queued = ['other.0.0.1', 'short.0.0.0', 'lasting.0.0.0', 'other.0.0.0'];
	t.deepEqual(orderQueue(queued, clusterWithShortJob([100, 'running']), 60_000), ['other.0.0.0', 'other.0.0.1', 'lasting.0.0.0', 'short.0.0.0']);
	t.deepEqual(orderQueue(queued, clusterWithShortJob([100, 'running'], 2), 60_000), ['other.0.0.0', 'other.0.0.1', 'lasting.0.0.0', 'short.0.0.0']);
	t.deepEqual(orderQueue(queued, clusterWithShortJob([100, 'running'], 1), 60_000), ['lasting.0.0.0', 'other.0.0.0', 'other.0.0.1', 'short.0.0.0']);
});

test('the first start of a long-running task goes behind short tasks that are in time, and before late ones, however old its job is', t => {
	const cluster = clusterWithShortJob(['never-ran', 'never-ran', 'never-ran']);
	t.deepEqual(orderQueue(['lasting.0.0.0', 'short.0.0.0'], cluster, 60_000), ['short.0.0.0', 'lasting.0.0.0']);
	t.deepEqual(orderQueue(['short.0.0.0', 'lasting.0.0.0'], cluster, 63_000), ['lasting.0.0.0', 'short.0.0.0']);
});

test('a task queued again after a failed attempt goes before a whole job of the same size that is in time', t => {
	const cluster = clusterWith(['failed', 'fresh'].map((jobId, index) => ({
		jobId, submittedAtMs: index, tasks: 4, runTimeMs: 500,
	})).toReversed());
	const failed = cluster.workflows.get('failed')!;
	const state: ClusterState = {
		...cluster,
		workflows: cluster.workflows.set('failed', {...failed, unfinishedByStep: immutableMap([['0.0', 1]])}),
		tasks: cluster.tasks.update('failed.0.0.3', task => ({...task!, attempt: 1, failures: 1})),
	};
	t.is(orderQueue(['fresh.0.0.0', 'fresh.0.0.1', 'failed.0.0.3'], state, 100)[0], 'failed.0.0.3');
});
