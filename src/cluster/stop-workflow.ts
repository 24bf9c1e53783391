import {type ClusterState, type WorkflowRun} from './cluster-state.js';
import {cancelTask} from './task-transitions.js';
import {finishWorkflow, isStopping} from './workflow-progress.js';

/**
Stops the job of a workflow. Tasks without a live attempt end at once, the others are marked to stop.

@example
stopWorkflow(state, 'job-1', {phase: 'cancelled', offset: 17}).workflows.get('job-1').phase; // => 'cancelled'
*/
export function stopWorkflow(state: ClusterState, jobId: string, {phase, offset}: Readonly<{phase: 'cancelled' | 'failed'; offset: number}>): ClusterState {
	const run = state.workflows.get(jobId);
	if (!run || isStopping(run)) {
		return state;
	}

	const stopping: WorkflowRun = {...run, phase};
	let next: ClusterState = {...state, workflows: state.workflows.set(jobId, stopping)};
	for (const taskId of state.jobs.get(jobId) ?? []) {
		next = cancelTask(next, taskId, offset);
	}

	// A schedule without a live occurrence has no task whose end would finish the job.
	return (next.unfinishedTasksByJob.get(jobId) ?? 0) === 0 ? finishWorkflow(next, jobId) : next;
}
