import {type PlacementDecision} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {applyRecord, emptyClusterState} from '../cluster/reduce-cluster.js';
import {fitsInto, noResources} from '../cluster/resources.js';
import {roomOf, takesNewTasks} from '../placement/feasibility.js';
import {type ReplayFunctions, type TaskClaimed} from './replay-records.js';

type Candidate = PlacementDecision['candidates'][number];

/**
The entry's own functions for replay. Scores and harm are inputs that the record carries, because the estimates behind them
are not in the log. Which candidates were feasible is worked out again from the state, and the choice is made again.
*/
export const replayFunctions: ReplayFunctions = {initialState: emptyClusterState, applyRecord, decide};

function decide(state: ClusterState, claim: TaskClaimed): Readonly<{vmId: string; decision: PlacementDecision}> | undefined {
	const {taskId, decision} = claim;
	if (state.tasks.get(taskId)?.phase !== 'queued') {
		return undefined;
	}

	const candidates = decision.candidates
		.filter(candidate => isFeasible(state, claim, candidate))
		.toSorted((left, right) => right.scoreMilli - left.scoreMilli || (left.vmId < right.vmId ? -1 : 1));
	const [best] = candidates;
	return best === undefined ? undefined : {vmId: best.vmId, decision: {...decision, candidates}};
}

function isFeasible(state: ClusterState, claim: TaskClaimed, candidate: Candidate): boolean {
	const vm = state.vms.get(candidate.vmId);
	if (vm === undefined || !takesNewTasks(vm, state)) {
		return false;
	}

	// The entry counts its own claims under way too, so the recorded room may be less than the state's, but not more.
	const most = claim.evictTaskIds.length === 0 ? roomOf(vm, noResources) : vm.capacity;
	return fitsInto(candidate.room, most) && fitsInto(claim.committed, candidate.room);
}
