import {isLiveAgent} from '../cluster/liveness.js';
import {type ControlEffect} from '../entry/control-effect.js';
import {type EntryContext, isLogFresh} from '../entry/entry-context.js';

/**
Answers a heartbeat of an agent. An agent whose incarnation was revoked or replaced receives `revoked`, so that it registers again with a new
one. Any other agent receives a grant. The grant is `leaseDurationMs` when this entry is registered, it has read the log's tail within
`logFreshnessMs` and the agent's incarnation is live; otherwise it is 0 ms.

@example
answerHeartbeat({vmId: 'vm-1', agentIncarnation: 'f3a9…', sequence: 7n}, context);
*/
export function answerHeartbeat(
	heartbeat: Readonly<{vmId: string; agentIncarnation: string; sequence: bigint}>,
	context: EntryContext,
): readonly ControlEffect[] {
	const {vmId, agentIncarnation, sequence} = heartbeat;
	if (isIncarnationRevoked(vmId, agentIncarnation, context)) {
		return [{kind: 'send-to-agent', vmId, command: {case: 'revoked', value: {agentIncarnation}}}];
	}

	// Without registration in the log, this entry cannot report the agent as reachable. The VM may then be revoked, so the agent's lease is not extended.
	const isRegistered = context.cluster.entries.has(context.incarnation);
	const mayGrant = isRegistered && isLogFresh(context) && isLiveAgent(context.cluster, vmId, agentIncarnation);
	return [{
		kind: 'send-to-agent',
		vmId,
		command: {
			case: 'leaseGrant',
			// A grant of 0 ms acknowledges the heartbeat without extending the lease.
			value: {heartbeatSequence: sequence, durationMs: mayGrant ? context.settings.timings.leaseDurationMs : 0},
		},
	}];
}

function isIncarnationRevoked(vmId: string, agentIncarnation: string, {cluster}: EntryContext): boolean {
	const vm = cluster.vms.get(vmId);
	if (vm?.agentIncarnation === agentIncarnation) {
		return vm.phase !== 'live';
	}

	return vm?.formerAgentIncarnations.includes(agentIncarnation) ?? false;
}
