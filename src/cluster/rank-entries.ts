import {rankByRendezvous} from './rendezvous.js';

/** What an entry is ranked by. */
export type RankableEntry = Readonly<{entryId: string; processorsMilli: number}>;

/** An entry with less than this part of the processors of the largest one takes over only when no larger one is left. */
const strongShare = 0.5;

/**
Ranks entries for a subject, best first: entries on large VMs before those on small ones, which would be overloaded by work that
belongs to one entry, and within each group by rendezvous hash. Every process computes the same order from the same entries.

@param processorsMilli of an entry: processors in thousandths.

@example
rankEntries([{entryId: 'a', processorsMilli: 300}, {entryId: 'b', processorsMilli: 1350}], 'loaf-orders'); // => b, a
*/
export function rankEntries<Entry extends RankableEntry>(entries: Iterable<Entry>, subject: string): readonly Entry[] {
	const byId = new Map([...entries].map(entry => [entry.entryId, entry]));
	const largestMilli = Math.max(0, ...[...byId.values()].map(({processorsMilli}) => processorsMilli));
	const ranked = rankByRendezvous(byId.keys(), subject).map(entryId => byId.get(entryId)!);
	const isStrong = ({processorsMilli}: Entry): boolean => processorsMilli >= strongShare * largestMilli;
	return [...ranked.filter(entry => isStrong(entry)), ...ranked.filter(entry => !isStrong(entry))];
}
