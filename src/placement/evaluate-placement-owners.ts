import {type Map as ImmutableMap} from 'immutable';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type EntryContext} from '../entry/entry-context.js';
import {
	firstUpToDate, placementRankOf, placementSubjectOf, unfinishedSubjects,
} from './placement-owner.js';

/** Offset of the newest record of each placement owner, and when this entry first read it. */
export type OwnersSeen = ImmutableMap<string, Readonly<{lastOffset: number; atMs: number}>>;

/** The placement owners of one pass, as this entry evaluates them. */
export type PlacementOwners = Readonly<{
	/** Returns whether this entry is the placement owner of a subject. */
	isOwn: (subject: string) => boolean;
	/** Returns whether this entry may be the placement owner of any queued task, without a scan of all of them. */
	mayHaveAny: () => boolean;
	/** Returns the updated observation of the owners for the next pass; it covers the subjects evaluated in this one. */
	ownersSeen: () => OwnersSeen;
}>;

/**
Evaluates for one pass which entry is the placement owner of each subject: the first one by rank that writes records and is not behind with
the log. An entry that is behind would place by an old state, and claims of several entries at once would conflict with each other. All entries
therefore evaluate the same records in the log, and only the next one by rank takes over. When all of them are behind, the first one that
writes is the owner.

@example
const owners = evaluatePlacementOwners(state.ownersSeen, context);
owners.isOwn('loaf-orders'); // => false
*/
export function evaluatePlacementOwners(ownersSeenBefore: OwnersSeen, context: EntryContext): PlacementOwners {
	const {cluster, incarnation, settings, nowMs, tailConfirmedSentAtMs} = context;
	const decided = new Map<string, boolean>();
	let ownersSeen = withoutEndedEntries(ownersSeenBefore, cluster);

	function hasStoppedWriting(owner: string): boolean {
		// A queued task does not show that its owner has failed, since it may lack free resources; only an owner that writes no records is replaced.
		const lastOffset = cluster.entries.get(owner)?.lastOffset ?? -1;
		const seen = ownersSeen.get(owner);
		if (seen?.lastOffset !== lastOffset) {
			ownersSeen = ownersSeen.set(owner, {lastOffset, atMs: nowMs});
			return false;
		}

		// The time counts up to the last confirmed read of the log's tail: an entry that is behind has not read yet what the owner wrote.
		return tailConfirmedSentAtMs - seen.atMs >= settings.timings.placementTakeoverMs;
	}

	function evaluate(subject: string): boolean {
		const ranked = placementRankOf(subject, cluster);
		if (!ranked.includes(incarnation)) {
			return ranked.length === 0;
		}

		return firstUpToDate(ranked.filter(owner => owner === incarnation || !hasStoppedWriting(owner)), cluster) === incarnation;
	}

	function isOwn(subject: string): boolean {
		const isOwner = decided.get(subject) ?? evaluate(subject);
		decided.set(subject, isOwner);
		return isOwner;
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

			// All subjects are evaluated, so that the observation of each owner is updated.
			let hasAny = false;
			for (const subject of unfinishedSubjects(cluster)) {
				hasAny = isOwn(subject) || hasAny;
			}

			return hasAny;
		},
		ownersSeen: () => ownersSeen,
	};
}

function withoutEndedEntries(ownersSeen: OwnersSeen, {entries}: ClusterState): OwnersSeen {
	return ownersSeen.every((_seen, incarnation) => entries.has(incarnation))
		? ownersSeen
		: ownersSeen.filter((_seen, incarnation) => entries.has(incarnation));
}
