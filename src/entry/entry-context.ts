import {type ClusterState} from '../cluster/cluster-state.js';
import {type EntrySettings} from '../settings/entry-settings.js';

/** What every manager of the entry may read while it handles one event. */
export type EntryContext = Readonly<{
	cluster: ClusterState;
	settings: EntrySettings;
	/** Incarnation of this entry. */
	incarnation: string;
	/** Monotonic time of the event. */
	nowMs: number;
	wallTimeMs: number;
	/** Sending time of the newest read that reached the log's tail. */
	tailConfirmedSentAtMs: number;
	/** Records of this entry that are not in the log yet. */
	pendingAppends: number;
	/** Seed of this event's random choices. */
	seed: number;
}>;

/**
Tells whether the log's tail was read recently enough to act on the state.

@example
isLogFresh(context); // => false during an outage of the log
*/
export function isLogFresh(context: EntryContext): boolean {
	return context.nowMs - context.tailConfirmedSentAtMs <= context.settings.timings.logFreshnessMs;
}
