import test from 'ava';
import fc from 'fast-check';
import {addResources, fitsInto, subtractResources} from './resources.js';

const resources = fc.record({
	processorsMilli: fc.nat(64_000),
	memoryMb: fc.nat(250_000),
	accelerators: fc.nat(8),
});

test('subtracting a demand restores the amount before it was added', t => {
	fc.assert(fc.property(resources, resources, (available, demand) => {
		t.deepEqual(subtractResources(addResources(available, demand), demand), available);
	}));
});

test('a demand that exceeds the available amount in one dimension does not fit', t => {
	fc.assert(fc.property(resources, fc.constantFrom('processorsMilli', 'memoryMb', 'accelerators'), (available, dimension) => {
		t.true(fitsInto(available, available));
		t.false(fitsInto({...available, [dimension]: available[dimension] + 1}, available));
	}));
});
