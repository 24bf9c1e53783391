import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';
import {refusalOf, type StoredAnswer, type Refusal} from './request-outcome.js';

/** Estimated memory of a table entry without the body of its answer. */
const entryBytes = 512;

/** Result of a keyed request: a stored answer or a refusal, which every retry receives. */
export type KeyResult = Readonly<{answer: StoredAnswer}> | Readonly<{refusal: Refusal}>;

/** One key: its request runs once, and the result is stored for the retention time. */
export type KeyEntry = Readonly<{
	keyHash: string;
	bodyHash: string;
	claimOffset: number;
	agentIncarnation: string;
	/** ID of the request that runs; retries wait for it. */
	runningRequestId: string;
	waitingRequestIds: readonly string[];
	result: KeyResult | undefined;
	completedAtMs: number;
}>;

/** Keyed requests of this agent; each runs at most once. */
export type KeyTable = Readonly<{
	entries: ImmutableMap<string, KeyEntry>;
	expiredThroughClaimOffset: number;
	storedBytes: number;
}>;

/** Claim of a key, as far as the agent needs it. */
export type KeyClaim = Readonly<Pick<KeyEntry, 'keyHash' | 'bodyHash' | 'claimOffset' | 'agentIncarnation'>>;

/** A table without keys. */
export const emptyKeyTable: KeyTable = {entries: immutableMap(), expiredThroughClaimOffset: -1, storedBytes: 0};

const bytesOf = (entry: KeyEntry): number => entryBytes
	+ (entry.result !== undefined && 'answer' in entry.result ? entry.result.answer.body.byteLength : 0);

/** Returns whether the claim of an entry was released. Its request never runs; only the request of a later claim of the same key may run. */
const isReleased = ({result}: KeyEntry): boolean => result !== undefined && 'refusal' in result && result.refusal.kind === 'key-released';

/** What to do with a keyed request. */
export type KeyDecision = 'run' | 'wait' | 'settled' | 'key-body-mismatch' | 'stale-incarnation' | 'key-forgotten' | 'kept-answers-full';

/**
Decides what to do with a keyed request. Recorded keys are checked first, so that a retry gets its result although the incarnation has
changed or the memory for new keys is used up.

@example
decideKey(emptyKeyTable, claim, {agentIncarnation: claim.agentIncarnation, keptAnswersBytes: 65_536}); // => 'run'
*/
export function decideKey(table: KeyTable, claim: KeyClaim, limits: Readonly<{agentIncarnation: string; keptAnswersBytes: number}>): KeyDecision {
	const entry = table.entries.get(claim.keyHash);
	if (entry !== undefined && !(isReleased(entry) && claim.claimOffset > entry.claimOffset)) {
		if (entry.bodyHash !== claim.bodyHash) {
			return 'key-body-mismatch';
		}

		return entry.result === undefined ? 'wait' : 'settled';
	}

	if (claim.claimOffset <= table.expiredThroughClaimOffset) {
		return 'key-forgotten';
	}

	if (claim.agentIncarnation !== limits.agentIncarnation) {
		return 'stale-incarnation';
	}

	return table.storedBytes >= limits.keptAnswersBytes ? 'kept-answers-full' : 'run';
}

/**
Records a key whose request runs from now on.

@example
enterKey(emptyKeyTable, claim, 'request-1');
*/
export function enterKey(table: KeyTable, claim: KeyClaim, requestId: string): KeyTable {
	const others = withdrawKey(table, claim.keyHash);
	return {
		...others,
		storedBytes: others.storedBytes + entryBytes,
		entries: others.entries.set(claim.keyHash, {
			keyHash: claim.keyHash,
			bodyHash: claim.bodyHash,
			claimOffset: claim.claimOffset,
			agentIncarnation: claim.agentIncarnation,
			runningRequestId: requestId,
			waitingRequestIds: [],
			result: undefined,
			completedAtMs: 0,
		}),
	};
}

/**
Records that a retry waits for the running request of its key.

@example
awaitKey(table, 'k1', 'request-2');
*/
export function awaitKey(table: KeyTable, keyHash: string, requestId: string): KeyTable {
	const entry = table.entries.get(keyHash);
	return entry === undefined
		? table
		: {
			...table,
			entries: table.entries.set(keyHash, {...entry, waitingRequestIds: [...entry.waitingRequestIds, requestId]}),
		};
}

/**
Completes a key: stores its result.

@example
completeKey(table, 'k1', {answer}, 7000);
*/
export function completeKey(table: KeyTable, keyHash: string, result: KeyResult, nowMs: number): KeyTable {
	const entry = table.entries.get(keyHash);
	if (entry === undefined) {
		return table;
	}

	const completed: KeyEntry = {
		...entry, result, completedAtMs: nowMs, waitingRequestIds: [],
	};
	return {
		...table,
		storedBytes: table.storedBytes + bytesOf(completed) - bytesOf(entry),
		entries: table.entries.set(keyHash, completed),
	};
}

/**
Removes a key whose request certainly did not run, so that a retry may run.

@example
withdrawKey(table, 'k1');
*/
export function withdrawKey(table: KeyTable, keyHash: string): KeyTable {
	const entry = table.entries.get(keyHash);
	return entry === undefined ? table : {...table, storedBytes: table.storedBytes - bytesOf(entry), entries: table.entries.delete(keyHash)};
}

/**
Releases a claim without running its request: from now on the claim is refused, so that the key may be claimed elsewhere.

@example
releaseKey(table, claim, 7000);
*/
export function releaseKey(table: KeyTable, claim: KeyClaim, nowMs: number): KeyTable {
	return completeKey(enterKey(table, claim, ''), claim.keyHash, {refusal: refusalOf('key-released')}, nowMs);
}

/**
Removes the results that are older than `retentionMs`, and records the highest claim offset among them.

@example
expireKeyResults(table, {nowMs: 700_000, retentionMs: 600_000});
*/
export function expireKeyResults(table: KeyTable, limits: Readonly<{nowMs: number; retentionMs: number}>): KeyTable {
	const expired = [...table.entries.values()].filter(entry => entry.result !== undefined && entry.completedAtMs + limits.retentionMs <= limits.nowMs);
	let next = table;
	for (const {keyHash, claimOffset} of expired) {
		next = {...withdrawKey(next, keyHash), expiredThroughClaimOffset: Math.max(next.expiredThroughClaimOffset, claimOffset)};
	}

	return next;
}
