/** How a serving task's response times depend on its load and its neighbours. */
export type TailParameters = Readonly<{
	/** Tail of an idle task without neighbours. */
	quietTailMs: number;
	/** Callers give up then, so that no tail is longer. */
	longestTailMs: number;
}>;

export const defaultTail: TailParameters = {quietTailMs: 4, longestTailMs: 150};

/**
Computes the tail of the response times of a serving task as that of a queue: neighbours make each request longer by `interference`
and with it the share of its processors that the task uses.

@example
servingTailMs(defaultTail, {load: 0.5, interference: 0.2}); // => 12
*/
export function servingTailMs(
	{quietTailMs, longestTailMs}: TailParameters,
	{load, interference, factor = 1}: Readonly<{load: number; interference: number; factor?: number}>,
): number {
	const stretch = 1 + interference;
	const idleShare = 1 - (load * stretch);
	return idleShare <= 0 ? longestTailMs : Math.min(longestTailMs, factor * quietTailMs * stretch / idleShare);
}
