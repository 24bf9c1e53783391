import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';
import {type FillingSupplyReport} from '../agent/filling-supply-report.js';
import {type ClusterState, type Vm} from '../cluster/cluster-state.js';
import {type ControlEffect} from '../entry/control-effect.js';
import {
	type FillingLimit, type FillingSupplySums, initialFillingLimit, isFillingLimitDue, minFillingLimitMilli, nextFillingLimit,
} from './filling-limit.js';
import {fillingLoadOf} from './filling-work.js';

/** The limits of an entry that plans ahead, with what the agents report. */
export type FillingLimits = Readonly<{
	/** Newest report of each VM that runs filling tasks. */
	supplyByVm: ImmutableMap<string, FillingSupplyReport>;
	/** Limit in force by service; the lowest one for other services. */
	byService: ReadonlyMap<string, FillingLimit>;
	/** What the passes since the newest evaluation saw of the queue of each service. */
	queues: ReadonlyMap<string, FillingQueue>;
}>;

/** Filling jobs in the queue of a service. */
export type FillingQueue = Readonly<{
	/** Demand of the queued tasks of started jobs; the least of the passes since the limit was evaluated, since the tasks of a step that has just begun are placed at once. */
	waitingMilli: number;
	/** Whether the limit kept out a job. */
	isHoldingBack: boolean;
}>;

export const noFillingLimits: FillingLimits = {supplyByVm: immutableMap(), byService: new Map(), queues: new Map()};

/** Some tasks use only two thirds of what they declare, in thousandths; the tasks of VMs that are not short show how much it is. */
const leastUsualUseMilli = 667;
/** Rank of the VM, in thousandths from the lowest, whose tasks count as well supplied. */
const usualUseRankMilli = 800;

/**
Returns the limit of a service, in thousandths.

@example
fillingLimitMilliOf(noFillingLimits, 'site'); // => 600
*/
export function fillingLimitMilliOf({byService}: FillingLimits, service: string): number {
	return byService.get(service)?.limitMilli ?? minFillingLimitMilli;
}

/**
Returns the limits with the newest report of a VM; it has none without filling tasks.

@example
withFillingSupply(limits, 'vm-1', undefined).supplyByVm.has('vm-1'); // => false
*/
export function withFillingSupply(limits: FillingLimits, vmId: string, report: FillingSupplyReport | undefined): FillingLimits {
	return {...limits, supplyByVm: report === undefined ? limits.supplyByVm.delete(vmId) : limits.supplyByVm.set(vmId, report)};
}

/**
Returns the limits with what a pass has seen of the queue of a service.

@example
withFillingQueue(limits, 'site', {waitingMilli: 0, isHoldingBack: true}).queues.get('site')?.isHoldingBack; // => true
*/
export function withFillingQueue(limits: FillingLimits, service: string, {waitingMilli, isHoldingBack}: FillingQueue): FillingLimits {
	const before = limits.queues.get(service) ?? {waitingMilli: Number.POSITIVE_INFINITY, isHoldingBack: false};
	return {...limits, queues: new Map(limits.queues).set(service, {waitingMilli: Math.min(before.waitingMilli, waitingMilli), isHoldingBack: before.isHoldingBack || isHoldingBack})};
}

/**
Evaluates the limits of all services that run filling tasks, and logs those that moved.

@param vms VMs that accept tasks.

@example
const {limits, effects} = updateFillingLimits(noFillingLimits, {vms, cluster, maxLimitMilli: 1000, nowMs});
*/
export function updateFillingLimits(limits: FillingLimits, {vms, cluster, maxLimitMilli, nowMs}: Readonly<{
	vms: readonly Vm[];
	cluster: ClusterState;
	maxLimitMilli: number;
	nowMs: number;
}>): Readonly<{limits: FillingLimits; effects: readonly ControlEffect[]}> {
	const vmsByService = new Map<string, Vm[]>();
	for (const vm of vms) {
		if (limits.supplyByVm.has(vm.vmId) || limits.byService.has(vm.service)) {
			vmsByService.set(vm.service, [...vmsByService.get(vm.service) ?? [], vm]);
		}
	}

	const effects: ControlEffect[] = [];
	const byService = new Map<string, FillingLimit>();
	const queues = new Map(limits.queues);
	for (const [service, vmsOfService] of vmsByService) {
		const before = limits.byService.get(service) ?? initialFillingLimit;
		if (!isFillingLimitDue(before, nowMs)) {
			byService.set(service, before);
			continue;
		}

		const {waitingMilli, isHoldingBack} = limits.queues.get(service) ?? {waitingMilli: 0, isHoldingBack: false};
		const sums = {...supplySumsOf(vmsOfService, limits.supplyByVm, cluster), waitingMilli};
		const limit = nextFillingLimit(before, sums, {isHoldingBack, maxLimitMilli, nowMs});
		byService.set(service, limit);
		queues.delete(service);
		if (limit.limitMilli !== before.limitMilli) {
			effects.push({
				kind: 'log-event', level: 'info', event: 'filling-limit-moved', fields: {
					service, fromMilli: before.limitMilli, toMilli: limit.limitMilli, reason: limit.reason, ...sums,
				},
			});
		}
	}

	return {limits: {...limits, byService, queues}, effects};
}

/** Returns the sums over the reports of the given VMs. */
function supplySumsOf(vms: readonly Vm[], supplyByVm: FillingLimits['supplyByVm'], cluster: ClusterState): Omit<FillingSupplySums, 'waitingMilli'> {
	const reports = vms.map(({vmId}) => supplyByVm.get(vmId)).filter(report => report !== undefined);
	const uses = reports.map(({usedShareMilli}) => usedShareMilli).toSorted((left, right) => left - right);
	const usualUseMilli = Math.max(leastUsualUseMilli, uses[Math.floor(uses.length * usualUseRankMilli / 1000)] ?? 0);
	const sums = {
		runningMilli: 0, demandMilli: 0, suppliedMilli: 0, servingTasks: 0, impairedServingTasks: 0,
	};
	for (const vm of vms) {
		sums.runningMilli += fillingLoadOf(vm, cluster).fillingMilli;
	}

	for (const {demandMilli, allowedMilli, usedShareMilli, servingTasks, impairedServingTasks} of reports) {
		sums.demandMilli += demandMilli;
		sums.suppliedMilli += Math.round(allowedMilli * Math.min(1, usedShareMilli / usualUseMilli));
		sums.servingTasks += servingTasks;
		sums.impairedServingTasks += impairedServingTasks;
	}

	return sums;
}
