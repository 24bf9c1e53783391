import {Map} from 'immutable';
import {processorsMilliOf} from '../settings/processors-milli.js';
import {type ControlEffect, type Transition} from '../entry/control-effect.js';
import {type EntryContext, isLogFresh} from '../entry/entry-context.js';
import {
	type AppendGuard, emptyAppendGuard, mayAppend, pruneAppendGuard,
} from '../entry/append-guard.js';

/** What this entry observes of the other entries through the log, on its own clock. */
export type EntryLivenessState = Readonly<{
	/** When a record of each incarnation was last applied, with its offset. */
	seen: Map<string, Readonly<{offset: number; atMs: number}>>;
	lastAliveAppendedMs: number;
	guard: AppendGuard;
	/** Incarnation that this entry asked the log to register. */
	registeringIncarnation: string;
	registrationAppendedMs: number;
}>;

export const initialEntryLiveness: EntryLivenessState = {
	seen: Map(),
	lastAliveAppendedMs: Number.NEGATIVE_INFINITY,
	guard: emptyAppendGuard,
	registeringIncarnation: '',
	registrationAppendedMs: Number.NEGATIVE_INFINITY,
};

/** While records wait for the log, heartbeats are this many times as far apart. */
const busyHeartbeatFactor = 2;

/**
Registers this entry, writes its heartbeat to the log and declares silent entries ended.
A false suspicion is safe: the entry declared ended starts over with a new incarnation.

@example
const {state, effects} = tickEntryLiveness(initialEntryLiveness, context);
*/
export function tickEntryLiveness(state: EntryLivenessState, context: EntryContext): Transition<EntryLivenessState> {
	if (context.cluster.endedIncarnations.has(context.incarnation)) {
		return {
			state,
			effects: [{kind: 'restart-incarnation', reason: 'another entry declared this incarnation ended'}],
		};
	}

	const registered = register(state, context);
	const alive = writeHeartbeat(registered.state, context);
	const ended = declareSilentEntriesEnded(alive.state, context);
	return {state: ended.state, effects: [...registered.effects, ...alive.effects, ...ended.effects]};
}

function register(state: EntryLivenessState, context: EntryContext): Transition<EntryLivenessState> {
	const {settings, incarnation, cluster} = context;
	if (cluster.entries.has(incarnation) || state.registeringIncarnation === incarnation) {
		return {state, effects: []};
	}

	return {
		state: {...state, registeringIncarnation: incarnation},
		effects: [{
			kind: 'append-record',
			record: {
				kind: 'entry-registered',
				entryId: settings.entryId,
				failureDomain: settings.failureDomain,
				operatorAddress: settings.operatorAddress,
				processorsMilli: processorsMilliOf(settings),
			},
		}],
	};
}

function writeHeartbeat(state: EntryLivenessState, context: EntryContext): Transition<EntryLivenessState> {
	const {entryHeartbeatMs} = context.settings.timings;
	// Records under way show that the entry lives, but only a heartbeat tells how far it has read.
	const dueMs = state.lastAliveAppendedMs + (context.pendingAppends > 0 ? busyHeartbeatFactor * entryHeartbeatMs : entryHeartbeatMs);
	if (context.nowMs < dueMs) {
		return {state, effects: []};
	}

	return {
		state: {...state, lastAliveAppendedMs: context.nowMs},
		effects: [{kind: 'append-record', record: {kind: 'entry-alive', appliedOffset: context.cluster.offset}}],
	};
}

function declareSilentEntriesEnded(state: EntryLivenessState, context: EntryContext): Transition<EntryLivenessState> {
	const effects: ControlEffect[] = [];
	let {seen} = state;
	// Only a read of the whole log shows silence, and only while the log takes writes: an own record in it shows that it does.
	const shownSilentAtMs = Math.min(context.tailConfirmedSentAtMs, seen.get(context.incarnation)?.atMs ?? Number.NEGATIVE_INFINITY);
	let guard = pruneAppendGuard(state.guard, context.tailConfirmedSentAtMs);
	for (const entry of context.cluster.entries.values()) {
		const last = seen.get(entry.incarnation);
		if (last?.offset !== entry.lastOffset) {
			seen = seen.set(entry.incarnation, {offset: entry.lastOffset, atMs: context.nowMs});
			continue;
		}

		const subject = `entry-ended/${entry.incarnation}`;
		const isSilent = shownSilentAtMs - last.atMs > context.settings.timings.entryTimeoutMs;
		if (entry.incarnation !== context.incarnation && isSilent && isLogFresh(context) && mayAppend(guard, subject, context.tailConfirmedSentAtMs)) {
			guard = guard.set(subject, context.nowMs);
			effects.push({
				kind: 'append-record',
				record: {
					kind: 'entry-ended',
					entryId: entry.entryId,
					incarnation: entry.incarnation,
					reason: `no record for ${context.settings.timings.entryTimeoutMs} ms`,
				},
			});
		}
	}

	return {state: {...state, seen, guard}, effects};
}

/**
Restarts the observation of all other entries after the log was out of reach, since nobody could write meanwhile.

@example
const next = resetEntryObservation(state, nowMs);
*/
export function resetEntryObservation(state: EntryLivenessState, nowMs: number): EntryLivenessState {
	return {...state, seen: state.seen.map(last => ({...last, atMs: nowMs}))};
}
