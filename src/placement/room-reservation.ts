import {Map, type Set as ImmutableSet} from 'immutable';
import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {
	fitsInto, noResources, type Resources, subtractResources,
} from '../cluster/resources.js';
import {isAllowedOn} from '../cluster/step-constraints.js';
import {freeResourcesOf, acceptsNewTasks} from './feasibility.js';
import {fillingDemandMilli} from './filling-work.js';
import {type PendingClaims, siblingsKeyOf} from './pending-claims.js';
import {
	type EndingWork, endingWorkOf, isLongRunningOrServing, roomWaitMs,
} from './room-wait.js';

/** The VM on which the room for a queued task is kept. */
type RoomReservation = Readonly<{taskId: string; vmId: string; demand: Resources; precedence: number; reservedAtMs: number}>;

/**
Room that an entry keeps for queued tasks that found none. It answers a flood of small tasks beside a wide one: each fraction that
becomes free on any VM is taken by the next task that fits, so that no VM ever has the whole of what the wide one wants. On a reserved
VM other tasks get only what is left beside the reservation, until the small ones there have ended. An entry reserves for itself; what
is claimed is decided by the log as ever.
*/
export type RoomReservations = Readonly<{byVm: Map<string, RoomReservation>; vmIdByTask: Map<string, string>}>;

export const noRoomReservations: RoomReservations = {byVm: Map(), vmIdByTask: Map()};

/** What a reservation is decided by, beside the task. */
export type ReservationContext = Readonly<{cluster: ClusterState; pending: PendingClaims; nowMs: number}>;

/** Time after which a reservation whose room has not come is made anew, perhaps on another VM. */
const maxReservationMs = 3000;
/** Parts of the VMs that tasks of one precedence may reserve at once. */
const restartsShare = 1 / 8;
const othersShare = 1 / 16;

const precedenceByClass: Readonly<Record<PriorityClass, number>> = {background: 0, normal: 3, urgent: 6};
const restartPrecedence = 2;

/** Which reservations hold against which tasks: of one class, restarts of tasks that last come before their first starts, and those before tasks that end. */
function precedenceOf(task: Task, cluster: ClusterState): number {
	return precedenceByClass[task.priority] + (isLongRunningOrServing(task, cluster) ? (task.attempt > 0 ? restartPrecedence : 1) : 0);
}

/**
Drops the reservations of tasks that wait no longer, on VMs that may not take them any more, and those whose room did not come in time.

@param silentVmIds VMs whose worker does not answer.

@example
retainValidReservations(reservations, {cluster, pending, nowMs}, silentVmIds); // => the same reservations while all of them hold
*/
export function retainValidReservations(reservations: RoomReservations, {cluster, pending, nowMs}: ReservationContext, silentVmIds: ImmutableSet<string>): RoomReservations {
	let kept = reservations;
	for (const {taskId, vmId, reservedAtMs} of reservations.byVm.values()) {
		const task = cluster.tasks.get(taskId);
		const vm = cluster.vms.get(vmId);
		const isWaiting = task?.phase === 'queued' && !pending.byTask.has(taskId);
		if (!isWaiting || !vm || silentVmIds.has(vmId) || nowMs - reservedAtMs > maxReservationMs || !mayHold(vm, task, {cluster, pending})) {
			kept = releaseRoom(kept, taskId);
		}
	}

	return kept;
}

