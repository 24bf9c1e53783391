import {type ClusterState} from '../cluster/cluster-state.js';
import {type ControlEffect, type Transition} from './control-effect.js';
import {type EntryContext, isLogFresh} from './entry-context.js';

/** An applied offset with the time at which this entry recorded it. */
type TimedOffset = Readonly<{offset: number; atMs: number}>;

/** Offsets that this entry had applied at earlier times, oldest first. */
export type KeyExpiryState = Readonly<{timedOffsets: readonly TimedOffset[]}>;

export const initialKeyExpiry: KeyExpiryState = {timedOffsets: []};

/** Number of offsets that are recorded in one retention time. */
const offsetsPerRetention = 20;

/**
Appends `keys-expired` for the key claims that this entry applied longer ago than the retention time.

@example
const {state, effects} = tickKeyExpiry(initialKeyExpiry, context);
*/
export function tickKeyExpiry(state: KeyExpiryState, context: EntryContext): Transition<KeyExpiryState> {
	const {keyRetentionMs} = context.settings.timings;
	const withCurrent = addCurrentOffset(state.timedOffsets, context);
	const expired = withCurrent.findLast(timed => context.nowMs - timed.atMs >= keyRetentionMs);
	if (!expired || !isLogFresh(context)) {
		return {state: {timedOffsets: withCurrent}, effects: []};
	}

	const effects: ControlEffect[] = hasKeysThrough(context.cluster, expired.offset)
		? [{kind: 'append-record', record: {kind: 'keys-expired', throughOffset: expired.offset}}]
		: [];
	return {state: {timedOffsets: withCurrent.filter(timed => timed.atMs > expired.atMs)}, effects};
}

function addCurrentOffset(timedOffsets: readonly TimedOffset[], context: EntryContext): readonly TimedOffset[] {
	const last = timedOffsets.at(-1);
	const spacingMs = context.settings.timings.keyRetentionMs / offsetsPerRetention;
	return last && context.nowMs - last.atMs < spacingMs
		? timedOffsets
		: [...timedOffsets, {offset: context.cluster.offset, atMs: context.nowMs}];
}

function hasKeysThrough(cluster: ClusterState, offset: number): boolean {
	const oldest = cluster.keys.first();
	return oldest !== undefined && oldest.claimOffset <= offset;
}
