import {type ClusterState, type Vm} from '../cluster/cluster-state.js';
import {stepOf} from '../cluster/workflow-progress.js';

// Keyed by the VM's set of tasks, which is replaced whenever a task is bound or released.
const commitmentsByTaskSet = new WeakMap<Vm['taskIds'], number>();

/**
Returns the millicores that tasks commit on a VM and release by themselves: those of tasks that are not long-running.

@example
endingCommitmentMilli(vm, cluster); // => 5500
*/
export function endingCommitmentMilli(vm: Vm, cluster: ClusterState): number {
	const cached = commitmentsByTaskSet.get(vm.taskIds);
	if (cached !== undefined) {
		return cached;
	}

	let sumMilli = 0;
	for (const taskId of vm.taskIds) {
		const task = cluster.tasks.get(taskId);
		const isEnding = task?.claim !== undefined && !stepOf(cluster, task)?.longRunning;
		sumMilli += isEnding ? task.claim.committed.processorsMilli : 0;
	}

	commitmentsByTaskSet.set(vm.taskIds, sumMilli);
	return sumMilli;
}
