import test from 'ava';
import {rankEntries} from './rank-entries.js';

const small = ['a', 'b', 'c', 'd', 'e', 'f'].map(entryId => ({entryId, processorsMilli: 324}));
const large = ['g', 'h', 'i'].map(entryId => ({entryId, processorsMilli: 1350}));

test('no entry on a small VM ranks before one on a large VM, so that the work of a single entry does not overload it', t => {
	for (let subject = 0; subject < 50; subject++) {
		const ranked = rankEntries([...small, ...large], `service-${subject}`);
		t.deepEqual(ranked.slice(0, 3).map(({processorsMilli}) => processorsMilli), [1350, 1350, 1350]);
		t.is(ranked.length, 9);
	}
});

test('subjects are spread over the large VMs, and over the small ones when there is no large one', t => {
	const subjects = Array.from({length: 200}, (_, index) => `service-${index}`);
	t.is(new Set(subjects.map(subject => rankEntries([...small, ...large], subject)[0]!.entryId)).size, large.length);
	t.is(new Set(subjects.map(subject => rankEntries(small, subject)[0]!.entryId)).size, small.length);
});

test('the ranking does not depend on the order in which the entries are given', t => {
	t.deepEqual(rankEntries([...large, ...small], 's'), rankEntries([...small, ...large].toReversed(), 's'));
});
