import test from 'ava';
import {Map as immutableMap} from 'immutable';
import {
	changedLatencyImpacts, updateLatencyImpacts, mergeLatencyImpacts, noLatencyImpactEstimates, latencyImpactOf, latencyImpactReports, type LatencyImpactEstimates,
} from './latency-impact-estimates.js';

/** Returns the estimates of a VM whose serving task runs next to two images, then to the one of little impact, then to both again, and at last to the other one. */
function measuredEstimates(): LatencyImpactEstimates {
	let estimates = noLatencyImpactEstimates;
	const impacts: Readonly<Record<string, number>> = {heavy: 0.6, light: 0.01};
	const uses: ReadonlyArray<ReadonlyMap<string, number>> = [
		...Array.from({length: 20}, () => new Map([['heavy', 3], ['light', 3]])),
		...Array.from({length: 20}, () => new Map([['light', 3]])),
		...Array.from({length: 20}, () => new Map([['heavy', 1], ['light', 3]])),
		...Array.from({length: 20}, () => new Map([['heavy', 1]])),
	];
	for (const filling of uses) {
		const targetRatio = 2.5 - [...filling].reduce((sum, [image, processors]) => sum + (processors * impacts[image]!), 0);
		estimates = updateLatencyImpacts(estimates, [{taskId: 's1', image: 'lookup', targetRatio}], filling);
	}

	return estimates;
}

/** Guards against throttling of work for the latency impact of its neighbour. */
test('the latency impact of an image is not attributed to another one on the same VM', t => {
	const estimates = measuredEstimates();
	t.true(latencyImpactOf(estimates, 'lookup', 'heavy').mean > 3 * latencyImpactOf(estimates, 'lookup', 'light').mean, 'the estimates of the images do not differ enough');
	t.true(latencyImpactOf(estimates, 'lookup', 'light').mean < 0.1, 'the impact is attributed to the light image');
});

/** Guards against heartbeats that repeat what the entry has recorded. */
test('an estimate is reported once, and again only when it changed', t => {
	const estimates = measuredEstimates();
	const first = changedLatencyImpacts(estimates, immutableMap());
	t.is(first.reports.length, 2);
	t.deepEqual(changedLatencyImpacts(estimates, first.reported).reports, []);
	const entry = mergeLatencyImpacts(noLatencyImpactEstimates, first.reports);
	t.true(latencyImpactOf(entry, 'lookup', 'heavy').mean > 2 * latencyImpactOf(entry, 'lookup', 'light').mean);
});

test('the variation of a serving task\'s own load is not attributed to filling work that starts and stops on the same VM', t => {
	let estimates = noLatencyImpactEstimates;
	for (let step = 0; step < 80; step++) {
		const targetRatio = 2.5 + (0.9 * Math.sin(step / 20 * 2 * Math.PI));
		estimates = updateLatencyImpacts(estimates, [{taskId: 's1', image: 'lookup', targetRatio}], new Map(step % 7 < 4 ? [['light', 3]] : []));
	}

	t.true(latencyImpactOf(estimates, 'lookup', 'light').mean < 0.1, `${latencyImpactOf(estimates, 'lookup', 'light').mean}`);
});

test('only the estimates of the pairs that a task forms on a VM are sent to it', t => {
	const estimates = measuredEstimates();
	t.deepEqual(latencyImpactReports(estimates, ['lookup', 'search'], ['heavy']).map(({servingImage, fillingImage}) => [servingImage, fillingImage]), [['lookup', 'heavy']]);
});
