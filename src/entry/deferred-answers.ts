import {Map} from 'immutable';
import {type AdmissionState} from '../admission/admission-state.js';
import {type AdmissionDecision} from '../admission/decide-admission.js';
import {minRetryAfterMs} from '../admission/slot-promises.js';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState, type TaskPhase} from '../cluster/cluster-state.js';
import {type Job} from '../cluster/intent.js';
import {isStopping} from '../cluster/workflow-progress.js';
import {type ControlEffect, type DeferredAnswer, type Transition} from './control-effect.js';
import {type EntryContext, isLogFresh} from './entry-context.js';
import {type DeferredSubject, type SubmitOrigin} from './entry-event.js';
import {
	advanceProof, hasProofTimedOut, isProven, leastAppliedOffsetOf, type RefusalProof,
} from './refusal-proof.js';

/** Requests of operators and callers that wait until the cluster state holds their outcome, by reply ID. */
export type DeferredAnswers = Map<string, Readonly<{
	subject: DeferredSubject;
	requestedAtMs: number;
	/** Set for a job that is to be refused and was not appended. */
	refusal?: PendingRefusal;
	/** Set for a job whose caller was told that the outcome is unknown: its append may still be under way. */
	isAnswered?: true;
}>>;

/** A refusal that waits for its proof. */
type PendingRefusal = Readonly<{proof: RefusalProof; retryAfterMs: number; reason: string}>;

export const noDeferredAnswers: DeferredAnswers = Map();

/** Refusals that wait for their proof at most; each needs a decision anew once it is proven. */
const maxPendingRefusals = 512;

/** Time from a request for which a job without a known outcome is remembered: callers wait 3 s, retry up to four times, and are told to wait 30 s at most. */
const unknownKeptMs = 60_000;

/** Jobs without a known outcome that are remembered, which bounds the memory and the cost of a page. */
const maxUnknownJobs = 4096;

/** Decides whether to accept jobs. */
export type JobAdmission = Readonly<{
	state: AdmissionState;
	decide: (state: AdmissionState, job: Job, origin: SubmitOrigin) => AdmissionDecision;
	/** Decides by the memory for unfinished jobs alone. */
	decideByMemory: (state: AdmissionState, job: Job) => AdmissionDecision;
}>;

/** A request with the ID under which it is answered. */
export type DeferredRequest = Readonly<{replyId: string; subject: DeferredSubject}>;

/** The new state of the deferred answers with the admission's. */
export type DeferredTransition = Transition<DeferredAnswers> & Readonly<{admission: AdmissionState | undefined}>;

/**
Handles a request that the log decides. Answers at once when the state holds the outcome already, and rejects it when the log's tail
was not read recently. Otherwise appends the record of the request and waits until it is read back. A job that the admission refuses is not appended: its
refusal waits for the proof that no append of it is under way.

@example
const {state, effects} = requestDeferredAnswer(noDeferredAnswers, {replyId: 'reply-1', subject: {kind: 'plan', plan}}, context);
*/
export function requestDeferredAnswer(
	state: DeferredAnswers,
	{replyId, subject}: DeferredRequest,
	context: EntryContext,
	admission?: JobAdmission,
): DeferredTransition {
	const answered = (answer: DeferredAnswer): DeferredTransition => ({state, effects: [{kind: 'answer-deferred', replyId, answer}], admission: admission?.state});
	const decided = decisionOf(subject, context.cluster);
	if (decided) {
		return answered(decided);
	}

	if (!isLogFresh(context)) {
		if (mayBeWritten(state, subject)) {
			return answered(timedOut(context));
		}

		const reason = 'the log service is out of reach, so nothing was written; ask again when status shows the log as reachable';
		return answered({result: 'rejected', offset: context.cluster.offset, reason});
	}

	if (!context.cluster.entries.has(context.incarnation)) {
		// Readers of the log ignore what a writer appends before its registration.
		const reason = 'the log service has not confirmed the registration of this entry yet, so nothing was written; ask again';
		return answered({result: 'rejected', offset: context.cluster.offset, reason});
	}

	const decision = admission && (decideJob(state, subject, admission) ?? decideRepeatedJob(state, subject, admission));
	if (decision?.verdict.isAccepted === false && mayBeWritten(state, subject)) {
		// It is neither true that the job will not run, nor may it be written once more.
		return {
			state, effects: [...decision.effects, {kind: 'answer-deferred', replyId, answer: unproven(decision.verdict, context)}], admission: decision.state,
		};
	}

	if (decision?.verdict.isAccepted !== false) {
		const accepted: DeferredSubject = decision?.verdict.isAccepted ? {...subject, kind: 'job', job: decision.verdict.job} : subject;
		return {
			state: state.set(replyId, {subject: accepted, requestedAtMs: context.nowMs}),
			effects: [...decision?.effects ?? [], {kind: 'append-record', record: recordFor(accepted, context.cluster)}],
			admission: decision?.state ?? admission?.state,
		};
	}

	const {retryAfterMs, reason} = decision.verdict;
	const pending = {subject, requestedAtMs: context.nowMs, refusal: {retryAfterMs, reason, proof: {requestedAtMs: context.nowMs, tailOffset: undefined}}};
	return state.count(({refusal}) => refusal !== undefined) >= maxPendingRefusals
		? {state, effects: [...decision.effects, {kind: 'answer-deferred', replyId, answer: unproven(pending.refusal, context)}], admission: decision.state}
		: {state: state.set(replyId, pending), effects: decision.effects, admission: decision.state};
}

