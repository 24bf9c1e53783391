import {Map} from 'immutable';
import {type ClusterState} from '../cluster/cluster-state.js';
import {
	addResources, noResources, type Resources, subtractResources,
} from '../cluster/resources.js';

/** A claim that this entry appended and has not read back. */
type PendingClaim = Readonly<{vmId: string; attempt: number; committed: Resources; appendedAtMs: number}>;

/** Claims under way, so that one pass after the other does not promise the same room twice. */
export type PendingClaims = Readonly<{
	byTask: Map<string, PendingClaim>;
	committedByVm: Map<string, Resources>;
}>;

export const noPendingClaims: PendingClaims = {byTask: Map(), committedByVm: Map()};

/** Time after which a claim that was not read back no longer holds room; the reducer protects capacity in any case. */
const pendingTimeoutMs = 5000;

/**
Adds a claim that was appended.

@example
addPendingClaim(noPendingClaims, 'task-1', {vmId: 'vm-1', attempt: 1, committed, appendedAtMs: nowMs});
*/
export function addPendingClaim(pending: PendingClaims, taskId: string, claim: PendingClaim): PendingClaims {
	return {
		byTask: pending.byTask.set(taskId, claim),
		committedByVm: pending.committedByVm.update(claim.vmId, noResources, sum => addResources(sum, claim.committed)),
	};
}

/**
Drops the claims that the cluster state shows as decided and those that took too long.

@example
settlePendingClaims(pending, cluster, nowMs);
*/
export function settlePendingClaims(pending: PendingClaims, cluster: ClusterState, nowMs: number): PendingClaims {
	let {byTask, committedByVm} = pending;
	for (const [taskId, claim] of pending.byTask) {
		const task = cluster.tasks.get(taskId);
		const isDecided = task?.phase !== 'queued' || task.attempt >= claim.attempt;
		if (isDecided || nowMs - claim.appendedAtMs > pendingTimeoutMs) {
			byTask = byTask.delete(taskId);
			const left = subtractResources(committedByVm.get(claim.vmId, noResources), claim.committed);
			committedByVm = isEmpty(left) ? committedByVm.delete(claim.vmId) : committedByVm.set(claim.vmId, left);
		}
	}

	return {byTask, committedByVm};
}

function isEmpty(resources: Resources): boolean {
	return resources.processorsMilli === 0 && resources.memoryMb === 0 && resources.accelerators === 0;
}
