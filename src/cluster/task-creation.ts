import {Set as immutableSet} from 'immutable';
import {
	type ClusterState, type CreatedTasks, type Task, type WorkflowRun,
} from './cluster-state.js';
import {MAX_QUEUED_TASKS_OF_LARGE_JOBS, MAX_QUEUED_TASKS_OF_SMALL_JOB, MAX_QUEUED_TASKS_PER_CLASS} from './state-limits.js';
import {enqueue} from './task-queue.js';
import {
	committedByStep, parseStepKey, parseTaskId, stepKeyOf, taskIdOf, type Step, type TaskPosition, type Workflow,
} from './workflow.js';

/** Share of the free places of a queue that one workflow may take, so that a few large jobs leave places to the jobs that come after them. */
const queueShare = 1 / 8;

/** Returns the kind of work under which interference is estimated: the step's image, or else the workflow's queue, in characters that a name may have. */
function taskKindOf(workflow: Workflow, step: Step): string {
	return (step.image ?? workflow.queue).replaceAll(/[^\w.:\-]/gv, '_').slice(0, 128);
}

/**
Returns whether all steps that a step waits for have finished.

@example
isReady(run, {occurrence: 0, stepIndex: 1}); // => false
*/
export function isReady({workflow, unfinishedByStep}: Pick<WorkflowRun, 'workflow' | 'unfinishedByStep'>, {occurrence, stepIndex}: TaskPosition): boolean {
	return (workflow.steps[stepIndex]?.dependsOn ?? []).every(dependency => (unfinishedByStep.get(stepKeyOf({occurrence, stepIndex: dependency})) ?? 0) === 0);
}

function createTask(state: ClusterState, run: WorkflowRun, {position, index, offset}: Readonly<{position: TaskPosition; index: number; offset: number}>): ClusterState {
	const {workflow, owner} = run;
	const step = workflow.steps[position.stepIndex]!;
	const taskId = taskIdOf(owner.jobId, position, index);
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
		phase: 'queued',
		attempt: 0,
		claim: undefined,
		checkpoint: '',
		failures: 0,
		evictions: 0,
		failedOnVmIds: [],
		submittedOffset: offset,
		changedOffset: offset,
		reason: 'waits for a placement',
	};
	return enqueue({...state, workflows: state.workflows.update(owner.jobId, run, current => ({...current, taskIds: current.taskIds.add(taskId)}))}, task);
}

/** Returns how many tasks of a workflow may be queued: at least one, so that each job goes on however full the queue of its class is. */
function queuedTasksAllowed({queued}: ClusterState, {owner: {priority}}: WorkflowRun): number {
	const queuedTasks = queued.get(priority)?.size ?? 0;
	const shareUpTo = (limit: number): number => Math.floor((limit - queuedTasks) * queueShare);
	return Math.max(1, shareUpTo(MAX_QUEUED_TASKS_OF_LARGE_JOBS), Math.min(MAX_QUEUED_TASKS_OF_SMALL_JOB, shareUpTo(MAX_QUEUED_TASKS_PER_CLASS)));
}

/**
Creates tasks of a workflow whose turn has come, in the order of their steps and indexes, as far as the bounds on queued tasks allow. The others exist
as a number only. Call it when a step becomes ready and when a task leaves the queue.

@example
createReadyTasks(state, 'job-1').workflows.get('job-1').queuedTasks; // => 500
*/
export function createReadyTasks(state: ClusterState, jobId: string): ClusterState {
	let next = state;
	for (let run = next.workflows.get(jobId); run !== undefined && run.readySteps.length > 0; run = next.workflows.get(jobId)) {
		if (run.queuedTasks >= queuedTasksAllowed(next, run)) {
			return next;
		}

		next = createNextTask(next, run);
	}

	return next;
}

/** Creates the next task of the first ready step, or takes the step off the list when it has none left. */
function createNextTask(state: ClusterState, run: WorkflowRun): ClusterState {
	const [position] = run.readySteps;
	const key = stepKeyOf(position!);
	const created = run.createdByStep.get(key)!;
	const {nextIndex, aheadIndexes, offset} = created;
	if (nextIndex >= run.workflow.steps[position!.stepIndex]!.count) {
		return withRun(state, {...run, readySteps: run.readySteps.slice(1)});
	}

	const advanced = withRun(state, {
		...run, createdByStep: run.createdByStep.set(key, {nextIndex: nextIndex + 1, aheadIndexes: aheadIndexes.delete(nextIndex), offset}),
	});
	return aheadIndexes.has(nextIndex) ? advanced : createTask(advanced, run, {position: position!, index: nextIndex, offset});
}

