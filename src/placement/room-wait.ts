import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {
	addResources, fitsInto, noResources, type Resources, subtractResources,
} from '../cluster/resources.js';
import {isLongRunning} from '../cluster/workflow-progress.js';

/**
Tells whether a task runs until its job is cancelled, or serves requests until its service is changed.

@example
isLongRunningOrServing(task, cluster); // => false for a task of a batch step without `longRunning`
*/
export function isLongRunningOrServing(task: Task, cluster: ClusterState): boolean {
	return task.workClass === 'latency-critical' || isLongRunning(cluster, task);
}

const dimensions = ['processorsMilli', 'memoryMb', 'accelerators'] as const;

/** What the tasks of a VM that end hold, and how much of it they give back each millisecond. */
export type EndingWork = Readonly<{held: Resources; freedPerMs: Resources}>;

/**
Sums up what becomes free on a VM by tasks that end. Declared run times are far off for a single task, so that only their sum counts.

@example
endingWorkOf(vm, cluster).held.processorsMilli; // => 4200
*/
export function endingWorkOf(vm: Vm, cluster: ClusterState): EndingWork {
	let held = noResources;
	const freedPerMs = {processorsMilli: 0, memoryMb: 0, accelerators: 0};
	for (const taskId of vm.taskIds) {
		const task = cluster.tasks.get(taskId);
		if (!task?.claim || (isLongRunningOrServing(task, cluster) && task.phase !== 'evicting' && task.phase !== 'cancelling')) {
			continue;
		}

		const {committed} = task.claim;
		held = addResources(held, committed);
		for (const dimension of dimensions) {
			freedPerMs[dimension] += committed[dimension] / Math.max(1, task.spec.declaredRunTimeMs);
		}
	}

	return {held, freedPerMs};
}

/**
Estimates when a VM that takes nothing else has room for a demand; undefined when tasks that end do not give it.

@param room What the VM has left, claims under way included.

@example
roomWaitMs(endingWorkOf(vm, cluster), demand, room); // => 350
*/
export function roomWaitMs({held, freedPerMs}: EndingWork, demand: Resources, room: Resources): number | undefined {
	const missing = subtractResources(demand, room);
	return fitsInto(missing, held)
		? Math.max(...dimensions.map(dimension => missing[dimension] === 0 ? 0 : missing[dimension] / freedPerMs[dimension]))
		: undefined;
}
