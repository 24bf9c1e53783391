import {type EntrySettings} from '../settings/entry-settings.js';
import {type ControlEffect} from './control-effect.js';

/** What an entry measured since the sample before. */
export type LagSample = Readonly<{
	nowMs: number;
	/** Longest time by which a tick came late. */
	eventLoopDelayMs: number;
	/** Age of the newest read that reached the log's tail. */
	ageOfNewestReadMs: number;
	/** Records between the newest tail that a read named and what is applied. */
	recordsBehind: number;
	/** Records of this entry that are not known to be in the log. */
	pendingAppends: number;
	/** Records of the largest page. */
	largestPageRecords: number;
	/** Longest step of the reducer and the event that it handled. */
	longestStepMs: number;
	longestStepEvent: string;
	/** Whether this entry places tasks. */
	ownsPlacement: boolean;
}>;

/** Whether an entry is behind, and since when. */
export type LagState = Readonly<{
	/** Set while the entry is behind. */
	behindSinceMs: number | undefined;
	/** Time of the newest sample that was over a limit. */
	lastOverMs: number;
}>;

export const initialLag: LagState = {behindSinceMs: undefined, lastOverMs: Number.NEGATIVE_INFINITY};

/** A caller, an agent and a lease wait at least this long for every event, several times on the way of one job. */
const maxEventLoopDelayMs = 250;
/** One page of the log. */
const maxRecordsBehind = 1000;
/** One batch of the writer. */
const maxPendingAppends = 1000;
/** Time without a sample over a limit after which the entry counts as caught up; it bounds the lines to one pair in this time. */
const calmMs = 3000;

/**
Judges whether an entry is behind and logs each change: `entry-behind` with the limits that are passed, and `entry-caught-up` with how
long it lasted. An entry that has read nothing yet starts and is not behind.

@example
const {state, effects} = evaluateEntryLag(initialLag, sample, {logFreshnessMs: 2000});
*/
export function evaluateEntryLag(
	state: LagState,
	sample: LagSample,
	{logFreshnessMs}: Readonly<Pick<EntrySettings['timings'], 'logFreshnessMs'>>,
): Readonly<{state: LagState; effects: readonly ControlEffect[]}> {
	const causes = causesOf(sample, logFreshnessMs);
	const {nowMs} = sample;
	if (causes.length > 0) {
		return {
			state: {behindSinceMs: state.behindSinceMs ?? nowMs, lastOverMs: nowMs},
			effects: state.behindSinceMs === undefined
				? [{
					kind: 'log-event', level: 'warn', event: 'entry-behind', fields: {causes: causes.join(','), ...fieldsOf(sample)},
				}]
				: [],
		};
	}

	if (state.behindSinceMs === undefined || nowMs - state.lastOverMs < calmMs) {
		return {state, effects: []};
	}

	return {
		state: initialLag,
		effects: [{
			kind: 'log-event', level: 'info', event: 'entry-caught-up', fields: {behindMs: Math.round(state.lastOverMs - state.behindSinceMs), ...fieldsOf(sample)},
		}],
	};
}

function causesOf(sample: LagSample, logFreshnessMs: number): readonly string[] {
	const passed: Readonly<Record<string, boolean>> = {
		'event-loop': sample.eventLoopDelayMs >= maxEventLoopDelayMs,
		'log-read': Number.isFinite(sample.ageOfNewestReadMs) && sample.ageOfNewestReadMs > logFreshnessMs,
		records: sample.recordsBehind >= maxRecordsBehind,
		appends: sample.pendingAppends >= maxPendingAppends,
	};
	return Object.entries(passed).filter(([, isPassed]) => isPassed).map(([cause]) => cause);
}

function fieldsOf({
	eventLoopDelayMs, ageOfNewestReadMs, recordsBehind, pendingAppends, largestPageRecords, longestStepMs, longestStepEvent, ownsPlacement,
}: LagSample): Readonly<Record<string, number | string | boolean>> {
	return {
		eventLoopDelayMs: Math.round(eventLoopDelayMs),
		ageOfNewestReadMs: Number.isFinite(ageOfNewestReadMs) ? Math.round(ageOfNewestReadMs) : -1,
		recordsBehind,
		pendingAppends,
		largestPageRecords,
		longestStepMs: Math.round(longestStepMs),
		longestStepEvent,
		ownsPlacement,
	};
}
