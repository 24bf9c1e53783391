/** How many requests this entry keeps at one backend server at a time; several entries share it without talking to each other. */
export type ConcurrencyLimit = Readonly<{
	limit: number;
	decreasedAtMs: number;
}>;

// One burst of refusals is one signal: a decrease for each of them would stop a backend server that is only full.
const decreaseIntervalMs = 100;

const decreaseFactor = 0.7;

/**
Makes the first limit of a backend server: its slots.

@example
initialConcurrencyLimit(8).limit; // => 8
*/
export function initialConcurrencyLimit(slots: number): ConcurrencyLimit {
	return {limit: slots, decreasedAtMs: Number.NEGATIVE_INFINITY};
}

/**
Raises the limit by one for each round of successes, up to `maximum`, and only while the limit is in use.

@example
increaseLimit({limit: 8, decreasedAtMs: 0}, {inFlight: 8, maximum: 64}).limit; // => 8.125
*/
export function increaseLimit(current: ConcurrencyLimit, use: Readonly<{inFlight: number; maximum: number}>): ConcurrencyLimit {
	if (use.inFlight < Math.floor(current.limit)) {
		return current;
	}

	return {...current, limit: Math.min(use.maximum, current.limit + (1 / current.limit))};
}

/**
Lowers the limit by a factor after a refusal, at most once each 100 ms and never below 1.

@example
decreaseLimit({limit: 10, decreasedAtMs: 0}, 1000).limit; // => 7
*/
export function decreaseLimit(current: ConcurrencyLimit, nowMs: number): ConcurrencyLimit {
	if (nowMs - current.decreasedAtMs < decreaseIntervalMs) {
		return current;
	}

	return {limit: Math.max(1, current.limit * decreaseFactor), decreasedAtMs: nowMs};
}
