import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {
	fitsInto, noResources, subtractResources, type Resources,
} from '../cluster/resources.js';
import {isAllowedOnVm} from '../cluster/step-constraints.js';
import {type Step as WorkflowStep} from '../cluster/workflow.js';
import {stepOf, taskIdsOf} from '../cluster/workflow-progress.js';
import {chooseVictims} from './choose-victims.js';
import {type PlacementCandidate} from './choose-vm.js';
import {freeResourcesOf} from './feasibility.js';
import {maxLatencyImpactMilli, fillingDemandMilli, latencyImpactOfPlacementMilli} from './filling-work.js';
import {harmOfPlacement, type ExpectedHarm} from './interference-estimates.js';
import {offeredMilliOf} from './offered-processors.js';
import {isFullForTask} from './negligible-tasks.js';
import {siblingsKeyOf} from './pending-claims.js';
import {type PlacementPass} from './placement-pass.js';
import {expectedEndAtMs} from './placement-plan.js';
import {isReservedAgainst, unreservedResourcesFor} from './reservations.js';
import {taskKindName} from './work-kind.js';

/** VMs on which evictions are considered for one urgent task. */
const sampledVmsForEviction = 64;

/** A VM that can take a task, and the tasks that are evicted for it. */
export type FeasibleVm = Readonly<{vm: Vm; candidate: PlacementCandidate; evictTaskIds: readonly string[]}>;

/**
Returns the VMs that have a task's demand free.

@example
candidatesAmong(pass, task, pass.vms).map(({vm}) => vm.vmId); // => ['vm-3', 'vm-7']
*/
export function candidatesAmong(pass: PlacementPass, task: Task, vms: readonly Vm[]): readonly FeasibleVm[] {
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
function latencyImpactOn(pass: PlacementPass, task: Task, vm: Vm): number {
	const {context: {cluster}, state: {latencyImpacts, pending}} = pass;
	return latencyImpactOfPlacementMilli(task, vm, {cluster, latencyImpacts, pendingByVm: pending.fillingByVm});
}

/**
Returns the idle millicores that a VM must have for a task: the demand of a filling task, unless its job is starved, or else 0.

@example
requiredIdleMilliOf(pass, task); // => 3500
*/
export function requiredIdleMilliOf(pass: PlacementPass, task: Task): number {
	const fillingMilli = fillingDemandMilli(task, pass.context.cluster);
	return fillingMilli > 0 && !pass.starved.isStarved(task) ? fillingMilli : 0;
}

/**
Returns VMs that have an urgent task's demand free once less urgent tasks are evicted.

@example
candidatesWithEvictions(pass, task)[0]?.evictTaskIds; // => ['batch-4']
*/
export function candidatesWithEvictions(pass: PlacementPass, task: Task): readonly FeasibleVm[] {
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

function toCandidate(pass: PlacementPass, task: Task, vm: Vm, facts: Readonly<{room: Resources; evictions: number; step: WorkflowStep | undefined; latencyImpactMilli: number}>): PlacementCandidate {
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
function harmOn(pass: PlacementPass, task: Task, vm: Vm): ExpectedHarm {
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

	const siblings = [...taskIdsOf(cluster, task.jobId)]
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

/** Returns whether a task's step and the number of tasks on a VM allow it there, pending claims included. */
function isAllowed(pass: PlacementPass, task: Task, step: WorkflowStep | undefined, vm: Vm): boolean {
	const pendingSiblings = step?.maxTasksPerVm === undefined ? 0 : pass.state.pending.siblings.get(siblingsKeyOf(task, vm.vmId), 0);
	return !isFullForTask(pass, task, vm) && isAllowedOnVm(pass.context.cluster, task, vm, pendingSiblings);
}
