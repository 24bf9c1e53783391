import {type Map as ImmutableMap} from 'immutable';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type EntryContext} from '../entry/entry-context.js';
import {
	firstUpToDate, placementRankOf, placementSubjectOf, unfinishedSubjects,
} from './placement-owner.js';

/** When this entry last saw another record of each entry that places tasks. */
export type OwnersSeen = ImmutableMap<string, Readonly<{lastOffset: number; atMs: number}>>;

/** Whose turn it is to place tasks, as one entry judges it in one pass. */
export type PlacementOwners = Readonly<{
	/** Tells whether this entry places the tasks of a subject. */
	isOwn: (subject: string) => boolean;
	/** Tells whether any queued task may be this entry's to place, without a look at all of them. */
	mayHaveAny: () => boolean;
	/** The observation of the owners for the next pass, after the subjects that were asked for. */
	ownersSeen: () => OwnersSeen;
}>;

/**
Judges in one pass whose turn it is to place tasks: the first entry by rank that writes records and has read the log. One that is
behind would place by an old state, and the claims of several at once would be lost against each other, so that all entries judge by
what the log says of each and only the next one takes over. When all of them are behind, the first one that writes places.

@example
const turns = evaluatePlacementOwners(state.ownersSeen, context);
turns.isOwn('loaf-orders'); // => false
*/
export function evaluatePlacementOwners(ownersSeenBefore: OwnersSeen, context: EntryContext): PlacementOwners {
	const {cluster, incarnation, settings, nowMs, tailConfirmedSentAtMs} = context;
	const known = new Map<string, boolean>();
	let ownersSeen = withoutEnded(ownersSeenBefore, cluster);

	function isSilent(owner: string): boolean {
		// A task may wait for room for long; only an owner that writes nothing any more has to be replaced.
		const lastOffset = cluster.entries.get(owner)?.lastOffset ?? -1;
		const seen = ownersSeen.get(owner);
		if (seen?.lastOffset !== lastOffset) {
			ownersSeen = ownersSeen.set(owner, {lastOffset, atMs: nowMs});
			return false;
		}

		// Only a read of the whole log shows silence: an entry that is behind has not read what the owner wrote.
		return tailConfirmedSentAtMs - seen.atMs >= settings.timings.placementTakeoverMs;
	}

	function decide(subject: string): boolean {
		const ranked = placementRankOf(subject, cluster);
		if (!ranked.includes(incarnation)) {
			return ranked.length === 0;
		}

		return firstUpToDate(ranked.filter(owner => owner === incarnation || !isSilent(owner)), cluster) === incarnation;
	}

	function isOwn(subject: string): boolean {
		const isKnownOwn = known.get(subject) ?? decide(subject);
		known.set(subject, isKnownOwn);
		return isKnownOwn;
	}

	return {
		isOwn,
		mayHaveAny() {
			for (const taskIds of cluster.queued.values()) {
				const oldestId: string | undefined = taskIds.keySeq().first();
				const oldest = oldestId === undefined ? undefined : cluster.tasks.get(oldestId);
				if (oldest && isOwn(placementSubjectOf(oldest, cluster))) {
					return true;
				}
			}

			// All subjects are looked at, so that the silence of each owner is noted.
			let hasTurn = false;
			for (const subject of unfinishedSubjects(cluster)) {
				hasTurn = isOwn(subject) || hasTurn;
			}

			return hasTurn;
		},
		ownersSeen: () => ownersSeen,
	};
}

function withoutEnded(ownersSeen: OwnersSeen, {entries}: ClusterState): OwnersSeen {
	return ownersSeen.every((_seen, incarnation) => entries.has(incarnation))
		? ownersSeen
		: ownersSeen.filter((_seen, incarnation) => entries.has(incarnation));
}
