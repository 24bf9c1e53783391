import {Map} from 'immutable';

/** Remembers when a record was last appended for a subject, so that it is not appended again before it is read back. */
export type AppendGuard = Map<string, number>;

/** A guard that remembers nothing. */
export const emptyAppendGuard: AppendGuard = Map<string, number>();

/** A record may be appended again when reads of the whole log did not show it for this long; the writer itself resends lost appends. */
const repeatAfterMs = 3000;

/**
Tells whether the subject's record may be appended now.

@param readSentAtMs when the newest read that reached the log's tail was sent: the time in which an entry read nothing is no reason to repeat.

@example
mayAppend(guard, 'vm-unreachable/vm-1', 12_000); // => true
*/
export function mayAppend(guard: AppendGuard, subject: string, readSentAtMs: number): boolean {
	const appendedAtMs = guard.get(subject);
	return appendedAtMs === undefined || readSentAtMs - appendedAtMs >= repeatAfterMs;
}

/**
Forgets subjects whose time has passed, so that the guard stays bounded.

@example
pruneAppendGuard(guard, 20_000);
*/
export function pruneAppendGuard(guard: AppendGuard, readSentAtMs: number): AppendGuard {
	return guard.isEmpty() ? guard : guard.filter(appendedAtMs => readSentAtMs - appendedAtMs < repeatAfterMs);
}
