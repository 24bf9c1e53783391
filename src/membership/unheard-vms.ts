import {Map, Set} from 'immutable';
import {type ClusterState, type Vm} from '../cluster/cluster-state.js';
import {type AgentLink} from '../dispatch/agent-link.js';
import {type EntryContext} from '../entry/entry-context.js';
import {type VmLivenessState} from './vm-liveness.js';

/** Agents whose stream to this entry has closed, by VM, until they open one again. */
export type ClosedStreams = Map<string, Readonly<{agentIncarnation: string; atMs: number}>>;

export const noClosedStreams: ClosedStreams = Map();

/** What an entry knows of the agents by their streams to it. */
export type AgentContacts = Readonly<{
	links: Map<string, AgentLink>;
	closedStreams: ClosedStreams;
	vmLiveness: VmLivenessState;
}>;

/** Share of `heartbeatTimeoutMs` after which an agent with an open stream is late: two of its heartbeats at the default interval. */
const lateShare = 2 / 3;

/** Time beyond `heartbeatTimeoutMs` in which other entries report in the log whether they still hear an agent. */
const reportMs = 1000;

/**
Returns the VMs that get no new claims since their agent would probably not receive the starts: no entry hears it, it says that it stops, or it has
closed its stream to this entry or missed two heartbeats. A claim on such a VM would bind its task until the leases have expired.

What this entry's own streams tell counts until the other entries have had time to report the agent in the log, and not at all when it is true of
more than half of the VMs: then this entry is the one that is cut off, and others deliver the starts.

@example
unheardVmIds({links, closedStreams, vmLiveness}, context).has('vm-1'); // => false while the agent of vm-1 sends heartbeats
*/
export function unheardVmIds(contacts: AgentContacts, context: Pick<EntryContext, 'cluster' | 'nowMs' | 'settings'>): Set<string> {
	const live = [...context.cluster.vms.values()].filter(({phase}) => phase === 'live');
	const certain = live.filter(vm => vm.heardBy.isEmpty() || linkOf(vm, contacts)?.leaving);
	const suspected = live.filter(vm => isSuspected(vm, contacts, context));
	const excluded = suspected.length * 2 > live.length ? certain : [...certain, ...suspected];
	return Set(excluded.map(({vmId}) => vmId));
}

function linkOf({vmId, agentIncarnation}: Vm, {links}: AgentContacts): AgentLink | undefined {
	const link = links.get(vmId);
	return link?.agentIncarnation === agentIncarnation ? link : undefined;
}

function isSuspected(vm: Vm, contacts: AgentContacts, {nowMs, settings: {timings: {heartbeatTimeoutMs}}}: Pick<EntryContext, 'nowMs' | 'settings'>): boolean {
	const closed = contacts.closedStreams.get(vm.vmId);
	if (closed?.agentIncarnation === vm.agentIncarnation) {
		return nowMs - closed.atMs < heartbeatTimeoutMs + reportMs;
	}

	const lastSeen = contacts.vmLiveness.lastSeen.get(vm.vmId);
	if (!linkOf(vm, contacts) || lastSeen?.agentIncarnation !== vm.agentIncarnation) {
		return false;
	}

	const silentMs = nowMs - lastSeen.atMs;
	return silentMs >= lateShare * heartbeatTimeoutMs && silentMs < heartbeatTimeoutMs + reportMs;
}

/**
Records that the stream of a VM's agent has closed.

@example
const next = recordClosedStream(noClosedStreams, {vmId: 'vm-1', agentIncarnation: 'f3a9…'}, context);
*/
export function recordClosedStream(
	closedStreams: ClosedStreams,
	{vmId, agentIncarnation}: Pick<AgentLink, 'vmId' | 'agentIncarnation'>,
	{cluster, nowMs}: Readonly<{cluster: ClusterState; nowMs: number}>,
): ClosedStreams {
	return closedStreams.filter((_closed, closedVmId) => cluster.vms.has(closedVmId)).set(vmId, {agentIncarnation, atMs: nowMs});
}
