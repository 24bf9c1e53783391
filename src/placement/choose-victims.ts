import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {
	addResources, fitsInto, type Resources, noResources,
} from '../cluster/resources.js';
import {roomOf} from './feasibility.js';

/** Batch tasks whose eviction makes room, with the room that results. */
export type Victims = Readonly<{taskIds: readonly string[]; roomAfterEviction: Resources}>;

const rankByClass: Readonly<Record<PriorityClass, number>> = {background: 0, normal: 1, urgent: 2};

/** More evictions for one task cost more than a short wait. */
const maxVictims = 4;

/**
Chooses the fewest running batch tasks of lower priority that make room for a task; undefined when they do not suffice.

@example
chooseVictims(vm, task, cluster); // => {taskIds: ['stress-run-7'], roomAfterEviction: {…}}
*/
export function chooseVictims(vm: Vm, task: Task, cluster: ClusterState): Victims | undefined {
	const evictable = [...vm.taskIds]
		.map(taskId => cluster.tasks.get(taskId))
		.filter(found => found !== undefined)
		.filter(found => found.workClass === 'batch' && found.phase === 'running' && rankByClass[found.priority] < rankByClass[task.priority])
		.toSorted((left, right) => rankByClass[left.priority] - rankByClass[right.priority]
			|| left.evictions - right.evictions
			|| sizeOf(right) - sizeOf(left)
			|| (left.spec.taskId < right.spec.taskId ? -1 : 1));
	let room = roomOf(vm, noResources);
	const taskIds: string[] = [];
	for (const victim of evictable) {
		if (fitsInto(task.spec.demand, room) || taskIds.length >= maxVictims) {
			break;
		}

		taskIds.push(victim.spec.taskId);
		room = addResources(room, victim.claim?.committed ?? noResources);
	}

	return taskIds.length > 0 && fitsInto(task.spec.demand, room) ? {taskIds, roomAfterEviction: room} : undefined;
}

function sizeOf(task: Task): number {
	return task.claim?.committed.processorsMilli ?? 0;
}
