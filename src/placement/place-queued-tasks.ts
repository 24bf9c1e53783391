import {
	Map as immutableMap, type Map as ImmutableMap, Set as immutableSet, type Set as ImmutableSet,
} from 'immutable';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {noLatencyImpactEstimates, type LatencyImpactEstimates} from '../agent/latency-impact-estimates.js';
import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {
	addResources, fitsInto, noResources, type Resources,
} from '../cluster/resources.js';
import {isAllowedOn} from '../cluster/step-constraints.js';
import {type Step as WorkflowStep, stepKeyOf} from '../cluster/workflow.js';
import {stepOf} from '../cluster/workflow-progress.js';
import {type ControlEffect, type Transition} from '../entry/control-effect.js';
import {type EntryContext, isLogFresh} from '../entry/entry-context.js';
import {admitFillingJobs} from './admit-filling-jobs.js';
import {priorityClassesForPass} from './classes-in-turn.js';
import {chooseVm, type PlacementCandidate} from './choose-vm.js';
import {maxLatencyImpactMilli, fillingDemandMilli, latencyImpactOfPlacementMilli} from './filling-work.js';
import {offeredMilliOf} from './offered-processors.js';
import {describeMissingCapacity, freeResourcesOf, acceptsNewTasks} from './feasibility.js';
import {
	addPendingClaim, noPendingClaims, type PendingClaims, prunePendingClaims, siblingsKeyOf,
} from './pending-claims.js';
import {placementPolicies} from './placement-policies.js';
import {findStarvedJobs, type StarvedJobs, type WaitingJobs} from './starved-jobs.js';
import {evaluatePlacementOwners, type OwnersSeen, type PlacementOwners} from './placement-turn.js';
import {placementSubjectOf} from './placement-owner.js';
import {orderQueue} from './queue-order.js';
import {
	isKeptFrom, retainValidReservations, noRoomReservations, releaseRoom, reserveRoom, unreservedResourcesFor, type RoomReservations,
} from './room-reservation.js';
import {type EndingWork} from './room-wait.js';
import {chooseVictims} from './choose-victims.js';
import {noVmHistory, type VmHistory} from './observe-usage.js';
import {
	type ExpectedHarm, harmOfPlacement, type InterferenceEstimates, noInterferenceEstimates,
} from './interference-estimates.js';
import {taskKindName} from './work-kind.js';

/** What placement keeps between two passes; lost with the process without harm. */
export type PlacementState = Readonly<{
	pending: PendingClaims;
	ownersSeen: OwnersSeen;
	waitingJobs: WaitingJobs;
	interference: InterferenceEstimates;
	history: VmHistory;
	/** What filling work was found to do to serving tasks, from the reports of all agents. */
	press: LatencyImpactEstimates;
	/** Processors that filling work can get on the VMs where it was short of them, in thousandths. */
	fillingRoomByVm: ImmutableMap<string, number>;
	/** VMs whose worker does not answer their agent: a start would not reach it. */
	silentVmIds: ImmutableSet<string>;
	/** Room that is kept for tasks that found none. */
	reservations: RoomReservations;
}>;

export const initialPlacement: PlacementState = {
	pending: noPendingClaims,
	ownersSeen: immutableMap(),
	waitingJobs: immutableMap(),
	interference: noInterferenceEstimates,
	history: noVmHistory,
	press: noLatencyImpactEstimates,
	fillingRoomByVm: immutableMap(),
	silentVmIds: immutableSet(),
	reservations: noRoomReservations,
};

/** VMs that are looked at first for one task; a full scan follows only when none of them has room. */
const sampledVms = 24;
const sampledVmsForFillingWork = 128;
/** Claims that may be under way at once, which bounds the size of one append. */
const maxPendingClaims = 512;
/** Tasks looked at in one pass, which bounds the time of one pass. */
const maxScannedTasks = 4096;
/** Tasks of one class that may look for a VM to reserve in one pass, and the VMs that are weighed for them. */
const maxReservationTries = 16;
const sampledVmsForReservation = 64;

