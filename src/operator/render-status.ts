import {type Resources} from '../cluster/resources.js';
import {type CountsByClass, type StatusReport} from './operator-api.js';
import {renderTable} from './render-table.js';

/**
Returns the status report as text, with a table for each part.

@example
console.log(renderStatus(report));
*/
export function renderStatus(report: StatusReport): string {
	const {configuration, log, queues} = report;
	const lagging = configuration.lagging.map(({member, role, appliedOffset}) => `${role} ${member} (${appliedOffset === null ? 'nothing reported' : `at ${appliedOffset}`})`);
	return [
		`Applied offset ${report.offset}; log ${log.reachable ? 'reachable' : 'NOT REACHABLE'}, tail read ${Math.round(log.tailAgeMs)} ms ago; ${report.evictions} evictions`,
		`Configuration of offset ${configuration.offset} is ${configuration.inForce ? 'in force' : `NOT IN FORCE; not applied by ${lagging.join(', ')}`}`,
		...report.evacuations.length === 0
			? []
			: [renderSection('Evacuated failure domains', ['failure domain', 'since', 'VMs', 'running tasks', 'claimed tasks', 'refused claims'], report.evacuations.map(evacuation => [
				evacuation.failureDomain,
				evacuation.sinceMs === null ? 'unknown' : new Date(evacuation.sinceMs).toISOString(),
				...[evacuation.vms, evacuation.runningTasks, evacuation.claimedTasks, evacuation.refusedClaims].map(String),
			]))],
		renderSection('Entries', ['entry', 'failure domain', 'last offset'], report.entries.map(entry => [entry.entryId, entry.failureDomain, String(entry.lastOffset)])),
		renderSection('Services', ['service', 'team', 'target ms', 'serving', 'leaving', 'slots'], report.services.map(service => [
			service.service, service.teamId, String(service.latencyTargetMs), String(service.serving), String(service.leaving), String(service.slots),
		])),
		renderSection('Backend servers', ['backend server', 'service', 'VM', 'phase', 'slots', 'connections'], report.backendServers.map(server => [
			server.backendServerId, server.service, server.vmId, server.phase, String(server.slots), String(server.connections),
		])),
		renderSection('VMs', ['VM', 'failure domain', 'rack', 'condition', 'committed', 'free', 'tasks'], report.vms.map(vm => [
			vm.vmId, vm.failureDomain, vm.rack, vm.condition, formatResources(vm.committed), formatResources(vm.free), String(vm.tasks),
		])),
		renderSection('Queues', ['team', 'urgent', 'normal', 'background', 'committed', 'quota'], [
			['(all)', ...countCells(queues.byClass), '', ''],
			...queues.byTeam.map(team => [team.teamId, ...countCells(team.queued), formatResources(team.committed), team.quota === null ? 'none' : formatResources(team.quota)]),
		]),
	].join('\n');
}

function renderSection(title: string, heading: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	return `\n${title}\n${rows.length === 0 ? 'none' : renderTable(heading, rows)}`;
}

function countCells(byClass: CountsByClass): readonly string[] {
	return [String(byClass.urgent), String(byClass.normal), String(byClass.background)];
}

function formatResources(resources: Resources): string {
	return `${resources.processorsMilli / 1000} cores, ${resources.memoryMb} MB, ${resources.accelerators} acc.`;
}
