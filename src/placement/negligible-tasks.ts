import {type Task, type Vm} from '../cluster/cluster-state.js';
import {type PlacementPass} from './placement-pass.js';

/**
Tasks on a VM from which on it takes none that demand less than this part of it. No VM is ever full of such tasks by their demand, but its agent, its worker
and the entries hold each of them.
*/
const maxTasksPerVm = 512;

/** Share of the memory for tasks that is left to the tasks that VMs bound by their demand. */
export const shareOfOtherTasks = 1 / 2;

/**
Returns whether a task demands so little of a VM that its resources do not bound the number of such tasks.

@example
isNegligibleOn(task, vm); // => true for a task that demands nothing
*/
export function isNegligibleOn({spec: {demand}}: Task, {capacity}: Vm): boolean {
	return demand.processorsMilli * maxTasksPerVm < capacity.processorsMilli && demand.memoryMb * maxTasksPerVm < capacity.memoryMb && demand.accelerators === 0;
}

/**
Returns whether a VM takes no more tasks that demand as little as this one.

@example
isFullForTask(pass, task, vm); // => false
*/
export function isFullForTask({isTaskMemoryShort}: Pick<PlacementPass, 'isTaskMemoryShort'>, task: Task, vm: Vm): boolean {
	return (isTaskMemoryShort || vm.taskIds.size >= maxTasksPerVm) && isNegligibleOn(task, vm);
}
