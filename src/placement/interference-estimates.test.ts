import test from 'ava';
import {updateInterference, noInterferenceEstimates} from './interference-estimates.js';

// Guards against pairs of many kinds of work that grow without limit, or that evict the pairs with the most samples.
test('beyond the limit the pairs with the fewest samples are evicted, and the one with the most stays', t => {
	const pairOf = (name: string) => [{name, isService: false, count: 1}, {name: 'task/harmed', isService: false, count: 1}];
	let estimates = noInterferenceEstimates;
	for (let index = 0; index < 3; index++) {
		estimates = updateInterference(estimates, {
			harmedKind: 'task/harmed', harmMilli: 500, kinds: pairOf('task/often'), loadBand: 1,
		});
	}

	const kinds = [...Array.from({length: 20_001}, (_, index) => ({name: `task/once-${index}`, isService: false, count: 1})), {name: 'task/harmed', isService: false, count: 1}];
	estimates = updateInterference(estimates, {
		harmedKind: 'task/harmed', harmMilli: 0, kinds, loadBand: 1,
	});
	t.is(estimates.byPair.size, 10_000);
	t.is(estimates.byPair.get('1|task/often|task/harmed')?.samples, 3);
});
