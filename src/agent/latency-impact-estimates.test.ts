import test from 'ava';
import {Map as immutableMap} from 'immutable';
import {
	changedLatencyImpacts, updateLatencyImpacts, mergeLatencyImpacts, noLatencyImpactEstimates, latencyImpactOf, latencyImpactReports, type LatencyImpactEstimates,
} from './latency-impact-estimates.js';

/** Learns from a VM whose serving task bears two images alike, then only the harmless one, and then only the other. */
function learned(): LatencyImpactEstimates {
	let estimates = noLatencyImpactEstimates;
	const press: Readonly<Record<string, number>> = {heavy: 0.6, light: 0.01};
	const moments: ReadonlyArray<ReadonlyMap<string, number>> = [
		...Array.from({length: 20}, () => new Map([['heavy', 3], ['light', 3]])),
		...Array.from({length: 20}, () => new Map([['light', 3]])),
		...Array.from({length: 20}, () => new Map([['heavy', 1], ['light', 3]])),
		...Array.from({length: 20}, () => new Map([['heavy', 1]])),
	];
	for (const filling of moments) {
		const targetRatio = 2.5 - [...filling].reduce((sum, [image, processors]) => sum + (processors * press[image]!), 0);
		estimates = updateLatencyImpacts(estimates, [{taskId: 's1', image: 'lookup', targetRatio}], filling);
	}

	return estimates;
}

/** Guards against harmless work that is slowed for what its neighbour does. */
test('an image that presses is told from one that runs beside it', t => {
	const estimates = learned();
	t.true(latencyImpactOf(estimates, 'lookup', 'heavy').mean > 3 * latencyImpactOf(estimates, 'lookup', 'light').mean, 'the images are not told apart');
	t.true(latencyImpactOf(estimates, 'lookup', 'light').mean < 0.1, 'the light image is blamed');
});

/** Guards against heartbeats that repeat what the entry knows. */
test('an estimate is reported once, and again only when it changed', t => {
	const estimates = learned();
	const first = changedLatencyImpacts(estimates, immutableMap());
	t.is(first.reports.length, 2);
	t.deepEqual(changedLatencyImpacts(estimates, first.reported).reports, []);
	const entry = mergeLatencyImpacts(noLatencyImpactEstimates, first.reports);
	t.true(latencyImpactOf(entry, 'lookup', 'heavy').mean > 2 * latencyImpactOf(entry, 'lookup', 'light').mean);
});

test('the swing of a serving task\'s own load is not blamed on work that comes and goes beside it', t => {
	let estimates = noLatencyImpactEstimates;
	for (let step = 0; step < 80; step++) {
		const targetRatio = 2.5 + (0.9 * Math.sin(step / 20 * 2 * Math.PI));
		estimates = updateLatencyImpacts(estimates, [{taskId: 's1', image: 'lookup', targetRatio}], new Map(step % 7 < 4 ? [['light', 3]] : []));
	}

	t.true(latencyImpactOf(estimates, 'lookup', 'light').mean < 0.1, `${latencyImpactOf(estimates, 'lookup', 'light').mean}`);
});

test('a VM is told only of the pairs that a task makes there', t => {
	const estimates = learned();
	t.deepEqual(latencyImpactReports(estimates, ['lookup', 'search'], ['heavy']).map(({servingImage, fillingImage}) => [servingImage, fillingImage]), [['lookup', 'heavy']]);
});
