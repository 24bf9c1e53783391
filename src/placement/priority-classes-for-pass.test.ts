import test from 'ava';
import fc from 'fast-check';
import {priorityClassesForPass} from './priority-classes-for-pass.js';

test('each class goes first in at least its floor of the passes, and every pass has every class once', t => {
	const floor = fc.integer({min: 0, max: 300});
	fc.assert(fc.property(fc.record({urgent: floor, normal: floor, background: floor}), floors => {
		const firsts = {urgent: 0, normal: 0, background: 0};
		for (let seed = 0; seed < 1000; seed++) {
			const classes = priorityClassesForPass(seed, floors);
			t.is(new Set(classes).size, 3);
			firsts[classes[0]!]++;
		}

		t.true(firsts.urgent >= floors.urgent);
		t.is(firsts.normal, floors.normal);
		t.is(firsts.background, floors.background);
	}), {seed: 21, numRuns: 20});
});
