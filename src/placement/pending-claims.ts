import {Map} from 'immutable';
import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {
	addResources, noResources, type Resources, subtractResources,
} from '../cluster/resources.js';
import {stepKeyOf} from '../cluster/workflow.js';

/** A pending claim: one that this entry appended to the log and has not read back. */
type PendingClaim = Readonly<{vmId: string; attempt: number; committed: Resources; appendedAtMs: number; siblingsKey: string; fillingMilli: number; image: string}>;

/**
Returns the key of the tasks that a step's `maxTasksPerVm` counts together.

@example
siblingsKeyOf(task, 'vm-1'); // => 'job-1/0.1/vm-1'
*/
export function siblingsKeyOf(task: Task, vmId: string): string {
	return `${task.jobId}/${task.position ? stepKeyOf(task.position) : ''}/${vmId}`;
}

/** The pending claims of this entry, so that consecutive passes do not claim the same free resources twice. */
export type PendingClaims = Readonly<{
	byTask: Map<string, PendingClaim>;
	committedByVm: Map<string, Resources>;
	/** Number of pending claims, by `siblingsKeyOf`. */
	siblings: Map<string, number>;
	/** Millicores that the filling tasks of pending claims demand, by VM and image. */
	fillingByVm: Map<string, Map<string, number>>;
}>;

export const noPendingClaims: PendingClaims = {
	byTask: Map(), committedByVm: Map(), siblings: Map(), fillingByVm: Map(),
};

/** Time after which a pending claim no longer counts. This is safe, since the reducer of the cluster state never commits beyond a VM's capacity. */
const pendingTimeoutMs = 5000;

/**
Returns the pending claims with one that was appended.

@example
addPendingClaim(noPendingClaims, 'task-1', {
	vmId: 'vm-1', attempt: 1, committed, appendedAtMs: nowMs, siblingsKey, fillingMilli: 0, image: '',
});
*/
export function addPendingClaim(pending: PendingClaims, taskId: string, claim: PendingClaim): PendingClaims {
	return {
		byTask: pending.byTask.set(taskId, claim),
		committedByVm: pending.committedByVm.update(claim.vmId, noResources, sum => addResources(sum, claim.committed)),
		siblings: pending.siblings.update(claim.siblingsKey, 0, count => count + 1),
		fillingByVm: addFilling(pending.fillingByVm, claim, claim.fillingMilli),
	};
}

/**
Removes the claims that the cluster state shows as decided and those that have timed out.

@example
prunePendingClaims(pending, cluster, nowMs);
*/
export function prunePendingClaims(pending: PendingClaims, cluster: ClusterState, nowMs: number): PendingClaims {
	let {byTask, committedByVm, siblings, fillingByVm} = pending;
	for (const [taskId, claim] of pending.byTask) {
		const task = cluster.tasks.get(taskId);
		const isDecided = task?.phase !== 'queued' || task.attempt >= claim.attempt;
		if (isDecided || nowMs - claim.appendedAtMs > pendingTimeoutMs) {
			byTask = byTask.delete(taskId);
			const remaining = subtractResources(committedByVm.get(claim.vmId, noResources), claim.committed);
			committedByVm = isEmpty(remaining) ? committedByVm.delete(claim.vmId) : committedByVm.set(claim.vmId, remaining);
			fillingByVm = addFilling(fillingByVm, claim, -claim.fillingMilli);
			const count = siblings.get(claim.siblingsKey, 1) - 1;
			siblings = count === 0 ? siblings.delete(claim.siblingsKey) : siblings.set(claim.siblingsKey, count);
		}
	}

	return {
		byTask, committedByVm, siblings, fillingByVm,
	};
}

/**
Returns the millicores that the filling tasks of pending claims demand on a VM.

@example
pendingFillingMilli(pending, 'vm-1'); // => 3600
*/
export function pendingFillingMilli({fillingByVm}: PendingClaims, vmId: string): number {
	return fillingByVm.get(vmId)?.reduce((sum, milli) => sum + milli, 0) ?? 0;
}

/** Adds to the demand of an image's filling tasks on a VM and removes entries that become 0. */
function addFilling(fillingByVm: PendingClaims['fillingByVm'], {vmId, image}: PendingClaim, milli: number): PendingClaims['fillingByVm'] {
	if (milli === 0) {
		return fillingByVm;
	}

	const images = fillingByVm.get(vmId, Map<string, number>());
	const sum = images.get(image, 0) + milli;
	const remaining = sum === 0 ? images.delete(image) : images.set(image, sum);
	return remaining.isEmpty() ? fillingByVm.delete(vmId) : fillingByVm.set(vmId, remaining);
}

function isEmpty(resources: Resources): boolean {
	return resources.processorsMilli === 0 && resources.memoryMb === 0 && resources.accelerators === 0;
}
