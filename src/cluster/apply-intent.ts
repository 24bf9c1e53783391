import {cancelJob} from './cancel-job.js';
import {type ClusterState, type Configuration} from './cluster-state.js';
import {refreshBackendServerDrain, refreshVmDrain} from './draining.js';
import {type IntentByKind} from './intent-by-kind.js';
import {type Intent} from './intent.js';
import {addJob} from './task-transitions.js';
import {commitBackendServer} from './vm-commitment.js';

type IntentHandler<Kind extends Intent['kind']> = (state: ClusterState, intent: IntentByKind[Kind], offset: number) => ClusterState;

function configure(state: ClusterState, offset: number, change: Partial<Configuration>): ClusterState {
	return {...state, configuration: {...state.configuration, ...change, offset}};
}

/** Updates the resources committed for a service's backend servers, since their demand may have changed. */
function recommitService(state: ClusterState, service: string): ClusterState {
	const ids = [...state.backendServers.values()]
		.filter(server => server.service === service && server.phase !== 'gone')
		.map(server => server.backendServerId)
		.toSorted();
	let next = state;
	for (const id of ids) {
		next = commitBackendServer(next, id);
	}

	return next;
}

function refreshVm(state: ClusterState, vmId: string, offset: number): ClusterState {
	const vm = state.vms.get(vmId);
	return vm ? refreshVmDrain(state, vm, offset) : state;
}

function refreshFailureDomain(state: ClusterState, failureDomain: string, offset: number): ClusterState {
	let next = state;
	for (const vm of state.vms.values()) {
		if (vm.failureDomain === failureDomain) {
			next = refreshVmDrain(next, vm, offset);
		}
	}

	return next;
}

function refreshBackendServer(state: ClusterState, backendServerId: string): ClusterState {
	const server = state.backendServers.get(backendServerId);
	return server ? refreshBackendServerDrain(state, server) : state;
}

const handlers: {readonly [Kind in Intent['kind']]: IntentHandler<Kind>} = {
	'admit-service': (state, {service}, offset) =>
		recommitService(configure(state, offset, {services: state.configuration.services.set(service.service, service)}), service.service),
	'remove-service': (state, {service}, offset) =>
		recommitService(configure(state, offset, {services: state.configuration.services.delete(service)}), service),
	'submit-job': (state, {job}, offset) => addJob(state, job, offset),
	'cancel-job': (state, {jobId}, offset) => cancelJob(state, jobId, offset),
	'drain-backend-server': (state, {backendServerId}, offset) => refreshBackendServer(
		configure(state, offset, {drainingBackendServerIds: state.configuration.drainingBackendServerIds.add(backendServerId)}),
		backendServerId,
	),
	'return-backend-server': (state, {backendServerId}, offset) => refreshBackendServer(
		configure(state, offset, {drainingBackendServerIds: state.configuration.drainingBackendServerIds.delete(backendServerId)}),
		backendServerId,
	),
	'drain-vm': (state, {vmId}, offset) =>
		refreshVm(configure(state, offset, {drainingVmIds: state.configuration.drainingVmIds.add(vmId)}), vmId, offset),
	'return-vm': (state, {vmId}, offset) =>
		refreshVm(configure(state, offset, {drainingVmIds: state.configuration.drainingVmIds.delete(vmId)}), vmId, offset),
	'drain-failure-domain': (state, {failureDomain}, offset) => refreshFailureDomain(
		configure(state, offset, {drainingFailureDomains: state.configuration.drainingFailureDomains.add(failureDomain)}),
		failureDomain,
		offset,
	),
	'return-failure-domain': (state, {failureDomain}, offset) => refreshFailureDomain(
		configure(state, offset, {drainingFailureDomains: state.configuration.drainingFailureDomains.delete(failureDomain)}),
		failureDomain,
		offset,
	),
	'set-request-limits': (state, {limits}, offset) => configure(state, offset, {requestLimits: limits}),
	'set-quota': (state, {teamId, quota}, offset) => configure(state, offset, {quotas: state.configuration.quotas.set(teamId, quota)}),
	'set-weights': (state, {weights}, offset) => configure(state, offset, {weights}),
};

function dispatch<Kind extends Intent['kind']>(kind: Kind, state: ClusterState, intent: IntentByKind[Kind], offset: number): ClusterState {
	return handlers[kind](state, intent, offset);
}

/**
Applies a confirmed intent to the state. The caller has checked it with `checkIntent`.

@example
applyIntent(state, {kind: 'drain-vm', vmId: 'vm-1'}, 17).vms.get('vm-1').draining; // => true
*/
export function applyIntent(state: ClusterState, intent: Intent, offset: number): ClusterState {
	return dispatch(intent.kind, state, intent, offset);
}
