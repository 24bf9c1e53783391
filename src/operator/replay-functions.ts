import {type PlacementDecision} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {decodeClusterState} from '../cluster/cluster-state-codec.js';
import {applyRecord, emptyClusterState} from '../cluster/reduce-cluster.js';
import {fitsInto, noResources} from '../cluster/resources.js';
import {placementPolicies} from '../placement/placement-policies.js';
import {placementPolicyNames} from '../placement/placement-policy-name.js';
import {chooseVm, type PlacementCandidate, restoreCandidate} from '../placement/choose-vm.js';
import {freeResourcesOf, acceptsNewTasks} from '../placement/feasibility.js';
import {type ReplayFunctions, type TaskClaimed} from './replay-records.js';

type Candidate = PlacementDecision['candidates'][number];

/**
The entry's own functions for replay. Harm is an input that the record carries, because the estimates behind it are not in
the log. Which candidates were feasible, their scores under the weights of the state, and the choice are worked out again.
*/
export const replayFunctions: ReplayFunctions = {
	initialState: emptyClusterState, applyRecord, decide, decodeState: decodeClusterState,
};

function decide(state: ClusterState, claim: TaskClaimed): ReturnType<ReplayFunctions['decide']> {
	const {taskId, attempt, decision} = claim;
	const task = state.tasks.get(taskId);
	if (task?.phase !== 'queued' || attempt !== task.attempt + 1) {
		return undefined;
	}

	const candidates = decision.candidates.flatMap(candidate => feasibleCandidate(state, claim, candidate));
	const {seed, stateOffset, consideredVms} = decision;
	const policy = placementPolicyNames.find(name => name === decision.policy);
	// Another version may have written the decision with a policy that this one does not know.
	return policy && chooseVm(
		candidates,
		placementPolicies[policy],
		{demand: task.spec.demand, weights: state.configuration.weights},
		{
			policy, seed, stateOffset, consideredVms,
		},
	);
}

/** The candidate as it was scored, or nothing when it could not have taken the task. */
function feasibleCandidate(state: ClusterState, claim: TaskClaimed, candidate: Candidate): readonly PlacementCandidate[] {
	const vm = state.vms.get(candidate.vmId);
	if (vm === undefined || candidate.inputs === undefined || !acceptsNewTasks(vm, state)) {
		return [];
	}

	// The entry counts its own claims under way too, so the recorded room may be less than the state's, but not more.
	const most = claim.evictTaskIds.length === 0 ? freeResourcesOf(vm, noResources) : vm.capacity;
	return fitsInto(candidate.room, most) && fitsInto(claim.committed, candidate.room)
		? [restoreCandidate(candidate, candidate.inputs, vm.capacity)]
		: [];
}
