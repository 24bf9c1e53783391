/** What the filling tasks of a VM used in the window of a measure, and what they may use, in processors. */
export type FillingSupply = Readonly<{used: number; wanted: number}>;

/** Filling work that gets less than this part of what it may use is short of processors; some tasks use two thirds of what they declare. */
const shortShare = 0.6;

/** Growth of the room from one measure to the next while filling work is not short: the load of serving tasks falls as it rose. */
const growth = 1.02;

/**
Estimates how many processors filling work can get on a VM, in thousandths, at least one; undefined as long as it was never short of them.

@example
nextFillingRoomMilli(undefined, {used: 3.1, wanted: 5.4}); // => 3100
*/
export function nextFillingRoomMilli(beforeMilli: number | undefined, {used, wanted}: FillingSupply): number | undefined {
	if (used < shortShare * wanted) {
		return Math.max(1, Math.round(1000 * used));
	}

	return beforeMilli === undefined ? undefined : Math.ceil(Math.max(1000 * used, growth * beforeMilli));
}
