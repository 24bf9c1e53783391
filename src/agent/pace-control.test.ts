import test from 'ava';
import fc from 'fast-check';
import {restingPace, stepPace, type PaceControl} from './pace-control.js';

const targetMs = 18;

/** A serving task whose tail grows with the share of the filling work beside it. */
function simulate(pressMs: number, steps: number): ReadonlyArray<Readonly<{pace: PaceControl; tailMs: number}>> {
	const history: Array<Readonly<{pace: PaceControl; tailMs: number}>> = [];
	let pace = restingPace;
	for (let index = 0; index < steps; index++) {
		const tailMs = 4 + (pressMs * pace.shareMilli / 1000);
		pace = stepPace(pace, [{latencyTailMs: tailMs, latencyTargetMs: targetMs}], index * 600);
		history.push({pace, tailMs});
	}

	return history;
}

test('a serving task is back within its target in under four seconds, whatever the filling work does to it', t => {
	// Six steps of 600 ms.
	const checked = fc.check(fc.property(fc.integer({min: 0, max: 400}), pressMs => simulate(pressMs, 7).at(-1)!.tailMs <= targetMs), {seed: 7, numRuns: 400});
	t.false(checked.failed, `counterexample ${JSON.stringify(checked.counterexample)}`);
});

test('filling work is not stopped for good where it does no harm', t => {
	const history = simulate(5, 40);
	t.is(history.at(-1)!.pace.shareMilli, 1000);
});

test('filling work gets a share back when its neighbours are well within their target', t => {
	let pace: PaceControl = {shareMilli: 0, waitUntilMs: 0};
	for (let index = 0; index < 12; index++) {
		pace = stepPace(pace, [{latencyTailMs: 4, latencyTargetMs: targetMs}], index * 600);
	}

	t.is(pace.shareMilli, 1000);
});

test('no step is taken before the last one can show in the measures', t => {
	const first = stepPace(restingPace, [{latencyTailMs: 90, latencyTargetMs: targetMs}], 1000);
	t.is(stepPace(first, [{latencyTailMs: 90, latencyTargetMs: targetMs}], 1100), first);
});
