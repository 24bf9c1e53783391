import {type ClusterState, type CreatedTasks, type WorkflowRun} from './cluster-state.js';
import {noCreatedTasks, uncreatedTasksOf} from './task-creation.js';
import {cancelTask} from './task-transitions.js';
import {parseStepKey} from './workflow.js';
import {finishWorkflow, isStopping} from './workflow-progress.js';

/** Returns the tasks of a step as all created, so that none is created any more. */
function withAllCreated({workflow}: WorkflowRun, key: string, {offset}: CreatedTasks): CreatedTasks {
	return {...noCreatedTasks, nextIndex: workflow.steps[parseStepKey(key).stepIndex]!.count, offset};
}

/**
Stops the job of a workflow. Tasks without a live attempt end at once, also those that are not created yet; the others are marked to stop.

@example
stopWorkflow(state, 'job-1', {phase: 'cancelled', offset: 17}).workflows.get('job-1').phase; // => 'cancelled'
*/
export function stopWorkflow(state: ClusterState, jobId: string, {phase, offset}: Readonly<{phase: 'cancelled' | 'failed'; offset: number}>): ClusterState {
	const run = state.workflows.get(jobId);
	if (!run || isStopping(run)) {
		return state;
	}

	const stopping: WorkflowRun = {
		...run, phase, readySteps: [], createdByStep: run.createdByStep.map((created, key) => withAllCreated(run, key, created)),
	};
	const unfinished = (state.unfinishedTasksByJob.get(jobId) ?? 0) - uncreatedTasksOf(run);
	let next: ClusterState = {
		...state,
		unfinishedTasksByJob: unfinished === 0 ? state.unfinishedTasksByJob.delete(jobId) : state.unfinishedTasksByJob.set(jobId, unfinished),
		workflows: state.workflows.set(jobId, stopping),
	};
	for (const taskId of run.taskIds) {
		next = cancelTask(next, taskId, offset);
	}

	// A schedule without a live occurrence has no task whose end would finish the job.
	return (next.unfinishedTasksByJob.get(jobId) ?? 0) === 0 ? finishWorkflow(next, jobId) : next;
}
