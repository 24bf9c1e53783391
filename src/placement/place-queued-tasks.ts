import {
	Map as immutableMap, type Map as ImmutableMap, Set as immutableSet, type Set as ImmutableSet,
} from 'immutable';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {noLatencyImpactEstimates, type LatencyImpactEstimates} from '../agent/latency-impact-estimates.js';
import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {
	addResources, fitsInto, noResources, subtractResources, type Resources,
} from '../cluster/resources.js';
import {isAllowedOnVm} from '../cluster/step-constraints.js';
import {type Step as WorkflowStep, stepKeyOf} from '../cluster/workflow.js';
import {stepOf} from '../cluster/workflow-progress.js';
import {type ControlEffect, type Transition} from '../entry/control-effect.js';
import {type EntryContext, isLogFresh} from '../entry/entry-context.js';
import {admitFillingJobs} from './admit-filling-jobs.js';
import {
	type ColdVms, noColdVms, splitByWarmth, type VmsByWarmth, withoutWarmVms,
} from './cold-vms.js';
import {priorityClassesForPass} from './priority-classes-for-pass.js';
import {chooseVm, type PlacementCandidate} from './choose-vm.js';
import {
	type FillingLimits, fillingLimitMilliOf, noFillingLimits, updateFillingLimits, withFillingQueue,
} from './filling-limits.js';
import {maxLatencyImpactMilli, fillingDemandMilli, latencyImpactOfPlacementMilli} from './filling-work.js';
import {offeredMilliOf} from './offered-processors.js';
import {describeMissingCapacity, freeResourcesOf, acceptsNewTasks} from './feasibility.js';
import {
	type FleetGrowth, isFleetSettled, noFleetSeen, observeFleetGrowth,
} from './fleet-growth.js';
import {
	addPendingClaim, noPendingClaims, type PendingClaims, prunePendingClaims, siblingsKeyOf,
} from './pending-claims.js';
import {createPlacementFailures, type PlacementFailures} from './placement-failures.js';
import {
	expectedEndAtMs, expectedEndsOf, type ExpectedEnd, missedStartsOf, orderForPlanning, plannedStartEvent, plannedWaitMs,
} from './placement-plan.js';
import {placementPolicies} from './placement-policies.js';
import {findStarvedJobs, type StarvedJobs, type WaitingJobs} from './starved-jobs.js';
import {evaluatePlacementOwners, type OwnersSeen, type PlacementOwners} from './evaluate-placement-owners.js';
import {placementSubjectOf} from './placement-owner.js';
import {orderQueue} from './queue-order.js';
import {type FailedStarts, isPaused, noFailedStarts} from './restart-pauses.js';
import {
	isReservedAgainst, retainValidReservations, noReservations, releaseReservation, reserveVm, unreservedResourcesFor, type Reservations,
} from './reservations.js';
import {type ReleaseEstimate} from './free-resources-wait.js';
import {noRunTimeEstimates, type RunTimeEstimates} from './run-time-estimates.js';
import {isRestart} from './restart-waits.js';
import {chooseVictims} from './choose-victims.js';
import {noVmHistory, type VmHistory} from './observe-usage.js';
import {
	type ExpectedHarm, harmOfPlacement, type InterferenceEstimates, noInterferenceEstimates,
} from './interference-estimates.js';
import {taskKindName} from './work-kind.js';

/** State that the placement keeps between two passes. It is not persisted; losing it with the process does no harm. */
export type PlacementState = Readonly<{
	pending: PendingClaims;
	ownersSeen: OwnersSeen;
	waitingJobs: WaitingJobs;
	interference: InterferenceEstimates;
	history: VmHistory;
	/** Measured latency impact of filling tasks on serving tasks, merged from the reports of all agents. */
	latencyImpacts: LatencyImpactEstimates;
	/** Millicores available to filling tasks, as measured on the VMs where they got less than their demand. */
	fillingRoomByVm: ImmutableMap<string, number>;
	/** VMs whose worker is slow for a time after its start. */
	coldVms: ColdVms;
	/** Limits of the started filling jobs; they move only while the entry plans ahead. */
	fillingLimits: FillingLimits;
	/** VMs with a silent worker: the agent could not deliver a start to it. */
	silentVmIds: ImmutableSet<string>;
	reservations: Reservations;
	/** Until the fleet has stopped growing, a task that no known worker could run waits for others to register. */
	fleetGrowth: FleetGrowth;
	/** Long-running tasks that fail soon after their start, which pause before the next one. */
	failedStarts: FailedStarts;
	/** When tasks and VMs that a pass left out because they made it throw were last logged. */
	failuresLoggedAtMs: number;
}>;

