/** Amounts of resources, such as a VM's capacity or a task's demand. 1,000 `processorsMilli` are one core. */
export type Resources = Readonly<{processorsMilli: number; memoryMb: number; accelerators: number}>;

/** The neutral element of {@link addResources}. */
export const noResources: Resources = {processorsMilli: 0, memoryMb: 0, accelerators: 0};

/**
Adds two amounts.

@example
addResources({processorsMilli: 500, memoryMb: 64, accelerators: 0}, {processorsMilli: 500, memoryMb: 0, accelerators: 1});
// => {processorsMilli: 1000, memoryMb: 64, accelerators: 1}
*/
export function addResources(left: Resources, right: Resources): Resources {
	return {
		processorsMilli: left.processorsMilli + right.processorsMilli,
		memoryMb: left.memoryMb + right.memoryMb,
		accelerators: left.accelerators + right.accelerators,
	};
}

/**
Subtracts `right` from `left`; amounts never go below zero.

@example
subtractResources({processorsMilli: 500, memoryMb: 64, accelerators: 0}, {processorsMilli: 200, memoryMb: 64, accelerators: 0});
// => {processorsMilli: 300, memoryMb: 0, accelerators: 0}
*/
export function subtractResources(left: Resources, right: Resources): Resources {
	return {
		processorsMilli: Math.max(0, left.processorsMilli - right.processorsMilli),
		memoryMb: Math.max(0, left.memoryMb - right.memoryMb),
		accelerators: Math.max(0, left.accelerators - right.accelerators),
	};
}

/**
Returns whether `demand` fits into `available` in every dimension.

@example
fitsInto({processorsMilli: 500, memoryMb: 64, accelerators: 0}, {processorsMilli: 1000, memoryMb: 64, accelerators: 0});
// => true
*/
export function fitsInto(demand: Resources, available: Resources): boolean {
	return demand.processorsMilli <= available.processorsMilli
		&& demand.memoryMb <= available.memoryMb
		&& demand.accelerators <= available.accelerators;
}
