import {Map} from 'immutable';
import {type Vm} from '../cluster/cluster-state.js';
import {
	type AppendGuard, emptyAppendGuard, mayAppend, pruneAppendGuard,
} from '../entry/append-guard.js';
import {type ControlEffect, type Transition} from '../entry/control-effect.js';
import {type EntryContext, isLogFresh} from '../entry/entry-context.js';
import {type ContactObservations, leaseExpiry, observeContact} from './lease-expiry.js';

/**
Time between the moment when no entry reports an agent as reachable and the revocation of its VM. Within it, an agent that lost its entry opens a
stream to another one, and that entry reports it.
*/
const revocationDelayMs = 2000;

/** What this entry has observed of the agents, in times of its own clock. */
export type VmLivenessState = Readonly<{
	/** When this entry last received a message of each VM's agent, with the agent's incarnation; missing for agents without a stream to it. */
	lastSeen: Map<string, Readonly<{agentIncarnation: string; atMs: number}>>;
	/** Since when this entry has observed that no entry receives the agent's messages. */
	unreachable: Map<string, Readonly<{agentIncarnation: string; sinceMs: number}>>;
	/** When this entry read the revocation of each agent incarnation. */
	revoked: Map<string, Readonly<{agentIncarnation: string; readAtMs: number}>>;
	/** Agent incarnation by VM from this entry's `vm-unreachable` until its next `vm-reachable`, which it writes only after it has read the first one back. */
	withdrawn: Map<string, string>;
	contacts: ContactObservations;
	guard: AppendGuard;
	/** Time of the last tick; missing before the first. */
	tickedAtMs: number | undefined;
}>;

export const initialVmLiveness: VmLivenessState = {
	lastSeen: Map(), unreachable: Map(), revoked: Map(), withdrawn: Map(), contacts: Map(), guard: emptyAppendGuard, tickedAtMs: undefined,
};

/** A longer interval between ticks, which are 250 ms apart, is a pause of this entry: messages may wait unread in its sockets. */
const maxTickPauseMs = 750;

/** Moves the observed times forward by a pause of this entry, so that the pause does not count as time without messages. */
function excludeOwnPause(state: VmLivenessState, nowMs: number): VmLivenessState {
	const pauseMs = nowMs - (state.tickedAtMs ?? nowMs);
	return pauseMs <= maxTickPauseMs
		? {...state, tickedAtMs: nowMs}
		: {
			...state,
			tickedAtMs: nowMs,
			lastSeen: state.lastSeen.map(last => ({...last, atMs: Math.min(nowMs, last.atMs + pauseMs)})),
			unreachable: state.unreachable.map(last => ({...last, sinceMs: Math.min(nowMs, last.sinceMs + pauseMs)})),
		};
}

/**
Records that this entry received a message of an agent.

@example
const next = recordAgentMessage(state, 'vm-1', 'f3a9…', nowMs);
*/
export function recordAgentMessage(state: VmLivenessState, vmId: string, agentIncarnation: string, nowMs: number): VmLivenessState {
	return {...state, lastSeen: state.lastSeen.set(vmId, {agentIncarnation, atMs: nowMs})};
}

/**
Returns whether this entry has withdrawn from hearing an agent incarnation. From then on it must not extend the agent's lease.

@example
hasWithdrawn(initialVmLiveness, 'vm-1', 'f3a9…'); // => false
*/
export function hasWithdrawn({withdrawn}: VmLivenessState, vmId: string, agentIncarnation: string): boolean {
	return withdrawn.get(vmId) === agentIncarnation;
}

type Observation = Readonly<{state: VmLivenessState; effects: ControlEffect[]}>;

