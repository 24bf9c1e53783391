import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';

/** Maximum number of attempts that are recorded individually. Older ones count as decided through `expiredThroughClaimOffset`. */
const maxRecordedAttempts = 4096;

/** The attempts whose start this agent has accepted or refused. A duplicate or late start command for one of them never runs the task again. */
export type AttemptTable = Readonly<{
	/** Claim offset by `taskId#attempt`, in no particular order. */
	decided: ImmutableMap<string, number>;
	expiredThroughClaimOffset: number;
}>;

/** A table without attempts. */
export const emptyAttemptTable: AttemptTable = {decided: immutableMap(), expiredThroughClaimOffset: -1};

const attemptKey = (taskId: string, attempt: number): string => `${taskId}#${attempt}`;

/**
Returns whether a start was decided before, or may have been because its record has expired.

@example
wasDecided(emptyAttemptTable, {taskId: 't1', attempt: 1, claimOffset: 7}); // => false
*/
export function wasDecided(table: AttemptTable, start: Readonly<{taskId: string; attempt: number; claimOffset: number}>): boolean {
	return start.claimOffset <= table.expiredThroughClaimOffset || table.decided.has(attemptKey(start.taskId, start.attempt));
}

/**
Records a decided start. Beyond the limit, the half of the records with the lowest claim offsets expires in one go, so that this is rarely
needed.

@example
recordDecidedAttempt(emptyAttemptTable, {taskId: 't1', attempt: 1, claimOffset: 7});
*/
export function recordDecidedAttempt(table: AttemptTable, start: Readonly<{taskId: string; attempt: number; claimOffset: number}>): AttemptTable {
	const decided = table.decided.set(attemptKey(start.taskId, start.attempt), start.claimOffset);
	if (decided.size <= maxRecordedAttempts) {
		return {...table, decided};
	}

	const offsets = [...decided.values()].toSorted((left, right) => left - right);
	const expiredThroughClaimOffset = Math.max(table.expiredThroughClaimOffset, offsets[Math.floor(offsets.length / 2)] ?? 0);
	return {decided: decided.filter(offset => offset > expiredThroughClaimOffset), expiredThroughClaimOffset};
}