type Pass = {
	readonly context: EntryContext;
	vms: readonly Vm[];
	/** Demands that found no room in this pass: a larger one for the same service finds none either. */
	readonly withoutRoom: Array<Readonly<{service: string | undefined; demand: Resources}>>;
	/** Steps that found no room in this pass: their other tasks find none either, since room only shrinks during a pass. */
	readonly stepsWithoutRoom: Set<string>;
	/** What several jobs have in common when one finds room exactly where the other does, for those that found none in this pass. */
	readonly needsWithoutRoom: Set<string>;
	readonly turns: PlacementOwners;
	/** Harm of placing a task by what it depends on beside the VM, and then by VM. */
	readonly harms: Map<string, Map<string, ExpectedHarm>>;
	readonly starved: StarvedJobs;
	readonly claims: ControlEffect[];
	reservationTries: number;
	/** What becomes free on the VMs that were weighed for a reservation. */
	readonly endingWork: Map<string, EndingWork>;
	state: PlacementState;
};

/**
Claims VMs for queued tasks, the most urgent class first.

@example
const {state, effects} = placeQueuedTasks(initialPlacement, context);
*/
export function placeQueuedTasks(state: PlacementState, context: EntryContext): Transition<PlacementState> {
	const turns = evaluatePlacementOwners(state.ownersSeen, context);
	const pending = prunePendingClaims(state.pending, context.cluster, context.nowMs);
	const settled: PlacementState = {
		...state,
		pending,
		ownersSeen: turns.ownersSeen(),
		reservations: retainValidReservations(state.reservations, {cluster: context.cluster, pending, nowMs: context.nowMs}, state.silentVmIds),
	};
	if (!isLogFresh(context) || context.cluster.queued.every(tasks => tasks.isEmpty())) {
		return {state: settled, effects: []};
	}

	const starved = findStarvedJobs(settled.waitingJobs, context, () => pass.state.pending);
	const pass: Pass = {
		context,
		vms: [],
		withoutRoom: [],
		stepsWithoutRoom: new Set(),
		needsWithoutRoom: new Set(),
		turns,
		harms: new Map(),
		starved,
		claims: [],
		reservationTries: 0,
		endingWork: new Map(),
		state: settled,
	};
	if (!turns.mayHaveAny()) {
		return {state: {...pass.state, ownersSeen: turns.ownersSeen()}, effects: []};
	}

	pass.vms = [...context.cluster.vms.values()].filter(vm => acceptsNewTasks(vm, context.cluster) && !settled.silentVmIds.has(vm.vmId));
	for (const priority of priorityClassesForPass(context.seed, context.cluster.configuration.requestLimits.floorMilliByClass)) {
		placeClass(pass, priority);
	}

	return {state: {...pass.state, ownersSeen: turns.ownersSeen(), waitingJobs: starved.waiting()}, effects: pass.claims};
}

function placeClass(pass: Pass, priority: PriorityClass): void {
	const {cluster} = pass.context;
	if (priority === 'urgent') {
		// Urgent tasks can make room, so the failure of another class says nothing about them.
		pass.withoutRoom.length = 0;
	}

	pass.reservationTries = 0;
	const own = [...cluster.queued.get(priority)?.keys() ?? []].filter(taskId => {
		const task = cluster.tasks.get(taskId);
		return task && !pass.state.pending.byTask.has(taskId) && pass.turns.isOwn(placementSubjectOf(task, cluster));
	});
	// Every class may place its share, so that a flood of one leaves the others their turn.
	const ordered = admitFillingJobs(orderQueue(own, cluster, pass.context.wallTimeMs), {
		cluster,
		vms: pass.vms,
		pending: pass.state.pending,
		fillingRoomByVm: pass.state.fillingRoomByVm,
		mayExceed: taskId => pass.starved.isStarved(cluster.tasks.get(taskId)!),
	});
	for (const taskId of ordered.slice(0, maxScannedTasks)) {
		if (pass.state.pending.byTask.size >= maxPendingClaims) {
			return;
		}

		placeTask(pass, cluster.tasks.get(taskId)!);
	}
}

