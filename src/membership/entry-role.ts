import {type AnnouncementAge} from './announcement-ages.js';
import {chooseDeciders, type DeciderCandidate} from './choose-deciders.js';

/** What an entry does: a decider holds the cluster state and takes part in all decisions, a front relays callers' requests to deciders. */
export type EntryRole = 'decider' | 'front';

/** What an entry has announced of itself. */
export type AnnouncedEntry = DeciderCandidate & Readonly<{
	/** Where a decider takes the relayed requests of fronts. */
	relayAddress: string;
	role: EntryRole;
	/** Offset of the announcement's record, which tells its order among all announcements. */
	offset: number;
	age: AnnouncementAge;
}>;

/** What an entry knows when it decides on its role. */
export type RoleInputs = Readonly<{
	entryId: string;
	deciderCount: number;
	/** All announcements of one read, this entry's included. */
	announced: readonly AnnouncedEntry[];
	/** Deciders that have not served this entry for seconds: they did not answer, or said that they cannot read the log. */
	unavailableIds: ReadonlySet<string>;
	/** When the store last took an announcement of this entry; `-Infinity` before. */
	announcedAtMs: number;
	nowMs: number;
}>;

/** State of an entry's choice of its role; times are of its steady clock. */
export type RoleState = Readonly<{
	role: EntryRole;
	hasRead: boolean;
	/** Since when there have been too few deciders; undefined while there are enough. */
	shortSinceMs: number | undefined;
	/** When the announcements were read first and last; `Infinity` before the first read. */
	firstReadAtMs: number;
	readAtMs: number;
	/** When this entry last found that its reads or announcements do not get through. */
	disturbedAtMs: number;
}>;

export const initialRoleState: RoleState = {
	role: 'front', hasRead: false, shortSinceMs: undefined, firstReadAtMs: Number.POSITIVE_INFINITY, readAtMs: Number.POSITIVE_INFINITY, disturbedAtMs: Number.NEGATIVE_INFINITY,
};

/**
Time for which there must be too few deciders before a front becomes one. All entries of a deployment start within it, so that the largest
ones are chosen, and the announcement of an entry that was just chosen is read within it.
*/
const settleMs = 1200;

/** Time after which one more front becomes a decider: one of those chosen before may be frozen or cut from the store. */
const nextCandidateMs = 4000;

/** Longest time between two reads, and between two announcements of this entry, while the store serves it, slowly perhaps; it reads each 2 s and announces itself each 4 s. */
const maxReadGapMs = 5000;
const maxAnnouncementGapMs = 8000;

/** Time after a disturbance of the store within which the others have announced themselves again. */
const recoveryMs = 5000;

/** Factor on the number of deciders from which on no further one is added while all are announced, so that a fault that all see alike does not make every entry decide. */
const maxDecidersFactor = 2;

/**
Records whether this entry's reads and announcements get through. While they do not, the announcements of all others age as well, so that
they tell nothing of the others.
*/
function recordDisturbance(state: RoleState, {announcedAtMs, nowMs}: RoleInputs): RoleState {
	const firstReadAtMs = Math.min(state.firstReadAtMs, nowMs);
	const isDisturbed = nowMs - state.readAtMs > maxReadGapMs || nowMs - Math.max(announcedAtMs, firstReadAtMs) > maxAnnouncementGapMs;
	return {
		...state, firstReadAtMs, readAtMs: nowMs, disturbedAtMs: isDisturbed ? nowMs : state.disturbedAtMs,
	};
}

function keepRole(state: RoleState): RoleState {
	return {...state, hasRead: true, shortSinceMs: undefined};
}

/** Returns whether an entry that decided in its former life still has its place, because not enough others have announced themselves as deciders since. */
function mayResume(own: AnnouncedEntry | undefined, {announced, deciderCount}: RoleInputs): boolean {
	return own?.role === 'decider' && announced.filter(({role, offset}) => role === 'decider' && offset > own.offset).length < deciderCount;
}

/**
Evaluates the role of an entry after a read of the announcements. A decider stays one until its process ends: two deciders too many cost
processor time and nothing else, since the log decides between them. An entry that decided in its former life does so again unless it was
replaced, so that all entries are back at once after a loss of power.

@example
const next = evaluateRole(state, {entryId: 'edge-1', deciderCount: 4, announced, unavailableIds: new Set(), announcedAtMs, nowMs: performance.now()});
next.role; // => 'front'
*/
export function evaluateRole(before: RoleState, inputs: RoleInputs): RoleState {
	const {entryId, deciderCount, announced, unavailableIds, nowMs} = inputs;
	const own = announced.find(entry => entry.entryId === entryId);
	const state = recordDisturbance(before, inputs);
	if (state.role === 'decider' || (!state.hasRead && mayResume(own, inputs))) {
		return {...keepRole(state), role: 'decider'};
	}

	const fresh = announced.filter(({age}) => age === 'fresh');
	const deciders = fresh.filter(entry => entry.role === 'decider' && entry.entryId !== entryId);
	const available = deciders.filter(decider => !unavailableIds.has(decider.entryId));
	// One that serves only this entry not is of use to others; when few serve it, it does not wait for the announcements of the others to expire.
	const present = 2 * available.length < deciders.length ? available : deciders;
	if (present.length >= deciderCount || deciders.length >= maxDecidersFactor * deciderCount || nowMs - state.disturbedAtMs < recoveryMs) {
		return keepRole(state);
	}

	const shortSinceMs = state.shortSinceMs ?? nowMs;
	const next: RoleState = {...state, hasRead: true, shortSinceMs};
	if (!own || nowMs - shortSinceMs < settleMs) {
		return next;
	}

	const count = deciderCount - present.length + Math.floor((nowMs - shortSinceMs) / nextCandidateMs);
	const candidates = fresh.filter(entry => entry.role === 'front' || entry.entryId === entryId);
	return chooseDeciders(candidates, {count, present}).includes(entryId) ? {...keepRole(next), role: 'decider'} : next;
}
