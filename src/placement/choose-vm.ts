import {type PlacementDecision, type ScoreInputs} from '../cluster/cluster-record.js';
import {type Weights} from '../cluster/intent.js';
import {describePlacement} from '../cluster/describe-placement.js';
import {type Resources} from '../cluster/resources.js';
import {type PlacementPolicyName} from './placement-policy-name.js';

/** A VM that can take the task, with the inputs of the score. */
export type PlacementCandidate = Readonly<{
	vmId: string;
	capacity: Resources;
	/** Free resources of the VM; for a filling task, `processorsMilli` is what the VM offers to filling tasks. */
	room: Resources;
	/** Expected harm to services on the VM, and to the task itself if it is latency-critical, plus the latency impact of a filling task; in thousandths. */
	serviceHarmMilli: number;
	/** Expected harm to batch tasks on the VM, and to the task itself if it is a batch task, in thousandths. */
	batchHarmMilli: number;
	/** Tasks of the same job in the VM's rack and failure domain. */
	siblingsInRack: number;
	siblingsInFailureDomain: number;
	/** Whether an earlier attempt of the task failed on the VM. */
	failedBefore: boolean;
	/** Whether the VM has accelerators that the task does not need. */
	wastesAccelerators: boolean;
	evictions: number;
	/** Whether the VM with the fewest free processors scores best, to keep the other VMs free. */
	packs: boolean;
}>;

const siblingInRackPenaltyMilli = 40;
const siblingInFailureDomainPenaltyMilli = 10;
const failedBeforePenaltyMilli = 4000;
const wastedAcceleratorPenaltyMilli = 1500;
const evictionPenaltyMilli = 2000;

/**
Computes the score of a candidate in thousandths; higher is better. The share of processors that stays free
after the placement decides between candidates of about equal harm.

@example
scoreCandidate(candidate, demand, weights); // => 412
*/
export function scoreCandidate(candidate: PlacementCandidate, demand: Resources, weights: Weights): number {
	const remainingMilli = candidate.room.processorsMilli - demand.processorsMilli;
	const remainingShareMilli = candidate.capacity.processorsMilli === 0 ? 0 : Math.round((1000 * remainingMilli) / candidate.capacity.processorsMilli);
	const harm = ((weights.tailLatencyMilli * candidate.serviceHarmMilli) + (weights.batchThroughputMilli * candidate.batchHarmMilli)) / 1000;
	const spread = (siblingInRackPenaltyMilli * candidate.siblingsInRack) + (siblingInFailureDomainPenaltyMilli * candidate.siblingsInFailureDomain);
	const failure = candidate.failedBefore ? failedBeforePenaltyMilli : 0;
	const waste = candidate.wastesAccelerators ? wastedAcceleratorPenaltyMilli : 0;
	const evictions = (weights.evictionsMilli * evictionPenaltyMilli * candidate.evictions) / 1000;
	return Math.round((candidate.packs ? -remainingShareMilli : remainingShareMilli) - harm - spread - failure - waste - evictions);
}

/** Best candidates that are recorded with a decision, for `explain` and `replay`. */
const maxRecordedCandidates = 3;

/**
Returns the candidate with the highest score; on a tie the lowest VM ID wins, so that a replay gives the same result.
Returns undefined without candidates.

@example
const choice = chooseVm(candidates, scoreCandidate, {demand, weights}, {policy: 'least-harm', seed: 7, stateOffset: 120, consideredVms: 24});
*/
export function chooseVm(
	candidates: readonly PlacementCandidate[],
	score: typeof scoreCandidate,
	{demand, weights}: Readonly<{demand: Resources; weights: Weights}>,
	inputs: Readonly<{policy: PlacementPolicyName; seed: number; stateOffset: number; consideredVms: number}>,
): Readonly<{vmId: string; decision: PlacementDecision}> | undefined {
	const scored = candidates
		.map(candidate => ({candidate, scoreMilli: score(candidate, demand, weights)}))
		.toSorted((left, right) => right.scoreMilli - left.scoreMilli || (left.candidate.vmId < right.candidate.vmId ? -1 : 1));
	const best = scored[0];
	if (!best) {
		return undefined;
	}

	const {candidate} = best;
	return {
		vmId: candidate.vmId,
		decision: {
			...inputs,
			candidates: scored.slice(0, maxRecordedCandidates).map(entry => ({
				vmId: entry.candidate.vmId,
				scoreMilli: entry.scoreMilli,
				harmMilli: entry.candidate.serviceHarmMilli + entry.candidate.batchHarmMilli,
				room: entry.candidate.room,
				inputs: scoreInputsOf(entry.candidate),
			})),
			reason: describePlacement(candidates.length, inputs.consideredVms),
		},
	};
}

function scoreInputsOf(candidate: PlacementCandidate): ScoreInputs {
	const {serviceHarmMilli, siblingsInRack, siblingsInFailureDomain, failedBefore, wastesAccelerators, evictions, packs} = candidate;
	return {
		...(serviceHarmMilli !== 0 && {serviceHarmMilli}),
		...(siblingsInRack !== 0 && {siblingsInRack}),
		...(siblingsInFailureDomain !== 0 && {siblingsInFailureDomain}),
		...(failedBefore && {failedBefore: true}),
		...(wastesAccelerators && {wastesAccelerators: true}),
		...(evictions !== 0 && {evictions}),
		...(packs && {packs: true}),
	};
}

/**
Returns the candidate that a decision recorded, so that it can be scored again.

@example
restoreCandidate(recorded, inputs, vm.capacity).batchHarmMilli; // => 40
*/
export function restoreCandidate(recorded: PlacementDecision['candidates'][number], inputs: ScoreInputs, capacity: Resources): PlacementCandidate {
	const {serviceHarmMilli = 0, siblingsInRack = 0, siblingsInFailureDomain = 0, failedBefore = false, wastesAccelerators = false, evictions = 0, packs = false} = inputs;
	return {
		vmId: recorded.vmId,
		capacity,
		room: recorded.room,
		serviceHarmMilli,
		batchHarmMilli: recorded.harmMilli - serviceHarmMilli,
		siblingsInRack,
		siblingsInFailureDomain,
		failedBefore,
		wastesAccelerators,
		evictions,
		packs,
	};
}
