import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';

/** Attempts that are remembered one by one; older ones are covered by the forgotten claim offset. */
const rememberedAttempts = 4096;

/** The start commands that this agent has decided, so that a duplicate or late one never runs a task again. */
export type AttemptTable = Readonly<{
	/** Claim offset by `taskId#attempt`; insertion order is the order of decision. */
	seen: ImmutableMap<string, number>;
	forgottenClaimOffset: number;
}>;

/** Nothing seen, nothing forgotten. */
export const emptyAttemptTable: AttemptTable = {seen: immutableMap(), forgottenClaimOffset: -1};

const nameOf = (taskId: string, attempt: number): string => `${taskId}#${attempt}`;

/**
Tells whether a start was decided before, or may have been.

@example
wasSeen(emptyAttemptTable, {taskId: 't1', attempt: 1, claimOffset: 7}); // => false
*/
export function wasSeen(table: AttemptTable, start: Readonly<{taskId: string; attempt: number; claimOffset: number}>): boolean {
	return start.claimOffset <= table.forgottenClaimOffset || table.seen.has(nameOf(start.taskId, start.attempt));
}

/**
Remembers a decided start. Beyond the limit, the lowest claim offsets are forgotten, in halves to keep it cheap.

@example
recordDecidedAttempt(emptyAttemptTable, {taskId: 't1', attempt: 1, claimOffset: 7});
*/
export function recordDecidedAttempt(table: AttemptTable, start: Readonly<{taskId: string; attempt: number; claimOffset: number}>): AttemptTable {
	const seen = table.seen.set(nameOf(start.taskId, start.attempt), start.claimOffset);
	if (seen.size <= rememberedAttempts) {
		return {...table, seen};
	}

	const offsets = [...seen.values()].toSorted((left, right) => left - right);
	const forgottenClaimOffset = Math.max(table.forgottenClaimOffset, offsets[Math.floor(offsets.length / 2)] ?? 0);
	return {seen: seen.filter(offset => offset > forgottenClaimOffset), forgottenClaimOffset};
}