function placeTask(pass: Pass, task: Task): void {
	const {cluster, settings, seed, nowMs} = pass.context;
	const {demand, taskId} = task.spec;
	if (exceedsQuota(pass, task)) {
		pass.state = {...pass.state, reservations: releaseRoom(pass.state.reservations, taskId)};
		return;
	}

	const taskSeed = (seed + task.submittedOffset + task.attempt) % 0x7F_FF_FF_FF;
	const isWithoutRoom = isKnownWithoutRoom(pass, task);
	// Other tasks that found no room say nothing about the VM that is reserved for this one.
	const reservedVmId = pass.state.reservations.vmIdByTask.get(taskId);
	const reservedVm = reservedVmId === undefined ? undefined : pass.vms.find(({vmId}) => vmId === reservedVmId);
	if (isWithoutRoom && !reservedVm) {
		reserve(pass, task);
		return;
	}

	const lacks = describeMissingCapacity(task, cluster);
	if (lacks !== undefined) {
		pass.claims.push({kind: 'append-record', record: {kind: 'task-unplaceable', taskId, lacks}});
		return;
	}

	const vms = isWithoutRoom && reservedVm ? [reservedVm] : pass.vms;
	// What filling work does to others differs widely between VMs, so that a small sample misses the good ones.
	const sample = sampleVms(vms, taskSeed, fillingDemandMilli(task, cluster) === 0 ? sampledVms : sampledVmsForFillingWork);
	let considered = sample.length;
	let candidates = candidatesAmong(pass, task, sample);
	if (candidates.length === 0 && sample.length < vms.length) {
		considered = vms.length;
		candidates = candidatesAmong(pass, task, vms);
	}

	if (candidates.length === 0 && task.priority === 'urgent' && !isWithoutRoom) {
		candidates = candidatesWithEvictions(pass, task);
	}

	const policy = settings.placementPolicy;
	const choice = chooseVm(
		candidates.map(({candidate}) => candidate),
		placementPolicies[policy],
		{demand, weights: cluster.configuration.weights},
		{
			policy, seed: taskSeed, stateOffset: cluster.offset, consideredVms: considered,
		},
	);
	if (!choice) {
		pass.needsWithoutRoom.add(needsOf(pass, task));
		const stepName = stepNameOf(task);
		if (stepName !== undefined) {
			pass.stepsWithoutRoom.add(stepName);
		}

		// A task that its step keeps off VMs says nothing about the room that other tasks find.
		if (!isConstrained(cluster, task) && fillingDemandMilli(task, cluster) === 0) {
			pass.withoutRoom.push({service: serviceOf(cluster, task), demand});
		}

		reserve(pass, task);
		return;
	}

	const chosen = candidates.find(({candidate}) => candidate.vmId === choice.vmId)!;
	const attempt = task.attempt + 1;
	pass.starved.noteClaim(task.jobId);
	pass.claims.push({
		kind: 'append-record',
		record: {
			kind: 'task-claimed',
			taskId,
			attempt,
			vmId: choice.vmId,
			agentIncarnation: chosen.vm.agentIncarnation,
			committed: demand,
			evictTaskIds: chosen.evictTaskIds,
			decision: choice.decision,
		},
	});
	pass.state = {
		...pass.state,
		pending: addPendingClaim(pass.state.pending, taskId, {
			vmId: choice.vmId, attempt, committed: demand, appendedAtMs: nowMs, siblingsKey: siblingsKeyOf(task, choice.vmId), fillingMilli: fillingDemandMilli(task, cluster), image: stepOf(cluster, task)?.image ?? '',
		}),
		reservations: releaseRoom(pass.state.reservations, taskId),
	};
}

/** Keeps the room of a VM for a task that found none, so that the tasks after it leave it there. */
function reserve(pass: Pass, task: Task): void {
	const {reservations, pending} = pass.state;
	const {cluster, nowMs, seed} = pass.context;
	if (reservations.vmIdByTask.has(task.spec.taskId) || pass.reservationTries >= maxReservationTries || fillingDemandMilli(task, cluster) > 0) {
		return;
	}

	pass.reservationTries++;
	pass.state = {
		...pass.state,
		reservations: reserveRoom(reservations, task, {
			// All tasks of a pass choose among the same VMs, so that each is summed up once.
			cluster, pending, nowMs, vms: sampleVms(pass.vms, seed, sampledVmsForReservation), fleetSize: pass.vms.length, endingWork: pass.endingWork,
		}),
	};
}

