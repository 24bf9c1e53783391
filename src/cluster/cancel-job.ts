import {type ClusterState} from './cluster-state.js';
import {stopWorkflow} from './stop-workflow.js';
import {cancelTask} from './task-transitions.js';

/**
Cancels a job of either kind. Tasks without a live attempt end at once, the others must stop first.

@example
cancelJob(state, 'job-1', 17).finishedWorkflows.get('job-1').phase; // => 'cancelled'
*/
export function cancelJob(state: ClusterState, jobId: string, offset: number): ClusterState {
	if (state.workflows.has(jobId)) {
		return stopWorkflow(state, jobId, {phase: 'cancelled', offset});
	}

	let next = state;
	for (const taskId of state.jobs.get(jobId) ?? []) {
		next = cancelTask(next, taskId, offset);
	}

	return next;
}
