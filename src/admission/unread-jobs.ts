import {type ClusterState} from '../cluster/cluster-state.js';
import {isKnownJob} from '../cluster/early-cancellations.js';
import {type WorkSum} from './sorted-work.js';

/** A job that this decider has accepted and not read back when the backlogs were measured. */
export type UnreadJob = WorkSum & Readonly<{jobId: string; poolKey: string; acceptedAtMs: number}>;

/** A job that was not read back after this time is not waited for: its record was refused or lost with an incarnation. */
const forgottenAfterMs = 10_000;

const maxUnreadJobs = 4096;

/**
Adds an accepted job.

@example
addUnreadJob([], {jobId: 'bake-1', poolKey: 'filling/site', work: 434_000_000, demandMilli: 70_000, acceptedAtMs: nowMs});
*/
export function addUnreadJob(unread: readonly UnreadJob[], job: UnreadJob): readonly UnreadJob[] {
	return [...unread.slice(1 - maxUnreadJobs), job];
}

/**
Returns the jobs that a newly measured backlog does not contain.

@example
pruneUnreadJobs(unread, cluster, nowMs);
*/
export function pruneUnreadJobs(unread: readonly UnreadJob[], cluster: ClusterState, nowMs: number): readonly UnreadJob[] {
	return unread.filter(({jobId, acceptedAtMs}) => nowMs - acceptedAtMs <= forgottenAfterMs && !isKnownJob(cluster, jobId));
}

/**
Returns what all deciders have probably accepted beyond the measured backlog and goes before a job: each decider may use 1 / `deciderCount` of the
capacity that its view shows as left, so that what this one has accepted counts `deciderCount` times.

@param work work of the job; larger jobs do not go before it.

@example
acceptedBeside(unread, {poolKey: 'filling/site', work: 434_000_000, deciderCount: 4}).demandMilli; // => 280_000
*/
export function acceptedBeside(unread: readonly UnreadJob[], {poolKey, work, deciderCount}: Readonly<{poolKey: string; work: number; deciderCount: number}>): WorkSum {
	const sum = {work: 0, demandMilli: 0};
	for (const job of unread) {
		if (job.poolKey === poolKey) {
			sum.work += job.work <= work ? job.work : 0;
			sum.demandMilli += job.demandMilli;
		}
	}

	return {work: sum.work * deciderCount, demandMilli: sum.demandMilli * deciderCount};
}
