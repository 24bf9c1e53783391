import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {
	addResources, fitsInto, noResources, type Resources, subtractResources,
} from '../cluster/resources.js';
import {isLongRunning} from '../cluster/workflow-progress.js';

/**
Returns whether a task is long-running or of class `latency-critical`.

@example
isLongRunningOrServing(task, cluster); // => false for a task of a batch step without `longRunning`
*/
export function isLongRunningOrServing(task: Task, cluster: ClusterState): boolean {
	return task.workClass === 'latency-critical' || isLongRunning(cluster, task);
}

const dimensions = ['processorsMilli', 'memoryMb', 'accelerators'] as const;

/** Resources that the ending tasks of a VM will release, and how much of them is released per millisecond. Ending tasks are all but long-running or serving ones, unless these are being stopped. */
export type ReleaseEstimate = Readonly<{releasable: Resources; releasedPerMs: Resources}>;

/**
Estimates what the ending tasks of a VM release. The declared run time of a single task is too inaccurate to predict its end, so the estimate
is the sum of the rates at which all of them release resources.

@example
releaseEstimateOf(vm, cluster).releasable.processorsMilli; // => 4200
*/
export function releaseEstimateOf(vm: Vm, cluster: ClusterState): ReleaseEstimate {
	let releasable = noResources;
	const releasedPerMs = {processorsMilli: 0, memoryMb: 0, accelerators: 0};
	for (const taskId of vm.taskIds) {
		const task = cluster.tasks.get(taskId);
		if (!task?.claim || (isLongRunningOrServing(task, cluster) && task.phase !== 'evicting' && task.phase !== 'cancelling')) {
			continue;
		}

		const {committed} = task.claim;
		releasable = addResources(releasable, committed);
		for (const dimension of dimensions) {
			releasedPerMs[dimension] += committed[dimension] / Math.max(1, task.spec.declaredRunTimeMs);
		}
	}

	return {releasable, releasedPerMs};
}

/**
Estimates the time in milliseconds until a VM that accepts no other task has a demand free; undefined when its ending tasks do not release enough.

@param free Free resources of the VM, pending claims included.

@example
freeResourcesWaitMs(releaseEstimateOf(vm, cluster), demand, free); // => 350
*/
export function freeResourcesWaitMs({releasable, releasedPerMs}: ReleaseEstimate, demand: Resources, free: Resources): number | undefined {
	const missing = subtractResources(demand, free);
	return fitsInto(missing, releasable)
		? Math.max(...dimensions.map(dimension => missing[dimension] === 0 ? 0 : missing[dimension] / releasedPerMs[dimension]))
		: undefined;
}
