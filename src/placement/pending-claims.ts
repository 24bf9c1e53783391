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
	/** Idle processors that filling tasks under way will take, in thousandths. */
	fillingByVm: Map<string, number>;
	/** The same by VM and by what the tasks run. */
	fillingImagesByVm: Map<string, Map<string, number>>;
}>;

export const noPendingClaims: PendingClaims = {
	byTask: Map(), committedByVm: Map(), siblings: Map(), fillingByVm: Map(), fillingImagesByVm: Map(),
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
		fillingByVm: claim.fillingMilli === 0 ? pending.fillingByVm : pending.fillingByVm.update(claim.vmId, 0, sum => sum + claim.fillingMilli),
		fillingImagesByVm: claim.fillingMilli === 0
			? pending.fillingImagesByVm
			: pending.fillingImagesByVm.update(claim.vmId, Map<string, number>(), images => images.update(claim.image, 0, sum => sum + claim.fillingMilli)),
	};
}

/**
Drops the claims that the cluster state shows as decided and those that took too long.

@example
settlePendingClaims(pending, cluster, nowMs);
*/
export function settlePendingClaims(pending: PendingClaims, cluster: ClusterState, nowMs: number): PendingClaims {
	let {byTask, committedByVm, siblings, fillingByVm, fillingImagesByVm} = pending;
	for (const [taskId, claim] of pending.byTask) {
		const task = cluster.tasks.get(taskId);
		const isDecided = task?.phase !== 'queued' || task.attempt >= claim.attempt;
		if (isDecided || nowMs - claim.appendedAtMs > pendingTimeoutMs) {
			byTask = byTask.delete(taskId);
			const left = subtractResources(committedByVm.get(claim.vmId, noResources), claim.committed);
			committedByVm = isEmpty(left) ? committedByVm.delete(claim.vmId) : committedByVm.set(claim.vmId, left);
			if (claim.fillingMilli !== 0) {
				const filling = fillingByVm.get(claim.vmId, 0) - claim.fillingMilli;
				fillingByVm = filling === 0 ? fillingByVm.delete(claim.vmId) : fillingByVm.set(claim.vmId, filling);
				fillingImagesByVm = filling === 0
					? fillingImagesByVm.delete(claim.vmId)
					: fillingImagesByVm.update(claim.vmId, Map<string, number>(), images => images.update(claim.image, 0, sum => sum - claim.fillingMilli));
			}

			const count = siblings.get(claim.siblingsKey, 1) - 1;
			siblings = count === 0 ? siblings.delete(claim.siblingsKey) : siblings.set(claim.siblingsKey, count);
		}
	}

	return {
		byTask, committedByVm, siblings, fillingByVm, fillingImagesByVm,
	};
}

function isEmpty(resources: Resources): boolean {
	return resources.processorsMilli === 0 && resources.memoryMb === 0 && resources.accelerators === 0;
}
