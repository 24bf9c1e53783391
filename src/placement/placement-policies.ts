import {type Weights} from '../cluster/intent.js';
import {type Resources} from '../cluster/resources.js';
import {type PlacementCandidate, scoreCandidate} from './choose-vm.js';
import {type PlacementPolicyName} from './placement-policy-name.js';

/** Computes the score of a candidate in thousandths; the highest score wins, and on a tie the lowest VM ID. */
export type PlacementPolicy = (candidate: PlacementCandidate, demand: Resources, weights: Weights) => number;

/** The policies by their name in the entry's setting `placementPolicy`. */
export const placementPolicies: Readonly<Record<PlacementPolicyName, PlacementPolicy>> = {
	'least-harm': scoreCandidate,
	'first-fit': () => 0,
	'least-loaded': ({room, capacity}, demand) => capacity.processorsMilli === 0
		? 0
		: Math.round((1000 * (room.processorsMilli - demand.processorsMilli)) / capacity.processorsMilli),
};
