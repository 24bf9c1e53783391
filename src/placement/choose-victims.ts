import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {
	addResources, fitsInto, type Resources, noResources,
} from '../cluster/resources.js';
import {isLongRunning} from '../cluster/workflow-progress.js';
import {freeResourcesOf} from './feasibility.js';

/** Batch tasks whose eviction makes room, with the room that results. */
export type Victims = Readonly<{taskIds: readonly string[]; roomAfterEviction: Resources}>;

const rankByClass: Readonly<Record<PriorityClass, number>> = {background: 0, normal: 1, urgent: 2};

/** More evictions for one task cost more than a short wait. */
const maxVictims = 4;

/**
Chooses the fewest running batch tasks of lower priority that make room for a task; undefined when they do not suffice.
Each class keeps its floor of the VM's processors, so that a flood of urgent tasks does not stop the other classes.

@example
chooseVictims(vm, task, cluster); // => {taskIds: ['stress-run-7'], roomAfterEviction: {…}}
*/
export function chooseVictims(vm: Vm, task: Task, cluster: ClusterState): Victims | undefined {
	const evictable = [...vm.taskIds]
		.map(taskId => cluster.tasks.get(taskId))
		.filter(found => found !== undefined)
		.filter(found => found.workClass === 'batch' && found.phase === 'running' && !isLongRunning(cluster, found) && rankByClass[found.priority] < rankByClass[task.priority])
		.toSorted((left, right) => rankByClass[left.priority] - rankByClass[right.priority]
			|| left.evictions - right.evictions
			|| sizeOf(right) - sizeOf(left)
			|| (left.spec.taskId < right.spec.taskId ? -1 : 1));
	let room = freeResourcesOf(vm, noResources);
	const taskIds: string[] = [];
	const runningMilli = runningByClass(vm, cluster);
	for (const victim of evictable) {
		if (fitsInto(task.spec.demand, room) || taskIds.length >= maxVictims) {
			break;
		}

		const leftMilli = runningMilli[victim.priority] - sizeOf(victim);
		if (leftMilli < floorMilliOf(vm, victim.priority, cluster)) {
			continue;
		}

		runningMilli[victim.priority] = leftMilli;
		taskIds.push(victim.spec.taskId);
		room = addResources(room, victim.claim?.committed ?? noResources);
	}

	return taskIds.length > 0 && fitsInto(task.spec.demand, room) ? {taskIds, roomAfterEviction: room} : undefined;
}

/** Processors that a class keeps on a VM: the floor that the configuration gives it of all places. */
function floorMilliOf(vm: Vm, priority: PriorityClass, cluster: ClusterState): number {
	return vm.capacity.processorsMilli * cluster.configuration.requestLimits.floorMilliByClass[priority] / 1000;
}

function runningByClass(vm: Vm, cluster: ClusterState): Record<PriorityClass, number> {
	const running: Record<PriorityClass, number> = {background: 0, normal: 0, urgent: 0};
	for (const taskId of vm.taskIds) {
		const task = cluster.tasks.get(taskId);
		if (task?.workClass === 'batch' && task.phase === 'running') {
			running[task.priority] += sizeOf(task);
		}
	}

	return running;
}

function sizeOf(task: Task): number {
	return task.claim?.committed.processorsMilli ?? 0;
}
