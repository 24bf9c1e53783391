import {type ClusterState} from '../cluster/cluster-state.js';
import {type EvacuationRequests} from '../cluster/evacuations.js';
import {type EntrySettings} from '../settings/entry-settings.js';

/** What every part of the entry's reducer may read while it handles one event. */
export type EntryContext = Readonly<{
	cluster: ClusterState;
	settings: EntrySettings;
	/** Incarnation of this entry. */
	incarnation: string;
	/** Monotonic time of the event. */
	nowMs: number;
	wallTimeMs: number;
	/** When the newest read that reached the log's tail was sent. */
	tailConfirmedSentAtMs: number;
	/** Number of records of this entry whose append is not confirmed yet. */
	pendingAppends: number;
	/** What this process has read of the operator's evacuations; `unread` until then, and left out where operators have no topic. */
	evacuationRequests?: EvacuationRequests | 'unread';
	/** Seed of the random choices made for this event. */
	seed: number;
}>;

/**
Returns whether the log's tail was read recently enough to act on the state.

@example
isLogFresh(context); // => false during an outage of the log
*/
export function isLogFresh(context: EntryContext): boolean {
	return context.nowMs - context.tailConfirmedSentAtMs <= context.settings.timings.logFreshnessMs;
}