/** Tells whether tasks that find room wherever the given one does found none in this pass. */
function isKnownWithoutRoom(pass: Pass, task: Task): boolean {
	const stepName = stepNameOf(task);
	const service = serviceOf(pass.context.cluster, task);
	return pass.withoutRoom.some(failed => failed.service === service && fitsInto(failed.demand, task.spec.demand))
		|| (stepName !== undefined && pass.stepsWithoutRoom.has(stepName))
		|| pass.needsWithoutRoom.has(needsOf(pass, task));
}

/** Names the step of one occurrence that a task belongs to; undefined for a task without a workflow. */
function stepNameOf({jobId, position}: Task): string | undefined {
	return position && `${jobId}/${stepKeyOf(position)}`;
}

/** Names everything that decides where a task finds room, beside the VMs and the claims under way. */
function needsOf(pass: Pass, task: Task): string {
	const {cluster} = pass.context;
	const {processorsMilli, memoryMb, accelerators} = task.spec.demand;
	const step = stepOf(cluster, task);
	const service = serviceOf(cluster, task);
	// A limit for one VM counts the tasks of one step.
	const limited = step?.maxTasksPerVm === undefined ? undefined : stepNameOf(task);
	return JSON.stringify([
		task.workClass, task.priority, processorsMilli, memoryMb, accelerators, needsIdleMilliOf(pass, task), step?.fillsIdle && step.image, service, step?.requiredLabel, limited,
	]);
}

/** The service whose workers run a task; undefined for a task that any worker runs. */
function serviceOf(cluster: ClusterState, {jobId}: Task): string | undefined {
	return cluster.workflows.get(jobId)?.workflow.service;
}

function isConstrained(cluster: ClusterState, task: Task): boolean {
	const step = stepOf(cluster, task);
	return step?.requiredLabel !== undefined || step?.maxTasksPerVm !== undefined;
}

/** Tells whether a task's step allows it on a VM, claims under way included. */
function isAllowed(pass: Pass, task: Task, step: WorkflowStep | undefined, vm: Vm): boolean {
	const pendingSiblings = step?.maxTasksPerVm === undefined ? 0 : pass.state.pending.siblings.get(siblingsKeyOf(task, vm.vmId), 0);
	return isAllowedOn(pass.context.cluster, task, vm, pendingSiblings);
}

function exceedsQuota(pass: Pass, task: Task): boolean {
	const {cluster} = pass.context;
	const quota = cluster.configuration.quotas.get(task.teamId);
	if (!quota) {
		return false;
	}

	const committed = cluster.committedByTeam.get(task.teamId, noResources);
	return !fitsInto(addResources(committed, task.spec.demand), quota);
}

type FeasibleVm = Readonly<{vm: Vm; candidate: PlacementCandidate; evictTaskIds: readonly string[]}>;

function candidatesAmong(pass: Pass, task: Task, vms: readonly Vm[]): readonly FeasibleVm[] {
	const {cluster} = pass.context;
	const found: FeasibleVm[] = [];
	const fillingMilli = fillingDemandMilli(task, cluster);
	const needsIdleMilli = needsIdleMilliOf(pass, task);
	const step = stepOf(cluster, task);
	const offerContext = {cluster, pending: pass.state.pending, fillingRoomByVm: pass.state.fillingRoomByVm};
	for (const vm of vms) {
		const room = freeResourcesOf(vm, pass.state.pending.committedByVm.get(vm.vmId, noResources));
		const offered = fillingMilli === 0 ? room : {...room, processorsMilli: offeredMilliOf(vm, offerContext, room)};
		if (fitsInto(task.spec.demand, unreservedResourcesFor(pass.state.reservations, task, {vmId: vm.vmId, room}, cluster)) && offered.processorsMilli >= needsIdleMilli && isAllowed(pass, task, step, vm)) {
			const pressMilli = pressOn(pass, task, vm);
			if (needsIdleMilli === 0 || pressMilli <= maxLatencyImpactMilli) {
				found.push({
					vm, candidate: toCandidate(pass, task, vm, {
						room: offered, evictions: 0, step, pressMilli,
					}), evictTaskIds: [],
				});
			}
		}
	}

	// Without a sibling count over the whole fleet, spread is judged among the candidates.
	return withSiblings(found, task, cluster);
}

/** What a filling task would do to the serving tasks on a VM; 0 for other tasks. */
function pressOn(pass: Pass, task: Task, vm: Vm): number {
	const {context: {cluster}, state: {press, pending}} = pass;
	return latencyImpactOfPlacementMilli(task, vm, {cluster, press, pendingByVm: pending.fillingByVm});
}

