import {OrderedMap as orderedMap, type OrderedMap} from 'immutable';

/** What a refused caller was promised. */
export type SlotPromise = Readonly<{
	poolKey: string;
	work: number;
	/** Monotonic time and Unix time of the caller's first attempt, from which its objective runs. */
	firstAskedAtMs: number;
	firstAskedWallTimeMs: number;
	/** When the caller was told to come back. */
	dueAtMs: number;
	/** Whether the job can still be of use to its caller then; capacity is held for such jobs only. */
	holdsCapacity: boolean;
}>;

/** Promises by job ID, oldest first. */
export type SlotPromises = OrderedMap<string, SlotPromise>;

export const noSlotPromises: SlotPromises = orderedMap();

/** How long a promise holds capacity for a caller that does not come back: callers wait 3 s for an answer and need time to send another request. */
const keptAfterDueMs = 5000;

/** A caller may come this much earlier, since `Retry-After` is in whole seconds and the callers' clocks differ. */
const earlyByMs = 500;

const maxPromises = 2048;

/** Shortest and longest `Retry-After`. */
export const minRetryAfterMs = 1000;
const maxRetryAfterMs = 30_000;

/**
Returns how long a refused caller should wait: until the work before it has ended so far that the job ends within its objective.

@param endsInMs time until the end of the job if it were accepted behind all work that is accepted or promised.

@example
retryAfterMsOf({endsInMs: 21_000, objectiveMs: 13_400}); // => 8000
*/
export function retryAfterMsOf({endsInMs, objectiveMs}: Readonly<{endsInMs: number; objectiveMs: number}>): number {
	// `Retry-After` is in whole seconds.
	const waitMs = Math.ceil((endsInMs - objectiveMs) / 1000) * 1000;
	return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs));
}

/**
Adds a promise, or replaces the one that the job has. When there are too many, the oldest is forgotten.

@example
promiseSlot(noSlotPromises, 'bake-1', promise).has('bake-1'); // => true
*/
export function promiseSlot(promises: SlotPromises, jobId: string, promise: SlotPromise): SlotPromises {
	const next = promises.set(jobId, promise);
	const oldest = next.size > maxPromises ? next.keySeq().first() : undefined;
	return oldest === undefined ? next : next.delete(oldest);
}

/**
Returns whether a caller comes back at the time that it was promised.

@example
isPromiseDue(promise, promise.dueAtMs + 100); // => true
*/
export function isPromiseDue({dueAtMs}: SlotPromise, nowMs: number): boolean {
	return nowMs >= dueAtMs - earlyByMs;
}

/**
Removes the promises to callers who did not come back.

@example
prunePromises(promises, nowMs);
*/
export function prunePromises(promises: SlotPromises, nowMs: number): SlotPromises {
	return promises.some(({dueAtMs}) => nowMs - dueAtMs > keptAfterDueMs)
		? promises.filter(({dueAtMs}) => nowMs - dueAtMs <= keptAfterDueMs)
		: promises;
}
