import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {pressOf, type PressEstimates} from '../agent/press-estimates.js';
import {stepOf} from '../cluster/workflow-progress.js';

/** What the tasks of a VM mean for one more task that fills idle processors. */
export type FillingLoad = Readonly<{
	/** Processors that the filling tasks there would use, in thousandths. */
	fillingMilli: number;
	/** Number of serving tasks there by what they run. */
	servingByImage: ReadonlyMap<string, number>;
}>;

// Keyed by the VM's set of tasks, which is replaced whenever a task comes or goes.
const loadsByTaskSet = new WeakMap<Vm['taskIds'], FillingLoad>();

/**
Sums the filling work and counts the serving tasks on a VM.

@example
fillingLoadOf(vm, cluster); // => {fillingMilli: 3600, servingByImage: new Map([['order-lookup', 2]])}
*/
export function fillingLoadOf(vm: Vm, cluster: ClusterState): FillingLoad {
	const cached = loadsByTaskSet.get(vm.taskIds);
	if (cached) {
		return cached;
	}

	let fillingMilli = 0;
	const servingByImage = new Map<string, number>();
	for (const taskId of vm.taskIds) {
		const task = cluster.tasks.get(taskId);
		const step = task && stepOf(cluster, task);
		fillingMilli += step?.fillsIdle ? step.demand.processorsMilli : 0;
		if (step?.latencyTargetMs !== undefined) {
			const image = step.image ?? '';
			servingByImage.set(image, (servingByImage.get(image) ?? 0) + 1);
		}
	}

	const load = {fillingMilli, servingByImage};
	loadsByTaskSet.set(vm.taskIds, load);
	return load;
}

/**
Says how many processors a task would take of the idle ones; 0 for a task that commits what it needs.

@example
fillingDemandMilli(task, cluster); // => 1800
*/
export function fillingDemandMilli(task: Task, cluster: ClusterState): number {
	const step = stepOf(cluster, task);
	return step?.fillsIdle ? step.demand.processorsMilli : 0;
}

/** Harm of a filling task to each serving neighbour, in thousandths of its target, beside what is known of the pair: any one may turn sensitive. */
const anyPressMilli = 400;

/**
Estimates what a filling task would add to the tails of the serving tasks on a VM, summed, in thousandths of their targets; 0 for
a task that commits what it needs.

@example
pressOfPlacementMilli(press, task, vm, cluster); // => 240
*/
export function pressOfPlacementMilli(press: PressEstimates, task: Task, vm: Vm, cluster: ClusterState): number {
	const fillingMilli = fillingDemandMilli(task, cluster);
	if (fillingMilli === 0) {
		return 0;
	}

	const image = stepOf(cluster, task)?.image ?? '';
	let sumMilli = 0;
	for (const [servingImage, count] of fillingLoadOf(vm, cluster).servingByImage) {
		sumMilli += count * (anyPressMilli + (fillingMilli * pressOf(press, servingImage, image)));
	}

	return Math.round(sumMilli);
}
