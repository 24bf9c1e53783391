import {isLiveAgent} from '../cluster/liveness.js';
import {type ControlEffect} from '../entry/control-effect.js';
import {type EntryContext, isLogFresh} from '../entry/entry-context.js';

/**
Answers one heartbeat: grants the lease when the log's tail was read within F and the agent's incarnation is live,
tells an agent whose incarnation is over to register anew, and otherwise stays silent.

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

	if (!isLogFresh(context) || !isLiveAgent(context.cluster, vmId, agentIncarnation)) {
		return [];
	}

	return [{
		kind: 'send-to-agent',
		vmId,
		command: {case: 'leaseGrant', value: {heartbeatSequence: sequence, durationMs: context.settings.timings.leaseDurationMs}},
	}];
}

function isIncarnationOver(vmId: string, agentIncarnation: string, {cluster}: EntryContext): boolean {
	const vm = cluster.vms.get(vmId);
	if (vm?.agentIncarnation === agentIncarnation) {
		return vm.phase !== 'live';
	}

	return vm?.formerAgentIncarnations.includes(agentIncarnation) ?? false;
}
