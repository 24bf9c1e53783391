import test from 'ava';
import fc from 'fast-check';
import {addResources, fitsInto, subtractResources} from './resources.js';

const resources = fc.record({
	processorsMilli: fc.nat(64_000),
	memoryMb: fc.nat(250_000),
	accelerators: fc.nat(8),
});

test('releasing a demand gives back exactly what it took', t => {
	fc.assert(fc.property(resources, resources, (room, demand) => {
		t.deepEqual(subtractResources(addResources(room, demand), demand), room);
	}));
});

test('a demand that exceeds the room in one dimension does not fit', t => {
	fc.assert(fc.property(resources, fc.constantFrom('processorsMilli', 'memoryMb', 'accelerators'), (room, dimension) => {
		t.true(fitsInto(room, room));
		t.false(fitsInto({...room, [dimension]: room[dimension] + 1}, room));
	}));
});
