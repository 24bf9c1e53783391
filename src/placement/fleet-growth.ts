import {type ClusterState} from '../cluster/cluster-state.js';
import {type EntryContext, isLogFresh} from '../entry/entry-context.js';

/** The VMs of the newest pass, and since when they have offered nothing new, on the clock of this entry. */
export type FleetGrowth = Readonly<{vmCount: number; vmOffers: ClusterState['vmOffers'] | undefined; sinceMs: number}>;

export const noFleetSeen: FleetGrowth = {vmCount: 0, vmOffers: undefined, sinceMs: 0};

/** Time without a new VM or a new kind of worker after which the others are not waited for; workers of a site start within a few seconds of each other. */
const settledAfterMs = 5000;

/**
Returns the observation of a pass. The time starts again with each new VM, with each worker that offers something new, and while the log's tail
is not read, since VMs may register without this entry's knowledge then.

@example
observeFleetGrowth(noFleetSeen, context).sinceMs; // => context.nowMs
*/
export function observeFleetGrowth(before: FleetGrowth, context: EntryContext): FleetGrowth {
	const {cluster: {vms, vmOffers}, nowMs} = context;
	return isLogFresh(context) && before.vmCount === vms.size && before.vmOffers === vmOffers
		? before
		: {vmCount: vms.size, vmOffers, sinceMs: nowMs};
}

/**
Returns whether the fleet has stopped growing, so that a task that no known worker could run is refused for good.

@example
isFleetSettled({vmCount: 12, vmOffers, sinceMs: 1000}, 7000); // => true
*/
export function isFleetSettled({sinceMs}: FleetGrowth, nowMs: number): boolean {
	return nowMs - sinceMs >= settledAfterMs;
}
