import {Map, type Set as ImmutableSet} from 'immutable';
import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {
	fitsInto, noResources, type Resources, subtractResources,
} from '../cluster/resources.js';
import {isAllowedOnVm} from '../cluster/step-constraints.js';
import {taskIdsOf} from '../cluster/workflow-progress.js';
import {freeResourcesOf, acceptsNewTasks} from './feasibility.js';
import {fillingDemandMilli} from './filling-work.js';
import {type PendingClaims, siblingsKeyOf} from './pending-claims.js';
import {
	type ReleaseEstimate, releaseEstimateOf, isLongRunningOrServing, freeResourcesWaitMs,
} from './free-resources-wait.js';
import {
	isRestart, noRestartWaits, type RestartWaits, trackRestartWaits,
} from './restart-waits.js';

/** A VM that is reserved for a queued task. */
type Reservation = Readonly<{
	taskId: string;
	vmId: string;
	demand: Resources;
	precedence: number;
	reservedAtMs: number;
	/** When it expires unless the demand is free by then. */
	heldUntilMs: number;
	/** Planned start of the task; left out without learned run times. A task that ends before it may use what is reserved. */
	startsAtMs?: number;
}>;

/**
VMs that an entry reserves for queued tasks that fit on none yet. Reservations prevent the starvation of a large task by an overload of small
ones: without them, each fraction released on a VM goes to the next task that fits, so that no VM ever has the whole demand of the large task
free. On a reserved VM other tasks get only the free resources beyond the reservation, until the small tasks there have ended. Reservations are
local to the entry; the order of claims in the log still decides which claims succeed.
*/
export type Reservations = Readonly<{
	byVm: Map<string, Reservation>;
	vmIdByTask: Map<string, string>;
	restartWaits: RestartWaits;
}>;

export const noReservations: Reservations = {
	byVm: Map(), vmIdByTask: Map(), restartWaits: noRestartWaits,
};

/** Inputs of a reservation decision other than the task. */
export type ReservationContext = Readonly<{cluster: ClusterState; pending: PendingClaims; nowMs: number}>;

/** Time after which a reservation whose resources were not released expires; the task may then reserve another VM. */
const maxReservationMs = 3000;
/** Time past its planned start for which a VM stays reserved, and the longest time. A VM whose tasks end later than this is not held for them. */
const plannedStartGraceMs = 1500;
const maxPlannedHoldMs = 8000;
/** Shares of the VMs that tasks of one precedence may reserve at once. */
const restartsShare = 1 / 8;
const othersShare = 1 / 16;

/** Precedence by kind of task and class. */
const precedences: Readonly<Record<'ending' | 'firstStart' | 'restart' | 'overdueRestart', Readonly<Record<PriorityClass, number>>>> = {
	ending: {background: 0, normal: 3, urgent: 6},
	firstStart: {background: 1, normal: 4, urgent: 9},
	restart: {background: 2, normal: 5, urgent: 10},
	overdueRestart: {background: 7, normal: 8, urgent: 10},
};

/**
Returns the precedence of a task. Within a class, restarts of long-running or serving tasks come before their first starts, and these before
all other tasks; overdue restarts come before the ending tasks of every class. A task may not use what is reserved for another task with the same
or a higher precedence.
*/
function precedenceOf(task: Task, cluster: ClusterState, {overdue}: RestartWaits): number {
	return precedences[kindOf(task, cluster, overdue)][task.priority];
}

function kindOf(task: Task, cluster: ClusterState, overdue: RestartWaits['overdue']): keyof typeof precedences {
	if (isRestart(task, cluster)) {
		return overdue.has(task.spec.taskId) ? 'overdueRestart' : 'restart';
	}

	return isLongRunningOrServing(task, cluster) ? 'firstStart' : 'ending';
}

