import {Map as immutableMap, Set as immutableSet} from 'immutable';
import {type ClusterState, type Task, type WorkflowRun} from './cluster-state.js';
import {entityName, removeEntityOffset, markChanged} from './entity-offsets.js';
import {type Job} from './intent.js';
import {MAX_FINISHED_WORKFLOWS} from './state-limits.js';
import {createReadyTasks, noCreatedTasks, readyStepsOf} from './task-creation.js';
import {stepKeyOf, type Step, type Workflow} from './workflow.js';

/**
Makes the next occurrence of a workflow. Occurrences are made in order; a record for any other one is ignored.

@example
createOccurrence(state, 'job-1', {occurrence: 0, offset: 17}).workflows.get('job-1').taskIds; // => Set {'job-1.0.0.0'}
*/
export function createOccurrence(state: ClusterState, jobId: string, {occurrence, offset}: Readonly<{occurrence: number; offset: number}>): ClusterState {
	const run = state.workflows.get(jobId);
	if (run?.madeOccurrences !== occurrence || occurrence >= (run.workflow.schedule?.times ?? 1) || isStopping(run)) {
		return state;
	}

	let {unfinishedByStep, createdByStep} = run;
	let taskCount = 0;
	for (const [stepIndex, {count}] of run.workflow.steps.entries()) {
		const key = stepKeyOf({occurrence, stepIndex});
		unfinishedByStep = unfinishedByStep.set(key, count);
		createdByStep = createdByStep.set(key, {...noCreatedTasks, offset});
		taskCount += count;
	}

	const made: WorkflowRun = {
		...run, unfinishedByStep, createdByStep, madeOccurrences: occurrence + 1,
	};
	return createReadyTasks({
		...state,
		unfinishedTasksByJob: state.unfinishedTasksByJob.update(jobId, 0, count => count + taskCount),
		workflows: state.workflows.set(jobId, {...made, readySteps: readyStepsOf(made)}),
	}, jobId);
}

/** A workflow of which no occurrence is under way. */
const noTasks: Pick<WorkflowRun, 'unfinishedByStep' | 'createdByStep' | 'readySteps' | 'taskIds' | 'queuedTasks'> = {
	unfinishedByStep: immutableMap(), createdByStep: immutableMap(), readySteps: [], taskIds: immutableSet(), queuedTasks: 0,
};

/**
Adds the job of a workflow. Without a schedule its only occurrence is made at once.

@example
addWorkflow(state, job, workflow, 17).workflows.get(job.jobId).phase; // => 'queued'
*/
export function addWorkflow(state: ClusterState, job: Job, workflow: Workflow, offset: number): ClusterState {
	const {jobId, teamId, workClass, priority} = job;
	const run: WorkflowRun = {
		workflow,
		owner: {
			jobId, teamId, workClass, priority,
		},
		phase: 'queued',
		madeOccurrences: 0,
		...noTasks,
	};
	const added = markChanged({
		...state, jobs: state.jobs.set(jobId, []), workflows: state.workflows.set(jobId, run),
	}, offset, [entityName('job', jobId)]);
	return workflow.schedule ? added : createOccurrence(added, jobId, {occurrence: 0, offset});
}

/**
Returns whether a workflow's job was cancelled or has failed, so that no task of it may start.

@example
isStopping(run); // => false
*/
export function isStopping(run: WorkflowRun): boolean {
	return run.phase === 'cancelled' || run.phase === 'failed';
}

/** Returns a run with the steps that are ready now, and without an occurrence whose steps have all finished. */
function withReadySteps(run: WorkflowRun, occurrence: number): WorkflowRun {
	const keys = run.workflow.steps.map((_step, stepIndex) => stepKeyOf({occurrence, stepIndex}));
	const isOver = keys.every(key => run.unfinishedByStep.get(key) === 0);
	const current = isOver ? {...run, unfinishedByStep: run.unfinishedByStep.deleteAll(keys), createdByStep: run.createdByStep.deleteAll(keys)} : run;
	return {...current, readySteps: readyStepsOf(current)};
}

/**
Records that a task of a workflow has finished. When it was the last one of its step, tasks of the steps that no longer wait for others are created.

@example
advanceWorkflow(state, task).queued.get('urgent').size; // => 6
*/
export function advanceWorkflow(state: ClusterState, task: Task): ClusterState {
	const run = state.workflows.get(task.jobId);
	if (!run || !task.position) {
		return state;
	}

	const key = stepKeyOf(task.position);
	const unfinishedCount = (run.unfinishedByStep.get(key) ?? 1) - 1;
	const advanced: WorkflowRun = {...run, unfinishedByStep: run.unfinishedByStep.set(key, unfinishedCount)};
	const isUnblocking = unfinishedCount === 0 && !isStopping(advanced);
	const next: ClusterState = {...state, workflows: state.workflows.set(task.jobId, isUnblocking ? withReadySteps(advanced, task.position.occurrence) : advanced)};
	return isUnblocking ? createReadyTasks(next, task.jobId) : next;
}

/**
Finishes the job of a workflow whose tasks have all ended, unless its schedule has more occurrences. Only the outcome of a finished job stays in the state.

@example
finishWorkflow(state, 'job-1').finishedWorkflows.get('job-1').phase; // => 'completed'
*/
export function finishWorkflow(state: ClusterState, jobId: string): ClusterState {
	const run = state.workflows.get(jobId);
	if (!run) {
		return state;
	}

	const hasMore = !isStopping(run) && run.madeOccurrences < (run.workflow.schedule?.times ?? 1);
	const tasks = state.tasks.deleteAll(run.taskIds);
	if (hasMore) {
		return {...state, tasks, workflows: state.workflows.set(jobId, {...run, ...noTasks})};
	}

	const finishedWorkflows = state.finishedWorkflows.set(jobId, {
		queue: run.workflow.queue, phase: run.phase === 'failed' || run.phase === 'cancelled' ? run.phase : 'completed',
	});
	const oldest: string | undefined = finishedWorkflows.size > MAX_FINISHED_WORKFLOWS ? finishedWorkflows.keySeq().first() : undefined;
	return removeEntityOffset({
		...state,
		tasks,
		jobs: state.jobs.delete(jobId),
		workflows: state.workflows.delete(jobId),
		finishedWorkflows: oldest === undefined ? finishedWorkflows : finishedWorkflows.delete(oldest),
	}, entityName('job', jobId));
}

/**
Returns whether a task is long-running: its step runs until the job is cancelled.

@example
isLongRunning(state, task); // => true
*/
export function isLongRunning(state: ClusterState, task: Task): boolean {
	return stepOf(state, task)?.longRunning === true;
}

/**
Returns the workflow step that a task belongs to; undefined for a task without a workflow.

@example
stepOf(state, task)?.maxTasksPerVm; // => 2
*/
export function stepOf(state: ClusterState, task: Task): Step | undefined {
	return task.position && state.workflows.get(task.jobId)?.workflow.steps[task.position.stepIndex];
}

/** IDs of a job's tasks. */
export type TaskIds = Iterable<string> & Readonly<{some: (predicate: (taskId: string) => boolean) => boolean}>;

/**
Returns the tasks of a job that the state holds: of a workflow those that were created and have not ended.

@example
[...taskIdsOf(state, 'job-1')]; // => ['job-1.0.0.0']
*/
export function taskIdsOf({jobs, workflows}: Pick<ClusterState, 'jobs' | 'workflows'>, jobId: string): TaskIds {
	return workflows.get(jobId)?.taskIds ?? jobs.get(jobId) ?? [];
}
