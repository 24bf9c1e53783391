import {type ClusterState} from '../cluster/cluster-state.js';
import {type ControlEffect, type Transition} from './control-effect.js';
import {type EntryContext, isLogFresh} from './entry-context.js';

type OffsetMark = Readonly<{offset: number; atMs: number}>;

/** Offsets with the time at which this entry had applied them, oldest first. */
export type KeyExpiryState = Readonly<{marks: readonly OffsetMark[]}>;

export const initialKeyExpiry: KeyExpiryState = {marks: []};

const marksPerRetention = 20;

/**
Writes `keys-expired` for claims that this entry has known for longer than the retention time.

@example
const {state, effects} = tickKeyExpiry(initialKeyExpiry, context);
*/
export function tickKeyExpiry(state: KeyExpiryState, context: EntryContext): Transition<KeyExpiryState> {
	const {keyRetentionMs} = context.settings.timings;
	const marked = addMark(state.marks, context);
	const expired = marked.findLast(mark => context.nowMs - mark.atMs >= keyRetentionMs);
	if (!expired || !isLogFresh(context)) {
		return {state: {marks: marked}, effects: []};
	}

	const effects: ControlEffect[] = hasKeysThrough(context.cluster, expired.offset)
		? [{kind: 'append-record', record: {kind: 'keys-expired', throughOffset: expired.offset}}]
		: [];
	return {state: {marks: marked.filter(mark => mark.atMs > expired.atMs)}, effects};
}

function addMark(marks: readonly OffsetMark[], context: EntryContext): readonly OffsetMark[] {
	const last = marks.at(-1);
	const spacingMs = context.settings.timings.keyRetentionMs / marksPerRetention;
	return last && context.nowMs - last.atMs < spacingMs
		? marks
		: [...marks, {offset: context.cluster.offset, atMs: context.nowMs}];
}

function hasKeysThrough(cluster: ClusterState, offset: number): boolean {
	const oldest = cluster.keys.first();
	return oldest !== undefined && oldest.claimOffset <= offset;
}
