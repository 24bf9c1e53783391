import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type BackendServer} from '../cluster/cluster-state.js';
import {isLiveAgent} from '../cluster/liveness.js';
import {type EntryContext} from '../entry/entry-context.js';
import {BackendServerPhase, type BackendServerReport} from '../generated/arbutushinge/v1/agent_pb.js';
import {type AgentLink} from './agent-link.js';

type RecordFor = (subject: Subject, report: BackendServerReport, recorded: BackendServer | undefined) => ClusterRecord | undefined;

type Subject = Readonly<{vmId: string; agentIncarnation: string; backendServerId: string}>;

const recordForGone: RecordFor = (subject, _report, recorded) =>
	recorded && recorded.phase !== 'gone' ? {kind: 'backend-server-gone', ...subject} : undefined;

const recordByPhase: Readonly<Record<BackendServerPhase, RecordFor>> = {
	[BackendServerPhase.UNSPECIFIED]: () => undefined,
	[BackendServerPhase.SERVING]: (subject, report, recorded) => recorded?.phase === 'serving'
		? undefined
		: {
			kind: 'backend-server-announced',
			...subject,
			service: report.service,
			slots: Math.max(1, report.slots),
			connections: Math.max(1, report.connections),
		},
	[BackendServerPhase.LEAVING]: (subject, _report, recorded) =>
		recorded?.phase === 'serving' ? {kind: 'backend-server-leaving', ...subject} : undefined,
	// The operator may return a drained backend server to service; it is gone only once it no longer announces itself.
	[BackendServerPhase.DRAINED]: (subject, _report, recorded) =>
		recorded?.phase === 'serving' && !recorded.draining ? {kind: 'backend-server-leaving', ...subject} : undefined,
	[BackendServerPhase.GONE]: recordForGone,
};

/**
Returns the records that bring the cluster state in line with an agent's reports on its backend servers.

@example
recordsForBackendServers(link, context); // => [{kind: 'backend-server-announced', …}]
*/
export function recordsForBackendServers(link: AgentLink, context: EntryContext): readonly ClusterRecord[] {
	if (!isLiveAgent(context.cluster, link.vmId, link.agentIncarnation)) {
		return [];
	}

	const records: ClusterRecord[] = [];
	for (const report of link.backendServers.values()) {
		const recorded = context.cluster.backendServers.get(report.backendServerId);
		const isOfThisAgent = recorded?.vmId === link.vmId && recorded.agentIncarnation === link.agentIncarnation;
		const subject = {vmId: link.vmId, agentIncarnation: link.agentIncarnation, backendServerId: report.backendServerId};
		const record = recordByPhase[report.phase]?.(subject, report, isOfThisAgent ? recorded : undefined);
		if (record) {
			records.push(record);
		}
	}

	return records;
}
