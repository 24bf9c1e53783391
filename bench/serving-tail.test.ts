import fc from 'fast-check';
import test from 'ava';
import {defaultTail, servingTailMs} from './serving-tail.js';

test('the tail latency of an idle task without neighbours is the idle tail latency', t => {
	t.is(servingTailMs(defaultTail, {load: 0, interference: 0}), 4);
});

test('interference raises the tail latency more under load', t => {
	t.is(Math.round(servingTailMs(defaultTail, {load: 0.5, interference: 0.2})), 12);
});

test('a task with more load than it can process has the maximum tail latency', t => {
	t.is(servingTailMs(defaultTail, {load: 0.63, interference: 0.6}), 150);
});

test('the tail latency never falls when load or interference rise, and stays within its bounds', t => {
	const amount = fc.double({min: 0, max: 2, noNaN: true});
	t.notThrows(() => {
		fc.assert(fc.property(amount, amount, amount, (load, interference, more) => {
			const tailMs = servingTailMs(defaultTail, {load, interference});
			return tailMs >= 4 && tailMs <= 150
				&& servingTailMs(defaultTail, {load: load + more, interference}) >= tailMs
				&& servingTailMs(defaultTail, {load, interference: interference + more}) >= tailMs;
		}));
	});
});
