import test from 'ava';
import fc from 'fast-check';
import {defaultHarmTable, relativeSpeed} from './interference.js';

const kind = fc.constantFrom('stress-run', 'curing-watch', 'service', 'other');

test('another neighbour never speeds a task up and a task alone runs at full speed', t => {
	fc.assert(fc.property(kind, fc.array(fc.record({kind, processorsMilli: fc.nat(20_000)})), (harmed, neighbours) => {
		const speed = relativeSpeed(defaultHarmTable, harmed, neighbours, 16_000);
		t.true(speed <= relativeSpeed(defaultHarmTable, harmed, neighbours.slice(1), 16_000));
	}));
	t.is(relativeSpeed(defaultHarmTable, 'stress-run', [], 16_000), 1);
});

test('harm depends on the pair and on the load', t => {
	const speed = (harming: string, processorsMilli: number): number => relativeSpeed(defaultHarmTable, 'service', [{kind: harming, processorsMilli}], 16_000);
	t.true(speed('stress-run', 8000) < speed('curing-watch', 8000));
	t.true(speed('stress-run', 16_000) < speed('stress-run', 8000));
});