/** Returns the admission's decision on a job; undefined for other subjects, and for a job of which an append may be under way, which is never refused. */
function decideJob(state: DeferredAnswers, subject: DeferredSubject, admission: JobAdmission): AdmissionDecision | undefined {
	return subject.kind === 'job' && !mayBeWritten(state, subject) ? admission.decide(admission.state, subject.job, subject.origin ?? {}) : undefined;
}

/** Returns the decision by memory on a job that another entry may have written and this one has not; undefined for others. */
function decideRepeatedJob(state: DeferredAnswers, subject: DeferredSubject, admission: JobAdmission): AdmissionDecision | undefined {
	return subject.kind === 'job' && !isBeingWritten(state, subject.job.jobId) ? admission.decideByMemory(admission.state, subject.job) : undefined;
}

/** Returns whether an append of a job may be under way, here or at an entry that did not answer; neither 429 nor 503 would then be true. */
function mayBeWritten(state: DeferredAnswers, subject: DeferredSubject): boolean {
	if (subject.kind !== 'job') {
		return false;
	}

	const {job: {jobId}, origin} = subject;
	return (origin?.mayHaveRun ?? false) || isBeingWritten(state, jobId);
}

/** Returns whether this entry is appending a job. */
function isBeingWritten(state: DeferredAnswers, jobId: string): boolean {
	return state.some(({subject: other, refusal}) => other.kind === 'job' && other.job.jobId === jobId && refusal === undefined);
}

/**
Answers the requests whose outcome the cluster state now holds, and with `unknown` those that have waited for `decisionTimeoutMs`. Refuses jobs whose
refusal is proven now, unless there is capacity for them by now.

@example
const {state, effects} = resolveDeferredAnswers(waiting, context);
*/
export function resolveDeferredAnswers(state: DeferredAnswers, context: EntryContext, admission?: JobAdmission): DeferredTransition {
	const leastAppliedOffset = leastAppliedOffsetOf(context);
	const effects: ControlEffect[] = [];
	let next = state;
	let current = admission;
	let unknownJobs = state.count(({isAnswered}) => isAnswered ?? false);
	for (const [replyId, waiting] of state) {
		const {subject, requestedAtMs, refusal, isAnswered} = waiting;
		if (isAnswered) {
			next = decisionOf(subject, context.cluster) !== undefined || context.nowMs - requestedAtMs >= unknownKeptMs ? next.delete(replyId) : next;
			continue;
		}

		const hasTimedOut = context.nowMs - requestedAtMs > context.settings.timings.decisionTimeoutMs;
		const decided = decisionOf(subject, context.cluster);
		const answer = decided ?? (hasTimedOut ? timedOut(context) : undefined);
		if (answer) {
			const isUnknownJob = !decided && !refusal && subject.kind === 'job' && unknownJobs < maxUnknownJobs;
			unknownJobs += isUnknownJob ? 1 : 0;
			next = isUnknownJob ? next.set(replyId, {...waiting, subject: withoutContent(subject), isAnswered: true}) : next.delete(replyId);
			effects.push({kind: 'answer-deferred', replyId, answer});
			continue;
		}

		if (!refusal) {
			continue;
		}

		const proof = advanceProof(refusal.proof, context);
		if (isProven(proof, leastAppliedOffset)) {
			const resolved = resolveRefusal(next, replyId, context, current);
			next = resolved.state;
			effects.push(...resolved.effects);
			current = current && resolved.admission ? {...current, state: resolved.admission} : current;
		} else if (hasProofTimedOut(proof, context.nowMs)) {
			next = next.delete(replyId);
			effects.push({kind: 'count-metric', name: 'admission.unproven', count: 1}, {kind: 'answer-deferred', replyId, answer: unproven(refusal, context)});
		} else if (proof !== refusal.proof) {
			next = next.set(replyId, {...waiting, refusal: {...refusal, proof}});
		}
	}

	return {state: next, effects, admission: current?.state};
}

/** Returns a subject with the ID of its job only, by which a later submission of it is known. */
function withoutContent(subject: DeferredSubject): DeferredSubject {
	if (subject.kind !== 'job') {
		return subject;
	}

	const {workflow, ...job} = subject.job;
	return {...subject, job: {...job, tasks: []}};
}

