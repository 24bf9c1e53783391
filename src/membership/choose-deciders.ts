import {rankEntries, type RankableEntry} from '../cluster/rank-entries.js';

/** An entry that may hold the cluster state. */
export type DeciderCandidate = RankableEntry & Readonly<{failureDomain: string}>;

/** Subject by which entries are ranked for holding the state. */
const decidersSubject = 'deciders';

/**
Chooses the entries that hold the cluster state: large VMs before small ones, and among equally large ones spread over the failure domains,
also of those that hold it already. Every process chooses the same ones from the same candidates.

@param count how many entries to choose; fewer candidates are all chosen.

@example
chooseDeciders([{entryId: 'a', processorsMilli: 1350, failureDomain: 'zone-1'}], {count: 4, present: []}); // => ['a']
*/
export function chooseDeciders(
	available: readonly DeciderCandidate[],
	{count, present}: Readonly<{count: number; present: readonly DeciderCandidate[]}>,
): readonly string[] {
	const entriesByDomain = new Map<string, number>();
	const countOf = ({failureDomain}: DeciderCandidate): number => entriesByDomain.get(failureDomain) ?? 0;
	const add = (entry: DeciderCandidate): void => {
		entriesByDomain.set(entry.failureDomain, countOf(entry) + 1);
	};

	for (const entry of present) {
		add(entry);
	}

	const chosen: string[] = [];
	for (const candidates of bySize(rankEntries(available, decidersSubject))) {
		const remaining = new Set(candidates);
		while (chosen.length < count && remaining.size > 0) {
			const next = [...remaining].toSorted((left, right) => countOf(left) - countOf(right))[0]!;
			add(next);
			chosen.push(next.entryId);
			remaining.delete(next);
		}
	}

	return chosen;
}

/** Groups entries by the size of their VM, the largest first; the order within a group stays. */
function bySize(entries: readonly DeciderCandidate[]): ReadonlyArray<readonly DeciderCandidate[]> {
	const sizes = [...new Set(entries.map(({processorsMilli}) => processorsMilli))].toSorted((left, right) => right - left);
	return sizes.map(size => entries.filter(({processorsMilli}) => processorsMilli === size));
}
