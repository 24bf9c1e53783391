import {type Map as ImmutableMap} from 'immutable';
import {type ClusterState, type Vm} from '../cluster/cluster-state.js';
import {noResources, type Resources} from '../cluster/resources.js';
import {freeResourcesOf} from './feasibility.js';
import {fillingLoadOf, idleMilliOf} from './filling-work.js';
import {pendingFillingMilli, type PendingClaims} from './pending-claims.js';

/** Inputs of the number of processors offered to filling tasks. */
export type OfferContext = Readonly<{
	cluster: ClusterState;
	pending: PendingClaims;
	/** Millicores available to filling tasks, as measured on the VMs where they got less than their demand. */
	fillingRoomByVm: ImmutableMap<string, number>;
}>;

/**
Returns the millicores that a VM offers to one more filling task, pending claims included.

@param free Free resources of the VM, pending claims included; computed when left out.

@example
offeredMilliOf(vm, {cluster, pending, fillingRoomByVm}); // => 5200
*/
export function offeredMilliOf(
	vm: Vm,
	{cluster, pending, fillingRoomByVm}: OfferContext,
	free: Resources = freeResourcesOf(vm, pending.committedByVm.get(vm.vmId, noResources)),
): number {
	const idleMilli = idleMilliOf(vm, {free, fillingRoomMilli: fillingRoomByVm.get(vm.vmId)}, cluster);
	return Math.max(0, idleMilli - pendingFillingMilli(pending, vm.vmId));
}

/** Sums over VMs, in millicores. */
export type FillingOffer = Readonly<{
	capacityMilli: number;
	/** Committed by serving tasks. */
	servingMilli: number;
	/** Demanded by the filling tasks on these VMs. */
	fillingMilli: number;
	/** Offered to further filling tasks, and the largest offer of one VM. */
	offeredMilli: number;
	largestOfferMilli: number;
}>;

/**
Returns what VMs offer to filling tasks, with the commitments and demands that limit it.

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
