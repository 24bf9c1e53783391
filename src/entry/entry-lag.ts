import {type EntrySettings} from '../settings/entry-settings.js';
import {type ControlEffect} from './control-effect.js';

/** What an entry measured since its previous sample, once a second. */
export type LagSample = Readonly<{
	nowMs: number;
	/** Longest delay of a tick. */
	eventLoopDelayMs: number;
	/** Age of the newest read that reached the log's tail. */
	ageOfNewestReadMs: number;
	/** Records between the newest tail that a read reported and the newest applied record. */
	recordsBehind: number;
	/** Records of this entry whose append is not confirmed yet. */
	pendingAppends: number;
	/** Number of records of the largest page. */
	largestPageRecords: number;
	/** Duration of the longest transition of the reducer. */
	longestStepMs: number;
	/** Event of that transition. */
	longestStepEvent: string;
	/** Whether this entry is a placement owner. */
	ownsPlacement: boolean;
}>;

/** Whether an entry is behind, and since when: from the first sample that exceeds a limit until `caughtUpAfterMs` after the last one. */
export type LagState = Readonly<{
	/** Set while the entry is behind. */
	behindSinceMs: number | undefined;
	/** Time of the newest sample that exceeded a limit. */
	lastOverLimitAtMs: number;
}>;

export const initialLag: LagState = {behindSinceMs: undefined, lastOverLimitAtMs: Number.NEGATIVE_INFINITY};

/** Every event of callers and agents and every lease renewal is delayed by this time, several times in the course of one job. */
const maxEventLoopDelayMs = 250;
/** One page of the log. */
const maxRecordsBehind = 1000;
/** One batch of the writer. */
const maxPendingAppends = 1000;
/** Time below all limits after which the entry counts as caught up; it also limits the log to one pair of lines in this time. */
const caughtUpAfterMs = 3000;

/**
Evaluates whether an entry is behind and logs each change: `entry-behind` with the limits that are exceeded, and `entry-caught-up`
with the duration. The age of the newest read does not count for an entry that has just started and not reached the tail yet.

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
			state: {behindSinceMs: state.behindSinceMs ?? nowMs, lastOverLimitAtMs: nowMs},
			effects: state.behindSinceMs === undefined
				? [{
					kind: 'log-event', level: 'warn', event: 'entry-behind', fields: {causes: causes.join(','), ...logFieldsOf(sample)},
				}]
				: [],
		};
	}

	if (state.behindSinceMs === undefined || nowMs - state.lastOverLimitAtMs < caughtUpAfterMs) {
		return {state, effects: []};
	}

	return {
		state: initialLag,
		effects: [{
			kind: 'log-event', level: 'info', event: 'entry-caught-up', fields: {behindMs: Math.round(state.lastOverLimitAtMs - state.behindSinceMs), ...logFieldsOf(sample)},
		}],
	};
}

function causesOf(sample: LagSample, logFreshnessMs: number): readonly string[] {
	const exceeded: Readonly<Record<string, boolean>> = {
		'event-loop': sample.eventLoopDelayMs >= maxEventLoopDelayMs,
		'log-read': Number.isFinite(sample.ageOfNewestReadMs) && sample.ageOfNewestReadMs > logFreshnessMs,
		records: sample.recordsBehind >= maxRecordsBehind,
		appends: sample.pendingAppends >= maxPendingAppends,
	};
	return Object.entries(exceeded).filter(([, isExceeded]) => isExceeded).map(([cause]) => cause);
}

function logFieldsOf({
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
