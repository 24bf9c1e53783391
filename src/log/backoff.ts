/** Shortest and longest wait between two tries, in milliseconds. */
const MIN_LIMIT_MS = 50;
const MAX_LIMIT_MS = 2000;

/**
How long to wait before try number `failures` + 1: doubles from 50 ms to 2,000 ms, of which a random half to the whole
is waited so that processes do not try in step. `random` is in [0, 1).

@example
backoffMs(3, 0.5); // => 150
*/
export function backoffMs(failures: number, random: number): number {
	const limitMs = Math.min(MAX_LIMIT_MS, MIN_LIMIT_MS * (2 ** Math.min(failures - 1, 16)));
	return limitMs * (0.5 + (random / 2));
}
