import {type BackendServer, type ClusterState} from './cluster-state.js';
import {isBackendServerDrained} from './draining.js';
import {entityName, removeEntityOffset, markChanged} from './entity-offsets.js';
import {type RecordHandlers} from './record-handler.js';
import {noResources} from './resources.js';
import {MAX_GONE_BACKEND_SERVERS} from './state-limits.js';
import {commitBackendServer, releaseBackendServer} from './vm-commitment.js';

/**
Moves a backend server to phase `gone` and releases its resources. The oldest one in this phase is removed when there are more than `MAX_GONE_BACKEND_SERVERS`.

@example
markBackendServerGone(state, 'b3', 17).backendServers.get('b3').phase; // => 'gone'
*/
export function markBackendServerGone(state: ClusterState, backendServerId: string, offset: number): ClusterState {
	const released = releaseBackendServer(state, backendServerId);
	const server = released.backendServers.get(backendServerId);
	if (!server || server.phase === 'gone') {
		return state;
	}

	const next = markChanged({
		...released,
		backendServers: released.backendServers.set(backendServerId, {...server, phase: 'gone'}),
		goneBackendServerIds: released.goneBackendServerIds.add(backendServerId),
	}, offset, [entityName('backend-server', backendServerId), entityName('service', server.service)]);
	const oldest = next.goneBackendServerIds.first();
	return next.goneBackendServerIds.size > MAX_GONE_BACKEND_SERVERS && oldest !== undefined
		? removeEntityOffset({
			...next,
			backendServers: next.backendServers.delete(oldest),
			goneBackendServerIds: next.goneBackendServerIds.delete(oldest),
		}, entityName('backend-server', oldest))
		: next;
}

/** Returns the backend server that a record names; undefined when it is not recorded, or is recorded with another agent incarnation than the record has. */
function backendServerOfCurrentAgent(state: ClusterState, record: Readonly<{backendServerId: string; agentIncarnation: string}>): BackendServer | undefined {
	const server = state.backendServers.get(record.backendServerId);
	return server?.agentIncarnation === record.agentIncarnation ? server : undefined;
}

/** Handlers of records about backend servers. */
export const backendServerHandlers: RecordHandlers<'backend-server-announced' | 'backend-server-leaving' | 'backend-server-gone'> = {
	'backend-server-announced'(state, record, {offset}) {
		const {backendServerId, vmId, agentIncarnation, service, slots, connections} = record;
		const vm = state.vms.get(vmId);
		if (vm?.phase !== 'live' || vm.agentIncarnation !== agentIncarnation) {
			return state;
		}

		const former = state.backendServers.get(backendServerId);
		if (former && former.phase !== 'gone' && former.vmId === vmId && former.agentIncarnation === agentIncarnation && former.service === service) {
			// The phase stays as it is: a leaving backend server does not serve again, and the announcement may arrive late from another entry.
			return former.slots === slots && former.connections === connections
				? state
				: {...state, backendServers: state.backendServers.set(backendServerId, {...former, slots, connections})};
		}

		const next = former ? markBackendServerGone(state, backendServerId, offset) : state;
		const target = next.vms.get(vmId) ?? vm;
		return commitBackendServer(markChanged({
			...next,
			goneBackendServerIds: next.goneBackendServerIds.delete(backendServerId),
			backendServers: next.backendServers.set(backendServerId, {
				backendServerId,
				service,
				vmId,
				agentIncarnation,
				slots,
				connections,
				phase: 'serving',
				draining: isBackendServerDrained(next, record),
				committed: noResources,
			}),
			vms: next.vms.set(vmId, {...target, backendServerIds: target.backendServerIds.add(backendServerId)}),
		}, offset, [entityName('backend-server', backendServerId)]), backendServerId);
	},
	'backend-server-leaving'(state, record, {offset}) {
		const server = backendServerOfCurrentAgent(state, record);
		return server?.phase === 'serving'
			? markChanged(
				{...state, backendServers: state.backendServers.set(server.backendServerId, {...server, phase: 'leaving'})},
				offset,
				[entityName('backend-server', server.backendServerId), entityName('service', server.service)],
			)
			: state;
	},
	'backend-server-gone'(state, record, {offset}) {
		return backendServerOfCurrentAgent(state, record) ? markBackendServerGone(state, record.backendServerId, offset) : state;
	},
};
