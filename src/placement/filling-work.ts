import {type Map as ImmutableMap} from 'immutable';
import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {latencyImpactOf, type LatencyImpactEstimates} from '../agent/latency-impact-estimates.js';
import {type Resources} from '../cluster/resources.js';
import {stepOf} from '../cluster/workflow-progress.js';

/** What the tasks of a VM mean for one more task that fills idle processors. */
export type FillingLoad = Readonly<{
	/** Processors that the filling tasks there would use, in thousandths. */
	fillingMilli: number;
	/** Number of serving tasks there by what they run. */
	servingByImage: ReadonlyMap<string, number>;
	/** Processors that the serving tasks there commit, in thousandths. */
	servingMilli: number;
	/** Processors that the filling tasks there would use by what they run, in thousandths. */
	fillingByImage: ReadonlyMap<string, number>;
}>;

// Keyed by the VM's set of tasks, which is replaced whenever a task comes or goes.
const loadsByTaskSet = new WeakMap<Vm['taskIds'], FillingLoad>();

/**
Sums the filling work and counts the serving tasks on a VM.

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
Says how many processors a task would take of the idle ones; 0 for a task that commits what it needs.

@example
fillingDemandMilli(task, cluster); // => 1800
*/
export function fillingDemandMilli(task: Task, cluster: ClusterState): number {
	const step = stepOf(cluster, task);
	return step?.fillsIdle ? step.demand.processorsMilli : 0;
}

/** Part of what serving tasks commit that they use at their peaks. */
const servingUseMilli = 550;

/**
Tells how many processors of a VM neither committed tasks use nor filling ones want, in thousandths. Serving tasks commit what their
largest load takes and leave much of it unused, which filling work may take; it gives way to them at once. Where filling work was
short of processors, it gets no more than agents found it to get.

@example
idleMilliOf(vm, {room: roomOf(vm, noResources), fillingRoomMilli: undefined}, cluster); // => 6200
*/
export function idleMilliOf(vm: Vm, {room, fillingRoomMilli}: Readonly<{room: Resources; fillingRoomMilli: number | undefined}>, cluster: ClusterState): number {
	const {fillingMilli, servingMilli} = fillingLoadOf(vm, cluster);
	const unusedMilli = room.processorsMilli + Math.floor(servingMilli * (1000 - servingUseMilli) / 1000);
	return Math.max(0, Math.min(unusedMilli, fillingRoomMilli ?? unusedMilli) - fillingMilli);
}

/** Slack that serving tasks can spare for filling work at the peaks of their load, and a little beyond, since it is slowed there. */
const sparedSlack = 0.6;

/** Harm of a neighbour that a serving task bears without loss, in thousandths, so that VMs with fewer serving tasks are better among equals. */
const anyPressMilli = 20;

/** Harm of work that takes all the slack that a serving task can spare, in thousandths; work beyond it would be slowed too much to be in time. */
export const maxLatencyImpactMilli = 1000;

/** What decides how much filling work presses on the serving tasks of a VM. */
export type LatencyImpactContext = Readonly<{
	cluster: ClusterState;
	press: LatencyImpactEstimates;
	/** Claims under way, by VM and by what the tasks run. */
	pendingByVm: ImmutableMap<string, ImmutableMap<string, number>>;
}>;

/**
Estimates what a filling task would do to the serving tasks on a VM, the filling work there and under way included, in thousandths of
the slack that the one which suffers most can spare; 0 for a task that commits what it needs.

@example
latencyImpactOfPlacementMilli(task, vm, {cluster, press, pendingByVm}); // => 240
*/
export function latencyImpactOfPlacementMilli(task: Task, vm: Vm, {cluster, press, pendingByVm}: LatencyImpactContext): number {
	const fillingMilli = fillingDemandMilli(task, cluster);
	if (fillingMilli === 0) {
		return 0;
	}

	const {servingByImage, fillingByImage} = fillingLoadOf(vm, cluster);
	const image = stepOf(cluster, task)?.image ?? '';
	const filling = [[image, fillingMilli] as const, ...fillingByImage, ...pendingByVm.get(vm.vmId) ?? []];
	let worstLoss = 0;
	let neighbours = 0;
	for (const [servingImage, count] of servingByImage) {
		neighbours += count;
		let loss = 0;
		for (const [fillingImage, milli] of filling) {
			loss += tenthsOf(milli, vm) * latencyImpactOf(press, servingImage, fillingImage).mean;
		}

		worstLoss = Math.max(worstLoss, loss);
	}

	return Math.round(maxLatencyImpactMilli * worstLoss / sparedSlack) + (anyPressMilli * neighbours);
}

function tenthsOf(processorsMilli: number, {capacity}: Vm): number {
	return 10 * processorsMilli / Math.max(1, capacity.processorsMilli);
}
