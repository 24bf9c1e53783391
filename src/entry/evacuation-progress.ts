import {type ClusterState, type Evacuation} from '../cluster/cluster-state.js';
import {failureDomainLoadOf, newerRequests} from '../cluster/evacuations.js';
import {type EventFields} from '../telemetry/event-log.js';
import {
	type AppendGuard, emptyAppendGuard, mayAppend, pruneAppendGuard,
} from './append-guard.js';
import {type ControlEffect, type Transition} from './control-effect.js';
import {type EntryContext} from './entry-context.js';
import {hasGivenPlacementUp, recordFailedPass, type FailingPlacement} from './failing-placement.js';

/** What an entry has done about evacuations. */
export type EvacuationProgress = Readonly<{
	/** Records that it appended and has not read back. */
	guard: AppendGuard;
	/** When it last logged the evacuations that stand. */
	loggedAtMs: number;
	/** Set while it has not read the operator's topic and therefore places nothing. */
	unread: FailingPlacement | undefined;
}>;

export const initialEvacuationProgress: EvacuationProgress = {guard: emptyAppendGuard, loggedAtMs: Number.NEGATIVE_INFINITY, unread: undefined};

/** Time between two log lines about the evacuations that stand: often enough to follow how many tasks are left. */
const logIntervalMs = 10_000;

/**
Appends the requests and removals that this entry has read from the operator's topic and the log does not hold, and logs the evacuations that stand. All
deciders append them, so that each of them suffices; the log's order and the offsets in the topic decide.

@example
const {state, effects} = tickEvacuations(initialEvacuationProgress, context);
*/
export function tickEvacuations(state: EvacuationProgress, context: EntryContext): Transition<EvacuationProgress> {
	const followed = followUnread(state, context);
	const recorded = recordRequests(followed.state, context);
	const standing = [...context.cluster.configuration.evacuations].filter(([, {isRequested}]) => isRequested);
	return standing.length === 0 || context.nowMs - state.loggedAtMs < logIntervalMs
		? {state: recorded.state, effects: [...followed.effects, ...recorded.effects]}
		: {
			state: {...recorded.state, loggedAtMs: context.nowMs},
			effects: [...followed.effects, ...recorded.effects, ...standing.map(([failureDomain, evacuation]): ControlEffect => ({
				kind: 'log-event', level: 'info', event: 'failure-domain-evacuation-stands', fields: {
					...fieldsOf(context.cluster, failureDomain, evacuation), forMs: ageMsOf(evacuation, context.wallTimeMs),
				},
			}))],
		};
}

/**
Follows for how long the operator's topic has not been read. An entry that cannot read it while it reads the log would otherwise stay the placement
owner of its share of the tasks, which then start nowhere.
*/
function followUnread(state: EvacuationProgress, {evacuationRequests, nowMs, cluster}: EntryContext): Transition<EvacuationProgress> {
	const unread = evacuationRequests === 'unread' ? recordFailedPass(state.unread, {nowMs, offset: cluster.offset}) : undefined;
	return {
		state: {...state, unread},
		effects: unread && hasGivenPlacementUp(unread) && !hasGivenPlacementUp(state.unread)
			? [{
				kind: 'log-event', level: 'warn', event: 'placement-awaits-evacuations', fields: {
					unreadMs: Math.round(unread.untilMs - unread.sinceMs), offset: unread.offset, remedy: 'check that the store answers reads of the operator\'s topic; other entries place meanwhile',
				},
			}]
			: [],
	};
}

function recordRequests(state: EvacuationProgress, context: EntryContext): Transition<EvacuationProgress> {
	const {cluster, evacuationRequests, incarnation, tailConfirmedSentAtMs, nowMs, wallTimeMs} = context;
	// Readers ignore what an entry writes before its own registration.
	if (evacuationRequests === undefined || evacuationRequests === 'unread' || !cluster.entries.has(incarnation)) {
		return {state, effects: []};
	}

	let guard = pruneAppendGuard(state.guard, tailConfirmedSentAtMs);
	const effects: ControlEffect[] = [];
	for (const [failureDomain, {isRequested, requestOffset}] of newerRequests(cluster, evacuationRequests)) {
		const subject = `failure-domain-evacuation/${failureDomain}/${requestOffset}`;
		if (mayAppend(guard, subject, tailConfirmedSentAtMs)) {
			guard = guard.set(subject, nowMs);
			effects.push({
				kind: 'append-record', record: {
					kind: 'failure-domain-evacuation', failureDomain, isRequested, requestOffset, noticedAtMs: Math.max(0, Math.round(wallTimeMs)),
				},
			});
		}
	}

	return {state: {...state, guard}, effects};
}

/**
Returns the log lines about evacuations that began or ended between two states.

@example
logEvacuationChanges(before, after); // => [{kind: 'log-event', event: 'failure-domain-evacuated', …}]
*/
export function logEvacuationChanges(before: ClusterState, after: ClusterState): readonly ControlEffect[] {
	if (before.configuration.evacuations === after.configuration.evacuations) {
		return [];
	}

	return [...after.configuration.evacuations].flatMap(([failureDomain, evacuation]): readonly ControlEffect[] => {
		const former = before.configuration.evacuations.get(failureDomain);
		if ((former?.isRequested ?? false) === evacuation.isRequested) {
			return [];
		}

		return [evacuation.isRequested
			? {
				kind: 'log-event', level: 'warn', event: 'failure-domain-evacuated', fields: fieldsOf(after, failureDomain, evacuation),
			}
			: {
				kind: 'log-event', level: 'info', event: 'failure-domain-returned', fields: {
					...fieldsOf(after, failureDomain, evacuation), refusedClaims: former?.refusedClaims ?? 0, forMs: former && ageMsOf(former, evacuation.noticedAtMs),
				},
			}];
	});
}

function fieldsOf(cluster: ClusterState, failureDomain: string, {requestOffset, offset, refusedClaims}: Evacuation): EventFields {
	return {
		failureDomain, requestOffset, offset, ...failureDomainLoadOf(cluster, failureDomain), refusedClaims,
	};
}

/** Returns for how long an evacuation has stood; undefined when the writer of its record did not tell the time. */
function ageMsOf({noticedAtMs}: Evacuation, wallTimeMs: number): number | undefined {
	return noticedAtMs === 0 ? undefined : Math.max(0, Math.round(wallTimeMs - noticedAtMs));
}
