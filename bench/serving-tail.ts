/** Parameters of the model of a serving task's tail latency. */
export type TailParameters = Readonly<{
	/** Tail latency of an idle task without neighbours. */
	idleTailMs: number;
	/** Upper bound of the tail latency, since callers time out after this time. */
	maxTailMs: number;
}>;

export const defaultTail: TailParameters = {idleTailMs: 4, maxTailMs: 150};

/**
Computes the tail latency of a serving task in milliseconds, as that of a queue. Neighbours increase the service time of each request by the
share `interference`, and by the same factor the share of its processors that the task uses.

@example
servingTailMs(defaultTail, {load: 0.5, interference: 0.2}); // => 12
*/
export function servingTailMs(
	{idleTailMs, maxTailMs}: TailParameters,
	{load, interference, factor = 1}: Readonly<{load: number; interference: number; factor?: number}>,
): number {
	const serviceTimeFactor = 1 + interference;
	const idleShare = 1 - (load * serviceTimeFactor);
	return idleShare <= 0 ? maxTailMs : Math.min(maxTailMs, factor * idleTailMs * serviceTimeFactor / idleShare);
}