/**
Reserves the VM on which the room for a task comes soonest. Returns the same reservations for filling work, which needs no room of
its own, for more than the first task of a job, when no VM could give the room, and when enough of the VMs are reserved.

@param vms VMs to choose from, which bounds the cost.
@param fleetSize Number of all VMs that take tasks.
@param endingWork What was summed up of each VM in this pass, for the next tasks.

@example
reserveRoom(reservations, task, {cluster, pending, nowMs, vms, fleetSize: 58, endingWork: new Map()}).vmIdByTask.get(task.spec.taskId); // => 'vm-7'
*/
export function reserveRoom(reservations: RoomReservations, task: Task, context: ReservationContext & Readonly<{
	vms: readonly Vm[];
	fleetSize: number;
	endingWork: globalThis.Map<string, EndingWork>;
}>): RoomReservations {
	const {cluster, pending, nowMs, vms, fleetSize, endingWork} = context;
	const {taskId, demand} = task.spec;
	const precedence = precedenceOf(task, cluster);
	const share = precedence % precedenceByClass.normal === restartPrecedence ? restartsShare : othersShare;
	if (fillingDemandMilli(task, cluster) > 0 || reservations.vmIdByTask.has(taskId) || !mayReserve(reservations, task, context) || reservations.byVm.count(other => other.precedence === precedence) >= Math.ceil(fleetSize * share)) {
		return reservations;
	}

	const [best] = vms
		.filter(vm => vm.waitingTaskIds.length === 0 && !isKeptFrom(reservations, task, vm.vmId, cluster) && mayHold(vm, task, context))
		.map(vm => {
			const {vmId} = vm;
			const work = endingWork.get(vmId) ?? endingWorkOf(vm, cluster);
			endingWork.set(vmId, work);
			return {
				vmId,
				failedBefore: task.failedOnVmIds.includes(vmId) ? 1 : 0,
				waitMs: roomWaitMs(work, demand, freeResourcesOf(vm, pending.committedByVm.get(vmId, noResources))) ?? Number.POSITIVE_INFINITY,
			};
		})
		.filter(({waitMs}) => waitMs < Number.POSITIVE_INFINITY)
		.toSorted((left, right) => left.failedBefore - right.failedBefore || left.waitMs - right.waitMs || (left.vmId < right.vmId ? -1 : 1));
	if (!best) {
		return reservations;
	}

	const {vmId} = best;
	const displaced = reservations.byVm.get(vmId);
	const {byVm, vmIdByTask} = displaced ? releaseRoom(reservations, displaced.taskId) : reservations;
	return {
		byVm: byVm.set(vmId, {
			taskId, vmId, demand, precedence, reservedAtMs: nowMs,
		}),
		vmIdByTask: vmIdByTask.set(taskId, vmId),
	};
}

/**
Gives up the reservation of a task, if it has one.

@example
releaseRoom(reservations, 'task-1').vmIdByTask.has('task-1'); // => false
*/
export function releaseRoom(reservations: RoomReservations, taskId: string): RoomReservations {
	const {byVm, vmIdByTask} = reservations;
	const vmId = vmIdByTask.get(taskId);
	return vmId === undefined ? reservations : {byVm: byVm.delete(vmId), vmIdByTask: vmIdByTask.delete(taskId)};
}

/**
Tells whether a VM is reserved for another task that the given one has to leave its room.

@example
isKeptFrom(reservations, task, 'vm-7', cluster); // => false on the VM that is reserved for the task itself
*/
export function isKeptFrom({byVm}: RoomReservations, task: Task, vmId: string, cluster: ClusterState): boolean {
	const reservation = byVm.get(vmId);
	return reservation !== undefined && reservation.taskId !== task.spec.taskId && reservation.precedence >= precedenceOf(task, cluster);
}

/**
Tells how much of the room on a VM a task may take.

@example
unreservedResourcesFor(reservations, task, {vmId: 'vm-7', room}, cluster).processorsMilli; // => 0 while the room for another task is incomplete
*/
export function unreservedResourcesFor(reservations: RoomReservations, task: Task, {vmId, room}: Readonly<{vmId: string; room: Resources}>, cluster: ClusterState): Resources {
	return isKeptFrom(reservations, task, vmId, cluster) ? subtractResources(room, reservations.byVm.get(vmId)!.demand) : room;
}

/** Restarts of tasks that last may reserve, and one task of a job with nothing running: more of it would cost the short tasks their room. */
function mayReserve(reservations: RoomReservations, task: Task, {cluster, pending}: ReservationContext): boolean {
	return (task.attempt > 0 && isLongRunningOrServing(task, cluster))
		|| !(cluster.jobs.get(task.jobId) ?? []).some(taskId => cluster.tasks.get(taskId)?.claim !== undefined || pending.byTask.has(taskId) || reservations.vmIdByTask.has(taskId));
}

/** Tells whether a VM could take a task when it has the room. */
function mayHold(vm: Vm, task: Task, {cluster, pending}: Pick<ReservationContext, 'cluster' | 'pending'>): boolean {
	return acceptsNewTasks(vm, cluster)
		&& fitsInto(task.spec.demand, vm.capacity)
		&& isAllowedOn(cluster, task, vm, pending.siblings.get(siblingsKeyOf(task, vm.vmId), 0));
}
