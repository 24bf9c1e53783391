import test from 'ava';
import {rankEntries} from './rank-entries.js';

const small = ['a', 'b', 'c', 'd', 'e', 'f'].map(entryId => ({entryId, processorsMilli: 324}));
const large = ['g', 'h', 'i'].map(entryId => ({entryId, processorsMilli: 1350}));

test('work that belongs to one entry never goes to a small VM while a large one lives', t => {
	for (let subject = 0; subject < 50; subject++) {
		const ranked = rankEntries([...small, ...large], `service-${subject}`);
		t.deepEqual(ranked.slice(0, 3).map(({processorsMilli}) => processorsMilli), [1350, 1350, 1350]);
		t.is(ranked.length, 9);
	}
});

test('subjects spread over the large VMs, and over the small ones when no large one is left', t => {
	const subjects = Array.from({length: 200}, (_, index) => `service-${index}`);
	t.is(new Set(subjects.map(subject => rankEntries([...small, ...large], subject)[0]!.entryId)).size, large.length);
	t.is(new Set(subjects.map(subject => rankEntries(small, subject)[0]!.entryId)).size, small.length);
});

test('the order of the entries does not matter', t => {
	t.deepEqual(rankEntries([...large, ...small], 's'), rankEntries([...small, ...large].toReversed(), 's'));
});
