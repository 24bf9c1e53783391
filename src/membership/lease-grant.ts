import {isLiveAgent} from '../cluster/liveness.js';
import {type ControlEffect} from '../entry/control-effect.js';
import {type EntryContext, isLogFresh} from '../entry/entry-context.js';
import {hasWithdrawn, type VmLivenessState} from './vm-liveness.js';

/**
Answers a heartbeat of an agent. An agent whose incarnation was revoked or replaced receives `revoked`, so that it registers again with a new
one. Any other agent receives a grant. It is in contact when the log lists this entry as hearing the agent's live incarnation, this entry has not
withdrawn since, and it has read the log's tail within `logFreshnessMs` + `leaseDurationMs`. The grant is `leaseDurationMs` when it is in contact and
the tail was read within `logFreshnessMs`; otherwise it is 0 ms.

@example
answerHeartbeat({vmId: 'vm-1', agentIncarnation: 'f3a9…', sequence: 7n}, {context, vmLiveness});
*/
export function answerHeartbeat(
	heartbeat: Readonly<{vmId: string; agentIncarnation: string; sequence: bigint}>,
	{context, vmLiveness}: Readonly<{context: EntryContext; vmLiveness: VmLivenessState}>,
): readonly ControlEffect[] {
	const {vmId, agentIncarnation, sequence} = heartbeat;
	if (isIncarnationRevoked(vmId, agentIncarnation, context)) {
		return [{kind: 'send-to-agent', vmId, command: {case: 'revoked', value: {agentIncarnation}}}];
	}

	const inContact = isInContact(vmId, agentIncarnation, context) && !hasWithdrawn(vmLiveness, vmId, agentIncarnation);
	return [grantOf({vmId, sequence}, {durationMs: inContact && isLogFresh(context) ? context.settings.timings.leaseDurationMs : 0, inContact})];
}

/**
Answers the last heartbeat again in the moment in which the agent's registration was read: before it the answer held no lease, and tasks may be placed on the
VM from now on. An entry that heard the agent without being the one that the log lists grants this once, since observers count the registration as heard.

@param tailSentBeforeMs when the newest read was sent that reached the log's tail without the registration.

@example
grantFirstLease({vmId: 'vm-1', agentIncarnation: 'f3a9…', sequence: 7n}, {context, tailSentBeforeMs: 2000});
*/
export function grantFirstLease(
	{vmId, agentIncarnation, sequence}: Readonly<{vmId: string; agentIncarnation: string; sequence: bigint}>,
	{context, tailSentBeforeMs}: Readonly<{context: EntryContext; tailSentBeforeMs: number}>,
): readonly ControlEffect[] {
	const {logFreshnessMs, leaseDurationMs} = context.settings.timings;
	const isRegistered = context.cluster.entries.has(context.incarnation);
	return isRegistered && context.nowMs - tailSentBeforeMs <= logFreshnessMs && isLiveAgent(context.cluster, vmId, agentIncarnation)
		? [grantOf({vmId, sequence}, {durationMs: leaseDurationMs, inContact: true})]
		: [];
}

function grantOf({vmId, sequence}: Readonly<{vmId: string; sequence: bigint}>, {durationMs, inContact}: Readonly<{durationMs: number; inContact: boolean}>): ControlEffect {
	return {
		kind: 'send-to-agent',
		vmId,
		command: {
			case: 'leaseGrant',
			// A grant of 0 ms acknowledges the heartbeat without extending the lease.
			value: {heartbeatSequence: sequence, durationMs, inContact},
		},
	};
}

/** Returns whether an agent that this entry hears counts as heard in the log, so that its VM is not revoked without a record of this entry or of its end. */
function isInContact(vmId: string, agentIncarnation: string, {cluster, incarnation, nowMs, tailConfirmedSentAtMs, settings: {timings}}: EntryContext): boolean {
	const vm = cluster.vms.get(vmId);
	return vm?.agentIncarnation === agentIncarnation
		&& vm.phase === 'live'
		&& vm.heardBy.has(incarnation)
		// An entry that was declared ended and does not know it must not extend the contact for ever. No lease that was granted before lasts longer.
		&& nowMs - tailConfirmedSentAtMs <= timings.logFreshnessMs + timings.leaseDurationMs;
}

function isIncarnationRevoked(vmId: string, agentIncarnation: string, {cluster}: EntryContext): boolean {
	const vm = cluster.vms.get(vmId);
	if (vm?.agentIncarnation === agentIncarnation) {
		return vm.phase !== 'live';
	}

	return vm?.formerAgentIncarnations.includes(agentIncarnation) ?? false;
}
