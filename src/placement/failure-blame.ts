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

/** Recent ends of attempts, by VM, and the quarantines that followed. */
export type FailureBlameState = Readonly<{
	attemptsByVm: Map<string, readonly Attempt[]>;
	quarantines: Map<string, Quarantine>;
	guard: AppendGuard;
}>;

export const initialFailureBlame: FailureBlameState = {attemptsByVm: Map(), quarantines: Map(), guard: emptyAppendGuard};

const rememberedAttempts = 12;
/** Attempts that must all have failed before the worker is suspected. */
const suspiciousFailures = 4;
/** Jobs that those attempts must come from: one bad job fails on any worker. */
const suspiciousJobs = 2;
/** After a quarantine, one failed probe is enough. */
const probeFailures = 1;
/** Failure share of the rest of the fleet above which the tasks are blamed instead. */
const fleetFailureShare = 0.5;
const probeAfterMs = 30_000;
const maxProbeAfterMs = 600_000;

/**
Notes the ends of attempts that a page of records reports.

@example
const next = recordAttemptEnds(state, records, clusterBeforeThePage);
*/
export function recordAttemptEnds(state: FailureBlameState, records: readonly LoggedRecord[], before: ClusterState): FailureBlameState {
	const attemptsByVm = state.attemptsByVm.withMutations(attempts => {
		for (const {envelope: {record}} of records) {
			const ended = toAttempt(record, before);
			if (ended) {
				attempts.update(ended.vmId, [], known => [...known.slice(1 - rememberedAttempts), ended.attempt]);
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
Quarantines VMs whose worker fails the attempts of several jobs while the rest of the fleet does not, and lets a
quarantined VM take a probe after a time that doubles with each quarantine.

@example
const {state, effects} = tickFailureBlame(initialFailureBlame, context);
*/
export function tickFailureBlame(state: FailureBlameState, context: EntryContext): Transition<FailureBlameState> {
	if (!isLogFresh(context)) {
		return {state, effects: []};
	}

	let next: FailureBlameState = {...state, guard: pruneAppendGuard(state.guard, context.tailConfirmedSentAtMs)};
	const effects: ControlEffect[] = [];
	for (const vm of context.cluster.vms.values()) {
		const verdict = judge(next, vm.vmId, vm.quarantined, context.nowMs);
		next = verdict.state;
		const subject = `${verdict.kind ?? ''}/${vm.vmId}`;
		const isOwnTurn = verdict.kind !== undefined && ownerByRendezvous(context.cluster.entries.keys(), vm.vmId) === context.incarnation;
		if (verdict.kind && isOwnTurn && vm.phase === 'live' && mayAppend(next.guard, subject, context.tailConfirmedSentAtMs)) {
			next = {...next, guard: next.guard.set(subject, context.nowMs)};
			effects.push({
				kind: 'append-record',
				record: {
					kind: verdict.kind, vmId: vm.vmId, agentIncarnation: vm.agentIncarnation, reason: verdict.reason,
				},
			});
		}
	}

	return {state: next, effects};
}

type Verdict = Readonly<{
	state: FailureBlameState;
	kind?: 'vm-quarantined' | 'vm-unquarantined';
	reason: string;
}>;

function judge(state: FailureBlameState, vmId: string, isQuarantined: boolean, nowMs: number): Verdict {
	const quarantine = state.quarantines.get(vmId);
	if (isQuarantined) {
		const since = quarantine?.sinceMs ?? 0;
		const known: Quarantine = since > 0 ? quarantine! : {sinceMs: nowMs, count: (quarantine?.count ?? 0) + 1};
		const dueMs = known.sinceMs + Math.min(maxProbeAfterMs, probeAfterMs * (2 ** (known.count - 1)));
		const cleared: FailureBlameState = {
			...state,
			quarantines: state.quarantines.set(vmId, known),
			attemptsByVm: state.attemptsByVm.delete(vmId),
		};
		return nowMs >= dueMs
			? {state: cleared, kind: 'vm-unquarantined', reason: `probe after quarantine ${known.count}`}
			: {state: cleared, reason: ''};
	}

	// The time of the last quarantine ends with it; its count stays until the worker finishes something.
	const attempts = state.attemptsByVm.get(vmId) ?? [];
	const hasRecovered = attempts.some(({failed}) => !failed);
	const settled: FailureBlameState = {
		...state,
		quarantines: hasRecovered || !quarantine
			? state.quarantines.delete(vmId)
			: state.quarantines.set(vmId, {sinceMs: 0, count: quarantine.count}),
	};
	const needed = quarantine && !hasRecovered
		? {failures: probeFailures, jobs: 1}
		: {failures: suspiciousFailures, jobs: suspiciousJobs};
	const jobs = new Set(attempts.map(({jobId}) => jobId));
	const isSuspect = !hasRecovered && attempts.length >= needed.failures && jobs.size >= needed.jobs;
	return isSuspect && !isFleetFailing(state, vmId)
		? {state: settled, kind: 'vm-quarantined', reason: `all of the last ${attempts.length} attempts of ${jobs.size} jobs failed here`}
		: {state: settled, reason: ''};
}

function isFleetFailing(state: FailureBlameState, exceptVmId: string): boolean {
	const others = [...state.attemptsByVm].filter(([vmId]) => vmId !== exceptVmId).flatMap(([, attempts]) => attempts);
	const failures = others.filter(({failed}) => failed).length;
	return others.length > 0 && failures / others.length > fleetFailureShare;
}
