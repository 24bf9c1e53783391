import {Map} from 'immutable';
import {type Vm} from '../cluster/cluster-state.js';
import {
	type AppendGuard, emptyAppendGuard, mayAppend, pruneAppendGuard,
} from '../entry/append-guard.js';
import {type ControlEffect, type Transition} from '../entry/control-effect.js';
import {type EntryContext, isLogFresh} from '../entry/entry-context.js';

/** Time for entries that hear an agent to report it, after the reports show that none does; an agent opens another stream within it. */
const settleMs = 2000;

/** What this entry observes of the agents, on its own clock. */
export type VmLivenessState = Readonly<{
	/** When this entry last heard each agent incarnation; missing for agents that keep no stream to it. */
	lastSeen: Map<string, Readonly<{agentIncarnation: string; atMs: number}>>;
	/** Since when this entry has seen that no entry hears an agent incarnation. */
	unreachable: Map<string, Readonly<{agentIncarnation: string; sinceMs: number}>>;
	/** When this entry read the revocation of each agent incarnation. */
	revoked: Map<string, Readonly<{agentIncarnation: string; readAtMs: number}>>;
	guard: AppendGuard;
	/** Time of the last tick; missing before the first. */
	tickedAtMs: number | undefined;
}>;

export const initialVmLiveness: VmLivenessState = {
	lastSeen: Map(), unreachable: Map(), revoked: Map(), guard: emptyAppendGuard, tickedAtMs: undefined,
};

/** Ticks are 250 ms apart; after a longer pause, messages wait in the sockets that this entry has not read. */
const longestTickPauseMs = 750;

/** Leaves a pause of this entry out of the silence of the agents. */
function skipOwnPause(state: VmLivenessState, nowMs: number): VmLivenessState {
	const pauseMs = nowMs - (state.tickedAtMs ?? nowMs);
	return pauseMs <= longestTickPauseMs
		? {...state, tickedAtMs: nowMs}
		: {
			...state,
			tickedAtMs: nowMs,
			lastSeen: state.lastSeen.map(last => ({...last, atMs: Math.min(nowMs, last.atMs + pauseMs)})),
			unreachable: state.unreachable.map(last => ({...last, sinceMs: Math.min(nowMs, last.sinceMs + pauseMs)})),
		};
}

/**
Notes a message of an agent.

@example
const next = recordAgentMessage(state, 'vm-1', 'f3a9…', nowMs);
*/
export function recordAgentMessage(state: VmLivenessState, vmId: string, agentIncarnation: string, nowMs: number): VmLivenessState {
	return {...state, lastSeen: state.lastSeen.set(vmId, {agentIncarnation, atMs: nowMs})};
}

type Observation = Readonly<{state: VmLivenessState; effects: ControlEffect[]}>;

/**
Reports which agents this entry hears, revokes those that no entry hears, and declares their leases
expired after F + D + margin counted from reading the revocation.

@example
const {state, effects} = tickVmLiveness(initialVmLiveness, context);
*/
export function tickVmLiveness(state: VmLivenessState, context: EntryContext): Transition<VmLivenessState> {
	let observation: Observation = {
		state: {...skipOwnPause(state, context.nowMs), guard: pruneAppendGuard(state.guard, context.tailConfirmedSentAtMs)},
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
	const {nowMs, incarnation, tailConfirmedSentAtMs, settings: {timings: {heartbeatTimeoutMs}}} = context;
	const subject = {vmId: vm.vmId, agentIncarnation: vm.agentIncarnation};
	const heard = state.lastSeen.get(vm.vmId);
	const isReportedHeard = vm.heardBy.has(incarnation);
	if (heard?.agentIncarnation !== vm.agentIncarnation && isReportedHeard) {
		// The registration says that this entry hears the agent; its stream gets the usual time to show it.
		return {...observation, state: recordAgentMessage(state, vm.vmId, vm.agentIncarnation, nowMs)};
	}

	const isHeard = heard?.agentIncarnation === vm.agentIncarnation && nowMs - heard.atMs <= heartbeatTimeoutMs;
	if (isHeard !== isReportedHeard) {
		return append(observation, context, {kind: 'append-record', record: {kind: isHeard ? 'vm-reachable' : 'vm-unreachable', ...subject}});
	}

	if (!vm.heardBy.isEmpty()) {
		return {...observation, state: {...state, unreachable: state.unreachable.delete(vm.vmId)}};
	}

	const unheard = state.unreachable.get(vm.vmId);
	if (unheard?.agentIncarnation !== vm.agentIncarnation) {
		return {...observation, state: {...state, unreachable: state.unreachable.set(vm.vmId, {agentIncarnation: vm.agentIncarnation, sinceMs: nowMs})}};
	}

	// The last entry that heard the agent may have ended; another one that has its stream says so within a tick. Only a read shows that none did.
	return tailConfirmedSentAtMs - unheard.sinceMs < settleMs
		? observation
		: append(observation, context, {
			kind: 'append-record',
			record: {kind: 'vm-revoked', ...subject, reason: 'no entry hears the agent'},
		});
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
	if (!isLogFresh(context) || !mayAppend(observation.state.guard, subject, context.tailConfirmedSentAtMs)) {
		return observation;
	}

	return {
		state: {...observation.state, guard: observation.state.guard.set(subject, context.nowMs)},
		effects: [...observation.effects, effect],
	};
}
