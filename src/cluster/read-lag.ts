/** How far an entry lags behind the log, as shown by the heartbeats that it wrote to the log. */
export type ReadLag = Readonly<{
	/** Offsets of its newest heartbeat and of the earlier ones that it had not read back by then, oldest first; at most `maxUnreadHeartbeats` + 1. */
	unreadOffsets: readonly number[];
	isBehind: boolean;
}>;

export const noReadLag: ReadLag = {unreadOffsets: [], isBehind: false};

/** An entry with more unread heartbeats than this is behind. With the default timings, such an entry has also stopped granting leases and placing tasks. */
const maxUnreadHeartbeats = 6;
/** An entry that is behind has caught up at this number of unread heartbeats or fewer. The limit is lower, so that `isBehind` does not change with each heartbeat. */
const maxUnreadHeartbeatsCaughtUp = 2;

/**
Records a heartbeat of an entry. The entry is behind when it has not read back several of its own heartbeats. This depends on the log
alone, so that all entries agree on it at the same offset, independently of their clocks.

@param heartbeat `offset` of the heartbeat in the log, and `appliedOffset`, through which the entry had applied the log when it wrote the heartbeat.

@example
recordEntryHeartbeat(noReadLag, {offset: 41, appliedOffset: 40}); // => {unreadOffsets: [41], isBehind: false}
*/
export function recordEntryHeartbeat(lag: ReadLag, {offset, appliedOffset}: Readonly<{offset: number; appliedOffset: number}>): ReadLag {
	const unread = lag.unreadOffsets.filter(heartbeatOffset => heartbeatOffset > appliedOffset);
	return {
		unreadOffsets: [...unread, offset].slice(-maxUnreadHeartbeats - 1),
		isBehind: unread.length > (lag.isBehind ? maxUnreadHeartbeatsCaughtUp : maxUnreadHeartbeats),
	};
}
