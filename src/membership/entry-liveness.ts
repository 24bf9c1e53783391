import {Map} from 'immutable';
import {processorsMilliOf} from '../settings/processors-milli.js';
import {type ControlEffect, type Transition} from '../entry/control-effect.js';
import {type EntryContext, isLogFresh} from '../entry/entry-context.js';
import {
	type AppendGuard, emptyAppendGuard, mayAppend, pruneAppendGuard,
} from '../entry/append-guard.js';

/** What this entry has observed of the other entries through the log, in times of its own clock. */
export type EntryLivenessState = Readonly<{
	/** Offset of the newest record of each incarnation, and when this entry observed it. */
	lastRecords: Map<string, Readonly<{offset: number; atMs: number}>>;
	lastHeartbeatAppendedMs: number;
	guard: AppendGuard;
	/** Incarnation for which this entry has appended a registration record. */
	registeringIncarnation: string;
	registrationAppendedMs: number;
}>;

export const initialEntryLiveness: EntryLivenessState = {
	lastRecords: Map(),
	lastHeartbeatAppendedMs: Number.NEGATIVE_INFINITY,
	guard: emptyAppendGuard,
	registeringIncarnation: '',
	registrationAppendedMs: Number.NEGATIVE_INFINITY,
};

/** Factor on the interval of heartbeats while this entry has pending appends. */
const busyHeartbeatFactor = 2;

/** Share of the interval after which a heartbeat is written with the admission of jobs. Control ticks come every 250 ms, so that one due after 300 ms would wait for 500 ms. */
const earlyHeartbeatShare = 0.75;

/**
Registers this entry, writes its heartbeat to the log and declares entries ended that have written no record for `entryTimeoutMs`.
It is safe to declare a running entry ended: it restarts with a new incarnation.

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
	const heartbeat = writeHeartbeat(registered.state, context);
	const ended = declareSilentEntriesEnded(heartbeat.state, context);
	return {state: ended.state, effects: [...registered.effects, ...heartbeat.effects, ...ended.effects]};
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
		}, {kind: 'append-record', record: {kind: 'entry-bounds-contact', withdrawsAfterMs: settings.timings.heartbeatTimeoutMs}}],
	};
}

function writeHeartbeat(state: EntryLivenessState, context: EntryContext): Transition<EntryLivenessState> {
	if (context.nowMs < state.lastHeartbeatAppendedMs + heartbeatPauseMs(context)) {
		return {state, effects: []};
	}

	return {
		state: {...state, lastHeartbeatAppendedMs: context.nowMs},
		effects: [{kind: 'append-record', record: {kind: 'entry-alive', appliedOffset: context.cluster.offset}}],
	};
}

function heartbeatPauseMs({settings: {jobAdmission, timings: {entryHeartbeatMs}}, pendingAppends}: EntryContext): number {
	// Refusals of jobs wait for a heartbeat of each entry.
	if (jobAdmission.enabled) {
		return entryHeartbeatMs * earlyHeartbeatShare;
	}

	// Pending records show that the entry runs, so heartbeats may be rarer. Only a heartbeat shows how far the entry has read the log.
	return pendingAppends > 0 ? busyHeartbeatFactor * entryHeartbeatMs : entryHeartbeatMs;
}

function declareSilentEntriesEnded(state: EntryLivenessState, context: EntryContext): Transition<EntryLivenessState> {
	const effects: ControlEffect[] = [];
	let {lastRecords} = state;
	// An entry is silent only if this entry has read to the log's tail and the log accepted writes meanwhile, which this entry's own records show.
	const silenceConfirmedAtMs = Math.min(context.tailConfirmedSentAtMs, lastRecords.get(context.incarnation)?.atMs ?? Number.NEGATIVE_INFINITY);
	let guard = pruneAppendGuard(state.guard, context.tailConfirmedSentAtMs);
	for (const entry of context.cluster.entries.values()) {
		const last = lastRecords.get(entry.incarnation);
		if (last?.offset !== entry.lastOffset) {
			lastRecords = lastRecords.set(entry.incarnation, {offset: entry.lastOffset, atMs: context.nowMs});
			continue;
		}

		const subject = `entry-ended/${entry.incarnation}`;
		const isSilent = silenceConfirmedAtMs - last.atMs > context.settings.timings.entryTimeoutMs;
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

	return {state: {...state, lastRecords, guard}, effects};
}

/**
Restarts the time-out of all entries after an outage of the log, during which no entry could write.

@example
const next = resetEntryObservation(state, nowMs);
*/
export function resetEntryObservation(state: EntryLivenessState, nowMs: number): EntryLivenessState {
	return {...state, lastRecords: state.lastRecords.map(last => ({...last, atMs: nowMs}))};
}
