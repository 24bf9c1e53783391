import {Map as immutableMap, Set as immutableSet} from 'immutable';
import {type ClusterState, type WorkflowRun} from './cluster-state.js';

/** For tests: returns the fields of a workflow's run of which all tasks were created and the given ones have not ended. */
export function createdTasksFixture(taskIds: Iterable<string> = []): Pick<WorkflowRun, 'createdByStep' | 'readySteps' | 'taskIds' | 'queuedTasks'> {
	return {
		createdByStep: immutableMap(), readySteps: [], taskIds: immutableSet(taskIds), queuedTasks: 0,
	};
}

/** For tests: returns a state in which the run of a workflow has the given tasks as well. */
export function withTaskIds(cluster: ClusterState, jobId: string, taskIds: Iterable<string>): ClusterState {
	return {
		...cluster, jobs: cluster.jobs.set(jobId, []), workflows: cluster.workflows.update(jobId, run => run && {...run, taskIds: run.taskIds.union(taskIds)}),
	};
}
