import {OrderedMap as orderedMap, type OrderedMap} from 'immutable';
import {type ClusterState} from '../cluster/cluster-state.js';
import {isKnownJob} from '../cluster/early-cancellations.js';
import {type Job} from '../cluster/intent.js';
import {type ControlEffect, type Transition} from '../entry/control-effect.js';
import {
	holderOf, jobFootprintBytes, measureHeldBytes, type HeldBytes,
} from './job-footprint.js';

/** A job that this decider has accepted and not read back. */
type UnreadJob = Readonly<{holder: string; bytes: number; acceptedAtMs: number}>;

/** A refused caller that was told to come back, with the time from which there should be memory for its job. */
type ExpectedReturn = Readonly<{holder: string; bytes: number; dueAtMs: number}>;

/** The memory that unfinished jobs take, as far as this decider knows. Each part is bounded; losing it with the process does no harm. */
export type StateBudget = Readonly<{
	measuredAtMs: number;
	held: HeldBytes;
	/** Rate at which ending jobs release memory, in bytes a millisecond. */
	releaseRate: number;
	unread: OrderedMap<string, UnreadJob>;
	expectedReturns: OrderedMap<string, ExpectedReturn>;
	/** When the newest refusal was logged. */
	loggedAtMs: number;
}>;

export const initialStateBudget: StateBudget = {
	measuredAtMs: Number.NEGATIVE_INFINITY,
	held: {totalBytes: 0, bytesByHolder: new Map(), bytesByWorkflow: new Map()},
	releaseRate: 0,
	unread: orderedMap(),
	expectedReturns: orderedMap(),
	loggedAtMs: Number.NEGATIVE_INFINITY,
};

/** Why a job is refused, and when its caller may send it again. */
type Refusal = Readonly<{retryAfterMs: number; reason: string}>;

/** Age up to which a measurement is used. A measurement walks all unfinished jobs. */
const measuredEveryMs = 250;

/** Share of its queue's room that one job may take, so that small jobs are accepted for longer than large ones. */
const jobShare = 1 / 8;

/** A queue or team may hold this many times what is free: one alone two thirds of the memory, and another one always finds some. */
const holderFactor = 2;

/** A job that was not read back after this time is not waited for: its record was refused or lost with an incarnation. */
const unreadKeptMs = 10_000;

/** How long memory is kept for a caller that does not come back at the time it was told. */
const expectedReturnKeptMs = 5000;

/** Share of the free memory that is kept for such callers at most: many may never come back. */
const maxKeptShare = 1 / 2;

/** A caller may come this much earlier, since `Retry-After` is in whole seconds. */
const earlyByMs = 1000;

const logIntervalMs = 10_000;

/** Bounds of the tables: older parts are forgotten. */
const maxExpectedReturns = 2048;
const maxUnread = 4096;

/** Shortest and longest `Retry-After`. */
const minRetryAfterMs = 1000;
const maxRetryAfterMs = 30_000;

/** Weight of the newest measurement in the release rate, which covers the last ten of them. */
const releaseWeight = 0.1;

/** Inputs of a decision. `limitBytes` is the memory that all unfinished jobs may take. */
export type BudgetInputs = Readonly<{cluster: ClusterState; limitBytes: number; nowMs: number}>;

/**
Returns whether a job is so large that it is never accepted.

@example
isTooLargeForBudget(job, 40_000_000); // => false
*/
export function isTooLargeForBudget(job: Job, limitBytes: number): boolean {
	return jobFootprintBytes(job) > holderRoomBytes(limitBytes, 0) * jobShare;
}

/**
Refuses a new job when the memory does not bear it beside all unfinished ones. Every entry that decides holds all of them, so that accepting without a
bound would end them all. A job is refused when it would take more than its share of the room that is left to its queue. Its caller is told when, at the
rate at which jobs end now, there is memory for it behind those that were refused before. The job must not be known.

@example
const {state, effects, refusal} = refuseBeyondBudget(budget, job, {cluster, limitBytes: 40_000_000, nowMs});
*/
export function refuseBeyondBudget(budget: StateBudget, job: Job, {cluster, limitBytes, nowMs}: BudgetInputs): Transition<StateBudget> & Readonly<{refusal: Refusal | undefined}> {
	const state = refresh(budget, cluster, nowMs);
	const {jobId} = job;
	const bytes = jobFootprintBytes(job);
	const holder = holderOf(job);
	const missingBytes = missingBytesOf(state, {jobId, holder, bytes}, {deciderCount: Math.max(1, cluster.entries.size), limitBytes, nowMs});
	if (missingBytes <= 0) {
		return {state, effects: [], refusal: undefined};
	}

	// Those who were refused before go first.
	const releasedBytes = missingBytes + expectedBytes(state, {jobId, holder}, Number.POSITIVE_INFINITY).totalBytes;
	const knownWaitMs = (state.expectedReturns.get(jobId)?.dueAtMs ?? nowMs) - nowMs;
	const retryAfterMs = Math.max(minRetryAfterMs, knownWaitMs, releaseMs(state, releasedBytes));
	const isLogDue = nowMs - state.loggedAtMs >= logIntervalMs;
	return {
		state: {
			...state,
			expectedReturns: withoutOldest(state.expectedReturns.set(jobId, {holder, bytes, dueAtMs: nowMs + retryAfterMs}), maxExpectedReturns),
			loggedAtMs: isLogDue ? nowMs : state.loggedAtMs,
		},
		effects: [
			{kind: 'count-metric', name: 'admission.beyond-memory', count: 1},
			...isLogDue
				? [fullEvent(state, {
					holder, limitBytes, unfinishedJobs: cluster.unfinishedTasksByJob.size, retryAfterMs,
				})]
				: [],
		],
		refusal: {
			retryAfterMs,
			reason: `the unfinished jobs take all the memory that they may: the job needs ${bytes} bytes, and ${Math.ceil(missingBytes)} more must become free before it is accepted`,
		},
	};
}

