/**
Adaptive limit of the requests that this entry has in flight at one backend server. Each entry adapts its own limit, so several
entries share a backend server without coordination.
*/
export type ConcurrencyLimit = Readonly<{
	limit: number;
	decreasedAtMs: number;
}>;

// A burst of refusals counts once: a decrease for each would bring the limit of a backend server that is merely full down to 1.
const decreaseIntervalMs = 100;

const decreaseFactor = 0.7;

/**
Returns the initial limit of a backend server: its number of slots.

@example
initialConcurrencyLimit(8).limit; // => 8
*/
export function initialConcurrencyLimit(slots: number): ConcurrencyLimit {
	return {limit: slots, decreasedAtMs: Number.NEGATIVE_INFINITY};
}

/**
Raises the limit by its reciprocal after a success, so by about one each time that all requests of a full limit succeed. Raises it
up to `maximum`, and only while the limit is in use.

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
Lowers the limit to 70 % after a refusal, at most once per 100 ms and never below 1.

@example
decreaseLimit({limit: 10, decreasedAtMs: 0}, 1000).limit; // => 7
*/
export function decreaseLimit(current: ConcurrencyLimit, nowMs: number): ConcurrencyLimit {
	if (nowMs - current.decreasedAtMs < decreaseIntervalMs) {
		return current;
	}

	return {limit: Math.max(1, current.limit * decreaseFactor), decreasedAtMs: nowMs};
}
