/** Processors that the filling tasks of a VM used in a measurement window, and their demand. */
export type FillingSupply = Readonly<{usedCores: number; demandCores: number}>;

/** Filling work that uses less than this share of its demand is short of processors; some tasks use only two thirds of what they declare. */
const shortageUseShare = 0.6;

/** Growth of the estimate from one measurement to the next while filling work is not short, since the load of serving tasks also decreases. */
const growthFactor = 1.02;

/**
Estimates the processors available to the filling tasks of a VM, in thousandths; at least 1, and undefined as long as they were never short of them.

@example
nextFillingRoomMilli(undefined, {usedCores: 3.1, demandCores: 5.4}); // => 3100
*/
export function nextFillingRoomMilli(previousMilli: number | undefined, {usedCores, demandCores}: FillingSupply): number | undefined {
	if (usedCores < shortageUseShare * demandCores) {
		return Math.max(1, Math.round(1000 * usedCores));
	}

	return previousMilli === undefined ? undefined : Math.ceil(Math.max(1000 * usedCores, growthFactor * previousMilli));
}