export const initialPlacement: PlacementState = {
	pending: noPendingClaims,
	ownersSeen: immutableMap(),
	waitingJobs: immutableMap(),
	interference: noInterferenceEstimates,
	history: noVmHistory,
	latencyImpacts: noLatencyImpactEstimates,
	fillingRoomByVm: immutableMap(),
	coldVms: noColdVms,
	fillingLimits: noFillingLimits,
	silentVmIds: immutableSet(),
	reservations: noReservations,
	fleetGrowth: noFleetSeen,
	failedStarts: noFailedStarts,
	failuresLoggedAtMs: Number.NEGATIVE_INFINITY,
};

/** VMs sampled first for one task; all VMs are scanned only when none of the sample fits. */
const sampledVms = 24;
const sampledVmsForFillingWork = 128;
/** Limit of pending claims, which bounds the size of one append and the duration of a pass. */
const maxPendingClaims = 512;
/**
The limit while the next task is a restart. After all VMs lost power, the restarts beyond `maxPendingClaims` waited for the next pass, 250 ms later; the
log writer appends 1,000 records at once.
*/
const maxPendingRestarts = 1000;
/** Queued tasks of one class considered in a pass, which bounds its duration. */
const maxScannedTasks = 4096;
/** Tasks of one class that may try to reserve a VM in a pass, and the number of VMs compared for them. */
const maxReservationAttempts = 16;
const sampledVmsForReservation = 64;

type Pass = {
	readonly context: EntryContext;
	/** VMs that accept tasks, without those whose worker is cold. */
	vms: readonly Vm[];
	/** VMs that accept tasks and whose worker is cold, for tasks that no warm one can take. */
	coldVms: readonly Vm[];
	/** Millicores of cold VMs that are not given to tasks yet. */
	withheldMilliByVm: VmsByWarmth['withheldMilliByVm'];
	/** Demands that no VM could take in this pass; a demand of the same service that is at least as large cannot be placed either. */
	readonly demandsWithoutVm: Array<Readonly<{service: string | undefined; demand: Resources}>>;
	/** Steps whose task no VM could take in this pass; their other tasks cannot be placed either, since free resources only shrink during a pass. */
	readonly stepsWithoutVm: Set<string>;
	/** Keys of requirements that no VM could meet in this pass. Tasks of several jobs share a key when they can be placed on the same VMs. */
	readonly requirementsWithoutVm: Set<string>;
	readonly owners: PlacementOwners;
	/** Expected harm of a placement, by kind, work class and demand of the task, then by VM. */
	readonly harms: Map<string, Map<string, ExpectedHarm>>;
	readonly starved: StarvedJobs;
	readonly effects: ControlEffect[];
	readonly failures: PlacementFailures;
	reservationAttempts: number;
	/** Estimates of the resources that tasks will release, for the VMs compared for a reservation. */
	readonly releaseEstimates: Map<string, ReleaseEstimate>;
	/** Learned run times; undefined unless the entry plans ahead. */
	readonly runTimes: RunTimeEstimates | undefined;
	readonly expectedEnds: Map<string, readonly ExpectedEnd[]>;
	/** Tasks that found no VM and may have a start planned. */
	planned: Task[];
	state: PlacementState;
};

/** What a placement pass reads; `unheardVmIds` names the VMs whose agent would probably not receive a start. */
export type PlacementContext = EntryContext & Readonly<{unheardVmIds?: ImmutableSet<string>; runTimes?: RunTimeEstimates}>;

