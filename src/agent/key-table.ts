import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';
import {refusalOf, type KeptAnswer, type Refusal} from './request-outcome.js';

/** Memory that an entry of the table is taken to need beside the body of its answer. */
const entryBytes = 512;

/** How a keyed request ended: with an answer that every retry gets, or with the same refusal for each. */
export type KeyResult = Readonly<{answer: KeptAnswer}> | Readonly<{refusal: Refusal}>;

/** One key: the request runs once, and its result is kept for a time. */
export type KeyEntry = Readonly<{
	keyHash: string;
	bodyHash: string;
	claimOffset: number;
	agentIncarnation: string;
	/** Request that runs; retries wait for it. */
	runningRequestId: string;
	waitingRequestIds: readonly string[];
	result: KeyResult | undefined;
	settledAtMs: number;
}>;

/** Keyed requests of this agent, so that each runs at most once. */
export type KeyTable = Readonly<{
	entries: ImmutableMap<string, KeyEntry>;
	forgottenClaimOffset: number;
	keptBytes: number;
}>;

/** What names a keyed request. */
export type KeyClaim = Readonly<Pick<KeyEntry, 'keyHash' | 'bodyHash' | 'claimOffset' | 'agentIncarnation'>>;

/** Nothing kept, nothing forgotten. */
export const emptyKeyTable: KeyTable = {entries: immutableMap(), forgottenClaimOffset: -1, keptBytes: 0};

const bytesOf = (entry: KeyEntry): number => entryBytes
	+ (entry.result !== undefined && 'answer' in entry.result ? entry.result.answer.body.byteLength : 0);

/** A released claim never runs; only a later claim of the same key may. */
const isReleased = ({result}: KeyEntry): boolean => result !== undefined && 'refusal' in result && result.refusal.kind === 'key-released';

/** What the table says about a keyed request. */
export type KeyDecision = 'run' | 'wait' | 'settled' | 'key-body-mismatch' | 'stale-incarnation' | 'key-forgotten' | 'kept-answers-full';

/**
Decides what to do with a keyed request. Kept keys decide first, so that a retry gets its result although
the incarnation or the room for new keys has changed.

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

	if (claim.claimOffset <= table.forgottenClaimOffset) {
		return 'key-forgotten';
	}

	if (claim.agentIncarnation !== limits.agentIncarnation) {
		return 'stale-incarnation';
	}

	return table.keptBytes >= limits.keptAnswersBytes ? 'kept-answers-full' : 'run';
}

/**
Enters a key whose request runs from now on.

@example
enterKey(emptyKeyTable, claim, 'request-1');
*/
export function enterKey(table: KeyTable, claim: KeyClaim, requestId: string): KeyTable {
	const others = withdrawKey(table, claim.keyHash);
	return {
		...others,
		keptBytes: others.keptBytes + entryBytes,
		entries: others.entries.set(claim.keyHash, {
			keyHash: claim.keyHash,
			bodyHash: claim.bodyHash,
			claimOffset: claim.claimOffset,
			agentIncarnation: claim.agentIncarnation,
			runningRequestId: requestId,
			waitingRequestIds: [],
			result: undefined,
			settledAtMs: 0,
		}),
	};
}

/**
Lets a retry wait for the running request of its key.

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
Keeps the result of a key.

@example
completeKey(table, 'k1', {answer}, 7000);
*/
export function completeKey(table: KeyTable, keyHash: string, result: KeyResult, nowMs: number): KeyTable {
	const entry = table.entries.get(keyHash);
	if (entry === undefined) {
		return table;
	}

	const settled: KeyEntry = {
		...entry, result, settledAtMs: nowMs, waitingRequestIds: [],
	};
	return {
		...table,
		keptBytes: table.keptBytes + bytesOf(settled) - bytesOf(entry),
		entries: table.entries.set(keyHash, settled),
	};
}

/**
Removes a key whose request certainly did not run, so that a retry may run.

@example
withdrawKey(table, 'k1');
*/
export function withdrawKey(table: KeyTable, keyHash: string): KeyTable {
	const entry = table.entries.get(keyHash);
	return entry === undefined ? table : {...table, keptBytes: table.keptBytes - bytesOf(entry), entries: table.entries.delete(keyHash)};
}

/**
Gives a claim back without running its request: from now on the claim is refused, so that the key may be claimed elsewhere.

@example
releaseKey(table, claim, 7000);
*/
export function releaseKey(table: KeyTable, claim: KeyClaim, nowMs: number): KeyTable {
	return completeKey(enterKey(table, claim, ''), claim.keyHash, {refusal: refusalOf('key-released')}, nowMs);
}

/**
Forgets results older than `retentionMs` and remembers the highest claim offset forgotten.

@example
expireKeyResults(table, {nowMs: 700_000, retentionMs: 600_000});
*/
export function expireKeyResults(table: KeyTable, limits: Readonly<{nowMs: number; retentionMs: number}>): KeyTable {
	const old = [...table.entries.values()].filter(entry => entry.result !== undefined && entry.settledAtMs + limits.retentionMs <= limits.nowMs);
	let next = table;
	for (const {keyHash, claimOffset} of old) {
		next = {...withdrawKey(next, keyHash), forgottenClaimOffset: Math.max(next.forgottenClaimOffset, claimOffset)};
	}

	return next;
}
