import {Map} from 'immutable';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {ownerByRendezvous} from '../cluster/rendezvous.js';
import {
	type AppendGuard, emptyAppendGuard, mayAppend, pruneAppendGuard,
} from '../entry/append-guard.js';
import {type ControlEffect, type Transition} from '../entry/control-effect.js';
import {type EntryContext, isLogFresh} from '../entry/entry-context.js';
import {type LoggedRecord} from '../log/log-envelope.js';

type Attempt = Readonly<{jobId: string; failed: boolean}>;

type Quarantine = Readonly<{sinceMs: number; count: number}>;

/** Recent ends of attempts by VM, and the quarantines of VMs whose worker failed them. */
export type FailureAttributionState = Readonly<{
	attemptsByVm: Map<string, readonly Attempt[]>;
	quarantines: Map<string, Quarantine>;
	guard: AppendGuard;
}>;

export const initialFailureAttribution: FailureAttributionState = {attemptsByVm: Map(), quarantines: Map(), guard: emptyAppendGuard};

const maxAttemptsPerVm = 12;
/** Attempts that must all have failed before their failures are attributed to the worker. */
const minFailures = 4;
/** Jobs that these attempts must come from, since a single faulty job fails on any worker. */
const minFailedJobs = 2;
/** Failed attempts that are enough after a quarantine. */
const minProbeFailures = 1;
/** Share of failed attempts on the other VMs above which failures are attributed to the tasks instead. */
const maxFleetFailureShare = 0.5;
const minQuarantineMs = 30_000;
const maxQuarantineMs = 600_000;

/**
Records the ends of attempts that a page of records reports.

@example
const next = recordAttemptEnds(state, records, clusterBeforeThePage);
*/
export function recordAttemptEnds(state: FailureAttributionState, records: readonly LoggedRecord[], before: ClusterState): FailureAttributionState {
	const attemptsByVm = state.attemptsByVm.withMutations(attempts => {
		for (const {envelope: {record}} of records) {
			const ended = toAttempt(record, before);
			if (ended) {
				attempts.update(ended.vmId, [], attemptsOfVm => [...attemptsOfVm.slice(1 - maxAttemptsPerVm), ended.attempt]);
			}
		}
	});
	return {...state, attemptsByVm};
}

function toAttempt(record: ClusterRecord, before: ClusterState): Readonly<{vmId: string; attempt: Attempt}> | undefined {
	if (record.kind !== 'task-ended' || (record.outcome !== 'finished' && record.outcome !== 'failed')) {
		return undefined;
	}

	const task = before.tasks.get(record.taskId);
	return task?.claim && task.attempt === record.attempt
		? {vmId: task.claim.vmId, attempt: {jobId: task.jobId, failed: record.outcome === 'failed'}}
		: undefined;
}

/**
Quarantines VMs whose worker fails the attempts of several jobs while other VMs do not, and ends a quarantine after a time that doubles with
each quarantine, so that the next attempts probe the worker.

@example
const {state, effects} = tickFailureAttribution(initialFailureAttribution, context);
*/
export function tickFailureAttribution(state: FailureAttributionState, context: EntryContext): Transition<FailureAttributionState> {
	if (!isLogFresh(context)) {
		return {state, effects: []};
	}

	let next: FailureAttributionState = {...state, guard: pruneAppendGuard(state.guard, context.tailConfirmedSentAtMs)};
	const effects: ControlEffect[] = [];
	for (const vm of context.cluster.vms.values()) {
		const evaluation = evaluateVm(next, vm.vmId, vm.quarantined, context.nowMs);
		next = evaluation.state;
		const subject = `${evaluation.kind ?? ''}/${vm.vmId}`;
		const isOwner = evaluation.kind !== undefined && ownerByRendezvous(context.cluster.entries.keys(), vm.vmId) === context.incarnation;
		if (evaluation.kind && isOwner && vm.phase === 'live' && mayAppend(next.guard, subject, context.tailConfirmedSentAtMs)) {
			next = {...next, guard: next.guard.set(subject, context.nowMs)};
			effects.push({
				kind: 'append-record',
				record: {
					kind: evaluation.kind, vmId: vm.vmId, agentIncarnation: vm.agentIncarnation, reason: evaluation.reason,
				},
			});
		}
	}

	return {state: next, effects};
}

type Evaluation = Readonly<{
	state: FailureAttributionState;
	kind?: 'vm-quarantined' | 'vm-unquarantined';
	reason: string;
}>;

function evaluateVm(state: FailureAttributionState, vmId: string, isQuarantined: boolean, nowMs: number): Evaluation {
	const quarantine = state.quarantines.get(vmId);
	if (isQuarantined) {
		const since = quarantine?.sinceMs ?? 0;
		const current: Quarantine = since > 0 ? quarantine! : {sinceMs: nowMs, count: (quarantine?.count ?? 0) + 1};
		const dueMs = current.sinceMs + Math.min(maxQuarantineMs, minQuarantineMs * (2 ** (current.count - 1)));
		const cleared: FailureAttributionState = {
			...state,
			quarantines: state.quarantines.set(vmId, current),
			attemptsByVm: state.attemptsByVm.delete(vmId),
		};
		return nowMs >= dueMs
			? {state: cleared, kind: 'vm-unquarantined', reason: `probe after quarantine ${current.count}`}
			: {state: cleared, reason: ''};
	}

	// The start time of the last quarantine is reset when it ends; its count stays until the worker finishes an attempt.
	const attempts = state.attemptsByVm.get(vmId) ?? [];
	const hasRecovered = attempts.some(({failed}) => !failed);
	const released: FailureAttributionState = {
		...state,
		quarantines: hasRecovered || !quarantine
			? state.quarantines.delete(vmId)
			: state.quarantines.set(vmId, {sinceMs: 0, count: quarantine.count}),
	};
	const required = quarantine && !hasRecovered
		? {failures: minProbeFailures, jobs: 1}
		: {failures: minFailures, jobs: minFailedJobs};
	const jobs = new Set(attempts.map(({jobId}) => jobId));
	const isWorkerFailing = !hasRecovered && attempts.length >= required.failures && jobs.size >= required.jobs;
	return isWorkerFailing && !isFleetFailing(state, vmId)
		? {state: released, kind: 'vm-quarantined', reason: `all of the last ${attempts.length} attempts of ${jobs.size} jobs failed here`}
		: {state: released, reason: ''};
}

function isFleetFailing(state: FailureAttributionState, exceptVmId: string): boolean {
	const others = [...state.attemptsByVm].filter(([vmId]) => vmId !== exceptVmId).flatMap(([, attempts]) => attempts);
	const failures = others.filter(({failed}) => failed).length;
	return others.length > 0 && failures / others.length > maxFleetFailureShare;
}
