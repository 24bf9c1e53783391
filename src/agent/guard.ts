/** Processor share of a task that is not throttled. */
const fullShareMilli = 1000;

/** The guard of one VM; services on it that pass their latency target are protected from its batch tasks. */
export type Guard = Readonly<{
	/** Processor share of every batch task; 1,000 when none is throttled. */
	shareMilli: number;
	/** No step before this time, since the reports do not show the effect of the last step yet. */
	waitUntilMs: number;
	/** Start of the time within the target; missing while a service is beyond it. */
	calmSinceMs: number | undefined;
}>;

/** What the guard sees at one tick. */
export type GuardInput = Readonly<{
	nowMs: number;
	/** Whether a service is beyond its latency target. */
	beyondTarget: boolean;
	/** Running batch tasks, the one that uses the most processors first. */
	batchTaskIds: readonly string[];
	usageLagMs: number;
	throttleShareMilli: number;
	recoverAfterMs: number;
}>;

/** What the guard wants done. */
export type GuardStep = Readonly<{guard: Guard; throttle: boolean; evictTaskId: string | undefined}>;

/** Nothing throttled. */
export const initialGuard: Guard = {shareMilli: fullShareMilli, waitUntilMs: 0, calmSinceMs: undefined};

function protect(guard: Guard, input: GuardInput): GuardStep {
	const troubled: Guard = {...guard, calmSinceMs: undefined};
	if (input.nowMs < guard.waitUntilMs || input.batchTaskIds.length === 0) {
		return {guard: troubled, throttle: false, evictTaskId: undefined};
	}

	const waiting: Guard = {...troubled, waitUntilMs: input.nowMs + input.usageLagMs};
	return guard.shareMilli > input.throttleShareMilli
		? {guard: {...waiting, shareMilli: input.throttleShareMilli}, throttle: true, evictTaskId: undefined}
		: {guard: waiting, throttle: false, evictTaskId: input.batchTaskIds[0]};
}

function recover(guard: Guard, input: GuardInput): GuardStep {
	const calmSinceMs = guard.calmSinceMs ?? input.nowMs;
	const isEased = guard.shareMilli < fullShareMilli
		&& input.nowMs >= guard.waitUntilMs
		&& input.nowMs - calmSinceMs >= input.recoverAfterMs;
	return isEased
		? {guard: {...guard, shareMilli: Math.min(fullShareMilli, guard.shareMilli * 2), calmSinceMs: input.nowMs}, throttle: true, evictTaskId: undefined}
		: {guard: {...guard, calmSinceMs}, throttle: false, evictTaskId: undefined};
}

/**
Takes one step: throttle the batch tasks, then evict one, and after each step wait out the report lag.
Within the target, the share doubles after each `recoverAfterMs`.

@example
const {guard, throttle, evictTaskId} = updateGuard(initialGuard, input);
*/
export function updateGuard(guard: Guard, input: GuardInput): GuardStep {
	return input.beyondTarget ? protect(guard, input) : recover(guard, input);
}
