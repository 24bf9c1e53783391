import {type ClusterState, type Task, type TaskPhase} from './cluster-state.js';
import {entityName, removeEntityOffset, markChanged} from './entity-offsets.js';
import {type Job} from './intent.js';
import {MAX_FINISHED_JOBS, MAX_FINISHED_TASKS} from './state-limits.js';
import {createReadyTasks, removeEndedTask} from './task-creation.js';
import {dequeue, enqueue} from './task-queue.js';
import {releaseClaim} from './vm-commitment.js';
import {withoutReplacementSuffix} from './workflow.js';
import {
	addWorkflow, advanceWorkflow, finishWorkflow, isStopping,
} from './workflow-progress.js';

/** Phases in which a task has a live attempt. */
const livePhases: ReadonlySet<TaskPhase> = new Set<TaskPhase>(['claimed', 'running', 'evicting', 'cancelling']);

/**
Returns whether a task has a live attempt: one that was claimed and has not ended.

@example
hasLiveAttempt({...task, phase: 'queued'}); // => false
*/
export function hasLiveAttempt(task: Task): boolean {
	return livePhases.has(task.phase);
}

/**
Ends a task's live attempt and queues the task for its next attempt. When the job is stopping, the task ends as `cancelled` instead.

@example
requeueTask(state, task, {offset: 17, reason: 'the worker refused it'}).tasks.get('task-1').phase; // => 'queued'
*/
export function requeueTask(
	state: ClusterState,
	task: Task,
	change: Readonly<{offset: number; reason: string; checkpoint?: string; failures?: number; evictions?: number; failedOnVmIds?: readonly string[]}>,
): ClusterState {
	const {offset, ...fields} = change;
	const run = state.workflows.get(task.jobId);
	return run && isStopping(run)
		? endTask(state, task, 'cancelled', change)
		: enqueue(releaseClaim(state, task), {...task, ...fields, changedOffset: offset});
}

/** Removes the oldest finished jobs with their tasks until the limits of `state-limits.ts` hold. One finished job always stays. */
function removeOldestFinishedJobs(state: ClusterState): ClusterState {
	let next = state;
	while (next.finishedJobs.size > MAX_FINISHED_JOBS || (next.finishedTaskCount > MAX_FINISHED_TASKS && next.finishedJobs.size > 1)) {
		const oldest: readonly [string, number] | undefined = next.finishedJobs.entrySeq().first();
		if (!oldest) {
			return next;
		}

		const [jobId, taskCount] = oldest;
		const taskIds = next.jobs.get(jobId) ?? [];
		next = removeEntityOffset({
			...next,
			finishedJobs: next.finishedJobs.delete(jobId),
			finishedTaskCount: next.finishedTaskCount - taskCount,
			jobs: next.jobs.delete(jobId),
			tasks: next.tasks.withMutations(tasks => {
				for (const taskId of taskIds) {
					tasks.delete(taskId);
				}
			}),
		}, entityName('job', jobId));
	}

	return next;
}

/**
Moves a task to a final phase and ends its live attempt. To keep the state small, the task of a workflow is removed, and of another one the payload and
the checkpoint are dropped.

@example
endTask(state, task, 'finished', {offset: 17, reason: ''}).tasks.get('task-1').phase; // => 'finished'
*/
export function endTask(
	state: ClusterState,
	task: Task,
	phase: 'finished' | 'failed' | 'cancelled' | 'unplaceable',
	change: Readonly<{offset: number; reason: string; failures?: number; failedOnVmIds?: readonly string[]}>,
): ClusterState {
	const {offset, ...fields} = change;
	const {taskId} = task.spec;
	const released = task.claim ? releaseClaim(state, task) : dequeue(state, task);
	const stored: ClusterState = task.position
		? removeEndedTask(released, task)
		: {
			...released,
			tasks: released.tasks.set(taskId, {
				...task, ...fields, spec: {...task.spec, payload: ''}, checkpoint: '', phase, claim: undefined, changedOffset: offset,
			}),
		};
	const ended = createReadyTasks(phase === 'finished' ? advanceWorkflow(stored, task) : stored, task.jobId);
	const unfinished = (ended.unfinishedTasksByJob.get(task.jobId) ?? 1) - 1;
	if (unfinished > 0) {
		return {...ended, unfinishedTasksByJob: ended.unfinishedTasksByJob.set(task.jobId, unfinished)};
	}

	if (ended.workflows.has(task.jobId)) {
		return finishWorkflow({...ended, unfinishedTasksByJob: ended.unfinishedTasksByJob.delete(task.jobId)}, task.jobId);
	}

	const taskCount = ended.jobs.get(task.jobId)?.length ?? 0;
	return removeOldestFinishedJobs(markChanged({
		...ended,
		unfinishedTasksByJob: ended.unfinishedTasksByJob.delete(task.jobId),
		finishedJobs: ended.finishedJobs.set(task.jobId, taskCount),
		finishedTaskCount: ended.finishedTaskCount + taskCount,
	}, offset, [entityName('job', task.jobId)]));
}

const maxNameLength = 128;

