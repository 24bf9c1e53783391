/** Processor share of a task that is not throttled. */
const fullShareMilli = 1000;

/** Latency guard of one VM: throttles and evicts its batch tasks while a service on it misses its latency target. */
export type Guard = Readonly<{
	/** Processor share of every batch task; 1,000 when none is throttled. */
	shareMilli: number;
	/** No action before this time, since usage reports do not show the effect of the last one yet. */
	waitUntilMs: number;
	/** Since when all services have been within their targets; undefined while one is beyond its target. */
	withinTargetSinceMs: number | undefined;
}>;

/** Input of the guard at one tick. */
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

/** The next state of the guard, whether the share of the batch tasks changes, and the task to evict. */
export type GuardDecision = Readonly<{guard: Guard; throttle: boolean; evictTaskId: string | undefined}>;

/** No task is throttled. */
export const initialGuard: Guard = {shareMilli: fullShareMilli, waitUntilMs: 0, withinTargetSinceMs: undefined};

function protect(guard: Guard, input: GuardInput): GuardDecision {
	const missed: Guard = {...guard, withinTargetSinceMs: undefined};
	if (input.nowMs < guard.waitUntilMs || input.batchTaskIds.length === 0) {
		return {guard: missed, throttle: false, evictTaskId: undefined};
	}

	const waiting: Guard = {...missed, waitUntilMs: input.nowMs + input.usageLagMs};
	return guard.shareMilli > input.throttleShareMilli
		? {guard: {...waiting, shareMilli: input.throttleShareMilli}, throttle: true, evictTaskId: undefined}
		: {guard: waiting, throttle: false, evictTaskId: input.batchTaskIds[0]};
}

function recover(guard: Guard, input: GuardInput): GuardDecision {
	const withinTargetSinceMs = guard.withinTargetSinceMs ?? input.nowMs;
	const raisesShare = guard.shareMilli < fullShareMilli
		&& input.nowMs >= guard.waitUntilMs
		&& input.nowMs - withinTargetSinceMs >= input.recoverAfterMs;
	return raisesShare
		? {guard: {...guard, shareMilli: Math.min(fullShareMilli, guard.shareMilli * 2), withinTargetSinceMs: input.nowMs}, throttle: true, evictTaskId: undefined}
		: {guard: {...guard, withinTargetSinceMs}, throttle: false, evictTaskId: undefined};
}

/**
Updates the guard. While a target is missed, it first throttles the batch tasks and then evicts them one by one, and waits for the
lag of the usage reports after each action. Within the targets, the share doubles after each `recoverAfterMs`.

@example
const {guard, throttle, evictTaskId} = updateGuard(initialGuard, input);
*/
export function updateGuard(guard: Guard, input: GuardInput): GuardDecision {
	return input.beyondTarget ? protect(guard, input) : recover(guard, input);
}
