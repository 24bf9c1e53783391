import {type CallerJobError} from '../entry/caller-server.js';
import {type RelayAnswer} from './relay-message.js';

/** How an attempt to relay a call ended: with the decider's answer, before anything was sent, or without a usable answer. */
export type AttemptEnd = Readonly<{kind: 'answered'; answer: RelayAnswer} | {kind: 'not-sent'; reason: string} | {kind: 'unknown'; reason: string}>;

/** What the attempts of one call have shown so far. */
export type RelayAttempts = Readonly<{
	/** Whether an attempt may have taken effect although it was not answered. */
	mayHaveRun: boolean;
	/** The newest refusal that says that nothing was done. */
	refusal: CallerJobError | undefined;
}>;

export const noAttempts: RelayAttempts = {mayHaveRun: false, refusal: undefined};

/** Whether to make another attempt at another decider, or the final answer. */
export type AttemptVerdict = Readonly<{isFinal: false; attempts: RelayAttempts} | {isFinal: true; answer: RelayAnswer}>;

const refusedStatus = 503;
const unknownStatus = 504;

/** Retry time for callers when no decider can be reached: another one takes over within a few seconds. */
const noDeciderRetryAfterMs = 1000;

/**
Evaluates the end of an attempt. A refusal as not run, or an attempt that was not sent, lets the next decider try; so does an attempt without an
answer, since jobs and cancellations are idempotent by the job's id. Any other error is final, unless an earlier attempt may have run, and so is a refusal for
want of capacity that could not be proven.

@example
evaluateAttempt(noAttempts, {kind: 'answered', answer: {result: 'ok', value: {}}}).isFinal; // => true
*/
export function evaluateAttempt(attempts: RelayAttempts, end: AttemptEnd): AttemptVerdict {
	if (end.kind !== 'answered') {
		return {isFinal: false, attempts: {...attempts, mayHaveRun: attempts.mayHaveRun || end.kind === 'unknown'}};
	}

	const {answer} = end;
	if (answer.result === 'ok') {
		return {isFinal: true, answer};
	}

	const {status} = answer.error;
	if (status === refusedStatus) {
		return {isFinal: false, attempts: {...attempts, refusal: answer.error}};
	}

	if (isUnprovenRefusal(answer)) {
		return {isFinal: true, answer};
	}

	if (status === unknownStatus) {
		return {isFinal: false, attempts: {...attempts, mayHaveRun: true}};
	}

	return {isFinal: true, answer: attempts.mayHaveRun ? concludeAttempts(attempts) : answer};
}

/**
Returns whether a decider has answered that it has no capacity for a job and no proof that no entry is writing it: only this 504 names a time. The next
decider would accept the job, since it is told that the job may have run.

@example
isUnprovenRefusal({result: 'ok', value: {}}); // => false
*/
export function isUnprovenRefusal(answer: RelayAnswer): boolean {
	return answer.result === 'error' && answer.error.status === unknownStatus && answer.error.retryAfterMs !== undefined;
}

/**
Returns the answer of a call for which no further attempt is made. It says that nothing was done only when every attempt did.

@example
concludeAttempts(noAttempts); // => {result: 'error', error: {status: 503, …}}
*/
export function concludeAttempts({mayHaveRun, refusal}: RelayAttempts): RelayAnswer {
	if (mayHaveRun) {
		return {
			result: 'error',
			error: {
				status: unknownStatus,
				error: {
					kind: 'job-outcome-unknown', message: 'no entry that decides has answered in time', remedy: 'send the same job again with the same job id; a job that is already known is not submitted twice',
				},
			},
		};
	}

	return {
		result: 'error',
		error: refusal ?? {
			status: refusedStatus,
			error: {kind: 'no-decider', message: 'no entry that decides can be reached', remedy: 'send the job again; nothing was done'},
			retryAfterMs: noDeciderRetryAfterMs,
		},
	};
}

/** What a front knows of a decider; times are of its steady clock. */
export type DeciderHealth = Readonly<{
	entryId: string;
	/** When it last failed to answer, or refused as not ready; `-Infinity` when it has not since its last good answer. */
	failedAtMs: number;
}>;

/**
Returns the ids of the deciders in the order in which a call tries them: those that answered last before those that did not, and among the
latter the one that failed the longest ago first.

@param rankedIds all deciders in the order that this front prefers.

@example
orderDeciders(['a', 'b'], new Map([['a', {entryId: 'a', failedAtMs: 5}]])); // => ['b', 'a']
*/
export function orderDeciders(rankedIds: readonly string[], healthById: ReadonlyMap<string, DeciderHealth>): readonly string[] {
	const failedAtMs = (entryId: string): number => healthById.get(entryId)?.failedAtMs ?? Number.NEGATIVE_INFINITY;
	return rankedIds.toSorted((left, right) => {
		const [leftMs, rightMs] = [failedAtMs(left), failedAtMs(right)];
		return leftMs === rightMs ? 0 : leftMs - rightMs;
	});
}
