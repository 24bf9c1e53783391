import {rankByRendezvous} from './rendezvous.js';

/** The properties that an entry is ranked by. */
export type RankableEntry = Readonly<{entryId: string; processorsMilli: number}>;

/** Entries with less than this share of the processors of the largest entry rank after all others. */
const minLargeEntryShare = 0.5;

/**
Ranks entries for a subject, best first. Entries on large VMs come before those on small ones, because work that a single entry does
for all would overload a small VM. Within each group, entries are ranked by rendezvous hash. Every process computes the same order from the same entries.

@param entries with `processorsMilli`, the processors of their VM in thousandths.

@example
rankEntries([{entryId: 'a', processorsMilli: 300}, {entryId: 'b', processorsMilli: 1350}], 'loaf-orders'); // => b, a
*/
export function rankEntries<Entry extends RankableEntry>(entries: Iterable<Entry>, subject: string): readonly Entry[] {
	const byId = new Map([...entries].map(entry => [entry.entryId, entry]));
	const largestMilli = Math.max(0, ...[...byId.values()].map(({processorsMilli}) => processorsMilli));
	const ranked = rankByRendezvous(byId.keys(), subject).map(entryId => byId.get(entryId)!);
	const isLarge = ({processorsMilli}: Entry): boolean => processorsMilli >= minLargeEntryShare * largestMilli;
	return [...ranked.filter(entry => isLarge(entry)), ...ranked.filter(entry => !isLarge(entry))];
}
