import {Map} from 'immutable';
import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {
	addResources, noResources, type Resources, subtractResources,
} from '../cluster/resources.js';
import {stepKeyOf} from '../cluster/workflow.js';

/** A claim that this entry appended and has not read back. */
type PendingClaim = Readonly<{vmId: string; attempt: number; committed: Resources; appendedAtMs: number; siblingsKey: string; fillingMilli: number; image: string}>;

/**
Names the tasks that a step's limit for one VM counts together.

@example
siblingsKeyOf(task, 'vm-1'); // => 'job-1/0.1/vm-1'
*/
export function siblingsKeyOf(task: Task, vmId: string): string {
	return `${task.jobId}/${task.position ? stepKeyOf(task.position) : ''}/${vmId}`;
}

/** Claims under way, so that one pass after the other does not promise the same room twice. */
export type PendingClaims = Readonly<{
	byTask: Map<string, PendingClaim>;
	committedByVm: Map<string, Resources>;
	/** Number of claims under way by `siblingsKeyOf`. */
	siblings: Map<string, number>;
	/** Processors that filling tasks under way will take, by VM and by what the tasks run, in thousandths. */
	fillingByVm: Map<string, Map<string, number>>;
}>;

export const noPendingClaims: PendingClaims = {
	byTask: Map(), committedByVm: Map(), siblings: Map(), fillingByVm: Map(),
};

/** Time after which a claim that was not read back no longer holds room; the reducer protects capacity in any case. */
const pendingTimeoutMs = 5000;

/**
Adds a claim that was appended.

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
Drops the claims that the cluster state shows as decided and those that took too long.

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
			const left = subtractResources(committedByVm.get(claim.vmId, noResources), claim.committed);
			committedByVm = isEmpty(left) ? committedByVm.delete(claim.vmId) : committedByVm.set(claim.vmId, left);
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
Tells how many processors the filling tasks under way will take on a VM, in thousandths.

@example
pendingFillingMilli(pending, 'vm-1'); // => 3600
*/
export function pendingFillingMilli({fillingByVm}: PendingClaims, vmId: string): number {
	return fillingByVm.get(vmId)?.reduce((sum, milli) => sum + milli, 0) ?? 0;
}

/** Adds to what the tasks of an image will take on a VM; what is used up is left out. */
function addFilling(fillingByVm: PendingClaims['fillingByVm'], {vmId, image}: PendingClaim, milli: number): PendingClaims['fillingByVm'] {
	if (milli === 0) {
		return fillingByVm;
	}

	const images = fillingByVm.get(vmId, Map<string, number>());
	const sum = images.get(image, 0) + milli;
	const left = sum === 0 ? images.delete(image) : images.set(image, sum);
	return left.isEmpty() ? fillingByVm.delete(vmId) : fillingByVm.set(vmId, left);
}

function isEmpty(resources: Resources): boolean {
	return resources.processorsMilli === 0 && resources.memoryMb === 0 && resources.accelerators === 0;
}
