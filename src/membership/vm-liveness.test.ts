import test from 'ava';
import {Map as immutableMap, Set as immutableSet} from 'immutable';
import {type EntryMember} from '../cluster/cluster-state.js';
import {type EntryContext} from '../entry/entry-context.js';
import {emptyStateFixture, vmFixture} from '../operator/state-fixture.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {initialVmLiveness, recordAgentMessage, tickVmLiveness} from './vm-liveness.js';

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

/** Kinds of the records that an entry writes while it sees the same reports for some time, without those that it repeats. */
function recordsOver(durationMs: number, heardBy: readonly string[], heard = initialVmLiveness): ReadonlySet<string> {
	const kinds = new Set<string>();
	let state = heard;
	for (let nowMs = 1000; nowMs <= 1000 + durationMs; nowMs += 250) {
		const step = tickVmLiveness(state, contextAt(nowMs, heardBy));
		state = step.state;
		for (const effect of step.effects) {
			kinds.add(effect.kind === 'append-record' ? effect.record.kind : effect.kind);
		}
	}

	return kinds;
}

const hearing = recordAgentMessage(initialVmLiveness, vmFixture.vmId, vmFixture.agentIncarnation, 1000);

test('an entry without the stream of an agent writes nothing of it while another entry hears it', t => {
	t.deepEqual(recordsOver(30_000, ['other']), new Set());
});

test('an entry that hears an agent says so, so that the end of the others does not revoke the VM', t => {
	t.true(recordsOver(500, ['other'], hearing).has('vm-reachable'));
	t.deepEqual(recordsOver(500, ['own', 'other'], hearing), new Set());
});

test('an entry that no longer hears an agent takes its report back', t => {
	t.deepEqual(recordsOver(2500, ['own', 'other'], hearing), new Set());
	t.deepEqual(recordsOver(5000, ['own', 'other'], hearing), new Set(['vm-unreachable']));
});

test('a VM that no entry hears is revoked, but not in the moment between the end of one entry and the report of the next', t => {
	t.deepEqual(recordsOver(1500, []), new Set());
	t.deepEqual(recordsOver(4000, []), new Set(['vm-revoked']));
});

test('an entry whose loop was held up does not take the heartbeats that it has not read for silence', t => {
	const before = tickVmLiveness(hearing, contextAt(1250, ['own', 'other']));
	// The first tick after 4 s comes before the messages that wait in the sockets.
	const late = tickVmLiveness(before.state, contextAt(5250, ['own', 'other']));
	t.deepEqual(late.effects, []);
	let {state} = late;
	const kinds = new Set<string>();
	for (let nowMs = 5500; nowMs <= 5250 + 5000; nowMs += 250) {
		const step = tickVmLiveness(state, contextAt(nowMs, ['own', 'other']));
		state = step.state;
		for (const effect of step.effects) {
			kinds.add(effect.kind === 'append-record' ? effect.record.kind : effect.kind);
		}
	}

	t.deepEqual(kinds, new Set(['vm-unreachable']), 'silence after that counts');
});

test('an entry that has not read the log since nobody heard a VM does not revoke it', t => {
	let state = initialVmLiveness;
	for (let nowMs = 1000; nowMs <= 3250; nowMs += 250) {
		const step = tickVmLiveness(state, {...contextAt(nowMs, []), tailConfirmedSentAtMs: Math.max(1000, nowMs - settings.timings.logFreshnessMs)});
		state = step.state;
		t.deepEqual(step.effects, []);
	}
});
