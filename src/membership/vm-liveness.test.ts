import test from 'ava';
import {Map as immutableMap, Set as immutableSet} from 'immutable';
import {type EntryMember} from '../cluster/cluster-state.js';
import {type EntryContext} from '../entry/entry-context.js';
import {emptyStateFixture, vmFixture} from '../operator/state-fixture.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {
	hasWithdrawn, initialVmLiveness, recordAgentMessage, tickVmLiveness,
} from './vm-liveness.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e1', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});

function contextAt(nowMs: number, heardBy: readonly string[]): EntryContext {
	const member = (incarnation: string): [string, EntryMember] => [incarnation, {
		entryId: incarnation, incarnation, failureDomain: 'a', operatorAddress: '', processorsMilli: 1000, lastOffset: 1, appliedOffset: 0,
	}];
	return {
		cluster: {
			...emptyStateFixture,
			entries: immutableMap(['own', 'other', 'third'].map(incarnation => member(incarnation))),
			vms: immutableMap([[vmFixture.vmId, {...vmFixture, phase: 'live' as const, heardBy: immutableSet(heardBy)}]]),
		},
		settings, incarnation: 'own', nowMs, wallTimeMs: nowMs, tailConfirmedSentAtMs: nowMs, pendingAppends: 0, seed: 1,
	};
}

/** Returns the kinds of the records that an entry writes in a period in which `heardBy` does not change. */
function recordsOver(durationMs: number, heardBy: readonly string[], initialState = initialVmLiveness): ReadonlySet<string> {
	const kinds = new Set<string>();
	let state = initialState;
	for (let nowMs = 1000; nowMs <= 1000 + durationMs; nowMs += 250) {
		const transition = tickVmLiveness(state, contextAt(nowMs, heardBy));
		state = transition.state;
		for (const effect of transition.effects) {
			kinds.add(effect.kind === 'append-record' ? effect.record.kind : effect.kind);
		}
	}

	return kinds;
}

const reachableState = recordAgentMessage(initialVmLiveness, vmFixture.vmId, vmFixture.agentIncarnation, 1000);

test('an entry without a stream of an agent writes no records about it while another entry receives its messages', t => {
	t.deepEqual(recordsOver(30_000, ['other']), new Set());
});

test('an entry that receives the messages of an agent reports it as reachable, so that the VM is not revoked when the other entries end', t => {
	t.true(recordsOver(500, ['other'], reachableState).has('vm-reachable'));
	t.deepEqual(recordsOver(500, ['own', 'other'], reachableState), new Set());
});

test('an entry that no longer receives the messages of an agent reports it as unreachable', t => {
	t.deepEqual(recordsOver(2500, ['own', 'other'], reachableState), new Set());
	t.deepEqual(recordsOver(5000, ['own', 'other'], reachableState), new Set(['vm-unreachable']));
});

test('a VM whose agent no entry reports as reachable is revoked, but not in the time between the end of one entry and the report of the next', t => {
	t.deepEqual(recordsOver(1500, []), new Set());
	t.deepEqual(recordsOver(4000, []), new Set(['vm-revoked']));
});

test('an entry whose event loop was blocked does not report agents as unreachable whose heartbeats it has not read yet', t => {
	const before = tickVmLiveness(reachableState, contextAt(1250, ['own', 'other']));
	// The first tick after a pause of 4 s comes before the messages that wait in the sockets.
	const late = tickVmLiveness(before.state, contextAt(5250, ['own', 'other']));
	t.deepEqual(late.effects, []);
	let {state} = late;
	const kinds = new Set<string>();
	for (let nowMs = 5500; nowMs <= 5250 + 5000; nowMs += 250) {
		const transition = tickVmLiveness(state, contextAt(nowMs, ['own', 'other']));
		state = transition.state;
		for (const effect of transition.effects) {
			kinds.add(effect.kind === 'append-record' ? effect.record.kind : effect.kind);
		}
	}

	t.deepEqual(kinds, new Set(['vm-unreachable']), 'an agent that sends nothing after the pause is reported');
});

test('an entry does not revoke an unreachable VM before it has read the log again, where another entry may have reported it', t => {
	let state = initialVmLiveness;
	for (let nowMs = 1000; nowMs <= 3250; nowMs += 250) {
		const transition = tickVmLiveness(state, {...contextAt(nowMs, []), tailConfirmedSentAtMs: Math.max(1000, nowMs - settings.timings.logFreshnessMs)});
		state = transition.state;
		t.deepEqual(transition.effects, []);
	}
});

test('a withdrawal stands until it is read back and a report follows it, although the agent is heard again meanwhile', t => {
	const {vmId, agentIncarnation} = vmFixture;
	const kindsAt = (nowMs: number, heardBy: readonly string[]): readonly string[] => {
		const transition = tickVmLiveness(state, contextAt(nowMs, heardBy));
		state = transition.state;
		return transition.effects.map(effect => effect.kind === 'append-record' ? effect.record.kind : effect.kind);
	};

	let state = reachableState;
	for (let nowMs = 1250; nowMs <= 4000; nowMs += 250) {
		t.deepEqual(kindsAt(nowMs, ['own']), []);
	}

	t.deepEqual(kindsAt(4250, ['own']), ['vm-unreachable']);
	state = recordAgentMessage(state, vmId, agentIncarnation, 4300);
	t.deepEqual(kindsAt(4500, ['own']), []);
	t.true(hasWithdrawn(state, vmId, agentIncarnation));
	t.deepEqual(kindsAt(4750, []), ['vm-reachable']);
	t.false(hasWithdrawn(state, vmId, agentIncarnation));
});

test('an entry that the log does not list yet writes nothing about agents, which readers would ignore', t => {
	const context = contextAt(1250, ['other']);
	const unlisted: EntryContext = {...context, cluster: {...context.cluster, entries: context.cluster.entries.delete('own')}};
	t.deepEqual(tickVmLiveness(reachableState, unlisted).effects, []);
	t.is(tickVmLiveness(reachableState, context).effects.length, 1);
});