/**
Writes records about the agents: which of them reach this entry, the revocation of VMs whose agents no entry receives messages of, and
the expiry of their leases, by `leaseExpiry`.

@example
const {state, effects} = tickVmLiveness(initialVmLiveness, context);
*/
export function tickVmLiveness(state: VmLivenessState, context: EntryContext): Transition<VmLivenessState> {
	let observation: Observation = {
		state: {...excludeOwnPause(state, context.nowMs), guard: pruneAppendGuard(state.guard, context.tailConfirmedSentAtMs)},
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
	const state = {...observation.state, contacts: observeContact(observation.state.contacts, vm, context.nowMs)};
	const {nowMs, incarnation, tailConfirmedSentAtMs, settings: {timings: {heartbeatTimeoutMs}}} = context;
	const subject = {vmId: vm.vmId, agentIncarnation: vm.agentIncarnation};
	const lastSeen = state.lastSeen.get(vm.vmId);
	const isReportedReachable = vm.heardBy.has(incarnation);
	if (lastSeen?.agentIncarnation !== vm.agentIncarnation && isReportedReachable) {
		// The log lists this entry as receiving the agent's messages. The agent gets the usual time-out to send one.
		return {...observation, state: recordAgentMessage(state, vm.vmId, vm.agentIncarnation, nowMs)};
	}

	const isHeard = lastSeen?.agentIncarnation === vm.agentIncarnation && nowMs - lastSeen.atMs <= heartbeatTimeoutMs;
	// A withdrawal stands until it is read back, since another entry may have acted on it by then.
	const isReachable = isHeard && !(isReportedReachable && hasWithdrawn(state, vm.vmId, vm.agentIncarnation));
	if (isReachable !== isReportedReachable) {
		const appended = append({...observation, state}, context, {kind: 'append-record', record: {kind: isReachable ? 'vm-reachable' : 'vm-unreachable', ...subject}});
		return appended.effects.length === observation.effects.length
			? appended
			: {
				...appended, state: {
					...appended.state, withdrawn: isReachable ? appended.state.withdrawn.delete(vm.vmId) : appended.state.withdrawn.set(vm.vmId, vm.agentIncarnation),
				},
			};
	}

	if (!vm.heardBy.isEmpty()) {
		return {...observation, state: {...state, unreachable: state.unreachable.delete(vm.vmId)}};
	}

	const unreachable = state.unreachable.get(vm.vmId);
	if (unreachable?.agentIncarnation !== vm.agentIncarnation) {
		return {...observation, state: {...state, unreachable: state.unreachable.set(vm.vmId, {agentIncarnation: vm.agentIncarnation, sinceMs: nowMs})}};
	}

	// The last entry with a stream of the agent may have ended. Another one reports the agent within a tick; only a later read of the log shows that none did.
	return tailConfirmedSentAtMs - unreachable.sinceMs < revocationDelayMs
		? {...observation, state}
		: append({...observation, state}, context, {
			kind: 'append-record',
			record: {kind: 'vm-revoked', ...subject, reason: 'no entry hears the agent'},
		});
}

function observeRevokedVm(observation: Observation, vm: Vm, context: EntryContext): Observation {
	const {cluster, nowMs, settings: {timings}} = context;
	const {vmId, agentIncarnation} = vm;
	const state = {...observation.state, contacts: observeContact(observation.state.contacts, vm, nowMs)};
	const read = state.revoked.get(vmId);
	if (read?.agentIncarnation !== agentIncarnation) {
		return {...observation, state: {...state, revoked: state.revoked.set(vmId, {agentIncarnation, readAtMs: nowMs})}};
	}

	const observed = state.contacts.get(vmId);
	const {atMs, proof} = leaseExpiry(vm, {observed, revokedAtMs: read.readAtMs}, {cluster, timings});
	if (nowMs < atMs) {
		return {...observation, state};
	}

	const appended = append({...observation, state}, context, {kind: 'append-record', record: {kind: 'vm-lease-expired', vmId, agentIncarnation}});
	return appended.effects.length === observation.effects.length
		? appended
		: {
			...appended, effects: [...appended.effects, {
				kind: 'log-event', level: 'info', event: 'vm-tasks-freed', fields: {
					vmId, agentIncarnation, proof, revokedMs: Math.round(nowMs - read.readAtMs), silenceMs: vm.contact.silenceMs, limitMs: vm.contact.limitMs,
				},
			}],
		};
}

function append(
	observation: Observation,
	context: EntryContext,
	effect: Extract<ControlEffect, {kind: 'append-record'}>,
): Observation {
	const agent = 'vmId' in effect.record && 'agentIncarnation' in effect.record ? `${effect.record.vmId}/${effect.record.agentIncarnation}` : '';
	const subject = `${effect.record.kind}/${agent}`;
	// Readers ignore what an entry writes before its registration. During an outage of the log the state may be stale, and records written after it would be out of date.
	if (!context.cluster.entries.has(context.incarnation) || !isLogFresh(context) || !mayAppend(observation.state.guard, subject, context.tailConfirmedSentAtMs)) {
		return observation;
	}

	return {
		state: {...observation.state, guard: observation.state.guard.set(subject, context.nowMs)},
		effects: [...observation.effects, effect],
	};
}
