import {type ClusterState} from '../cluster/cluster-state.js';
import {type Job} from '../cluster/intent.js';
import {type ControlEffect} from '../entry/control-effect.js';
import {type EntrySettings} from '../settings/entry-settings.js';
import {arrivingMilliOf} from './accepted-work.js';
import {type AdmissionState} from './admission-state.js';
import {evaluateFloor, recordUse, type HolderKind} from './capacity-shares.js';
import {estimateEnd, type EndEstimate} from './estimate-end.js';
import {abandonedFactor, jobObjectiveMs} from './job-objective.js';
import {jobWorkOf, type JobWork} from './job-work.js';
import {poolKeyOf, type Backlog} from './measure-backlog.js';
import {recordRefusal} from './refusal-periods.js';
import {type RunTimes} from './run-times.js';
import {
	mayRefuseSize, recordAsked, recordRefused, sizeClassOf, type SizeClass,
} from './size-classes.js';
import {
	isPromiseDue, minRetryAfterMs, promiseSlot, retryAfterMsOf,
} from './slot-promises.js';
import {noWork, workUpTo} from './sorted-work.js';
import {acceptedBeside, addUnreadJob} from './unread-jobs.js';

/** Inputs of a decision. */
export type AdmissionInputs = Readonly<{
	cluster: ClusterState;
	settings: EntrySettings['jobAdmission'];
	runTimes: RunTimes;
	/** Failure domain of the entry that the caller reached; undefined when an entry of an earlier version relayed the call. */
	callerFailureDomain: string | undefined;
	nowMs: number;
	wallTimeMs: number;
}>;

/** Why a job is accepted. */
export type AcceptanceReason = 'not-limited' | 'no-evidence' | 'fits-now' | 'in-time' | 'promised' | 'floor' | 'size-share';

/** The decision on a job. */
export type AdmissionVerdict
	= | Readonly<{isAccepted: true; why: AcceptanceReason; job: Job}>
		| Readonly<{isAccepted: false; retryAfterMs: number; reason: string}>;

/** The decision on a job with the state and the effects of having made it. */
export type AdmissionDecision = Readonly<{state: AdmissionState; verdict: AdmissionVerdict; effects: readonly ControlEffect[]}>;

/** The job with what the decision reads of it. */
type Candidate = Readonly<{
	job: Job;
	queue: string;
	work: JobWork;
	poolKey: string;
	backlog: Backlog;
	sizeClass: SizeClass | undefined;
	objectiveMs: number;
	/** Time since the caller's first attempt. */
	elapsedMs: number;
}>;

/** Share of the capacity that floors of others may keep from a job at most, in thousandths, so that estimates stay near the capacity. */
const maxHeldMilli = 500;

/**
Decides whether to accept a new job. It handles bursts of jobs that exceed the capacity of the workers for longer than callers wait: a job that would end
later than three times its objective is refused at once, so that its caller can turn elsewhere or come back when there is capacity, and its tasks do not
take capacity from jobs that are still wanted. All others are accepted, and so is any job for which there is no evidence.

The state must have been measured recently (`refreshAdmission`), and the job must not be known.

@example
const {verdict, state} = decideAdmission(admission, job, {cluster, settings, runTimes, callerFailureDomain: 'a', nowMs, wallTimeMs});
*/
export function decideAdmission(state: AdmissionState, job: Job, inputs: AdmissionInputs): AdmissionDecision {
	const candidate = candidateOf(state, job, inputs);
	if (typeof candidate === 'string') {
		return {state, verdict: {isAccepted: true, why: candidate, job}, effects: []};
	}

	const asked = state.promises.has(job.jobId) ? state : {...state, sizes: recordAsked(state.sizes, {...candidate, work: candidate.work.work, nowMs: inputs.nowMs})};
	const evaluation = evaluate(asked, candidate, inputs);
	const why = reasonToAccept(asked, candidate, evaluation, inputs);
	return why === undefined ? refuse(asked, candidate, evaluation, inputs) : accept(asked, candidate, why, inputs);
}