/**
Claims VMs for queued tasks, the most urgent class first.

@example
const {state, effects} = placeQueuedTasks(initialPlacement, context);
*/
export function placeQueuedTasks(state: PlacementState, context: PlacementContext): Transition<PlacementState> {
	const owners = evaluatePlacementOwners(state.ownersSeen, context);
	const pending = prunePendingClaims(state.pending, context.cluster, context.nowMs);
	const silentVmIds = state.silentVmIds.union(context.unheardVmIds ?? []);
	const pruned: PlacementState = {
		...state,
		pending,
		coldVms: withoutWarmVms(state.coldVms, context.nowMs),
		fleetGrowth: observeFleetGrowth(state.fleetGrowth, context),
		ownersSeen: owners.ownersSeen(),
		reservations: retainValidReservations(state.reservations, {cluster: context.cluster, pending, nowMs: context.nowMs}, silentVmIds),
	};
	if (!isLogFresh(context) || context.cluster.queued.every(tasks => tasks.isEmpty())) {
		return {state: pruned, effects: []};
	}

	const starved = findStarvedJobs(pruned.waitingJobs, context, () => pass.state.pending, silentVmIds);
	const pass: Pass = {
		context,
		vms: [],
		coldVms: [],
		withheldMilliByVm: new Map(),
		demandsWithoutVm: [],
		stepsWithoutVm: new Set(),
		requirementsWithoutVm: new Set(),
		owners,
		harms: new Map(),
		starved,
		effects: [],
		failures: createPlacementFailures(),
		reservationAttempts: 0,
		releaseEstimates: new Map(),
		runTimes: context.settings.planning.enabled ? context.runTimes ?? noRunTimeEstimates : undefined,
		expectedEnds: new Map(),
		planned: [],
		state: pruned,
	};
	if (!owners.mayHaveAny()) {
		return {state: {...pass.state, ownersSeen: owners.ownersSeen()}, effects: []};
	}

	const accepting = [...context.cluster.vms.values()].filter(vm => acceptsNewTasks(vm, context.cluster) && !silentVmIds.has(vm.vmId));
	const {warm, cold, withheldMilliByVm} = splitByWarmth(accepting, state.coldVms, context.nowMs);
	pass.vms = warm;
	pass.coldVms = cold;
	pass.withheldMilliByVm = withheldMilliByVm;
	moveFillingLimits(pass);
	pass.effects.push(...missedStartsOf(state.reservations, pruned.reservations, context));
	for (const priority of priorityClassesForPass(context.seed, context.cluster.configuration.requestLimits.floorMilliByClass)) {
		placeClass(pass, priority);
	}

	const {loggedAtMs, effects} = pass.failures.report(pass.state.failuresLoggedAtMs, context.nowMs);
	return {
		state: {
			...pass.state, ownersSeen: owners.ownersSeen(), waitingJobs: starved.waiting(), failuresLoggedAtMs: loggedAtMs,
		},
		effects: [...pass.effects, ...effects],
	};
}

function moveFillingLimits(pass: Pass): void {
	const {cluster, nowMs, settings: {planning}} = pass.context;
	if (planning.enabled) {
		const {limits, effects} = updateFillingLimits(pass.state.fillingLimits, {
			vms: pass.vms, cluster, maxLimitMilli: planning.maxFillingDemandMilli, nowMs,
		});
		pass.state = {...pass.state, fillingLimits: limits};
		pass.effects.push(...effects);
	}
}

function placeClass(pass: Pass, priority: PriorityClass): void {
	const {cluster} = pass.context;
	if (priority === 'urgent') {
		// Urgent tasks may evict others, so a demand that failed in another class may still be placeable.
		pass.demandsWithoutVm.length = 0;
	}

	pass.reservationAttempts = 0;
	pass.planned = [];
	const own = [...cluster.queued.get(priority)?.keys() ?? []].filter(taskId => {
		const task = cluster.tasks.get(taskId);
		return task && !pass.state.pending.byTask.has(taskId) && !isPaused(pass.state.failedStarts, task, pass.context.nowMs) && pass.owners.isOwn(placementSubjectOf(task, cluster));
	});
	// The limits below apply per class, so an overload of one class does not stop the placement of the others.
	const ordered = admitFillingJobs(orderQueue(own, cluster, pass.context.wallTimeMs), {
		cluster,
		vms: pass.vms,
		pending: pass.state.pending,
		fillingRoomByVm: pass.state.fillingRoomByVm,
		mayExceed: taskId => pass.starved.isStarved(cluster.tasks.get(taskId)!),
		limitMilliOf: service => fillingLimitMilliOf(pass.state.fillingLimits, service),
		onQueue(service, queue) {
			pass.state = {...pass.state, fillingLimits: withFillingQueue(pass.state.fillingLimits, service, queue)};
		},
	});
	for (const taskId of ordered.slice(0, maxScannedTasks)) {
		const task = cluster.tasks.get(taskId)!;
		if (pass.state.pending.byTask.size >= (isRestart(task, cluster) ? maxPendingRestarts : maxPendingClaims)) {
			return;
		}

		pass.failures.isolate('task', taskId, () => {
			placeTask(pass, task);
		});
	}

	planStarts(pass);
}

