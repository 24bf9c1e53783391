import test from 'ava';
import fc from 'fast-check';
import {defaultInterferenceTable, relativeSpeed} from './interference.js';

const kind = fc.constantFrom('stress-run', 'curing-watch', 'service', 'other');

test('another neighbour never speeds a task up and a task alone runs at full speed', t => {
	fc.assert(fc.property(kind, fc.array(fc.record({kind, processorsMilli: fc.nat(20_000)})), (slowed, neighbours) => {
		const speed = relativeSpeed(defaultInterferenceTable, slowed, neighbours, 16_000);
		t.true(speed <= relativeSpeed(defaultInterferenceTable, slowed, neighbours.slice(1), 16_000));
	}));
	t.is(relativeSpeed(defaultInterferenceTable, 'stress-run', [], 16_000), 1);
});

test('the slowdown depends on both kinds of work and on the load of the neighbour', t => {
	const speed = (neighbourKind: string, processorsMilli: number): number => relativeSpeed(defaultInterferenceTable, 'service', [{kind: neighbourKind, processorsMilli}], 16_000);
	t.true(speed('stress-run', 8000) < speed('curing-watch', 8000));
	t.true(speed('stress-run', 16_000) < speed('stress-run', 8000));
});
