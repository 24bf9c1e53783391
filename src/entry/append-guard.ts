import {Map} from 'immutable';

/** Suppresses duplicate appends until the record is read back: time of the last append, by subject. */
export type AppendGuard = Map<string, number>;

/** A guard that suppresses no append. */
export const emptyAppendGuard: AppendGuard = Map<string, number>();

/** A record may be appended again when reads that reached the tail have not returned it for this long; the writer itself resends lost appends. */
const repeatAfterMs = 3000;

/**
Returns whether the subject's record may be appended now.

@param readSentAtMs when the newest read that reached the log's tail was sent. Time without such a read does not count, since the record may be in the unread part.

@example
mayAppend(guard, 'vm-unreachable/vm-1', 12_000); // => true
*/
export function mayAppend(guard: AppendGuard, subject: string, readSentAtMs: number): boolean {
	const appendedAtMs = guard.get(subject);
	return appendedAtMs === undefined || readSentAtMs - appendedAtMs >= repeatAfterMs;
}

/**
Removes subjects whose records may be appended again, which bounds the size of the guard.

@example
pruneAppendGuard(guard, 20_000);
*/
export function pruneAppendGuard(guard: AppendGuard, readSentAtMs: number): AppendGuard {
	return guard.isEmpty() ? guard : guard.filter(appendedAtMs => readSentAtMs - appendedAtMs < repeatAfterMs);
}
