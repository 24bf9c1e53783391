import {Map} from 'immutable';

/** Remembers when a record was last appended for a subject, so that it is not appended again before it is read back. */
export type AppendGuard = Map<string, number>;

/** A guard that remembers nothing. */
export const emptyAppendGuard: AppendGuard = Map<string, number>();

/** Time after which a record that was not read back may be appended again; the writer itself resends lost appends. */
const repeatAfterMs = 3000;

/**
Tells whether the subject's record may be appended now.

@example
mayAppend(guard, 'vm-unreachable/vm-1', 12_000); // => true
*/
export function mayAppend(guard: AppendGuard, subject: string, nowMs: number): boolean {
	const appendedAtMs = guard.get(subject);
	return appendedAtMs === undefined || nowMs - appendedAtMs >= repeatAfterMs;
}

/**
Forgets subjects whose time has passed, so that the guard stays bounded.

@example
pruneAppendGuard(guard, 20_000);
*/
export function pruneAppendGuard(guard: AppendGuard, nowMs: number): AppendGuard {
	return guard.isEmpty() ? guard : guard.filter(appendedAtMs => nowMs - appendedAtMs < repeatAfterMs);
}