/**
Removes the reservations of tasks that are no longer queued, of VMs that may not run their task any more, and those that have expired.

@param silentVmIds VMs with a silent worker or agent.

@example
retainValidReservations(reservations, {cluster, pending, nowMs}, silentVmIds); // => the same reservations while all of them are valid
*/
export function retainValidReservations(reservations: Reservations, {cluster, pending, nowMs}: ReservationContext, silentVmIds: ImmutableSet<string>): Reservations {
	let valid = withRestartWaits(reservations, trackRestartWaits(reservations.restartWaits, {cluster, nowMs}, silentVmIds), cluster);
	for (const {taskId, vmId, heldUntilMs} of reservations.byVm.values()) {
		const task = cluster.tasks.get(taskId);
		const vm = cluster.vms.get(vmId);
		const isWaiting = task?.phase === 'queued' && !pending.byTask.has(taskId);
		if (!isWaiting || !vm || silentVmIds.has(vmId) || nowMs > heldUntilMs || !mayRunOn(vm, task, {cluster, pending})) {
			valid = releaseReservation(valid, taskId);
		}
	}

	return valid;
}

/** Returns the reservations with the current waits of restarts, and the precedences that follow from them. */
function withRestartWaits(reservations: Reservations, restartWaits: RestartWaits, cluster: ClusterState): Reservations {
	if (restartWaits.overdue.equals(reservations.restartWaits.overdue)) {
		return restartWaits === reservations.restartWaits ? reservations : {...reservations, restartWaits};
	}

	const byVm = reservations.byVm.map(reservation => {
		const task = cluster.tasks.get(reservation.taskId);
		return task ? {...reservation, precedence: precedenceOf(task, cluster, restartWaits)} : reservation;
	});
	return {...reservations, restartWaits, byVm};
}

/**
Reserves the VM that is expected to have a task's demand free soonest, preferring VMs on which the task has not failed. Returns the same
reservations for a filling task, which commits no processors, for a task that `mayReserve` excludes, when no VM will release enough, and when the
limit of reserved VMs is reached.

@param vms VMs to choose from; their number bounds the cost.
@param fleetSize Number of all VMs that accept tasks.
@param releaseEstimates Estimates by VM, cached for the other tasks of the pass.

@example
reserveVm(reservations, task, {cluster, pending, nowMs, vms, fleetSize: 58, releaseEstimates: new Map()}).vmIdByTask.get(task.spec.taskId); // => 'vm-7'
*/
export function reserveVm(reservations: Reservations, task: Task, context: ReservationContext & Readonly<{
	vms: readonly Vm[];
	fleetSize: number;
	releaseEstimates: globalThis.Map<string, ReleaseEstimate>;
	/** Returns the time until a VM has a demand free by the learned run times; the declared ones are used when left out. */
	plannedWaitMsOn?: ((vm: Vm, demand: Resources, free: Resources) => number | undefined) | undefined;
}>): Reservations {
	const {cluster, pending, nowMs, vms, fleetSize, plannedWaitMsOn} = context;
	const {taskId, demand} = task.spec;
	const precedence = precedenceOf(task, cluster, reservations.restartWaits);
	const share = isRestart(task, cluster) ? restartsShare : othersShare;
	if (fillingDemandMilli(task, cluster) > 0 || reservations.vmIdByTask.has(taskId) || !mayReserve(reservations, task, context) || reservations.byVm.count(other => other.precedence === precedence) >= Math.ceil(fleetSize * share)) {
		return reservations;
	}

	const [best] = vms
		.filter(vm => vm.waitingTaskIds.length === 0 && !isReservedAgainst(reservations, task, vm.vmId, cluster) && mayRunOn(vm, task, context))
		.map(vm => {
			const {vmId} = vm;
			const free = freeResourcesOf(vm, pending.committedByVm.get(vmId, noResources));
			return {
				vmId,
				failedBefore: task.failedOnVmIds.includes(vmId) ? 1 : 0,
				waitMs: (plannedWaitMsOn ? plannedWaitMsOn(vm, demand, free) : freeResourcesWaitMs(estimateOf(vm, context), demand, free)) ?? Number.POSITIVE_INFINITY,
			};
		})
		.filter(({waitMs}) => waitMs < Number.POSITIVE_INFINITY)
		.toSorted((left, right) => left.failedBefore - right.failedBefore || left.waitMs - right.waitMs || (left.vmId < right.vmId ? -1 : 1));
	if (!best) {
		return reservations;
	}

	const {vmId, waitMs} = best;
	const displaced = reservations.byVm.get(vmId);
	const {byVm, vmIdByTask} = displaced ? releaseReservation(reservations, displaced.taskId) : reservations;
	return {
		...reservations,
		byVm: byVm.set(vmId, {
			taskId, vmId, demand, precedence, reservedAtMs: nowMs, ...(plannedWaitMsOn
				? {startsAtMs: nowMs + waitMs, heldUntilMs: nowMs + Math.min(maxPlannedHoldMs, Math.max(maxReservationMs, waitMs + plannedStartGraceMs))}
				: {heldUntilMs: nowMs + maxReservationMs}),
		}),
		vmIdByTask: vmIdByTask.set(taskId, vmId),
	};
}

