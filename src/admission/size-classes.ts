import {OrderedMap as orderedMap, type OrderedMap} from 'immutable';

/** `largest`: the largest tenth of the jobs of a queue; `large`: the fifth below it. */
export type SizeClass = 'largest' | 'large' | 'other';

type SizeCounts = Readonly<Record<SizeClass, Readonly<{asked: number; refused: number}>>>;

/** Sizes of a queue's newest jobs, and how many of each size class asked and were refused. */
type QueueSizes = Readonly<{recentWorks: readonly number[]; counts: SizeCounts; halvedAtMs: number}>;

/** By queue; the one that asked the longest ago is first. */
export type JobSizes = OrderedMap<string, QueueSizes>;

export const noJobSizes: JobSizes = orderedMap();

const noCounts: SizeCounts = {largest: {asked: 0, refused: 0}, large: {asked: 0, refused: 0}, other: {asked: 0, refused: 0}};

/** Newest jobs whose sizes set the limits of the classes: enough that the largest tenth is several jobs. */
const maxRecentWorks = 64;

/** Jobs of a queue below which the sizes are not known: the largest tenth is then less than two jobs. */
const minRecentWorks = 20;

/** Counts are halved after this time, so that the rates follow the load of the last minutes. */
const halveCountsMs = 60_000;

const maxQueues = 256;

/** Below 0.9 by twice the sampling error. */
const largestQuantile = 0.82;
/** Below 0.7 by twice the sampling error of the quantile of 64 jobs, so that no job of the large classes counts as another one. */
const largeQuantile = 0.58;

/**
Returns the size class of a job among the newest ones of its queue; undefined while too few are known.

@example
sizeClassOf(sizes, 'a.example/q/', 434_000_000); // => 'large'
*/
export function sizeClassOf(sizes: JobSizes, queue: string, work: number): SizeClass | undefined {
	const sorted = sizes.get(queue)?.recentWorks.toSorted((left, right) => left - right) ?? [];
	if (sorted.length < minRecentWorks) {
		return undefined;
	}

	const limit = (quantile: number): number => sorted[Math.floor(quantile * sorted.length)]!;
	return work > limit(largestQuantile) ? 'largest' : (work > limit(largeQuantile) ? 'large' : 'other');
}

/**
Returns whether a job may be refused without a higher share of refusals in its size class than in its whole queue. One whose class is not known may not.

@param limitMilli highest ratio of the two shares, in thousandths.

@example
mayRefuseSize(sizes, {queue, sizeClass: 'large', limitMilli: 1000}); // => false while no other job of the queue was refused
*/
export function mayRefuseSize(sizes: JobSizes, {queue, sizeClass, limitMilli}: Readonly<{queue: string; sizeClass: SizeClass | undefined; limitMilli: number}>): boolean {
	if (sizeClass === undefined || sizeClass === 'other') {
		return sizeClass === 'other';
	}

	// The job itself has been counted as one that asked, and would be one more refusal in its class and in the queue.
	const counts = sizes.get(queue)?.counts ?? noCounts;
	const classes = Object.values(counts);
	const asked = classes.reduce((sum, count) => sum + count.asked, 0);
	const refused = classes.reduce((sum, count) => sum + count.refused, 0);
	const own = counts[sizeClass];
	return (own.refused + 1) * asked * 1000 <= (refused + 1) * own.asked * limitMilli;
}

/**
Counts a job that asks for the first time.

@example
recordAsked(noJobSizes, {queue: 'a.example/q/', work: 434_000_000, sizeClass: 'other', nowMs});
*/
export function recordAsked(sizes: JobSizes, {queue, work, sizeClass = 'other', nowMs}: Readonly<{queue: string; work: number; sizeClass: SizeClass | undefined; nowMs: number}>): JobSizes {
	const known = sizes.get(queue) ?? {recentWorks: [], counts: noCounts, halvedAtMs: nowMs};
	const isHalvingDue = nowMs - known.halvedAtMs >= halveCountsMs;
	const counts = isHalvingDue ? halved(known.counts) : known.counts;
	const next = sizes.delete(queue).set(queue, {
		recentWorks: [...known.recentWorks.slice(1 - maxRecentWorks), work],
		counts: {...counts, [sizeClass]: {...counts[sizeClass], asked: counts[sizeClass].asked + 1}},
		halvedAtMs: isHalvingDue ? nowMs : known.halvedAtMs,
	});
	const oldest = next.size > maxQueues ? next.keySeq().first() : undefined;
	return oldest === undefined ? next : next.delete(oldest);
}

/**
Counts the refusal of a job that was counted as one that asked.

@example
recordRefused(sizes, 'a.example/q/', 'large');
*/
export function recordRefused(sizes: JobSizes, queue: string, sizeClass: SizeClass = 'other'): JobSizes {
	const known = sizes.get(queue);
	return known
		? sizes.set(queue, {...known, counts: {...known.counts, [sizeClass]: {...known.counts[sizeClass], refused: known.counts[sizeClass].refused + 1}}})
		: sizes;
}

function halved(counts: SizeCounts): SizeCounts {
	const half = ({asked, refused}: SizeCounts[SizeClass]) => ({asked: asked / 2, refused: refused / 2});
	return {largest: half(counts.largest), large: half(counts.large), other: half(counts.other)};
}