function withRun(state: ClusterState, run: WorkflowRun): ClusterState {
	return {...state, workflows: state.workflows.set(run.owner.jobId, run)};
}

/**
Creates a task out of order, unless it exists, has ended or waits for other steps. An entry of a version that creates all tasks of a step at once may
claim a task that this one has not created yet; readers of both versions must decide alike on its claim.

@example
createNamedTask(state, 'job-1.0.0.2017').tasks.has('job-1.0.0.2017'); // => true
*/
export function createNamedTask(state: ClusterState, taskId: string): ClusterState {
	const found = state.tasks.has(taskId) ? undefined : findCreatedTasks(state, taskId);
	if (!found) {
		return state;
	}

	const {run, position, index, created} = found;
	const isWaiting = !isCreated(created, index) && index < run.workflow.steps[position.stepIndex]!.count && isReady(run, position);
	return isWaiting
		? createTask(withRun(state, {
			...run, createdByStep: run.createdByStep.set(stepKeyOf(position), {...created, aheadIndexes: created.aheadIndexes.add(index)}),
		}), run, {position, index, offset: created.offset})
		: state;
}

function findCreatedTasks(state: ClusterState, taskId: string): Readonly<{run: WorkflowRun; position: TaskPosition; index: number; created: CreatedTasks}> | undefined {
	const parsed = parseTaskId(taskId);
	const run = parsed && state.workflows.get(parsed.jobId);
	const created = run?.createdByStep.get(stepKeyOf(parsed!.position));
	return run && created && {
		run, position: parsed.position, index: parsed.index, created,
	};
}

function isCreated({nextIndex, aheadIndexes}: CreatedTasks, index: number): boolean {
	return index < nextIndex || aheadIndexes.has(index);
}

/** Why the state holds no record of a task of an unfinished workflow. */
export type AbsenceReason = 'ended' | 'waits for its turn in the job' | 'waits for earlier steps';

/**
Returns why the state holds no record of a task; undefined when it holds one, and when no unfinished workflow has such a task.

@example
absenceReasonOf(state, 'job-1.0.0.3'); // => 'ended'
*/
export function absenceReasonOf(state: ClusterState, taskId: string): AbsenceReason | undefined {
	const found = state.tasks.has(taskId) ? undefined : findCreatedTasks(state, taskId);
	if (!found || found.index >= found.run.workflow.steps[found.position.stepIndex]!.count) {
		return undefined;
	}

	if (isCreated(found.created, found.index)) {
		return 'ended';
	}

	return isReady(found.run, found.position) ? 'waits for its turn in the job' : 'waits for earlier steps';
}

/**
Returns the number of tasks of a workflow that are not created yet, of the occurrences that were made.

@example
uncreatedTasksOf(run); // => 255_000
*/
export function uncreatedTasksOf({workflow, createdByStep}: Pick<WorkflowRun, 'workflow' | 'createdByStep'>): number {
	let uncreated = 0;
	for (const [key, {nextIndex, aheadIndexes}] of createdByStep) {
		uncreated += workflow.steps[parseStepKey(key).stepIndex]!.count - nextIndex - aheadIndexes.size;
	}

	return uncreated;
}

/**
Returns the steps that wait for no other step and have tasks that are not created yet, in the order in which these are created.

@example
readyStepsOf(run); // => [{occurrence: 0, stepIndex: 0}]
*/
export function readyStepsOf(run: Pick<WorkflowRun, 'workflow' | 'unfinishedByStep' | 'createdByStep'>): readonly TaskPosition[] {
	return [...run.createdByStep]
		.map(([key, {nextIndex}]) => ({position: parseStepKey(key), nextIndex}))
		.filter(({position, nextIndex}) => nextIndex < run.workflow.steps[position.stepIndex]!.count && isReady(run, position))
		.map(({position}) => position)
		.toSorted((left, right) => left.occurrence - right.occurrence || left.stepIndex - right.stepIndex);
}

/** The tasks of a step of which none has been created. */
export const noCreatedTasks: Omit<CreatedTasks, 'offset'> = {nextIndex: 0, aheadIndexes: immutableSet()};

/**
Removes a task that has ended from the state of its workflow. That it has ended is known from its index.

@example
removeEndedTask(state, task).tasks.has(task.spec.taskId); // => false
*/
export function removeEndedTask(state: ClusterState, {spec: {taskId}, jobId}: Task): ClusterState {
	const run = state.workflows.get(jobId);
	const removed = {...state, tasks: state.tasks.delete(taskId)};
	return run ? withRun(removed, {...run, taskIds: run.taskIds.delete(taskId)}) : removed;
}