function estimateOf(vm: Vm, {cluster, releaseEstimates}: Readonly<{cluster: ClusterState; releaseEstimates: globalThis.Map<string, ReleaseEstimate>}>): ReleaseEstimate {
	const estimate = releaseEstimates.get(vm.vmId) ?? releaseEstimateOf(vm, cluster);
	releaseEstimates.set(vm.vmId, estimate);
	return estimate;
}

/**
Removes the reservation of a task, if it has one.

@example
releaseReservation(reservations, 'task-1').vmIdByTask.has('task-1'); // => false
*/
export function releaseReservation(reservations: Reservations, taskId: string): Reservations {
	const {byVm, vmIdByTask} = reservations;
	const vmId = vmIdByTask.get(taskId);
	return vmId === undefined ? reservations : {...reservations, byVm: byVm.delete(vmId), vmIdByTask: vmIdByTask.delete(taskId)};
}

/**
Returns whether a VM is reserved for another task with the same or a higher precedence.

@example
isReservedAgainst(reservations, task, 'vm-7', cluster); // => false on the VM that is reserved for the task itself
*/
export function isReservedAgainst(reservations: Reservations, task: Task, vmId: string, cluster: ClusterState): boolean {
	const reservation = reservations.byVm.get(vmId);
	return reservation !== undefined && reservation.taskId !== task.spec.taskId && reservation.precedence >= precedenceOf(task, cluster, reservations.restartWaits);
}

/**
Returns the free resources of a VM that a task may use. A task that ends before the planned start of another one may use what is reserved for that.

@param vm Free resources of the VM, and when the task is expected to end; never when left out.

@example
unreservedResourcesFor(reservations, task, {vmId: 'vm-7', free}, cluster).processorsMilli; // => 0 while the VM has less free than is reserved for another task
*/
export function unreservedResourcesFor(
	reservations: Reservations,
	task: Task,
	{vmId, free, endsAtMs = Number.POSITIVE_INFINITY}: Readonly<{vmId: string; free: Resources; endsAtMs?: number}>,
	cluster: ClusterState,
): Resources {
	const startsAtMs = reservations.byVm.get(vmId)?.startsAtMs ?? Number.NEGATIVE_INFINITY;
	return endsAtMs > startsAtMs && isReservedAgainst(reservations, task, vmId, cluster) ? subtractResources(free, reservations.byVm.get(vmId)!.demand) : free;
}

/** Returns whether a task may reserve: a restart of a long-running or serving task, or one task of a job without claims. More reservations would take resources from the short tasks. */
function mayReserve(reservations: Reservations, task: Task, {cluster, pending}: ReservationContext): boolean {
	return isRestart(task, cluster)
		|| !taskIdsOf(cluster, task.jobId).some(taskId => cluster.tasks.get(taskId)?.claim !== undefined || pending.byTask.has(taskId) || reservations.vmIdByTask.has(taskId));
}

/** Returns whether a VM may run a task once it has enough free resources. */
function mayRunOn(vm: Vm, task: Task, {cluster, pending}: Pick<ReservationContext, 'cluster' | 'pending'>): boolean {
	return acceptsNewTasks(vm, cluster)
		&& fitsInto(task.spec.demand, vm.capacity)
		&& isAllowedOnVm(cluster, task, vm, pending.siblings.get(siblingsKeyOf(task, vm.vmId), 0));
}
