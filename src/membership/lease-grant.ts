import {isLiveAgent} from '../cluster/liveness.js';
import {type ControlEffect} from '../entry/control-effect.js';
import {type EntryContext, isLogFresh} from '../entry/entry-context.js';

/**
Answers one heartbeat: grants the lease when the log's tail was read within F and the agent's incarnation is live,
tells an agent whose incarnation is over to register anew, and otherwise grants no time.

@example
answerHeartbeat({vmId: 'vm-1', agentIncarnation: 'f3a9…', sequence: 7n}, context);
*/
export function answerHeartbeat(
	heartbeat: Readonly<{vmId: string; agentIncarnation: string; sequence: bigint}>,
	context: EntryContext,
): readonly ControlEffect[] {
	const {vmId, agentIncarnation, sequence} = heartbeat;
	if (isIncarnationOver(vmId, agentIncarnation, context)) {
		return [{kind: 'send-to-agent', vmId, command: {case: 'revoked', value: {agentIncarnation}}}];
	}

	// An entry that the log does not know cannot report that it hears the agent, so that the VM may be revoked.
	const isRegistered = context.cluster.entries.has(context.incarnation);
	const mayGrant = isRegistered && isLogFresh(context) && isLiveAgent(context.cluster, vmId, agentIncarnation);
	return [{
		kind: 'send-to-agent',
		vmId,
		command: {
			case: 'leaseGrant',
			// A grant of no time tells the agent that the entry hears it, and extends no lease.
			value: {heartbeatSequence: sequence, durationMs: mayGrant ? context.settings.timings.leaseDurationMs : 0},
		},
	}];
}

function isIncarnationOver(vmId: string, agentIncarnation: string, {cluster}: EntryContext): boolean {
	const vm = cluster.vms.get(vmId);
	if (vm?.agentIncarnation === agentIncarnation) {
		return vm.phase !== 'live';
	}

	return vm?.formerAgentIncarnations.includes(agentIncarnation) ?? false;
}
