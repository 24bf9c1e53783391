import {type ClusterState, type Task, type Vm} from './cluster-state.js';
import {stepOf} from './workflow-progress.js';

/** Tasks of the same step and occurrence that are bound to a VM. */
function siblingsOn(state: ClusterState, task: Task, vm: Vm): number {
	let count = 0;
	for (const taskId of vm.taskIds) {
		const other = state.tasks.get(taskId);
		if (
			other?.jobId === task.jobId
			&& other.position?.stepIndex === task.position?.stepIndex
			&& other.position?.occurrence === task.position?.occurrence
		) {
			count++;
		}
	}

	return count;
}

/**
Tells whether a task's workflow allows it on a VM: the service of the worker, the label that the step requires and the number
of the step's tasks there. `pendingSiblings` counts claims that are under way.

@example
isAllowedOn(state, task, vm, 0); // => true
*/
export function isAllowedOn(state: ClusterState, task: Task, vm: Vm, pendingSiblings: number): boolean {
	const step = stepOf(state, task);
	const run = state.workflows.get(task.jobId);
	if (!step || !run) {
		return true;
	}

	return vm.service === run.workflow.service
		&& (step.requiredLabel === undefined || vm.labels.includes(step.requiredLabel))
		&& (step.maxTasksPerVm === undefined || siblingsOn(state, task, vm) + pendingSiblings < step.maxTasksPerVm);
}
