import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type BackendServer} from '../cluster/cluster-state.js';
import {isLiveAgent} from '../cluster/liveness.js';
import {type EntryContext} from '../entry/entry-context.js';
import {BackendServerPhase, type BackendServerReport} from '../generated/arbutushinge/v1/agent_pb.js';
import {type AgentLink} from './agent-link.js';

type RecordFor = (subject: Subject, report: BackendServerReport, known: BackendServer | undefined) => ClusterRecord | undefined;

type Subject = Readonly<{vmId: string; agentIncarnation: string; backendServerId: string}>;

const recordForGone: RecordFor = (subject, _report, known) =>
	known && known.phase !== 'gone' ? {kind: 'backend-server-gone', ...subject} : undefined;

const recordByPhase: Readonly<Record<BackendServerPhase, RecordFor>> = {
	[BackendServerPhase.UNSPECIFIED]: () => undefined,
	[BackendServerPhase.SERVING]: (subject, report, known) => known?.phase === 'serving'
		? undefined
		: {
			kind: 'backend-server-announced',
			...subject,
			service: report.service,
			slots: Math.max(1, report.slots),
			connections: Math.max(1, report.connections),
		},
	[BackendServerPhase.LEAVING]: (subject, _report, known) =>
		known?.phase === 'serving' ? {kind: 'backend-server-leaving', ...subject} : undefined,
	// A drained backend server may be returned by the operator; only one that left or fell silent is gone.
	[BackendServerPhase.DRAINED]: (subject, _report, known) =>
		known?.phase === 'serving' && !known.draining ? {kind: 'backend-server-leaving', ...subject} : undefined,
	[BackendServerPhase.GONE]: recordForGone,
};

/**
Lists the records that bring the cluster state in line with what an agent reports of its backend servers.

@example
recordsForBackendServers(link, context); // => [{kind: 'backend-server-announced', …}]
*/
export function recordsForBackendServers(link: AgentLink, context: EntryContext): readonly ClusterRecord[] {
	if (!isLiveAgent(context.cluster, link.vmId, link.agentIncarnation)) {
		return [];
	}

	const records: ClusterRecord[] = [];
	for (const report of link.backendServers.values()) {
		const known = context.cluster.backendServers.get(report.backendServerId);
		const isOfThisAgent = known?.vmId === link.vmId && known.agentIncarnation === link.agentIncarnation;
		const subject = {vmId: link.vmId, agentIncarnation: link.agentIncarnation, backendServerId: report.backendServerId};
		const record = recordByPhase[report.phase]?.(subject, report, isOfThisAgent ? known : undefined);
		if (record) {
			records.push(record);
		}
	}

	return records;
}
