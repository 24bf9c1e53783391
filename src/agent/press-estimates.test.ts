import test from 'ava';
import {Map as immutableMap} from 'immutable';
import {
	changedPress, learnPress, mergePress, noPressEstimates, pressOf, type PressEstimates,
} from './press-estimates.js';

/** Learns from a VM whose serving task bears two images alike, and then only the harmless one. */
function learned(): PressEstimates {
	let estimates = noPressEstimates;
	const press: Readonly<Record<string, number>> = {heavy: 0.6, light: 0.01};
	const moments: ReadonlyArray<ReadonlyMap<string, number>> = [
		...Array.from({length: 20}, () => new Map([['heavy', 3], ['light', 3]])),
		...Array.from({length: 20}, () => new Map([['light', 3]])),
		...Array.from({length: 20}, () => new Map([['heavy', 1], ['light', 3]])),
	];
	for (const filling of moments) {
		const tailShare = 0.4 + [...filling].reduce((sum, [image, processors]) => sum + (processors * press[image]!), 0);
		estimates = learnPress(estimates, [{taskId: 's1', image: 'lookup', tailShare}], filling);
	}

	return estimates;
}

/** Guards against harmless work that is slowed for what its neighbour does. */
test('an image that presses is told from one that runs beside it', t => {
	const estimates = learned();
	t.true(pressOf(estimates, 'lookup', 'heavy') > 3 * pressOf(estimates, 'lookup', 'light'), 'the images are not told apart');
	t.true(pressOf(estimates, 'lookup', 'light') < 0.1, 'the light image is blamed');
});

/** Guards against heartbeats that repeat what the entry knows. */
test('an estimate is reported once, and again only when it changed', t => {
	const estimates = learned();
	const first = changedPress(estimates, immutableMap());
	t.is(first.reports.length, 2);
	t.deepEqual(changedPress(estimates, first.reported).reports, []);
	const entry = mergePress(noPressEstimates, first.reports);
	t.true(pressOf(entry, 'lookup', 'heavy') > 2 * pressOf(entry, 'lookup', 'light'));
});