/** Idle processors that a VM must have for a task. */
function needsIdleMilliOf(pass: Pass, task: Task): number {
	const fillingMilli = fillingDemandMilli(task, pass.context.cluster);
	return fillingMilli > 0 && !pass.starved.isStarved(task) ? fillingMilli : 0;
}

/** VMs on which evictions are weighed for one urgent task. */
const sampledVmsForEviction = 64;

function candidatesWithEvictions(pass: Pass, task: Task): readonly FeasibleVm[] {
	const {cluster} = pass.context;
	const step = stepOf(cluster, task);
	const found: FeasibleVm[] = [];
	for (const vm of pass.vms.slice(0, sampledVmsForEviction)) {
		// A VM with a claim under way is left alone: its victims may already be promised.
		if (pass.state.pending.committedByVm.has(vm.vmId) || isKeptFrom(pass.state.reservations, task, vm.vmId, cluster) || !isAllowed(pass, task, step, vm)) {
			continue;
		}

		const victims = chooseVictims(vm, task, cluster);
		if (victims) {
			found.push({
				vm,
				candidate: toCandidate(pass, task, vm, {
					room: victims.roomAfterEviction, evictions: victims.taskIds.length, step, pressMilli: pressOn(pass, task, vm),
				}),
				evictTaskIds: victims.taskIds,
			});
		}
	}

	return found;
}

function toCandidate(pass: Pass, task: Task, vm: Vm, facts: Readonly<{room: Resources; evictions: number; step: WorkflowStep | undefined; pressMilli: number}>): PlacementCandidate {
	const {cluster} = pass.context;
	const {room, evictions, step, pressMilli} = facts;
	const {serviceHarmMilli, batchHarmMilli} = harmOn(pass, task, vm);
	return {
		vmId: vm.vmId,
		capacity: vm.capacity,
		room,
		evictions,
		serviceHarmMilli: serviceHarmMilli + pressMilli,
		batchHarmMilli,
		// Serving tasks share few VMs, so that filling work finds others without them.
		packs: step?.latencyTargetMs !== undefined,
		siblingsInRack: 0,
		siblingsInFailureDomain: 0,
		failedBefore: task.failedOnVmIds.includes(vm.vmId),
		wastesAccelerators: vm.capacity.accelerators > 0 && task.spec.demand.accelerators === 0,
	};
}

/** The expected harm on a VM, computed once in a pass for all tasks alike. */
function harmOn(pass: Pass, task: Task, vm: Vm): ExpectedHarm {
	const kind = `${taskKindName(task)} ${task.workClass} ${task.spec.demand.processorsMilli}`;
	const byVm = pass.harms.get(kind) ?? new Map<string, ExpectedHarm>();
	pass.harms.set(kind, byVm);
	const harm = byVm.get(vm.vmId) ?? harmOfPlacement(pass.state.interference, task, vm, pass.context.cluster);
	byVm.set(vm.vmId, harm);
	return harm;
}

function withSiblings(found: readonly FeasibleVm[], task: Task, cluster: ClusterState): readonly FeasibleVm[] {
	if (task.workClass === 'batch') {
		return found;
	}

	const siblings = (cluster.jobs.get(task.jobId) ?? [])
		.map(taskId => cluster.tasks.get(taskId)?.claim?.vmId)
		.map(vmId => (vmId === undefined ? undefined : cluster.vms.get(vmId)))
		.filter(vm => vm !== undefined);
	return found.map(entry => ({
		...entry,
		candidate: {
			...entry.candidate,
			siblingsInRack: siblings.filter(sibling => sibling.rack === entry.vm.rack).length,
			siblingsInFailureDomain: siblings.filter(sibling => sibling.failureDomain === entry.vm.failureDomain).length,
		},
	}));
}

function sampleVms(vms: readonly Vm[], seed: number, size: number): readonly Vm[] {
	if (vms.length <= size) {
		return vms;
	}

	const generator = xoroshiro128plus(seed);
	const picked = new Set<number>();
	while (picked.size < size) {
		picked.add(uniformInt(generator, 0, vms.length - 1));
	}

	return [...picked].map(index => vms[index]!);
}