/** Returns why a job needs no estimate, or what the estimate reads. */
function candidateOf(state: AdmissionState, job: Job, {settings, runTimes, nowMs}: AdmissionInputs): Candidate | AcceptanceReason {
	const {workflow} = job;
	const work = workflow && jobWorkOf(workflow, runTimes);
	if (!workflow?.objective || workflow.schedule !== undefined || work === undefined) {
		return 'not-limited';
	}

	const poolKey = poolKeyOf(workflow.service, work.capacityKind);
	const backlog = state.measured.backlogs.get(poolKey);
	if (!backlog || backlog.capacityMilli <= 0 || work.sampleCount < settings.minMeasuredEnds) {
		return 'no-evidence';
	}

	const {queue} = workflow;
	const promise = state.promises.get(job.jobId);
	return {
		job,
		queue,
		work,
		poolKey,
		backlog,
		sizeClass: sizeClassOf(state.sizes, queue, work.work),
		objectiveMs: jobObjectiveMs(workflow.objective, work.declaredPathMs),
		elapsedMs: promise ? nowMs - promise.firstAskedAtMs : 0,
	};
}

type HolderOfFloor = Readonly<{kind: HolderKind; floorMilli: number; holder: string | undefined}>;

function holdersOf({queue, sizeClass}: Candidate, {settings, callerFailureDomain}: AdmissionInputs): readonly HolderOfFloor[] {
	return [
		{kind: 'queue', floorMilli: settings.queueFloorMilli, holder: queue},
		{kind: 'failure-domain', floorMilli: settings.failureDomainFloorMilli, holder: callerFailureDomain},
		{kind: 'size', floorMilli: settings.largeFloorMilli, holder: sizeClass === 'other' ? undefined : sizeClass},
	];
}

type Evaluation = Readonly<{
	estimate: EndEstimate;
	/** Time until the job would end behind all jobs that were promised capacity before it, whatever their size. */
	endsAfterPromisedInMs: number;
	isWithinFloor: boolean;
}>;

function evaluate(state: AdmissionState, candidate: Candidate, inputs: AdmissionInputs): Evaluation {
	const {backlog, job, work, poolKey} = candidate;
	const deciderCount = Math.max(1, inputs.cluster.entries.size);
	// Each decider counts what it accepts itself, and so against its share of the capacity.
	const capacityMilli = backlog.capacityMilli / deciderCount;
	const floors = holdersOf(candidate, inputs).map(({kind, floorMilli, holder}) =>
		evaluateFloor(state.shares, {
			poolKey, floor: {kind, floorMilli}, holder, work: work.work, capacityMilli, nowMs: inputs.nowMs,
		}));
	const heldMilli = floors.reduce((sum, {heldByOthersMilli}) => sum + heldByOthersMilli, 0);
	const accepted = acceptedBeside(state.unread, {poolKey, work: work.work, deciderCount});
	const arrivingMilli = arrivingMilliOf(state.measured.rates, {poolKey, priority: job.priority, work: work.work});
	const ownPromise = state.promises.get(job.jobId);
	const ownWork = ownPromise?.holdsCapacity ? ownPromise.work : 0;
	const estimateAfter = (promisedWork: number): EndEstimate => estimateEnd({
		backlog,
		priority: job.priority,
		job: work,
		beside: {accepted, promisedWork: Math.max(0, promisedWork - ownWork)},
		arrivingMilli,
		heldShareMilli: Math.min(maxHeldMilli, heldMilli),
	});
	return {
		// Larger jobs go behind this one when their callers come back.
		estimate: estimateAfter(workUpTo(state.measured.promised.get(poolKey) ?? noWork, work.work).work),
		endsAfterPromisedInMs: estimateAfter(state.measured.promisedWork.get(poolKey) ?? 0).endsInMs,
		isWithinFloor: floors.some(floor => floor.isWithinFloor),
	};
}

/** Returns why to accept a job; undefined when it is refused. */
function reasonToAccept(state: AdmissionState, {job, queue, sizeClass, work, objectiveMs, elapsedMs}: Candidate, {estimate, isWithinFloor}: Evaluation, {settings, nowMs}: AdmissionInputs): AcceptanceReason | undefined {
	const allowedMs = (abandonedFactor * objectiveMs) - elapsedMs;
	// A caller who comes back so late that the job cannot be of use takes no capacity from jobs that wait.
	if (work.pathMs <= allowedMs ? estimate.fitsNow : estimate.fitsBesideAll) {
		return 'fits-now';
	}

	if (estimate.endsInMs <= allowedMs) {
		return 'in-time';
	}

	const promise = state.promises.get(job.jobId);
	if (promise && isPromiseDue(promise, nowMs) && work.pathMs <= allowedMs) {
		return 'promised';
	}

	if (isWithinFloor) {
		return 'floor';
	}

	// A job that was counted as refused before is no further refusal.
	return promise !== undefined || mayRefuseSize(state.sizes, {queue, sizeClass, limitMilli: settings.largeRefusalLimitMilli}) ? undefined : 'size-share';
}

