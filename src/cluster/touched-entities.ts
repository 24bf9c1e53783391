import {type ClusterState} from './cluster-state.js';
import {entityName} from './entity-offsets.js';
import {type IntentByKind} from './intent-by-kind.js';
import {type Intent} from './intent.js';

type TouchedNames<Kind extends Intent['kind']> = (state: ClusterState, intent: IntentByKind[Kind]) => readonly string[];

/** Returns a backend server and its service, whose capacity changes with it. */
function backendServerEntities(state: ClusterState, backendServerId: string): readonly string[] {
	const server = state.backendServers.get(backendServerId);
	return [entityName('backend-server', backendServerId), ...(server ? [entityName('service', server.service)] : [])];
}

/** Returns a VM and the services that have backend servers on it, whose capacity changes with it. */
function vmEntities(state: ClusterState, vmId: string): readonly string[] {
	const services = new Set<string>();
	for (const backendServerId of state.vms.get(vmId)?.backendServerIds ?? []) {
		const server = state.backendServers.get(backendServerId);
		if (server) {
			services.add(entityName('service', server.service));
		}
	}

	return [entityName('vm', vmId), ...[...services].toSorted()];
}

/** Returns a failure domain and the services with backend servers in it, whose capacity changes with it. Its VMs are left out, since they change often. */
function failureDomainEntities(state: ClusterState, failureDomain: string): readonly string[] {
	const services = new Set<string>();
	for (const server of state.backendServers.values()) {
		if (server.phase !== 'gone' && state.vms.get(server.vmId)?.failureDomain === failureDomain) {
			services.add(entityName('service', server.service));
		}
	}

	return [entityName('failure-domain', failureDomain), ...[...services].toSorted()];
}

const touches: {readonly [Kind in Intent['kind']]: TouchedNames<Kind>} = {
	'admit-service': (_, {service}) => [entityName('service', service.service)],
	'remove-service': (_, {service}) => [entityName('service', service)],
	'submit-job': (_, {job}) => [entityName('job', job.jobId)],
	'cancel-job': (_, {jobId}) => [entityName('job', jobId)],
	'drain-backend-server': (state, {backendServerId}) => backendServerEntities(state, backendServerId),
	'return-backend-server': (state, {backendServerId}) => backendServerEntities(state, backendServerId),
	'drain-vm': (state, {vmId}) => vmEntities(state, vmId),
	'return-vm': (state, {vmId}) => vmEntities(state, vmId),
	'drain-failure-domain': (state, {failureDomain}) => failureDomainEntities(state, failureDomain),
	'return-failure-domain': (state, {failureDomain}) => failureDomainEntities(state, failureDomain),
	'set-request-limits': () => [entityName('setting', 'request-limits')],
	'set-quota': (_, {teamId}) => [entityName('quota', teamId)],
	'set-weights': () => [entityName('setting', 'weights')],
};

function dispatch<Kind extends Intent['kind']>(kind: Kind, state: ClusterState, intent: IntentByKind[Kind]): readonly string[] {
	return touches[kind](state, intent);
}

/**
Returns the names of the entities that an intent changes. A plan is rejected when one of them changed after its base offset.

@example
touchedEntities(state, {kind: 'drain-backend-server', backendServerId: 'b3'});
// => ['backend-server/b3', 'service/loaf-ordering']
*/
export function touchedEntities(state: ClusterState, intent: Intent): readonly string[] {
	return dispatch(intent.kind, state, intent);
}
