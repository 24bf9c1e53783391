import {Map} from 'immutable';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState, type TaskPhase} from '../cluster/cluster-state.js';
import {isStopping} from '../cluster/workflow-progress.js';
import {type ControlEffect, type DeferredAnswer, type Transition} from './control-effect.js';
import {type EntryContext, isLogFresh} from './entry-context.js';
import {type DeferredSubject} from './entry-event.js';

/** Requests of operators and callers that wait until the cluster state holds their outcome, by reply ID. */
export type DeferredAnswers = Map<string, Readonly<{subject: DeferredSubject; requestedAtMs: number}>>;

export const noDeferredAnswers: DeferredAnswers = Map();

/**
Handles a request that the log decides. Answers at once when the state holds the outcome already, and rejects it when the log's tail
was not read recently. Otherwise appends the record of the request and waits until it is read back.

@example
const {state, effects} = requestDeferredAnswer(noDeferredAnswers, 'reply-1', {kind: 'plan', plan}, context);
*/
export function requestDeferredAnswer(
	state: DeferredAnswers,
	replyId: string,
	subject: DeferredSubject,
	context: EntryContext,
): Transition<DeferredAnswers> {
	const decided = decisionOf(subject, context.cluster);
	if (decided) {
		return {state, effects: [{kind: 'answer-deferred', replyId, answer: decided}]};
	}

	if (!isLogFresh(context)) {
		const reason = 'the log service is out of reach, so nothing was written; ask again when status shows the log as reachable';
		return {state, effects: [{kind: 'answer-deferred', replyId, answer: {result: 'rejected', offset: context.cluster.offset, reason}}]};
	}

	if (!context.cluster.entries.has(context.incarnation)) {
		// Readers of the log ignore what a writer appends before its registration.
		const reason = 'the log service has not confirmed the registration of this entry yet, so nothing was written; ask again';
		return {state, effects: [{kind: 'answer-deferred', replyId, answer: {result: 'rejected', offset: context.cluster.offset, reason}}]};
	}

	return {
		state: state.set(replyId, {subject, requestedAtMs: context.nowMs}),
		effects: [{kind: 'append-record', record: recordFor(subject, context.cluster)}],
	};
}

/**
Answers the requests whose outcome the cluster state now holds, and with `unknown` those that have waited for `decisionTimeoutMs`.

@example
const {state, effects} = resolveDeferredAnswers(waiting, context);
*/
export function resolveDeferredAnswers(state: DeferredAnswers, context: EntryContext): Transition<DeferredAnswers> {
	const effects: ControlEffect[] = [];
	let next = state;
	for (const [replyId, {subject, requestedAtMs}] of state) {
		const hasTimedOut = context.nowMs - requestedAtMs > context.settings.timings.decisionTimeoutMs;
		const answer = decisionOf(subject, context.cluster) ?? (hasTimedOut ? timedOut(context) : undefined);
		if (answer) {
			next = next.delete(replyId);
			effects.push({kind: 'answer-deferred', replyId, answer});
		}
	}

	return {state: next, effects};
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
