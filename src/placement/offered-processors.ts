import {type Map as ImmutableMap} from 'immutable';
import {type ClusterState, type Vm} from '../cluster/cluster-state.js';
import {noResources, type Resources} from '../cluster/resources.js';
import {freeResourcesOf} from './feasibility.js';
import {fillingLoadOf, idleMilliOf} from './filling-work.js';
import {pendingFillingMilli, type PendingClaims} from './pending-claims.js';

/** What decides how many processors filling work is offered. */
export type OfferContext = Readonly<{
	cluster: ClusterState;
	pending: PendingClaims;
	/** Processors that filling work can get on the VMs where it was short of them, in thousandths. */
	fillingRoomByVm: ImmutableMap<string, number>;
}>;

/**
Tells how many processors of a VM one more filling task is offered, claims under way included, in thousandths.

@param room What the VM has left with the claims under way, where the caller knows it already.

@example
offeredMilliOf(vm, {cluster, pending, fillingRoomByVm}); // => 5200
*/
export function offeredMilliOf(
	vm: Vm,
	{cluster, pending, fillingRoomByVm}: OfferContext,
	room: Resources = freeResourcesOf(vm, pending.committedByVm.get(vm.vmId, noResources)),
): number {
	const idleMilli = idleMilliOf(vm, {room, fillingRoomMilli: fillingRoomByVm.get(vm.vmId)}, cluster);
	return Math.max(0, idleMilli - pendingFillingMilli(pending, vm.vmId));
}

/** Sums over VMs, all in thousandths of a processor. */
export type FillingOffer = Readonly<{
	capacityMilli: number;
	/** Committed by serving tasks. */
	servingMilli: number;
	/** Wanted by the filling tasks that run. */
	fillingMilli: number;
	/** Offered to more filling tasks, and the most that one VM offers. */
	offeredMilli: number;
	largestOfferMilli: number;
}>;

/**
Sums what VMs offer to filling work and why it is not more.

@example
fillingOfferOf(vms, {cluster, pending, fillingRoomByVm}).offeredMilli; // => 41000
*/
export function fillingOfferOf(vms: readonly Vm[], context: OfferContext): FillingOffer {
	const sums = {
		capacityMilli: 0, servingMilli: 0, fillingMilli: 0, offeredMilli: 0, largestOfferMilli: 0,
	};
	for (const vm of vms) {
		const load = fillingLoadOf(vm, context.cluster);
		const offeredMilli = offeredMilliOf(vm, context);
		sums.capacityMilli += vm.capacity.processorsMilli;
		sums.servingMilli += load.servingMilli;
		sums.fillingMilli += load.fillingMilli;
		sums.offeredMilli += offeredMilli;
		sums.largestOfferMilli = Math.max(sums.largestOfferMilli, offeredMilli);
	}

	return sums;
}
