import {type ClusterState, type Vm} from '../cluster/cluster-state.js';
import {failureDomainLoadOf, isEvacuated} from '../cluster/evacuations.js';
import {type PriorityClass} from '../cluster/intent.js';
import {noResources, subtractResources} from '../cluster/resources.js';
import {type CountsByClass, type Liveness, type StatusReport} from './operator-api.js';

const noCounts: CountsByClass = {urgent: 0, normal: 0, background: 0};

/**
Builds the status report from the cluster state, the configuration that each live member has applied and the state of the log connection.

@example
buildStatus(state, liveness).configuration.inForce;
// => true when every live member applied the newest configuration
*/
export function buildStatus(state: ClusterState, liveness: Liveness): StatusReport {
	const lagging = laggingMembers(state, liveness);
	return {
		offset: state.offset,
		configuration: {offset: state.configuration.offset, inForce: lagging.length === 0, lagging},
		log: {reachable: liveness.logReachable, tailAgeMs: liveness.tailAgeMs},
		evacuations: [...state.configuration.evacuations].filter(([, {isRequested}]) => isRequested).toSorted(([left], [right]) => left < right ? -1 : 1)
			.map(([failureDomain, {noticedAtMs, refusedClaims}]) => ({
				failureDomain, sinceMs: noticedAtMs === 0 ? null : noticedAtMs, ...failureDomainLoadOf(state, failureDomain), refusedClaims,
			})),
		entries: state.entries.valueSeq()
			.map(({entryId, failureDomain, lastOffset}) => ({entryId, failureDomain, lastOffset}))
			.sortBy(entry => entry.entryId).toArray(),
		services: serviceReports(state),
		backendServers: state.backendServers.valueSeq()
			.filter(server => server.phase !== 'gone')
			.map(({backendServerId, service, vmId, phase, draining, slots, connections}) => ({
				backendServerId, service, vmId, phase: draining ? `${phase}, draining` : phase, slots, connections,
			}))
			.sortBy(server => server.backendServerId).toArray(),
		vms: state.vms.valueSeq()
			.map(vm => ({
				vmId: vm.vmId,
				failureDomain: vm.failureDomain,
				rack: vm.rack,
				condition: vmCondition(state, vm),
				committed: vm.committed,
				free: subtractResources(vm.capacity, vm.committed),
				tasks: vm.taskIds.size,
			}))
			.sortBy(vm => vm.vmId).toArray(),
		queues: queueReport(state),
		evictions: state.tasks.valueSeq().reduce((sum, task) => sum + task.evictions, 0),
	};
}

function laggingMembers(state: ClusterState, liveness: Liveness): StatusReport['configuration']['lagging'] {
	const newest = state.configuration.offset;
	const members = [
		...state.entries.valueSeq().map(({entryId}) => ({member: entryId, role: 'entry' as const, appliedOffset: liveness.appliedOffsetByEntry[entryId] ?? null})),
		...state.vms.valueSeq().filter(vm => vm.phase === 'live').map(({vmId}) => ({member: vmId, role: 'agent' as const, appliedOffset: liveness.appliedOffsetByVm[vmId] ?? null})),
	];
	return members.filter(({appliedOffset}) => appliedOffset === null || appliedOffset < newest);
}

function serviceReports(state: ClusterState): StatusReport['services'] {
	return state.configuration.services.valueSeq().sortBy(service => service.service).map(({service, teamId, latencyTargetMs}) => {
		const servers = state.backendServers.valueSeq().filter(server => server.service === service);
		const serving = servers.filter(server => server.phase === 'serving' && !server.draining);
		return {
			service,
			teamId,
			latencyTargetMs,
			serving: serving.count(),
			leaving: servers.filter(server => server.phase === 'leaving' || (server.phase === 'serving' && server.draining)).count(),
			slots: serving.reduce((sum, server) => sum + server.slots, 0),
		};
	}).toArray();
}

function vmCondition(state: ClusterState, vm: Vm): string {
	return [
		vm.phase,
		isEvacuated(state, vm.failureDomain) ? 'evacuated' : '',
		vm.draining ? 'draining' : '',
		vm.quarantined ? 'quarantined' : '',
		vm.heardBy.isEmpty() ? 'unreachable' : '',
	].filter(word => word !== '').join(', ');
}

function queueReport(state: ClusterState): StatusReport['queues'] {
	const queueLength = (priority: PriorityClass): number => state.queued.get(priority)?.size ?? 0;
	const byTeam = new Map<string, CountsByClass>();
	for (const [priority, taskIds] of state.queued) {
		for (const taskId of taskIds.keys()) {
			const teamId = state.tasks.get(taskId)?.teamId;
			if (teamId !== undefined) {
				const counts = byTeam.get(teamId) ?? noCounts;
				byTeam.set(teamId, {...counts, [priority]: counts[priority] + 1});
			}
		}
	}

	const teamIds = new Set([...byTeam.keys(), ...state.committedByTeam.keys(), ...state.configuration.quotas.keys()]);
	return {
		byClass: {urgent: queueLength('urgent'), normal: queueLength('normal'), background: queueLength('background')},
		byTeam: [...teamIds].toSorted().map(teamId => ({
			teamId,
			queued: byTeam.get(teamId) ?? noCounts,
			committed: state.committedByTeam.get(teamId) ?? noResources,
			quota: state.configuration.quotas.get(teamId) ?? null,
		})),
	};
}