/** Reserves VMs for tasks of a class that found none, the largest first. */
function planStarts(pass: Pass): void {
	const tasks = orderForPlanning(pass.planned);
	pass.planned = [];
	for (const task of tasks) {
		reserveFor(pass, task);
	}
}

function placeTask(pass: Pass, task: Task): void {
	const {cluster, settings, seed, nowMs} = pass.context;
	const {demand, taskId} = task.spec;
	if (exceedsQuota(pass, task)) {
		pass.state = {...pass.state, reservations: releaseReservation(pass.state.reservations, taskId)};
		return;
	}

	const taskSeed = (seed + task.submittedOffset + task.attempt) % 0x7F_FF_FF_FF;
	const isWithoutVm = isKnownWithoutVm(pass, task);
	// Failures of other tasks do not apply to the VM reserved for this one, since they could not use its reserved resources.
	const reservedVmId = pass.state.reservations.vmIdByTask.get(taskId);
	const reservedVm = reservedVmId === undefined ? undefined : pass.vms.find(({vmId}) => vmId === reservedVmId);
	if (isWithoutVm && !reservedVm) {
		reserve(pass, task);
		return;
	}

	const lacks = describeMissingCapacity(task, cluster);
	if (lacks !== undefined) {
		refuse(pass, taskId, lacks);
		return;
	}

	const vms = isWithoutVm && reservedVm ? [reservedVm] : pass.vms;
	// The latency impact of filling tasks differs widely between VMs, so a small sample misses the VMs with little impact.
	const sample = sampleVms(vms, taskSeed, fillingDemandMilli(task, cluster) === 0 ? sampledVms : sampledVmsForFillingWork);
	let considered = sample.length;
	let candidates = candidatesAmong(pass, task, sample);
	if (candidates.length === 0 && sample.length < vms.length) {
		considered = vms.length;
		candidates = candidatesAmong(pass, task, vms);
	}

	if (candidates.length === 0 && pass.coldVms.length > 0 && !isWithoutVm) {
		considered += pass.coldVms.length;
		candidates = candidatesAmong(pass, task, pass.coldVms);
	}

	if (candidates.length === 0 && task.priority === 'urgent' && !isWithoutVm) {
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
		pass.requirementsWithoutVm.add(requirementsKeyOf(pass, task));
		const stepKey = stepOccurrenceKeyOf(task);
		if (stepKey !== undefined) {
			pass.stepsWithoutVm.add(stepKey);
		}

		// A task that was rejected because of its step's constraints does not show that other tasks cannot be placed.
		if (!isConstrained(cluster, task) && fillingDemandMilli(task, cluster) === 0) {
			pass.demandsWithoutVm.push({service: serviceOf(cluster, task), demand});
		}

		reserve(pass, task);
		return;
	}

	const chosen = candidates.find(({candidate}) => candidate.vmId === choice.vmId)!;
	const attempt = task.attempt + 1;
	pass.starved.recordClaim(task.jobId);
	pass.effects.push(...plannedStartEvent(pass.state.reservations, taskId, {isHeld: choice.vmId === reservedVmId, nowMs}), {
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
		reservations: releaseReservation(pass.state.reservations, taskId),
	};
}

/** Refuses a task that no known worker could run, once no more workers are waited for. */
function refuse(pass: Pass, taskId: string, lacks: string): void {
	if (isFleetSettled(pass.state.fleetGrowth, pass.context.nowMs)) {
		pass.effects.push({kind: 'append-record', record: {kind: 'task-unplaceable', taskId, lacks}});
	}
}

/** Reserves a VM for a task that could not be placed, so that later tasks do not take the resources released there. */
function reserve(pass: Pass, task: Task): void {
	// Restarts come first of all and reserve at once.
	if (pass.runTimes && !isRestart(task, pass.context.cluster)) {
		pass.planned.push(task);
		return;
	}

	reserveFor(pass, task);
}

function reserveFor(pass: Pass, task: Task): void {
	const {reservations, pending} = pass.state;
	const {cluster, nowMs, seed} = pass.context;
	if (reservations.vmIdByTask.has(task.spec.taskId) || pass.reservationAttempts >= maxReservationAttempts || fillingDemandMilli(task, cluster) > 0) {
		return;
	}

	pass.reservationAttempts++;
	pass.state = {
		...pass.state,
		reservations: reserveVm(reservations, task, {
			// All tasks of a pass choose from the same sample, so that the estimate of each VM is computed once.
			cluster, pending, nowMs, vms: sampleVms(pass.vms, seed, sampledVmsForReservation), fleetSize: pass.vms.length, releaseEstimates: pass.releaseEstimates,
			plannedWaitMsOn: pass.runTimes && ((vm, demand, free) => plannedWaitMs(expectedEndsOn(pass, vm, pass.runTimes!), demand, free)),
		}),
	};
}

function expectedEndsOn(pass: Pass, vm: Vm, runTimes: RunTimeEstimates): readonly ExpectedEnd[] {
	const ends = pass.expectedEnds.get(vm.vmId) ?? expectedEndsOf(vm, {...pass.context, runTimes});
	pass.expectedEnds.set(vm.vmId, ends);
	return ends;
}

/** Returns whether an earlier failure in this pass shows that no VM can take the task. */
function isKnownWithoutVm(pass: Pass, task: Task): boolean {
	const stepKey = stepOccurrenceKeyOf(task);
	const service = serviceOf(pass.context.cluster, task);
	return pass.demandsWithoutVm.some(failed => failed.service === service && fitsInto(failed.demand, task.spec.demand))
		|| (stepKey !== undefined && pass.stepsWithoutVm.has(stepKey))
		|| pass.requirementsWithoutVm.has(requirementsKeyOf(pass, task));
}

/** Returns the key of a task's step in its occurrence of the workflow; undefined for a task without a workflow. */
function stepOccurrenceKeyOf({jobId, position}: Task): string | undefined {
	return position && `${jobId}/${stepKeyOf(position)}`;
}

/** Returns a key of all properties of a task that decide which VMs can take it. */
function requirementsKeyOf(pass: Pass, task: Task): string {
	const {cluster} = pass.context;
	const {processorsMilli, memoryMb, accelerators} = task.spec.demand;
	const step = stepOf(cluster, task);
	const service = serviceOf(cluster, task);
	// The limit of tasks per VM counts the tasks of one step, so the key of such a task contains its step.
	const limited = step?.maxTasksPerVm === undefined ? undefined : stepOccurrenceKeyOf(task);
	return JSON.stringify([
		task.workClass, task.priority, processorsMilli, memoryMb, accelerators, requiredIdleMilliOf(pass, task), step?.fillsIdle && step.image, service, step?.requiredLabel, limited,
	]);
}

/** Returns the service whose workers run a task; undefined for a task that any worker can run. */
function serviceOf(cluster: ClusterState, {jobId}: Task): string | undefined {
	return cluster.workflows.get(jobId)?.workflow.service;
}

function isConstrained(cluster: ClusterState, task: Task): boolean {
	const step = stepOf(cluster, task);
	return step?.requiredLabel !== undefined || step?.maxTasksPerVm !== undefined;
}

/** Returns whether a task's step allows it on a VM, pending claims included. */
function isAllowed(pass: Pass, task: Task, step: WorkflowStep | undefined, vm: Vm): boolean {
	const pendingSiblings = step?.maxTasksPerVm === undefined ? 0 : pass.state.pending.siblings.get(siblingsKeyOf(task, vm.vmId), 0);
	return isAllowedOnVm(pass.context.cluster, task, vm, pendingSiblings);
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
	const requiredIdleMilli = requiredIdleMilliOf(pass, task);
	const step = stepOf(cluster, task);
	const offerContext = {cluster, pending: pass.state.pending, fillingRoomByVm: pass.state.fillingRoomByVm};
	const endsAtMs = pass.runTimes ? expectedEndAtMs(task, {...pass.context, runTimes: pass.runTimes}) : Number.POSITIVE_INFINITY;
	const candidateOn = (vm: Vm): FeasibleVm | undefined => {
		const free = subtractResources(
			freeResourcesOf(vm, pass.state.pending.committedByVm.get(vm.vmId, noResources)),
			{...noResources, processorsMilli: pass.withheldMilliByVm.get(vm.vmId) ?? 0},
		);
		const offered = fillingMilli === 0 ? free : {...free, processorsMilli: offeredMilliOf(vm, offerContext, free)};
		const unreserved = unreservedResourcesFor(pass.state.reservations, task, {vmId: vm.vmId, free, endsAtMs}, cluster);
		if (!fitsInto(task.spec.demand, unreserved) || offered.processorsMilli < requiredIdleMilli || !isAllowed(pass, task, step, vm)) {
			return undefined;
		}

		const latencyImpactMilli = latencyImpactOn(pass, task, vm);
		return requiredIdleMilli === 0 || latencyImpactMilli <= maxLatencyImpactMilli
			? {
				vm, candidate: toCandidate(pass, task, vm, {
					room: offered, evictions: 0, step, latencyImpactMilli,
				}), evictTaskIds: [],
			}
			: undefined;
	};

	for (const vm of vms) {
		const candidate = pass.failures.isolate('vm', vm.vmId, () => candidateOn(vm));
		if (candidate) {
			found.push(candidate);
		}
	}

	// Siblings are counted for the candidates only, which avoids a count for every VM.
	return withSiblings(found, task, cluster);
}

/** Returns the latency impact of a filling task on the serving tasks of a VM, in thousandths of their impact budget; 0 for other tasks. */
function latencyImpactOn(pass: Pass, task: Task, vm: Vm): number {
	const {context: {cluster}, state: {latencyImpacts, pending}} = pass;
	return latencyImpactOfPlacementMilli(task, vm, {cluster, latencyImpacts, pendingByVm: pending.fillingByVm});
}

/** Returns the idle millicores that a VM must have for a task: the demand of a filling task, unless its job is starved, or else 0. */
function requiredIdleMilliOf(pass: Pass, task: Task): number {
	const fillingMilli = fillingDemandMilli(task, pass.context.cluster);
	return fillingMilli > 0 && !pass.starved.isStarved(task) ? fillingMilli : 0;
}

/** VMs on which evictions are considered for one urgent task. */
const sampledVmsForEviction = 64;

function candidatesWithEvictions(pass: Pass, task: Task): readonly FeasibleVm[] {
	const {cluster} = pass.context;
	const step = stepOf(cluster, task);
	const found: FeasibleVm[] = [];
	for (const vm of pass.vms.slice(0, sampledVmsForEviction)) {
		// VMs with a pending claim are skipped: that claim may evict the same tasks.
		if (pass.state.pending.committedByVm.has(vm.vmId) || isReservedAgainst(pass.state.reservations, task, vm.vmId, cluster) || !isAllowed(pass, task, step, vm)) {
			continue;
		}

		const victims = chooseVictims(vm, task, cluster);
		if (victims) {
			found.push({
				vm,
				candidate: toCandidate(pass, task, vm, {
					room: victims.freeAfterEviction, evictions: victims.taskIds.length, step, latencyImpactMilli: latencyImpactOn(pass, task, vm),
				}),
				evictTaskIds: victims.taskIds,
			});
		}
	}

	return found;
}

function toCandidate(pass: Pass, task: Task, vm: Vm, facts: Readonly<{room: Resources; evictions: number; step: WorkflowStep | undefined; latencyImpactMilli: number}>): PlacementCandidate {
	const {cluster} = pass.context;
	const {room, evictions, step, latencyImpactMilli} = facts;
	const {serviceHarmMilli, batchHarmMilli} = harmOn(pass, task, vm);
	return {
		vmId: vm.vmId,
		capacity: vm.capacity,
		room,
		evictions,
		serviceHarmMilli: serviceHarmMilli + latencyImpactMilli,
		batchHarmMilli,
		// Serving tasks are packed on few VMs, so that other VMs stay free of them for filling tasks.
		packs: step?.latencyTargetMs !== undefined,
		siblingsInRack: 0,
		siblingsInFailureDomain: 0,
		failedBefore: task.failedOnVmIds.includes(vm.vmId),
		wastesAccelerators: vm.capacity.accelerators > 0 && task.spec.demand.accelerators === 0,
	};
}

/** Returns the expected harm on a VM, cached for the tasks of a pass that have the same kind, work class and demand. */
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