function fullEvent({held, releaseRate}: StateBudget, fields: Readonly<{holder: string; limitBytes: number; unfinishedJobs: number; retryAfterMs: number}>): ControlEffect {
	return {
		kind: 'log-event', level: 'warn', event: 'job-memory-full', fields: {
			...fields, heldBytes: held.totalBytes, holderBytes: held.bytesByHolder.get(fields.holder) ?? 0, releasedBytesPerS: Math.round(1000 * releaseRate),
		},
	};
}

/**
Records that a job was accepted, whose memory counts from now on.

@example
const next = recordAcceptedJob(budget, job, nowMs);
*/
export function recordAcceptedJob(budget: StateBudget, job: Job, nowMs: number): StateBudget {
	const {jobId} = job;
	const unread = budget.unread.set(jobId, {holder: holderOf(job), bytes: jobFootprintBytes(job), acceptedAtMs: nowMs});
	return {...budget, unread: withoutOldest(unread, maxUnread), expectedReturns: budget.expectedReturns.delete(jobId)};
}

/** Returns the time in which ending jobs release so much memory; the longest that callers are told when none end. */
function releaseMs({releaseRate}: StateBudget, bytes: number): number {
	return releaseRate <= 0 ? maxRetryAfterMs : Math.min(maxRetryAfterMs, Math.ceil(bytes / releaseRate));
}

/** Bytes in all, and those of one holder. */
type Sums = Readonly<{totalBytes: number; ofHolderBytes: number}>;

function sumBytes(parts: Iterable<Readonly<{holder: string; bytes: number}>>, holder: string): Sums {
	let totalBytes = 0;
	let ofHolderBytes = 0;
	for (const part of parts) {
		totalBytes += part.bytes;
		ofHolderBytes += part.holder === holder ? part.bytes : 0;
	}

	return {totalBytes, ofHolderBytes};
}

/** Returns the memory that callers need who were told to come back by then, without the one of a job. */
function expectedBytes({expectedReturns}: StateBudget, {jobId, holder}: Readonly<{jobId: string; holder: string}>, untilMs: number): Sums {
	return sumBytes(expectedReturns.filter(({dueAtMs}, otherId) => otherId !== jobId && dueAtMs <= untilMs).values(), holder);
}

/** Returns how much more a holder may take, until it holds `holderFactor` times what is then free. */
function holderRoomBytes(freeBytes: number, holderBytes: number): number {
	return ((holderFactor * freeBytes) - holderBytes) / (1 + holderFactor);
}

/** Returns how much memory must become free before the job may be accepted; 0 or less when it may be now. */
function missingBytesOf(
	state: StateBudget,
	{jobId, holder, bytes}: Readonly<{jobId: string; holder: string; bytes: number}>,
	{deciderCount, limitBytes, nowMs}: Readonly<{deciderCount: number; limitBytes: number; nowMs: number}>,
): number {
	const isDue = (state.expectedReturns.get(jobId)?.dueAtMs ?? Number.POSITIVE_INFINITY) <= nowMs + earlyByMs;
	// Others may accept as much before their records are read, so that each decider uses its part of what is free.
	const unread = sumBytes(state.unread.values(), holder);
	const unusedBytes = Math.max(0, limitBytes - state.held.totalBytes - (deciderCount * unread.totalBytes));
	const expected = isDue ? {totalBytes: 0, ofHolderBytes: 0} : expectedBytes(state, {jobId, holder}, nowMs + earlyByMs);
	const keptShare = Math.min(1, maxKeptShare * unusedBytes / Math.max(1, expected.totalBytes));
	const freeBytes = unusedBytes - (keptShare * expected.totalBytes);
	const holderBytes = (state.held.bytesByHolder.get(holder) ?? 0) + (deciderCount * unread.ofHolderBytes) + (keptShare * expected.ofHolderBytes);
	return (bytes / jobShare) - holderRoomBytes(freeBytes, holderBytes);
}

function refresh(budget: StateBudget, cluster: ClusterState, nowMs: number): StateBudget {
	if (nowMs - budget.measuredAtMs < measuredEveryMs) {
		return budget;
	}

	return {
		...budget,
		measuredAtMs: nowMs,
		held: measureHeldBytes(cluster),
		releaseRate: releaseRateOf(budget, cluster, nowMs),
		unread: budget.unread.filter(({acceptedAtMs}, jobId) => nowMs - acceptedAtMs <= unreadKeptMs && !isKnownJob(cluster, jobId)),
		expectedReturns: budget.expectedReturns.filter(({dueAtMs}) => nowMs - dueAtMs <= expectedReturnKeptMs),
	};
}

function releaseRateOf({held, measuredAtMs, releaseRate}: StateBudget, cluster: ClusterState, nowMs: number): number {
	let releasedBytes = 0;
	for (const [jobId, bytes] of held.bytesByWorkflow) {
		releasedBytes += cluster.workflows.has(jobId) ? 0 : bytes;
	}

	const intervalMs = nowMs - measuredAtMs;
	// Measurements are made when jobs arrive; a long pause between them counts as the many that it stands for.
	const weight = 1 - ((1 - releaseWeight) ** (intervalMs / measuredEveryMs));
	return releaseRate + (weight * ((releasedBytes / intervalMs) - releaseRate));
}

function withoutOldest<Value>(map: OrderedMap<string, Value>, maxSize: number): OrderedMap<string, Value> {
	const oldest = map.size > maxSize ? map.keySeq().first() : undefined;
	return oldest === undefined ? map : map.delete(oldest);
}
