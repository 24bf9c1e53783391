import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {
	addResources, fitsInto, type Resources, noResources,
} from '../cluster/resources.js';
import {isLongRunning} from '../cluster/workflow-progress.js';
import {freeResourcesOf} from './feasibility.js';

/** Batch tasks to evict from a VM, with its free resources after the eviction. */
export type Victims = Readonly<{taskIds: readonly string[]; freeAfterEviction: Resources}>;

const rankByClass: Readonly<Record<PriorityClass, number>> = {background: 0, normal: 1, urgent: 2};

/** More evictions for one task would cost more than a short wait. */
const maxVictims = 4;

/**
Returns the running batch tasks of lower priority to evict so that a task fits on a VM; undefined when evictions do not suffice or are not
needed. Lower classes, then tasks with fewer evictions, then larger tasks are evicted first. Each class retains its floor (guaranteed minimum
share) of the VM's processors, so that an overload of urgent tasks does not stop the other classes.

@example
chooseVictims(vm, task, cluster); // => {taskIds: ['stress-run-7'], freeAfterEviction: {…}}
*/
export function chooseVictims(vm: Vm, task: Task, cluster: ClusterState): Victims | undefined {
	const evictable = [...vm.taskIds]
		.map(taskId => cluster.tasks.get(taskId))
		.filter(found => found !== undefined)
		.filter(found => found.workClass === 'batch' && found.phase === 'running' && !isLongRunning(cluster, found) && rankByClass[found.priority] < rankByClass[task.priority])
		.toSorted((left, right) => rankByClass[left.priority] - rankByClass[right.priority]
			|| left.evictions - right.evictions
			|| committedProcessorsMilliOf(right) - committedProcessorsMilliOf(left)
			|| (left.spec.taskId < right.spec.taskId ? -1 : 1));
	let free = freeResourcesOf(vm, noResources);
	const taskIds: string[] = [];
	const runningMilli = runningMilliByClass(vm, cluster);
	for (const victim of evictable) {
		if (fitsInto(task.spec.demand, free) || taskIds.length >= maxVictims) {
			break;
		}

		const remainingMilli = runningMilli[victim.priority] - committedProcessorsMilliOf(victim);
		if (remainingMilli < floorMilliOf(vm, victim.priority, cluster)) {
			continue;
		}

		runningMilli[victim.priority] = remainingMilli;
		taskIds.push(victim.spec.taskId);
		free = addResources(free, victim.claim?.committed ?? noResources);
	}

	return taskIds.length > 0 && fitsInto(task.spec.demand, free) ? {taskIds, freeAfterEviction: free} : undefined;
}

/** Returns the millicores that a class retains on a VM: its configured floor, as a share of the VM's processors. */
function floorMilliOf(vm: Vm, priority: PriorityClass, cluster: ClusterState): number {
	return vm.capacity.processorsMilli * cluster.configuration.requestLimits.floorMilliByClass[priority] / 1000;
}

function runningMilliByClass(vm: Vm, cluster: ClusterState): Record<PriorityClass, number> {
	const running: Record<PriorityClass, number> = {background: 0, normal: 0, urgent: 0};
	for (const taskId of vm.taskIds) {
		const task = cluster.tasks.get(taskId);
		if (task?.workClass === 'batch' && task.phase === 'running') {
			running[task.priority] += committedProcessorsMilliOf(task);
		}
	}

	return running;
}

function committedProcessorsMilliOf(task: Task): number {
	return task.claim?.committed.processorsMilli ?? 0;
}
