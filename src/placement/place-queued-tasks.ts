import {taskFootprintBytes} from '../admission/job-footprint.js';
import {addResources, fitsInto, noResources} from '../cluster/resources.js';
import {type Task} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {stepOf} from '../cluster/workflow-progress.js';
import {type Transition} from '../entry/control-effect.js';
import {isLogFresh} from '../entry/entry-context.js';
import {admitFillingJobs} from './admit-filling-jobs.js';
import {splitByWarmth, withoutWarmVms} from './cold-vms.js';
import {priorityClassesForPass} from './priority-classes-for-pass.js';
import {chooseVm} from './choose-vm.js';
import {fillingLimitMilliOf, updateFillingLimits, withFillingQueue} from './filling-limits.js';
import {fillingDemandMilli} from './filling-work.js';
import {describeMissingCapacity, acceptsNewTasks} from './feasibility.js';
import {shareOfOtherTasks} from './negligible-tasks.js';
import {isFleetSettled, observeFleetGrowth} from './fleet-growth.js';
import {
	addPendingClaim, prunePendingClaims, siblingsKeyOf, type PendingClaims,
} from './pending-claims.js';
import {createPlacementFailures} from './placement-failures.js';
import {missedStartsOf, plannedStartEvent} from './placement-plan.js';
import {type PlacementContext, type PlacementPass} from './placement-pass.js';
import {placementPolicies} from './placement-policies.js';
import {type PlacementState} from './placement-state.js';
import {planStarts, reserveOrPlan} from './plan-starts.js';
import {findStarvedJobs} from './starved-jobs.js';
import {evaluatePlacementOwners} from './evaluate-placement-owners.js';
import {placementSubjectOf} from './placement-owner.js';
import {orderQueue} from './queue-order.js';
import {isPaused} from './restart-pauses.js';
import {retainValidReservations, releaseReservation} from './reservations.js';
import {noRunTimeEstimates} from './run-time-estimates.js';
import {isRestart} from './restart-waits.js';
import {sampleVms} from './sample-vms.js';
import {isKnownWithoutVm, recordBlockedStep, recordWithoutVm} from './tasks-without-vm.js';
import {candidatesAmong, candidatesWithEvictions} from './vm-candidates.js';

/** VMs sampled first for one task; all VMs are scanned only when none of the sample fits. */
const sampledVms = 24;
const sampledVmsForFillingWork = 128;
/** Limit of pending claims, which bounds the size of one append. */
const maxPendingClaims = 512;
/** Queued tasks of one class considered in a pass, which bounds its duration. */
const maxScannedTasks = 4096;
/** Tasks considered behind those, of requirements that no task before them has shown to find no VM. */
const maxScannedTasksBehind = 1024;
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
	const usedTaskMemory = usedTaskMemoryOf(pending, context);
	if (!isLogFresh(context) || context.cluster.queued.every(tasks => tasks.isEmpty()) || usedTaskMemory >= 1) {
		return {state: pruned, effects: []};
	}

	const starved = findStarvedJobs(pruned.waitingJobs, context, () => pass.state.pending, silentVmIds);
	const pass: PlacementPass = {
		context,
		vms: [],
		coldVms: [],
		withheldMilliByVm: new Map(),
		demandsWithoutVm: [],
		stepsWithoutVm: new Set(),
		requirementsWithoutVm: new Set(),
		blockedFillingSteps: new Set(),
		owners,
		harms: new Map(),
		starved,
		isTaskMemoryShort: usedTaskMemory >= 1 - shareOfOtherTasks,
		effects: [],
		failures: createPlacementFailures(),
		reservationAttempts: 0,
		releaseEstimates: new Map(),
		runTimes: context.settings.planning.enabled && context.settings.planning.plansStarts ? context.runTimes ?? noRunTimeEstimates : undefined,
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
			...pass.state, ownersSeen: owners.ownersSeen(), waitingJobs: starved.waiting(), blockedFillingSteps: pass.blockedFillingSteps, failuresLoggedAtMs: loggedAtMs,
		},
		effects: [...pass.effects, ...effects],
	};
}

/** Returns the used share of the memory for tasks. A claimed task takes more of it than a queued one, and makes place for another one in the queue. */
function usedTaskMemoryOf(pending: PendingClaims, {cluster, settings}: PlacementContext): number {
	return taskFootprintBytes(cluster, {pendingClaims: pending.byTask.size}) / (settings.limits.taskBytes ?? Number.POSITIVE_INFINITY);
}

function moveFillingLimits(pass: PlacementPass): void {
	const {cluster, nowMs, settings: {planning}} = pass.context;
	if (planning.enabled) {
		const {limits, effects} = updateFillingLimits(pass.state.fillingLimits, {
			vms: pass.vms, cluster, maxLimitMilli: planning.maxFillingDemandMilli, nowMs,
		});
		pass.state = {...pass.state, fillingLimits: limits};
		pass.effects.push(...effects);
	}
}

function placeClass(pass: PlacementPass, priority: PriorityClass): void {
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
		blockedSteps: pass.state.blockedFillingSteps,
		limitMilliOf: service => fillingLimitMilliOf(pass.state.fillingLimits, service),
		onQueue(service, queue) {
			pass.state = {...pass.state, fillingLimits: withFillingQueue(pass.state.fillingLimits, service, queue)};
		},
	});
	let scannedTasks = 0;
	for (const taskId of ordered) {
		if (pass.state.pending.byTask.size >= maxPendingClaims) {
			return;
		}

		const task = cluster.tasks.get(taskId)!;
		// The tasks of a few large jobs must not keep the pass from all that wait behind them.
		if (scannedTasks >= maxScannedTasks && isKnownWithoutVm(pass, task)) {
			continue;
		}

		scannedTasks++;
		if (scannedTasks > maxScannedTasks + maxScannedTasksBehind) {
			break;
		}

		pass.failures.isolate('task', taskId, () => {
			placeTask(pass, task);
		});
	}

	planStarts(pass);
}

function placeTask(pass: PlacementPass, task: Task): void {
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
		recordBlockedStep(pass, task);
		reserveOrPlan(pass, task);
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
		recordWithoutVm(pass, task);
		recordBlockedStep(pass, task);
		reserveOrPlan(pass, task);
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
function refuse(pass: PlacementPass, taskId: string, lacks: string): void {
	if (isFleetSettled(pass.state.fleetGrowth, pass.context.nowMs)) {
		pass.effects.push({kind: 'append-record', record: {kind: 'task-unplaceable', taskId, lacks}});
	}
}

function exceedsQuota(pass: PlacementPass, task: Task): boolean {
	const {cluster} = pass.context;
	const quota = cluster.configuration.quotas.get(task.teamId);
	if (!quota) {
		return false;
	}

	const committed = cluster.committedByTeam.get(task.teamId, noResources);
	return !fitsInto(addResources(committed, task.spec.demand), quota);
}