/** Returns an unused ID for the replacement of a lost latency-critical task, such as `replica-1.r17`, where 17 is the offset of the record that reported the loss. */
function replacementId(state: ClusterState, taskId: string, offset: number): string {
	const base = withoutReplacementSuffix(taskId);
	for (let index = 0; ; index++) {
		const suffix = index === 0 ? `.r${offset}` : `.r${offset}-${index}`;
		const id = base.slice(0, maxNameLength - suffix.length) + suffix;
		if (!state.tasks.has(id)) {
			return id;
		}
	}
}

/**
Replaces a lost latency-critical task by a queued one. The lost task may still run, so it is removed from the state and the replacement has a new ID.

@example
replaceLostTask(state, task, {offset: 17, reason: 'VM vm-1 was lost'}).tasks.has('replica-1.r17'); // => true
*/
export function replaceLostTask(state: ClusterState, task: Task, change: Readonly<{offset: number; reason: string}>): ClusterState {
	const {taskId} = task.spec;
	const newId = replacementId(state, taskId, change.offset);
	const released = releaseClaim(state, task);
	return enqueue({
		...released,
		tasks: released.tasks.delete(taskId),
		jobs: released.jobs.update(task.jobId, [], taskIds => taskIds.map(id => id === taskId ? newId : id)),
		workflows: released.workflows.update(task.jobId, run => run && {...run, taskIds: run.taskIds.delete(taskId).add(newId)}),
	}, {
		...task,
		spec: {...task.spec, taskId: newId},
		attempt: 0,
		checkpoint: '',
		failures: 0,
		submittedOffset: change.offset,
		changedOffset: change.offset,
		reason: `replaces ${taskId}: ${change.reason}`,
	});
}

/**
Handles the loss of a live attempt: a task that is being cancelled ends, a latency-critical task is replaced and a batch task is queued again.
The attempt of a batch task must have stopped for certain; that of a latency-critical task may still run on an unreachable VM.

@example
handleLostAttempt(state, task, {offset: 17, reason: 'VM vm-1 was lost'});
*/
export function handleLostAttempt(state: ClusterState, task: Task, change: Readonly<{offset: number; reason: string}>): ClusterState {
	if (task.phase === 'cancelling') {
		return endTask(state, task, 'cancelled', change);
	}

	return task.workClass === 'latency-critical' ? replaceLostTask(state, task, change) : requeueTask(state, task, change);
}

/**
Marks a claimed or running task as `evicting`, so that its agent checkpoints and stops it.

@example
evictTask(state, task, {offset: 17, reason: 'VM vm-1 is drained'}).tasks.get('task-1').phase; // => 'evicting'
*/
export function evictTask(state: ClusterState, task: Task, change: Readonly<{offset: number; reason: string}>): ClusterState {
	return task.phase === 'claimed' || task.phase === 'running'
		? {
			...state,
			tasks: state.tasks.set(task.spec.taskId, {
				...task, phase: 'evicting', changedOffset: change.offset, reason: change.reason,
			}),
		}
		: state;
}

/**
Cancels a task. A queued task ends at once, a live one must stop first. The cost does not depend on the number of tasks.

@example
cancelTask(state, 'task-1', 17).tasks.get('task-1').phase; // => 'cancelled'
*/
export function cancelTask(state: ClusterState, taskId: string, offset: number): ClusterState {
	const task = state.tasks.get(taskId);
	if (!task) {
		return state;
	}

	if (task.phase === 'queued') {
		return endTask(state, task, 'cancelled', {offset, reason: 'cancelled while queued'});
	}

	return hasLiveAttempt(task) && task.phase !== 'cancelling'
		? {
			...state,
			tasks: state.tasks.set(taskId, {
				...task, phase: 'cancelling', changedOffset: offset, reason: 'cancelled while running',
			}),
		}
		: state;
}

/**
Adds a job with its tasks in phase `queued`, or the job of a workflow. The caller has checked with `isNewJob` that the identifiers are new.

@example
addJob(state, job, 17).tasks.get('task-1').phase; // => 'queued'
*/
export function addJob(state: ClusterState, job: Job, offset: number): ClusterState {
	if (job.workflow) {
		return addWorkflow(state, job, job.workflow, offset);
	}

	let next = markChanged({
		...state,
		jobs: state.jobs.set(job.jobId, job.tasks.map(spec => spec.taskId)),
		unfinishedTasksByJob: state.unfinishedTasksByJob.set(job.jobId, job.tasks.length),
	}, offset, [entityName('job', job.jobId)]);
	for (const spec of job.tasks) {
		next = enqueue(next, {
			spec,
			position: undefined,
			jobId: job.jobId,
			teamId: job.teamId,
			workClass: job.workClass,
			priority: job.priority,
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
		});
	}

	return next;
}

/**
Returns whether the identifiers of a job and its tasks are new. A repeated submission is ignored.

@example
isNewJob(state, job); // => true
*/
export function isNewJob(state: ClusterState, job: Job): boolean {
	const taskIds = new Set(job.tasks.map(spec => spec.taskId));
	return !state.jobs.has(job.jobId) && !state.finishedWorkflows.has(job.jobId) && taskIds.size === job.tasks.length && job.tasks.every(spec => !state.tasks.has(spec.taskId));
}
