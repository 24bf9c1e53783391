import {type EntryContext} from './entry-context.js';

/**
The proof that a job which is to be refused is in no append under way. Its caller may repeat a request that another entry took and did not answer,
and that entry may still write the job to the log. So this entry first reads the log's tail as of after the request, and then waits until every live writer
has shown that it queued a later record: a writer appends its records in order, so that it holds no earlier one back.
*/
export type RefusalProof = Readonly<{
	requestedAtMs: number;
	/** Offset of the log's tail as of after the request; undefined until a read that was sent after the request has returned. */
	tailOffset: number | undefined;
}>;

/** Time for the proof. It takes a heartbeat of each writer (300 ms) and two reads of the log; the relaying entry asks another decider after 900 ms. */
const proofTimeoutMs = 700;

/**
Advances a proof by what the entry has read.

@example
advanceProof({requestedAtMs: 1000, tailOffset: undefined}, context).tailOffset; // => 41
*/
export function advanceProof(proof: RefusalProof, {tailConfirmedSentAtMs, cluster}: EntryContext): RefusalProof {
	return proof.tailOffset === undefined && tailConfirmedSentAtMs >= proof.requestedAtMs ? {...proof, tailOffset: cluster.offset} : proof;
}

/**
Returns whether no append of the job can be under way that began before the request. `leastAppliedOffset` is `leastAppliedOffsetOf` of the state.

@example
isProven({requestedAtMs: 1000, tailOffset: 41}, 42); // => true
*/
export function isProven({tailOffset}: RefusalProof, leastAppliedOffset: number): boolean {
	return tailOffset !== undefined && leastAppliedOffset > tailOffset;
}

/**
Returns the offset through which every live writer had applied the log when it queued a heartbeat that this entry has read.

@example
leastAppliedOffsetOf(context); // => 42
*/
export function leastAppliedOffsetOf({cluster}: EntryContext): number {
	let least = Number.POSITIVE_INFINITY;
	for (const {appliedOffset} of cluster.entries.values()) {
		least = Math.min(least, appliedOffset);
	}

	return least;
}

/**
Returns whether the proof has taken too long; the answer is then that the outcome is unknown.

@example
hasProofTimedOut({requestedAtMs: 1000, tailOffset: undefined}, 1800); // => true
*/
export function hasProofTimedOut({requestedAtMs}: RefusalProof, nowMs: number): boolean {
	return nowMs - requestedAtMs > proofTimeoutMs;
}
