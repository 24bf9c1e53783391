import test from 'ava';
import {Map as immutableMap} from 'immutable';
import {type EntryMember} from '../cluster/cluster-state.js';
import {type EntryContext} from '../entry/entry-context.js';
import {emptyStateFixture} from '../operator/state-fixture.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {initialEntryLiveness, tickEntryLiveness} from './entry-liveness.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'own', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});
const {entryTimeoutMs, logFreshnessMs} = settings.timings;

/** Returns the context of the entry `own`. The entry `other` wrote its last record at offset 1. */
function contextAt(nowMs: number, tailConfirmedSentAtMs: number, ownOffset = nowMs): EntryContext {
	const member = (incarnation: string, lastOffset: number): [string, EntryMember] => [incarnation, {
		entryId: incarnation, incarnation, failureDomain: 'a', operatorAddress: '', processorsMilli: 1000, lastOffset, appliedOffset: 0,
	}];
	return {
		cluster: {...emptyStateFixture, entries: immutableMap([member('own', ownOffset), member('other', 1)])},
		settings, incarnation: 'own', nowMs, wallTimeMs: nowMs, tailConfirmedSentAtMs, pendingAppends: 0, seed: 1,
	};
}

const endsIn = (context: EntryContext, state = initialEntryLiveness) => tickEntryLiveness(state, context).effects
	.flatMap(effect => effect.kind === 'append-record' && effect.record.kind === 'entry-ended' ? [effect.record.incarnation] : []);

test('an entry that was paused does not declare the others ended before it has read what they wrote meanwhile', t => {
	const {state} = tickEntryLiveness(initialEntryLiveness, contextAt(1000, 1000));
	const resumedMs = 1000 + entryTimeoutMs + 1;
	t.deepEqual(endsIn(contextAt(resumedMs, resumedMs - logFreshnessMs), state), []);
	const read = tickEntryLiveness(state, contextAt(resumedMs, resumedMs));
	t.deepEqual(endsIn(contextAt(resumedMs + 10, resumedMs + 10), read.state), ['other']);
});

test('entries do not declare each other ended while the log accepts no writes', t => {
	let {state} = tickEntryLiveness(initialEntryLiveness, contextAt(1000, 1000, 7));
	for (let nowMs = 1000; nowMs < 4 * entryTimeoutMs; nowMs += 250) {
		t.deepEqual(endsIn(contextAt(nowMs, nowMs, 7), state), []);
		state = tickEntryLiveness(state, contextAt(nowMs, nowMs, 7)).state;
	}
});

test('an entry that always has pending appends still reports how far it has read the log, at half the rate', t => {
	const heartbeatsOf = (pendingAppends: number): number => {
		let state = initialEntryLiveness;
		let heartbeats = 0;
		for (let nowMs = 0; nowMs < 6000; nowMs += 50) {
			const transition = tickEntryLiveness(state, {...contextAt(nowMs, nowMs), pendingAppends});
			state = transition.state;
			heartbeats += transition.effects.filter(effect => effect.kind === 'append-record' && effect.record.kind === 'entry-alive').length;
		}

		return heartbeats;
	};

	t.is(heartbeatsOf(0), 6000 / settings.timings.entryHeartbeatMs);
	t.is(heartbeatsOf(1), 3000 / settings.timings.entryHeartbeatMs);
});

/**
Guards against refusals of jobs that cannot be proven in time: the proof waits for a heartbeat of each decider, and at control ticks of 250 ms with pending
appends heartbeats came 750 ms apart, while the proof has 700 ms.
*/
test('with the admission of jobs an entry reports how far it has read the log at each control tick, also with pending appends', t => {
	const admitting = entrySettingsSchema.parse({...settings, jobAdmission: {enabled: true}});
	const largestGapMs = (current: typeof settings): number => {
		let state = initialEntryLiveness;
		let heartbeatAtMs = 0;
		let gapMs = 0;
		for (let nowMs = 0; nowMs < 6000; nowMs += 250) {
			const transition = tickEntryLiveness(state, {...contextAt(nowMs, nowMs), settings: current, pendingAppends: 1});
			state = transition.state;
			if (transition.effects.some(effect => effect.kind === 'append-record' && effect.record.kind === 'entry-alive')) {
				gapMs = Math.max(gapMs, nowMs - heartbeatAtMs);
				heartbeatAtMs = nowMs;
			}
		}

		return gapMs;
	};

	t.is(largestGapMs(admitting), 250);
	t.is(largestGapMs(settings), 750);
});
