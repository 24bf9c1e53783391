/**
Returns the value below which the given share of the values lies; NaN without values.

@example
percentile([3, 1, 2], 0.5); // => 2
*/
export function percentile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
}
