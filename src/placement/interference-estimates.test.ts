import test from 'ava';
import {learnInterference, noInterferenceEstimates} from './interference-estimates.js';

// Many kinds of work would fill the memory with pairs, or push out the pairs that were sampled most.
test('beyond the limit the least sampled pairs are dropped, and the most sampled one stays', t => {
	const pairOf = (name: string) => [{name, isService: false, count: 1}, {name: 'task/harmed', isService: false, count: 1}];
	let estimates = noInterferenceEstimates;
	for (let index = 0; index < 3; index++) {
		estimates = learnInterference(estimates, {
			harmedKind: 'task/harmed', harmMilli: 500, kinds: pairOf('task/often'), loadBand: 1,
		});
	}

	const kinds = [...Array.from({length: 20_001}, (_, index) => ({name: `task/once-${index}`, isService: false, count: 1})), {name: 'task/harmed', isService: false, count: 1}];
	estimates = learnInterference(estimates, {
		harmedKind: 'task/harmed', harmMilli: 0, kinds, loadBand: 1,
	});
	t.is(estimates.byPair.size, 10_000);
	t.is(estimates.byPair.get('1|task/often|task/harmed')?.samples, 3);
});
