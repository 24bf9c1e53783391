import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Vm} from '../cluster/cluster-state.js';

/**
Returns a random sample of VMs; all of them when there are no more than `size`.

@example
sampleVms(vms, 42, 24).length; // => 24
*/
export function sampleVms(vms: readonly Vm[], seed: number, size: number): readonly Vm[] {
	if (vms.length <= size) {
		return vms;
	}

	const generator = xoroshiro128plus(seed);
	const picked = new Set<number>();
	while (picked.size < size) {
		picked.add(uniformInt(generator, 0, vms.length - 1));
	}

	return [...picked].map(index => vms[index]!);
}
