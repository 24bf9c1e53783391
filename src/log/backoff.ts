/** Smallest and largest limit of the wait between two attempts. */
const MIN_LIMIT_MS = 50;
const MAX_LIMIT_MS = 2000;

/**
Returns how many milliseconds to wait before the next attempt after `failures` failed ones. The limit doubles from 50 ms to
2,000 ms; the wait is a random half to the whole of the limit, so that processes do not retry in step. `random` is in [0, 1).

@example
backoffMs(3, 0.5); // => 150
*/
export function backoffMs(failures: number, random: number): number {
	const limitMs = Math.min(MAX_LIMIT_MS, MIN_LIMIT_MS * (2 ** Math.min(failures - 1, 16)));
	return limitMs * (0.5 + (random / 2));
}