/** Refuses a job whose refusal is proven, unless a new decision accepts it: the backlog may have drained while the proof was awaited. */
function resolveRefusal(state: DeferredAnswers, replyId: string, context: EntryContext, admission: JobAdmission | undefined): DeferredTransition {
	const {subject, requestedAtMs, refusal} = state.get(replyId)!;
	const decision = admission && decideJob(state, subject, admission);
	if (refusal && decision && !decision.verdict.isAccepted) {
		const retryAfterMs = Math.max(minRetryAfterMs, refusal.retryAfterMs - (context.nowMs - requestedAtMs));
		return {
			state: state.delete(replyId),
			effects: [{kind: 'count-metric', name: 'admission.refused', count: 1}, {
				kind: 'answer-deferred', replyId, answer: {
					result: 'refused', offset: context.cluster.offset, reason: refusal.reason, retryAfterMs,
				},
			}],
			// The job was counted as refused, and its slot promised, by the first decision.
			admission: admission?.state,
		};
	}

	const accepted: DeferredSubject = decision?.verdict.isAccepted ? {...subject, kind: 'job', job: decision.verdict.job} : subject;
	return {
		state: state.set(replyId, {subject: accepted, requestedAtMs}),
		effects: [...decision?.effects ?? [], {kind: 'append-record', record: recordFor(accepted, context.cluster)}],
		admission: decision?.state ?? admission?.state,
	};
}

/** Returns the answer to a job that was not appended here, while another entry may be appending it. */
function unproven({retryAfterMs}: Pick<PendingRefusal, 'retryAfterMs'>, context: EntryContext): DeferredAnswer {
	return {
		result: 'unknown',
		offset: context.cluster.offset,
		reason: 'there is no capacity for the job, and not all entries have shown that they are not writing it to the log; ask again with the same id',
		retryAfterMs,
	};
}

function timedOut(context: EntryContext): DeferredAnswer {
	return {
		result: 'unknown',
		offset: context.cluster.offset,
		reason: 'the log has not confirmed the record yet; ask again with the same id',
	};
}

function recordFor(subject: DeferredSubject, cluster: ClusterState): ClusterRecord {
	switch (subject.kind) {
		case 'plan': {
			return {kind: 'plan-confirmed', plan: subject.plan};
		}

		case 'job': {
			return {kind: 'job-submitted', job: subject.job};
		}

		case 'cancel-job': {
			const taskIds = cluster.workflows.has(subject.jobId) ? undefined : cluster.jobs.get(subject.jobId);
			return taskIds ? {kind: 'tasks-cancelled', taskIds} : {kind: 'job-cancelled', jobId: subject.jobId};
		}
	}
}

const stoppedPhases: ReadonlySet<TaskPhase> = new Set(['cancelling', 'cancelled', 'finished', 'failed', 'unplaceable']);

function decisionOf(subject: DeferredSubject, cluster: ClusterState): DeferredAnswer | undefined {
	switch (subject.kind) {
		case 'plan': {
			const decision = cluster.planDecisions.get(subject.plan.planId);
			return decision && {
				result: decision.accepted ? 'accepted' : 'rejected',
				offset: decision.offset,
				reason: decision.reason,
			};
		}

		case 'job': {
			if (cluster.workflows.has(subject.job.jobId) || cluster.finishedWorkflows.has(subject.job.jobId)) {
				return {result: 'accepted', offset: cluster.offset, reason: ''};
			}

			if (cluster.earlyCancellations.has(subject.job.jobId)) {
				return {result: 'rejected', offset: cluster.offset, reason: `job ${subject.job.jobId} was cancelled before it was submitted; use a new job id`};
			}

			const taskIds = cluster.jobs.get(subject.job.jobId);
			if (!taskIds) {
				return undefined;
			}

			const isSame = subject.job.tasks.every(({taskId}) => taskIds.includes(taskId));
			return isSame
				? {result: 'accepted', offset: cluster.offset, reason: ''}
				: {result: 'rejected', offset: cluster.offset, reason: `job ${subject.job.jobId} exists with other tasks; use a new job id`};
		}

		case 'cancel-job': {
			const run = cluster.workflows.get(subject.jobId);
			if (run) {
				return isStopping(run) ? {result: 'accepted', offset: cluster.offset, reason: ''} : undefined;
			}

			if (cluster.finishedWorkflows.has(subject.jobId)) {
				return {result: 'accepted', offset: cluster.offset, reason: 'the job has ended'};
			}

			if (cluster.earlyCancellations.has(subject.jobId)) {
				return {result: 'accepted', offset: cluster.offset, reason: 'the job is not known; a submission that is still on its way is cancelled'};
			}

			const taskIds = cluster.jobs.get(subject.jobId);
			const isStopped = taskIds?.every(taskId => stoppedPhases.has(cluster.tasks.get(taskId)?.phase ?? 'cancelled'));
			return isStopped ? {result: 'accepted', offset: cluster.offset, reason: ''} : undefined;
		}
	}
}
