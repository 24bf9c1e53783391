import {type PlacementDecision, type ScoreInputs} from '../cluster/cluster-record.js';
import {type Weights} from '../cluster/intent.js';
import {placementReason} from '../cluster/placement-reason.js';
import {type Resources} from '../cluster/resources.js';
import {type PlacementPolicyName} from './placement-policy-name.js';

/** A VM that could take the task, with what the score depends on. */
export type PlacementCandidate = Readonly<{
	vmId: string;
	capacity: Resources;
	room: Resources;
	/** Expected harm to services on the VM and to the task itself, in thousandths of their speed. */
	serviceHarmMilli: number;
	/** Expected harm to and from batch tasks on the VM, in thousandths of their speed. */
	batchHarmMilli: number;
	/** Tasks of the same job in the VM's rack and failure domain. */
	siblingsInRack: number;
	siblingsInFailureDomain: number;
	/** Whether an earlier attempt failed there. */
	failedBefore: boolean;
	/** Whether the VM has accelerators that the task does not need. */
	wastesAccelerators: boolean;
	evictions: number;
	/** Whether the VM with the least room left is the best, to keep the others free. */
	packs: boolean;
}>;

const siblingInRackMilli = 40;
const siblingInFailureDomainMilli = 10;
const failedBeforeMilli = 4000;
const wastedAcceleratorMilli = 1500;
const evictionMilli = 2000;

/**
Scores a candidate in thousandths; higher is better. Room left after the placement counts least, so that it only
breaks ties between VMs of the same expected harm.

@example
scoreCandidate(candidate, demand, weights); // => 412
*/
export function scoreCandidate(candidate: PlacementCandidate, demand: Resources, weights: Weights): number {
	const left = candidate.room.processorsMilli - demand.processorsMilli;
	const leftMilli = candidate.capacity.processorsMilli === 0 ? 0 : Math.round((1000 * left) / candidate.capacity.processorsMilli);
	const harm = ((weights.tailLatencyMilli * candidate.serviceHarmMilli) + (weights.batchThroughputMilli * candidate.batchHarmMilli)) / 1000;
	const spread = (siblingInRackMilli * candidate.siblingsInRack) + (siblingInFailureDomainMilli * candidate.siblingsInFailureDomain);
	const failure = candidate.failedBefore ? failedBeforeMilli : 0;
	const waste = candidate.wastesAccelerators ? wastedAcceleratorMilli : 0;
	const evictions = (weights.evictionsMilli * evictionMilli * candidate.evictions) / 1000;
	return Math.round((candidate.packs ? -leftMilli : leftMilli) - harm - spread - failure - waste - evictions);
}

/** Candidates that a decision's record keeps for `explain` and `replay`. */
const recordedCandidates = 3;

/**
Chooses the candidate with the highest score; among equals the smaller name wins, so that replay gives the same result.
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
			candidates: scored.slice(0, recordedCandidates).map(entry => ({
				vmId: entry.candidate.vmId,
				scoreMilli: entry.scoreMilli,
				harmMilli: entry.candidate.serviceHarmMilli + entry.candidate.batchHarmMilli,
				room: entry.candidate.room,
				inputs: packInputs(entry.candidate),
			})),
			reason: placementReason(candidates.length, inputs.consideredVms),
		},
	};
}

function packInputs(candidate: PlacementCandidate): ScoreInputs {
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
Restores a candidate from a decision's record, so that it can be scored again.

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
