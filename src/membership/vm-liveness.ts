import {Map} from 'immutable';
import {type Vm} from '../cluster/cluster-state.js';
import {liveEntryIncarnations} from '../cluster/liveness.js';
import {
	type AppendGuard, emptyAppendGuard, mayAppend, pruneAppendGuard,
} from '../entry/append-guard.js';
import {type ControlEffect, type Step} from '../entry/control-effect.js';
import {type EntryContext, isLogFresh} from '../entry/entry-context.js';

/** What this entry observes of the agents, on its own clock. */
export type VmLivenessState = Readonly<{
	/** When each agent incarnation was last heard; starts when this entry first knows of it. */
	heard: Map<string, Readonly<{agentIncarnation: string; atMs: number}>>;
	/** When this entry read the revocation of each agent incarnation. */
	revoked: Map<string, Readonly<{agentIncarnation: string; readAtMs: number}>>;
	guard: AppendGuard;
}>;

export const initialVmLiveness: VmLivenessState = {heard: Map(), revoked: Map(), guard: emptyAppendGuard};

/**
Notes a message of an agent.

@example
const next = noteVmHeard(state, 'vm-1', 'f3a9…', nowMs);
*/
export function noteVmHeard(state: VmLivenessState, vmId: string, agentIncarnation: string, nowMs: number): VmLivenessState {
	return {...state, heard: state.heard.set(vmId, {agentIncarnation, atMs: nowMs})};
}

type Observation = Readonly<{state: VmLivenessState; effects: ControlEffect[]}>;

/**
Reports agents that became unreachable or reachable, revokes those that no entry reaches, and declares their leases
expired after F + D + margin counted from reading the revocation.

@example
const {state, effects} = tickVmLiveness(initialVmLiveness, context);
*/
export function tickVmLiveness(state: VmLivenessState, context: EntryContext): Step<VmLivenessState> {
	let observation: Observation = {
		state: {...state, guard: pruneAppendGuard(state.guard, context.nowMs)},
		effects: [],
	};
	for (const vm of context.cluster.vms.values()) {
		observation = phaseHandlers[vm.phase](observation, vm, context);
	}

	return observation;
}

const phaseHandlers: Readonly<Record<Vm['phase'], (observation: Observation, vm: Vm, context: EntryContext) => Observation>> = {
	live: observeLiveVm,
	revoked: observeRevokedVm,
	expired: observation => observation,
};

function observeLiveVm(observation: Observation, vm: Vm, context: EntryContext): Observation {
	const {state} = observation;
	const heard = state.heard.get(vm.vmId);
	if (heard?.agentIncarnation !== vm.agentIncarnation) {
		return {...observation, state: noteVmHeard(state, vm.vmId, vm.agentIncarnation, context.nowMs)};
	}

	const isReachable = context.nowMs - heard.atMs <= context.settings.timings.heartbeatTimeoutMs;
	const isReportedUnreachable = vm.unreachableFrom.has(context.incarnation);
	const subject = {vmId: vm.vmId, agentIncarnation: vm.agentIncarnation};
	if (isReachable && isReportedUnreachable) {
		return append(observation, context, {kind: 'append-record', record: {kind: 'vm-reachable', ...subject}});
	}

	if (!isReachable && !isReportedUnreachable) {
		return append(observation, context, {kind: 'append-record', record: {kind: 'vm-unreachable', ...subject}});
	}

	if (!isReachable && isUnreachableFromAll(vm, context)) {
		return append(observation, context, {
			kind: 'append-record',
			record: {kind: 'vm-revoked', ...subject, reason: 'no entry hears the agent'},
		});
	}

	return observation;
}

function isUnreachableFromAll(vm: Vm, context: EntryContext): boolean {
	return liveEntryIncarnations(context.cluster).every(incarnation => vm.unreachableFrom.has(incarnation));
}

function observeRevokedVm(observation: Observation, vm: Vm, context: EntryContext): Observation {
	const {timings} = context.settings;
	const read = observation.state.revoked.get(vm.vmId);
	if (read?.agentIncarnation !== vm.agentIncarnation) {
		const revoked = observation.state.revoked.set(vm.vmId, {agentIncarnation: vm.agentIncarnation, readAtMs: context.nowMs});
		return {...observation, state: {...observation.state, revoked}};
	}

	const expiresAtMs = read.readAtMs + timings.logFreshnessMs + timings.leaseDurationMs + timings.leaseMarginMs;
	if (context.nowMs < expiresAtMs) {
		return observation;
	}

	return append(observation, context, {
		kind: 'append-record',
		record: {kind: 'vm-lease-expired', vmId: vm.vmId, agentIncarnation: vm.agentIncarnation},
	});
}

function append(
	observation: Observation,
	context: EntryContext,
	effect: Extract<ControlEffect, {kind: 'append-record'}>,
): Observation {
	const vmId = 'vmId' in effect.record ? effect.record.vmId : '';
	const subject = `${effect.record.kind}/${vmId}`;
	// Without the log nothing can be decided, and records written late would describe the past.
	if (!isLogFresh(context) || !mayAppend(observation.state.guard, subject, context.nowMs)) {
		return observation;
	}

	return {
		state: {...observation.state, guard: observation.state.guard.set(subject, context.nowMs)},
		effects: [...observation.effects, effect],
	};
}
