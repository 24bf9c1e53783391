import {type ClusterRecordOf, type PlacementDecision} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';

/**
Makes a recorded placement decision again from its recorded inputs and the state that it names. Undefined when the
state does not hold the task as queued, so that the decision could not have been made on it.

@example
decideAgain(state, claim)?.vmId; // => 'vm-1'
*/
export function decideAgain(
	state: ClusterState,
	claim: ClusterRecordOf<'task-claimed'>,
): Readonly<{vmId: string; decision: PlacementDecision}> | undefined {
	const task = state.tasks.get(claim.taskId);
	if (task?.phase !== 'queued' || task.attempt !== claim.attempt - 1) {
		return undefined;
	}

	const best = claim.decision.candidates
		.filter(({vmId}) => state.vms.get(vmId)?.phase === 'live')
		.toSorted((left, right) => right.scoreMilli - left.scoreMilli || (left.vmId < right.vmId ? -1 : 1))[0];
	return best && {vmId: best.vmId, decision: claim.decision};
}
