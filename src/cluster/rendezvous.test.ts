import test from 'ava';
import fc from 'fast-check';
import {ownerByRendezvous, rankByRendezvous} from './rendezvous.js';

const members = fc.uniqueArray(fc.string({minLength: 1}), {minLength: 1, maxLength: 6});

test('when a member leaves, only its keys move, each to the next member in rank', t => {
	fc.assert(fc.property(members, fc.string(), (list, key) => {
		const ranked = rankByRendezvous(list, key);
		t.is(ownerByRendezvous(list.toReversed(), key), ranked[0]);
		t.deepEqual(rankByRendezvous(list.filter(member => member !== ranked[0]), key), ranked.slice(1));
	}));
});

test('every member owns a fair part of the keys', t => {
	const counts = new Map<string | undefined, number>();
	for (let index = 0; index < 3000; index++) {
		const owner = ownerByRendezvous(['entry-1', 'entry-2', 'entry-3'], `job-${index}`);
		counts.set(owner, (counts.get(owner) ?? 0) + 1);
	}

	t.true([...counts.values()].every(count => count > 800));
});
