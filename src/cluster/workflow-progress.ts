import {Map as immutableMap} from 'immutable';
import {type ClusterState, type Task, type WorkflowRun} from './cluster-state.js';
import {entityName, removeEntityOffset, markChanged} from './entity-offsets.js';
import {type Job} from './intent.js';
import {MAX_FINISHED_WORKFLOWS} from './state-limits.js';
import {enqueue} from './task-queue.js';
import {
	committedByStep, stepKeyOf, taskIdOf, type Step, type TaskPosition, type Workflow,
} from './workflow.js';

/** Returns the kind of work under which interference is estimated: the step's image, or else the workflow's queue, in characters that a name may have. */
function taskKindOf(workflow: Workflow, step: Step): string {
	return (step.image ?? workflow.queue).replaceAll(/[^\w.:\-]/gv, '_').slice(0, 128);
}

function addTask(state: ClusterState, run: WorkflowRun, {taskId, position, offset}: Readonly<{taskId: string; position: TaskPosition; offset: number}>): ClusterState {
	const {workflow, owner} = run;
	const step = workflow.steps[position.stepIndex]!;
	const isBlocked = (step.dependsOn ?? []).length > 0;
	const task: Task = {
		spec: {
			taskId,
			demand: committedByStep(step),
			declaredRunTimeMs: Math.max(1, step.declaredRunTimeMs),
			taskKind: taskKindOf(workflow, step),
			// All tasks of the job share the workflow's payload.
			payload: '',
		},
		position,
		...owner,
		phase: 'blocked',
		attempt: 0,
		claim: undefined,
		checkpoint: '',
		failures: 0,
		evictions: 0,
		failedOnVmIds: [],
		submittedOffset: offset,
		changedOffset: offset,
		reason: isBlocked ? 'waits for earlier steps' : 'waits for a placement',
	};
	return isBlocked ? {...state, tasks: state.tasks.set(taskId, task)} : enqueue(state, task);
}

/**
Creates the tasks of the next occurrence of a workflow. Occurrences are created in order; a record for any other one is ignored.

@example
createOccurrence(state, 'job-1', {occurrence: 0, offset: 17}).jobs.get('job-1'); // => ['job-1.0.0.0']
*/
export function createOccurrence(state: ClusterState, jobId: string, {occurrence, offset}: Readonly<{occurrence: number; offset: number}>): ClusterState {
	const run = state.workflows.get(jobId);
	if (run?.madeOccurrences !== occurrence || occurrence >= (run.workflow.schedule?.times ?? 1) || isStopping(run)) {
		return state;
	}

	const taskIds: string[] = [];
	let {unfinishedByStep} = run;
	let next = state;
	for (const [stepIndex, step] of run.workflow.steps.entries()) {
		const position = {occurrence, stepIndex};
		unfinishedByStep = unfinishedByStep.set(stepKeyOf(position), step.count);
		for (let index = 0; index < step.count; index++) {
			const taskId = taskIdOf(jobId, position, index);
			taskIds.push(taskId);
			next = addTask(next, run, {taskId, position, offset});
		}
	}

	return {
		...next,
		jobs: next.jobs.update(jobId, [], existingTaskIds => [...existingTaskIds, ...taskIds]),
		unfinishedTasksByJob: next.unfinishedTasksByJob.update(jobId, 0, count => count + taskIds.length),
		workflows: next.workflows.set(jobId, {...run, unfinishedByStep, madeOccurrences: occurrence + 1}),
	};
}

/**
Adds the job of a workflow. Without a schedule its tasks are created at once.

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
		unfinishedByStep: immutableMap(),
		madeOccurrences: 0,
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

/** Queues the tasks of the steps that depend on the finished step and whose other dependencies have finished too. */
function unblockSteps(state: ClusterState, run: WorkflowRun, finished: TaskPosition): ClusterState {
	const {workflow, unfinishedByStep, owner: {jobId}} = run;
	const {occurrence} = finished;
	let next = state;
	for (const [stepIndex, step] of workflow.steps.entries()) {
		const dependsOn = step.dependsOn ?? [];
		const isUnblocked = dependsOn.includes(finished.stepIndex)
			&& dependsOn.every(dependency => (unfinishedByStep.get(stepKeyOf({occurrence, stepIndex: dependency})) ?? 0) === 0);
		if (!isUnblocked) {
			continue;
		}

		for (let index = 0; index < step.count; index++) {
			const task = next.tasks.get(taskIdOf(jobId, {occurrence, stepIndex}, index));
			if (task?.phase === 'blocked') {
				next = enqueue(next, {...task, reason: 'waits for a placement'});
			}
		}
	}

	return next;
}

/**
Records that a task of a workflow has finished. When it was the last one of its step, the steps that no longer wait for others are queued.

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
	const next: ClusterState = {...state, workflows: state.workflows.set(task.jobId, advanced)};
	return unfinishedCount === 0 && !isStopping(advanced) ? unblockSteps(next, advanced, task.position) : next;
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
	const tasks = state.tasks.deleteAll(state.jobs.get(jobId) ?? []);
	if (hasMore) {
		return {
			...state, tasks, jobs: state.jobs.set(jobId, []), workflows: state.workflows.set(jobId, {...run, unfinishedByStep: immutableMap()}),
		};
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
