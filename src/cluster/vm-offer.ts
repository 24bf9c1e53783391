import {type OrderedMap} from 'immutable';
import {type ClusterState, type Vm} from './cluster-state.js';
import {type Resources} from './resources.js';
import {MAX_VM_OFFERS} from './state-limits.js';

/** What the worker of a VM offers to tasks: its service, its labels and its capacity. */
export type VmOffer = Readonly<Pick<Vm, 'service' | 'labels' | 'capacity'>>;

function keyOf({service, labels, capacity: {processorsMilli, memoryMb, accelerators}}: VmOffer): string {
	return JSON.stringify([service, labels, processorsMilli, memoryMb, accelerators]);
}

function isEmpty({processorsMilli, memoryMb, accelerators}: Resources): boolean {
	return processorsMilli === 0 && memoryMb === 0 && accelerators === 0;
}

/**
Returns the offers with that of a worker, each distinct one once. The oldest are removed when there are more than `MAX_VM_OFFERS`. An agent that
never read its worker's list offers nothing.

@example
addVmOffer(state.vmOffers, vm).size; // => 3
*/
export function addVmOffer(offers: ClusterState['vmOffers'], {service, labels, capacity}: VmOffer): OrderedMap<string, VmOffer> {
	const offer: VmOffer = {service, labels, capacity};
	const key = keyOf(offer);
	// A known offer keeps its place, so that the collection changes only when the VMs offer something new.
	if (isEmpty(capacity) || offers.has(key)) {
		return offers;
	}

	const next = offers.set(key, offer);
	const oldest: string | undefined = next.size > MAX_VM_OFFERS ? next.keySeq().first() : undefined;
	return oldest === undefined ? next : next.delete(oldest);
}
