import test from 'ava';
import {reduceRequests} from './reduce-requests.js';
import {fixtureArrival, fixtureCluster, fixtureContext} from './request-fixture.js';
import {initialRequestState} from './request-state.js';

const cluster = fixtureCluster(['127.0.0.1:9000', '127.0.0.1:9001']);

test('an idempotent request is forwarded and leaves the state when it is answered', t => {
	const sent = reduceRequests(initialRequestState, fixtureArrival('r1', 0), fixtureContext(cluster, 0));
	t.deepEqual(sent.effects.map(effect => effect.kind), ['forward-request']);
	const [effect] = sent.effects;
	const backendServerId = effect?.kind === 'forward-request' ? effect.backendServerId : '';
	const done = reduceRequests(sent.state, {
		kind: 'forward-finished', requestId: 'r1', attempt: 1, backendServerId, result: {kind: 'answered'},
	}, fixtureContext(cluster, 10));
	t.is(done.state.pending.size, 0);
	t.is(done.state.expiries.buckets.size, 0);
	t.is(done.state.backendServers.get(backendServerId)?.inFlight, 0);
});

test('a keyed request is sent only after its key is claimed in the log, and only to the claimed agent', t => {
	const arrival = fixtureArrival('r1', 0, {idempotency: 'keyed', keyHash: 'key', bodyHash: 'body'});
	const claiming = reduceRequests(initialRequestState, arrival, fixtureContext(cluster, 0));
	t.deepEqual(claiming.effects.map(effect => effect.kind), ['append-record']);
	const claimed = {
		...cluster,
		keys: cluster.keys.set('key', {
			keyHash: 'key', bodyHash: 'body', service: 'loaf-ordering', vmId: 'vm1', agentIncarnation: 'agent1', backendServerId: 'b1', claimOffset: 7,
		}),
	};
	const sent = reduceRequests(claiming.state, {kind: 'cluster-advanced'}, fixtureContext(claimed, 20));
	t.like(sent.effects[0], {kind: 'forward-request', backendServerId: 'b1', claimOffset: 7});
});

// Guards against a false "not run": the rejected claim may belong to an earlier request with the same key, appended before the arrival.
test('a rejected claim that is read back does not prove "not run" until the tail is read', t => {
	const arrival = fixtureArrival('r2', 1000, {idempotency: 'keyed', keyHash: 'key', bodyHash: 'body'});
	const claiming = reduceRequests(initialRequestState, arrival, fixtureContext(cluster, 1000));
	const readBack = reduceRequests(claiming.state, {kind: 'cluster-advanced', readBackKeyHashes: ['key']}, fixtureContext(cluster, 1010));
	t.deepEqual(readBack.effects.map(effect => effect.kind), ['confirm-log-tail']);
	const confirmed = reduceRequests(readBack.state, {kind: 'tail-confirmed'}, fixtureContext(cluster, 1020, {tailConfirmedSentAtMs: 1015}));
	t.like(confirmed.effects[0], {kind: 'answer-request', outcome: 'refused-not-run'});
});
