import {type PlacementDecision} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {decodeClusterState} from '../cluster/cluster-state-codec.js';
import {applyRecord, emptyClusterState} from '../cluster/reduce-cluster.js';
import {fitsInto, noResources} from '../cluster/resources.js';
import {placementPolicies} from '../placement/placement-policies.js';
import {placementPolicyNames} from '../placement/placement-policy-name.js';
import {chooseVm, type PlacementCandidate, restoreCandidate} from '../placement/choose-vm.js';
import {freeResourcesOf, acceptsNewTasks} from '../placement/feasibility.js';
import {type ReplayFunctions, type TaskClaimedRecord} from './replay-records.js';

type Candidate = PlacementDecision['candidates'][number];

/**
The entry's own functions for a replay. Harm is taken from the record, because the estimates that it is computed from are
not in the log. The feasibility of the candidates, their scores with the weights of the state and the choice are recomputed.
*/
export const replayFunctions: ReplayFunctions = {
	initialState: emptyClusterState, applyRecord, decide, decodeState: decodeClusterState,
};

function decide(state: ClusterState, claim: TaskClaimedRecord): ReturnType<ReplayFunctions['decide']> {
	const {taskId, attempt, decision} = claim;
	const task = state.tasks.get(taskId);
	if (task?.phase !== 'queued' || attempt !== task.attempt + 1) {
		return undefined;
	}

	const candidates = decision.candidates.flatMap(candidate => restoreFeasibleCandidate(state, claim, candidate));
	const {seed, stateOffset, consideredVms} = decision;
	const policy = placementPolicyNames.find(name => name === decision.policy);
	// Another version may have written the decision with a policy that this version lacks.
	return policy && chooseVm(
		candidates,
		placementPolicies[policy],
		{demand: task.spec.demand, weights: state.configuration.weights},
		{
			policy, seed, stateOffset, consideredVms,
		},
	);
}

/** Returns the candidate as it was scored, or an empty list when its VM could not have run the task. */
function restoreFeasibleCandidate(state: ClusterState, claim: TaskClaimedRecord, candidate: Candidate): readonly PlacementCandidate[] {
	const vm = state.vms.get(candidate.vmId);
	if (vm === undefined || candidate.inputs === undefined || !acceptsNewTasks(vm, state)) {
		return [];
	}

	// The entry also subtracts its own pending claims, so the recorded free resources may be less than the state's, but not more.
	const availableResources = claim.evictTaskIds.length === 0 ? freeResourcesOf(vm, noResources) : vm.capacity;
	return fitsInto(candidate.room, availableResources) && fitsInto(claim.committed, candidate.room)
		? [restoreCandidate(candidate, candidate.inputs, vm.capacity)]
		: [];
}
