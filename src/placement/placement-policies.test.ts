import test from 'ava';
import fc from 'fast-check';
import {chooseVm, type PlacementCandidate} from './choose-vm.js';
import {placementPolicies} from './placement-policies.js';
import {placementPolicyNames} from './placement-policy-name.js';

const demand = {processorsMilli: 1000, memoryMb: 512, accelerators: 0};
const weights = {
	tailLatencyMilli: 1000, batchThroughputMilli: 1000, evictionsMilli: 1000, floodMilli: 1000,
};

const candidate: fc.Arbitrary<PlacementCandidate> = fc.record({
	vmId: fc.nat(999).map(number => `vm-${number}`),
	capacity: fc.constant({processorsMilli: 16_000, memoryMb: 60_000, accelerators: 0}),
	room: fc.record({processorsMilli: fc.integer({min: 1000, max: 16_000}), memoryMb: fc.constant(60_000), accelerators: fc.constant(0)}),
	serviceHarmMilli: fc.nat(3000),
	batchHarmMilli: fc.nat(3000),
	siblingsInRack: fc.constant(0),
	siblingsInFailureDomain: fc.constant(0),
	failedBefore: fc.constant(false),
	wastesAccelerators: fc.constant(false),
	evictions: fc.constant(0),
	packs: fc.constant(false),
});

const candidates = fc.uniqueArray(candidate, {minLength: 1, maxLength: 12, selector: ({vmId}) => vmId});

function choose(policy: typeof placementPolicyNames[number], among: readonly PlacementCandidate[]): PlacementCandidate | undefined {
	const choice = chooseVm(among, placementPolicies[policy], {demand, weights}, {
		policy, seed: 1, stateOffset: 0, consideredVms: among.length,
	});
	return among.find(({vmId}) => vmId === choice?.vmId);
}

test('the order of the candidates changes no decision', t => {
	fc.assert(fc.property(candidates, fc.constantFrom(...placementPolicyNames), (found, policy) => {
		t.is(choose(policy, found)?.vmId, choose(policy, found.toReversed())?.vmId);
	}), {seed: 11});
});

test('each policy chooses the candidate that is best by the criterion in its name', t => {
	fc.assert(fc.property(candidates, found => {
		t.is(choose('first-fit', found)?.vmId, found.map(({vmId}) => vmId).toSorted((left, right) => (left < right ? -1 : 1))[0]);
		t.is(choose('least-loaded', found)?.room.processorsMilli, Math.max(...found.map(({room}) => room.processorsMilli)));
		const sameRoom = found.map(each => ({...each, room: {...each.room, processorsMilli: 8000}}));
		const chosen = choose('least-harm', sameRoom);
		t.is(
			(chosen?.serviceHarmMilli ?? 0) + (chosen?.batchHarmMilli ?? 0),
			Math.min(...found.map(({serviceHarmMilli, batchHarmMilli}) => serviceHarmMilli + batchHarmMilli)),
		);
	}), {seed: 12});
});
