import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';
import {type Vm} from '../cluster/cluster-state.js';

/** Workers that announced that they are slow for a time, such as after an evacuation: until when, and for how long from the first announcement. */
export type ColdVms = ImmutableMap<string, Readonly<{untilMs: number; spanMs: number}>>;

export const noColdVms: ColdVms = immutableMap();

/** Share of its processors that a VM whose worker has just become cold gives to tasks. It grows to the whole in proportion to the time. */
const minWarmShare = 0.25;

/** Share of a service's processors that must be warm for cold VMs to be spared. With fewer, waiting for them costs more than running slowly. */
const minWarmCapacityShare = 0.5;

/**
Records the time for which a VM's worker remains slow, as its agent's heartbeat tells it; 0 for a warm one.

@example
recordColdLeft(noColdVms, {vmId: 'vm-1', coldLeftMs: 8000, nowMs: 1000}).get('vm-1'); // => {untilMs: 9000, spanMs: 8000}
*/
export function recordColdLeft(coldVms: ColdVms, {vmId, coldLeftMs, nowMs}: Readonly<{vmId: string; coldLeftMs: number; nowMs: number}>): ColdVms {
	return coldLeftMs === 0 ? coldVms.delete(vmId) : coldVms.set(vmId, {untilMs: nowMs + coldLeftMs, spanMs: Math.max(coldLeftMs, coldVms.get(vmId)?.spanMs ?? 0)});
}

/**
Returns the VMs that are still cold.

@example
withoutWarmVms(coldVms, nowMs).has('vm-1'); // => false once its worker is warm
*/
export function withoutWarmVms(coldVms: ColdVms, nowMs: number): ColdVms {
	return coldVms.every(({untilMs}) => untilMs > nowMs) ? coldVms : coldVms.filter(({untilMs}) => untilMs > nowMs);
}

/** What the split reads of a VM. */
type SplitVm = Pick<Vm, 'vmId' | 'service' | 'capacity'>;

/** VMs that accept tasks, by whether their worker is cold, and the millicores that each cold one does not give to tasks yet. */
export type VmsByWarmth<Each extends SplitVm = Vm> = Readonly<{warm: readonly Each[]; cold: readonly Each[]; withheldMilliByVm: ReadonlyMap<string, number>}>;

/**
Splits VMs by warmth. All VMs of a service count as warm while less than half of its processors are.

@example
splitByWarmth(vms, coldVms, nowMs).withheldMilliByVm.get('vm-1'); // => 12000 of 16000 millicores
*/
export function splitByWarmth<Each extends SplitVm>(vms: readonly Each[], coldVms: ColdVms, nowMs: number): VmsByWarmth<Each> {
	const isCold = ({vmId}: SplitVm): boolean => (coldVms.get(vmId)?.untilMs ?? 0) > nowMs;
	if (coldVms.isEmpty() || !vms.some(vm => isCold(vm))) {
		return {warm: vms, cold: [], withheldMilliByVm: new Map()};
	}

	const capacityByService = new Map<string, {warmMilli: number; allMilli: number}>();
	for (const vm of vms) {
		const capacity = capacityByService.get(vm.service) ?? {warmMilli: 0, allMilli: 0};
		capacityByService.set(vm.service, capacity);
		capacity.allMilli += vm.capacity.processorsMilli;
		capacity.warmMilli += isCold(vm) ? 0 : vm.capacity.processorsMilli;
	}

	const isSpared = (vm: Each): boolean => {
		const {warmMilli, allMilli} = capacityByService.get(vm.service)!;
		return isCold(vm) && warmMilli >= minWarmCapacityShare * allMilli;
	};

	const cold = vms.filter(vm => isSpared(vm));
	return {
		warm: vms.filter(vm => !isSpared(vm)),
		cold,
		withheldMilliByVm: new Map(cold.map(({vmId, capacity}) => {
			const {untilMs, spanMs} = coldVms.get(vmId)!;
			return [vmId, Math.ceil(capacity.processorsMilli * (1 - minWarmShare) * Math.min(1, (untilMs - nowMs) / spanMs))];
		})),
	};
}
