import test from 'ava';
import {selectEntries} from './select-entries.js';

const ranked = ['a', 'b', 'c', 'd', 'e', 'f'];
const wantedWithout = (lost: readonly string[], count = 2) => selectEntries(ranked, {count, useOf: address => lost.includes(address) ? 0 : 1});

test('an agent keeps streams to the best entries only', t => {
	t.deepEqual(wantedWithout([]), ['a', 'b']);
	t.deepEqual(wantedWithout([], 9), ranked);
});

test('an agent whose best entries are lost has streams to the next ones and goes on trying the lost ones', t => {
	t.deepEqual(wantedWithout(['a']), ['a', 'b', 'c']);
	t.deepEqual(wantedWithout(['a', 'b', 'c', 'd']), ranked);
	t.deepEqual(wantedWithout(ranked), ranked);
});

test('an entry that ranks worse being lost changes nothing', t => {
	t.deepEqual(wantedWithout(['d', 'e']), ['a', 'b']);
});

test('an outage of the log for everybody doubles the streams at most', t => {
	t.deepEqual(selectEntries(ranked, {count: 2, useOf: () => 0.5}), ['a', 'b', 'c', 'd']);
});
