import {type Map as ImmutableMap} from 'immutable';
import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {latencyImpactOf, type LatencyImpactEstimates} from '../agent/latency-impact-estimates.js';
import {type Resources} from '../cluster/resources.js';
import {stepOf} from '../cluster/workflow-progress.js';

/** The tasks of a VM that decide whether it can take one more filling task. */
export type FillingLoad = Readonly<{
	/** Millicores that the filling tasks demand. */
	fillingMilli: number;
	/** Number of serving tasks, by image. */
	servingByImage: ReadonlyMap<string, number>;
	/** Millicores that the serving tasks commit. */
	servingMilli: number;
	/** Millicores that the filling tasks demand, by image. */
	fillingByImage: ReadonlyMap<string, number>;
}>;

// Keyed by the VM's set of tasks, which is replaced whenever a task is bound or released.
const loadsByTaskSet = new WeakMap<Vm['taskIds'], FillingLoad>();

/**
Returns the demand of the filling tasks and the number and commitment of the serving tasks on a VM.

@example
fillingLoadOf(vm, cluster).servingByImage; // => new Map([['order-lookup', 2]])
*/
export function fillingLoadOf(vm: Vm, cluster: ClusterState): FillingLoad {
	const cached = loadsByTaskSet.get(vm.taskIds);
	if (cached) {
		return cached;
	}

	let fillingMilli = 0;
	let servingMilli = 0;
	const servingByImage = new Map<string, number>();
	const fillingByImage = new Map<string, number>();
	for (const taskId of vm.taskIds) {
		const task = cluster.tasks.get(taskId);
		const step = task && stepOf(cluster, task);
		const image = step?.image ?? '';
		if (step?.fillsIdle) {
			fillingMilli += step.demand.processorsMilli;
			fillingByImage.set(image, (fillingByImage.get(image) ?? 0) + step.demand.processorsMilli);
		}

		if (step?.latencyTargetMs !== undefined) {
			servingMilli += step.demand.processorsMilli;
			servingByImage.set(image, (servingByImage.get(image) ?? 0) + 1);
		}
	}

	const load = {
		fillingMilli, servingByImage, servingMilli, fillingByImage,
	};
	loadsByTaskSet.set(vm.taskIds, load);
	return load;
}

/**
Returns the millicores that a filling task demands; 0 for other tasks, which commit what they need.

@example
fillingDemandMilli(task, cluster); // => 1800
*/
export function fillingDemandMilli(task: Task, cluster: ClusterState): number {
	const step = stepOf(cluster, task);
	return step?.fillsIdle ? step.demand.processorsMilli : 0;
}

/** Share of their committed processors that serving tasks use at peak load, in thousandths. */
const servingPeakUseShareMilli = 550;

/**
Returns the millicores of a VM that are neither used by committed tasks nor demanded by filling tasks. Serving tasks commit what their largest
load needs and leave much of it unused; filling tasks may use that, since they yield at once. Where filling tasks got less than their demand,
the result is limited to the processors that the agent measured as available to them.

@example
idleMilliOf(vm, {free: freeResourcesOf(vm, noResources), fillingRoomMilli: undefined}, cluster); // => 6200
*/
export function idleMilliOf(vm: Vm, {free, fillingRoomMilli}: Readonly<{free: Resources; fillingRoomMilli: number | undefined}>, cluster: ClusterState): number {
	const {fillingMilli, servingMilli} = fillingLoadOf(vm, cluster);
	const unusedMilli = free.processorsMilli + Math.floor(servingMilli * (1000 - servingPeakUseShareMilli) / 1000);
	return Math.max(0, Math.min(unusedMilli, fillingRoomMilli ?? unusedMilli) - fillingMilli);
}

/** Part of a serving task's target ratio that filling tasks may use up. It is a little more than serving tasks can lose at peak load, since filling tasks are throttled there. */
const impactBudget = 0.6;

/** Latency impact counted for every serving task on a VM, in thousandths of the impact budget, so that of otherwise equal VMs the one with fewer serving tasks is chosen. */
const neighbourImpactMilli = 20;

/** Latency impact that uses up the whole impact budget of a serving task, in thousandths. Filling tasks beyond it would be throttled too much to end in time. */
export const maxLatencyImpactMilli = 1000;

/** Inputs of the latency impact of filling tasks on the serving tasks of a VM. */
export type LatencyImpactContext = Readonly<{
	cluster: ClusterState;
	latencyImpacts: LatencyImpactEstimates;
	/** Millicores that the filling tasks of pending claims demand, by VM and image. */
	pendingByVm: ImmutableMap<string, ImmutableMap<string, number>>;
}>;

/**
Estimates the latency impact of all filling tasks on the serving tasks of a VM if the given one is added, pending claims included. The result is
in thousandths of the impact budget of the serving task that is affected most; 0 for a task that is not a filling task.

@example
latencyImpactOfPlacementMilli(task, vm, {cluster, press, pendingByVm}); // => 240
*/
export function latencyImpactOfPlacementMilli(task: Task, vm: Vm, {cluster, latencyImpacts, pendingByVm}: LatencyImpactContext): number {
	const fillingMilli = fillingDemandMilli(task, cluster);
	if (fillingMilli === 0) {
		return 0;
	}

	const {servingByImage, fillingByImage} = fillingLoadOf(vm, cluster);
	const image = stepOf(cluster, task)?.image ?? '';
	const filling = [[image, fillingMilli] as const, ...fillingByImage, ...pendingByVm.get(vm.vmId) ?? []];
	let worstImpact = 0;
	let neighbours = 0;
	for (const [servingImage, count] of servingByImage) {
		neighbours += count;
		let impact = 0;
		for (const [fillingImage, milli] of filling) {
			impact += vmTenthsOf(milli, vm) * latencyImpactOf(latencyImpacts, servingImage, fillingImage).mean;
		}

		worstImpact = Math.max(worstImpact, impact);
	}

	return Math.round(maxLatencyImpactMilli * worstImpact / impactBudget) + (neighbourImpactMilli * neighbours);
}

function vmTenthsOf(processorsMilli: number, {capacity}: Vm): number {
	return 10 * processorsMilli / Math.max(1, capacity.processorsMilli);
}
