import test from 'ava';
import {chooseDeciders, type DeciderCandidate} from './choose-deciders.js';

const domains = ['a', 'b', 'c', 'd', 'e', 'f'];
const large = domains.flatMap(failureDomain => ['1', '2', '3'].map((number): DeciderCandidate => ({entryId: `large-${failureDomain}-${number}`, processorsMilli: 1350, failureDomain})));
const small = domains.flatMap(failureDomain => ['1', '2', '3'].map((number): DeciderCandidate => ({entryId: `small-${failureDomain}-${number}`, processorsMilli: 324, failureDomain})));
const domainOf = (entryId: string): string => entryId.split('-')[1]!;

test('no small VM holds the state while a large one could, so that the state of a whole site does not saturate it', t => {
	const chosen = chooseDeciders([...small, ...large], {count: 18, present: []});
	t.is(chosen.length, 18);
	t.true(chosen.every(entryId => entryId.startsWith('large')));
});

test('the loss of a failure domain takes one decider of four', t => {
	const chosen = chooseDeciders([...small, ...large], {count: 4, present: []});
	t.is(new Set(chosen.map(entryId => domainOf(entryId))).size, 4);
});

test('a decider that replaces another one is not chosen next to those that are left', t => {
	const present = large.filter(({entryId}) => ['large-a-1', 'large-b-1', 'large-c-1'].includes(entryId));
	const [chosen] = chooseDeciders(large.filter(entry => !present.includes(entry)), {count: 1, present});
	t.false(['a', 'b', 'c'].includes(domainOf(chosen!)));
});

test('all entries choose the same ones, in whatever order they read them, and all when there are few', t => {
	t.deepEqual(chooseDeciders([...small, ...large], {count: 4, present: []}), chooseDeciders([...large.toReversed(), ...small], {count: 4, present: []}));
	t.is(chooseDeciders(small.slice(0, 3), {count: 4, present: []}).length, 3);
});
