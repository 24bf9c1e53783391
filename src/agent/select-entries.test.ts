import test from 'ava';
import {selectEntries} from './select-entries.js';

const ranked = ['a', 'b', 'c', 'd', 'e', 'f'];
const selectedWithout = (unreachable: readonly string[], count = 2) => selectEntries(ranked, {count, usefulnessOf: address => unreachable.includes(address) ? 0 : 1});

test('an agent maintains streams to the best entries only', t => {
	t.deepEqual(selectedWithout([]), ['a', 'b']);
	t.deepEqual(selectedWithout([], 9), ranked);
});

test('an agent whose best entries are unreachable has streams to the next ones and still tries the unreachable ones', t => {
	t.deepEqual(selectedWithout(['a']), ['a', 'b', 'c']);
	t.deepEqual(selectedWithout(['a', 'b', 'c', 'd']), ranked);
	t.deepEqual(selectedWithout(ranked), ranked);
});

test('an unreachable entry of lower rank changes nothing', t => {
	t.deepEqual(selectedWithout(['d', 'e']), ['a', 'b']);
});

test('an outage of the log for all entries at most doubles the streams', t => {
	t.deepEqual(selectEntries(ranked, {count: 2, usefulnessOf: () => 0.5}), ['a', 'b', 'c', 'd']);
});
