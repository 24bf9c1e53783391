import {type ClusterState, type Task, type Vm} from './cluster-state.js';
import {stepOf} from './workflow-progress.js';

/** Counts the tasks of the same step and occurrence that are bound to a VM. */
function countStepTasksOnVm(state: ClusterState, task: Task, vm: Vm): number {
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
Returns whether a task's workflow allows it on a VM; a task without a workflow is allowed on each. Checks that the VM's worker has the
workflow's service, that the VM has the label that the step requires, and the maximum number of the step's tasks on the VM.

@param pendingStepClaims number of pending claims that bind tasks of the same step to the VM.

@example
isAllowedOnVm(state, task, vm, 0); // => true
*/
export function isAllowedOnVm(state: ClusterState, task: Task, vm: Vm, pendingStepClaims: number): boolean {
	const step = stepOf(state, task);
	const run = state.workflows.get(task.jobId);
	if (!step || !run) {
		return true;
	}

	return vm.service === run.workflow.service
		&& (step.requiredLabel === undefined || vm.labels.includes(step.requiredLabel))
		&& (step.maxTasksPerVm === undefined || countStepTasksOnVm(state, task, vm) + pendingStepClaims < step.maxTasksPerVm);
}