function accept(state: AdmissionState, candidate: Candidate, why: AcceptanceReason, inputs: AdmissionInputs): AdmissionDecision {
	const {job, poolKey, work} = candidate;
	const {nowMs} = inputs;
	const promise = state.promises.get(job.jobId);
	return {
		state: {
			...recordUses(state, candidate, work.work, inputs),
			unread: addUnreadJob(state.unread, {
				jobId: job.jobId, poolKey, work: work.work, demandMilli: work.readyDemandMilli, acceptedAtMs: nowMs,
			}),
			promises: state.promises.delete(job.jobId),
		},
		verdict: {isAccepted: true, why, job: promise ? submittedAt(job, promise.firstAskedWallTimeMs) : job},
		effects: promise ? [{kind: 'count-metric', name: 'admission.returned', count: 1}] : [],
	};
}

/** Returns the job with the time of its caller's first attempt, so that the queue order counts the time that its caller has waited. */
function submittedAt(job: Job, wallTimeMs: number): Job {
	const {workflow} = job;
	return workflow?.objective
		? {...job, workflow: {...workflow, objective: {...workflow.objective, submittedAtMs: Math.min(workflow.objective.submittedAtMs, wallTimeMs)}}}
		: job;
}

function recordUses(state: AdmissionState, candidate: Candidate, acceptedWork: number, inputs: AdmissionInputs): AdmissionState {
	let {shares} = state;
	for (const {kind, holder} of holdersOf(candidate, inputs)) {
		shares = holder === undefined
			? shares
			: recordUse(shares, {
				poolKey: candidate.poolKey, kind, holder, acceptedWork, nowMs: inputs.nowMs,
			});
	}

	return {...state, shares};
}

function refuse(state: AdmissionState, candidate: Candidate, {estimate, endsAfterPromisedInMs}: Evaluation, inputs: AdmissionInputs): AdmissionDecision {
	const {
		job, queue, poolKey, work, sizeClass, objectiveMs, elapsedMs,
	} = candidate;
	const {nowMs, wallTimeMs} = inputs;
	const promise = state.promises.get(job.jobId);
	const allowedMs = (abandonedFactor * objectiveMs) - elapsedMs;
	const isEarly = promise !== undefined && !isPromiseDue(promise, nowMs);
	const dueAtMs = isEarly ? promise.dueAtMs : nowMs + retryAfterMsOf({endsInMs: endsAfterPromisedInMs, objectiveMs});
	const recorded = recordRefusal(state.periods, poolKey, {...estimate, allowedMs}, nowMs);
	const next = recordUses(state, candidate, 0, inputs);
	const holdsCapacity = elapsedMs + dueAtMs - nowMs + work.pathMs <= abandonedFactor * objectiveMs;
	const promisedWork = new Map(state.measured.promisedWork).set(poolKey, (state.measured.promisedWork.get(poolKey) ?? 0) + (promise === undefined && holdsCapacity ? work.work : 0));
	return {
		state: {
			...next,
			measured: {...state.measured, promisedWork},
			sizes: promise ? state.sizes : recordRefused(state.sizes, queue, sizeClass),
			promises: promiseSlot(state.promises, job.jobId, {
				poolKey, work: work.work, firstAskedAtMs: promise?.firstAskedAtMs ?? nowMs, firstAskedWallTimeMs: promise?.firstAskedWallTimeMs ?? wallTimeMs, dueAtMs, holdsCapacity,
			}),
			periods: recorded.state,
		},
		verdict: {
			isAccepted: false,
			retryAfterMs: Math.max(minRetryAfterMs, dueAtMs - nowMs),
			reason: `the job was not accepted: it would end in ${Math.round(estimate.endsInMs)} ms, where ${Math.max(0, Math.round(allowedMs))} ms are of use; `
				+ `${Math.round(estimate.aheadWork / 1_000_000)} s of processor time go before it at ${Math.round(estimate.rateMilli / 1000)} processors`,
		},
		effects: recorded.effects,
	};
}
