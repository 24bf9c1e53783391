import {fitsInto, type Resources} from './resources.js';

const unitByDimension: ReadonlyArray<readonly [keyof Resources, string]> = [
	['processorsMilli', 'processorsMilli'],
	['memoryMb', 'memoryMb'],
	['accelerators', 'accelerators'],
];

/**
Returns a message that says which capacity is missing when a demand exceeds the whole capacity of every VM; `undefined` when it fits into that of some VM.

@example
missingCapacity(state.vms.values(), {processorsMilli: 1000, memoryMb: 64, accelerators: 9});
// => 'needs 9 accelerators; the largest VM has 8'
*/
export function missingCapacity(vms: Iterable<Readonly<{capacity: Resources}>>, demand: Resources): string | undefined {
	const largest = {processorsMilli: 0, memoryMb: 0, accelerators: 0};
	let isEmpty = true;
	for (const vm of vms) {
		if (fitsInto(demand, vm.capacity)) {
			return undefined;
		}

		isEmpty = false;
		for (const [dimension] of unitByDimension) {
			largest[dimension] = Math.max(largest[dimension], vm.capacity[dimension]);
		}
	}

	if (isEmpty) {
		return 'no VM is registered';
	}

	const shortages = unitByDimension
		.filter(([dimension]) => demand[dimension] > largest[dimension])
		.map(([dimension, unit]) => `needs ${demand[dimension]} ${unit}; the largest VM has ${largest[dimension]}`);
	return shortages.length > 0
		? shortages.join('; ')
		: `needs ${demand.processorsMilli} processorsMilli, ${demand.memoryMb} memoryMb and ${demand.accelerators} accelerators together; no single VM has them`;
}
