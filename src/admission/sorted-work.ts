/** Amounts of work in ascending order with their sums, so that the sum up to an amount is found without a walk. */
export type SortedWork = Readonly<{works: readonly number[]; workSums: readonly number[]; demandSumsMilli: readonly number[]}>;

/** A sum over jobs, in millicores times milliseconds and in millicores. */
export type WorkSum = Readonly<{work: number; demandMilli: number}>;

export const noWork: SortedWork = {works: [], workSums: [], demandSumsMilli: []};

/**
Sorts jobs by their work.

@example
workUpTo(sortWork([{work: 5, demandMilli: 2}, {work: 3, demandMilli: 1}]), 4); // => {work: 3, demandMilli: 1}
*/
export function sortWork(jobs: readonly WorkSum[]): SortedWork {
	const sorted = jobs.toSorted((left, right) => left.work - right.work);
	let workSum = 0;
	let demandSumMilli = 0;
	const workSums: number[] = [];
	const demandSumsMilli: number[] = [];
	for (const {work, demandMilli} of sorted) {
		workSum += work;
		demandSumMilli += demandMilli;
		workSums.push(workSum);
		demandSumsMilli.push(demandSumMilli);
	}

	return {works: sorted.map(({work}) => work), workSums, demandSumsMilli};
}

/**
Returns the sum of the jobs with at most the given work.

@example
workUpTo(noWork, Number.POSITIVE_INFINITY); // => {work: 0, demandMilli: 0}
*/
export function workUpTo({works, workSums, demandSumsMilli}: SortedWork, limit: number): WorkSum {
	let low = 0;
	let high = works.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (works[middle]! <= limit) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return {work: workSums[low - 1] ?? 0, demandMilli: demandSumsMilli[low - 1] ?? 0};
}
