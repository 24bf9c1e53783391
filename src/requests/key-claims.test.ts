import test from 'ava';
import {claimedRoute, proveNotRun, type NotRunProof} from './key-claims.js';
import {fixtureArrival, fixtureCluster, fixtureContext} from './request-fixture.js';

const free = fixtureCluster(['127.0.0.1:1', '127.0.0.1:2']);
const claimed = {
	...free,
	keys: free.keys.set('key', {
		keyHash: 'key', bodyHash: 'body', service: 'loaf-ordering', vmId: 'vm1', agentIncarnation: 'agent1', backendServerId: 'b1', claimOffset: 7,
	}),
};
const keyed = fixtureArrival('r1', 1000, {idempotency: 'keyed', keyHash: 'key', bodyHash: 'body'});

// Guards against an unproven "not run": the read of the tail may be older than the arrival, or the key is already claimed.
test('"not run" is proven only by a later read of the tail or the caller\'s declaration of a first attempt', t => {
	const cases: ReadonlyArray<readonly [expected: NotRunProof, proof: NotRunProof]> = [
		['proven', proveNotRun(fixtureArrival('r1', 1000), fixtureContext(claimed, 1000))],
		['proven', proveNotRun({...keyed, firstAttempt: true}, fixtureContext(free, 1000))],
		['proven', proveNotRun(keyed, fixtureContext(free, 1000, {tailConfirmedSentAtMs: 1001}))],
		['tail-read-needed', proveNotRun(keyed, fixtureContext(free, 1000, {tailConfirmedSentAtMs: 1000}))],
		['tail-unreadable', proveNotRun(keyed, fixtureContext(free, 1000, {logReachable: false}))],
		['claimed', proveNotRun(keyed, fixtureContext(claimed, 1000, {tailConfirmedSentAtMs: 1001}))],
	];
	for (const [expected, proof] of cases) {
		t.is(proof, expected);
	}
});

// Guards against a retry that is forwarded to an agent which does not hold the key's outcome.
test('a request with a claimed key goes only to the agent incarnation that holds the key', t => {
	t.is(claimedRoute(free, keyed), undefined);
	t.like(claimedRoute(claimed, keyed), {kind: 'claimed', requestAddress: '127.0.0.1:2'});
	t.is(claimedRoute(claimed, {...keyed, bodyHash: 'other'})?.kind, 'body-differs');
	const restarted = {...claimed, vms: claimed.vms.update('vm1', vm => ({...vm!, agentIncarnation: 'agent1b'}))};
	t.is(claimedRoute(restarted, keyed)?.kind, 'incarnation-gone');
});
