/** How far an entry is behind with the log, by the heartbeats that it wrote to it. */
export type ReadLag = Readonly<{
	/** Offsets of its heartbeats that it had not read back when it wrote the newest one, and of that one; oldest first. */
	unreadOffsets: readonly number[];
	isBehind: boolean;
}>;

export const noReadLag: ReadLag = {unreadOffsets: [], isBehind: false};

/** Heartbeats that an entry may leave unread; with the default timings it then grants no leases and places nothing either. */
const maxUnreadHeartbeats = 6;
/** An entry that is behind counts as caught up when it leaves no more than these unread, so that it does not change at each heartbeat. */
const caughtUpHeartbeats = 2;

/**
Notes a heartbeat of an entry. The entry is behind when it has not read back several of its own heartbeats; the log alone tells, so
that all entries agree on it at the same offset, whatever their clocks.

@param heartbeat `offset` of the heartbeat, and the offset through which the entry had applied the log when it wrote it.

@example
recordEntryHeartbeat(noReadLag, {offset: 41, appliedOffset: 40}); // => {unreadOffsets: [41], isBehind: false}
*/
export function recordEntryHeartbeat(lag: ReadLag, {offset, appliedOffset}: Readonly<{offset: number; appliedOffset: number}>): ReadLag {
	const unread = lag.unreadOffsets.filter(heartbeatOffset => heartbeatOffset > appliedOffset);
	return {
		unreadOffsets: [...unread, offset].slice(-maxUnreadHeartbeats - 1),
		isBehind: unread.length > (lag.isBehind ? caughtUpHeartbeats : maxUnreadHeartbeats),
	};
}
