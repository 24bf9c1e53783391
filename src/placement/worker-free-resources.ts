import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {
	addResources, fitsInto, noResources, type Resources, subtractResources,
} from '../cluster/resources.js';
import {isAllowedOnVm} from '../cluster/step-constraints.js';
import {isLongRunning} from '../cluster/workflow-progress.js';

/** Resources of a VM that are not used by the tasks running on its worker; pending claims and ends that were not reported yet do not change them. */
type VmFreeResources = Readonly<{
	vm: Vm;
	free: Resources;
	/** Resources not used by the long-running tasks, which are free once all other running tasks have ended. */
	freeBesideLongRunning: Resources;
}>;

export type WorkerFreeResources = readonly VmFreeResources[];

/** Two ways to count the capacity for a task: VMs that have its whole demand free, or the sum of the free resources of several VMs. */
export type CapacityReading = 'on-vms' | 'in-pieces';

/** Free resources of the workers for one task, in millicores. */
export type TaskCapacity = Readonly<{
	largestMilli: number;
	sumMilli: number;
	/** Ways of counting by which there is capacity for the task twice over. */
	twiceOver: readonly CapacityReading[];
}>;

/**
Returns the free resources of the given workers, by VM.

@example
workerFreeResourcesOf(cluster, new Map([['vm-1', ['bake-1.0.0.0']]]))[0].free.processorsMilli; // => 15_000
*/
export function workerFreeResourcesOf(cluster: ClusterState, runningByVm: ReadonlyMap<string, Iterable<string>>): WorkerFreeResources {
	const vms: VmFreeResources[] = [];
	for (const [vmId, taskIds] of runningByVm) {
		const vm = cluster.vms.get(vmId);
		if (!vm) {
			continue;
		}

		let free = vm.capacity;
		let freeBesideLongRunning = vm.capacity;
		for (const taskId of taskIds) {
			const task = cluster.tasks.get(taskId);
			const demand = task?.spec.demand ?? noResources;
			free = subtractResources(free, demand);
			freeBesideLongRunning = task && isLongRunning(cluster, task) ? subtractResources(freeBesideLongRunning, demand) : freeBesideLongRunning;
		}

		vms.push({vm, free, freeBesideLongRunning});
	}

	return vms;
}

/**
Returns the capacity for a task on the VMs that it may run on and that are not leaving, draining or quarantined. The sum over several VMs counts
as capacity when the task would also fit twice beside the long-running tasks alone: the other tasks end soon, so that a VM can be reserved for it.

@example
capacityForTask(task, cluster, vms); // => {largestMilli: 5200, sumMilli: 38_400, twiceOver: ['in-pieces']}
*/
export function capacityForTask(task: Task, cluster: ClusterState, vms: WorkerFreeResources): TaskCapacity {
	const {demand} = task.spec;
	let largestMilli = 0;
	let sum = noResources;
	let times = 0;
	let timesBesideLongRunning = 0;
	for (const {vm, free, freeBesideLongRunning} of vms) {
		if (vm.leaving || vm.draining || vm.quarantined || !isAllowedOnVm(cluster, task, vm, 0)) {
			continue;
		}

		largestMilli = Math.max(largestMilli, free.processorsMilli);
		sum = addResources(sum, free);
		times += timesIn(demand, free);
		timesBesideLongRunning += timesIn(demand, freeBesideLongRunning);
	}

	const twiceOver: CapacityReading[] = [];
	if (times >= 2) {
		twiceOver.push('on-vms');
	}

	if (timesBesideLongRunning >= 2 && fitsInto(addResources(demand, demand), sum)) {
		twiceOver.push('in-pieces');
	}

	return {largestMilli, sumMilli: sum.processorsMilli, twiceOver};
}

/** Returns how often a demand fits, up to twice. */
function timesIn(demand: Resources, free: Resources): number {
	return fitsInto(addResources(demand, demand), free) ? 2 : (fitsInto(demand, free) ? 1 : 0);
}

/**
Returns whether more than half of the processors of a service's VMs are free.

@example
isHalfFree('loaf-orders', vms); // => true
*/
export function isHalfFree(service: string, vms: WorkerFreeResources): boolean {
	let capacityMilli = 0;
	let freeMilli = 0;
	for (const {vm, free} of vms) {
		if (vm.service === service) {
			capacityMilli += vm.capacity.processorsMilli;
			freeMilli += free.processorsMilli;
		}
	}

	return 2 * freeMilli > capacityMilli;
}
