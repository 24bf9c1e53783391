import {isEvacuated} from '../cluster/evacuations.js';
import {type ControlEffect} from '../entry/control-effect.js';
import {type EntryContext} from '../entry/entry-context.js';
import {type AgentLink, type ConfigurationSource} from './agent-link.js';

/**
Sends an agent the part of the configuration that concerns its VM, when it differs from the one sent last on the stream.

@example
const {link, effects} = pushConfiguration(link, context);
*/
export function pushConfiguration(
	link: AgentLink,
	context: EntryContext,
): Readonly<{link: AgentLink; effects: readonly ControlEffect[]}> {
	const {configuration, vms, backendServers} = context.cluster;
	const vm = vms.get(link.vmId);
	if (vm?.agentIncarnation !== link.agentIncarnation) {
		return {link, effects: []};
	}

	const configuredFrom: ConfigurationSource = {
		configuration, backendServers, backendServerIds: vm.backendServerIds, vmDraining: vm.draining, vmEvacuated: isEvacuated(context.cluster, vm.failureDomain),
	};
	if (link.configuredFrom && isSameSource(link.configuredFrom, configuredFrom)) {
		return {link, effects: []};
	}

	const onVm = [...vm.backendServerIds].map(id => backendServers.get(id)).filter(found => found !== undefined);
	const serviceNames = [...new Set(onVm.map(({service}) => service))].toSorted();
	const services = serviceNames
		.map(name => configuration.services.get(name))
		.filter(found => found !== undefined)
		.map(({service, latencyTargetMs, demandPerBackendServer}) => ({service, latencyTargetMs, demandPerBackendServer}));
	const drainingBackendServers = onVm
		.filter(({draining}) => draining)
		.map(({backendServerId}) => backendServerId)
		.toSorted();
	const value = {
		services, drainingBackendServers, vmDraining: vm.draining, vmEvacuated: configuredFrom.vmEvacuated,
	};
	const sentConfiguration = JSON.stringify([configuration.offset, value]);
	if (sentConfiguration === link.sentConfiguration) {
		return {link: {...link, configuredFrom}, effects: []};
	}

	return {
		link: {...link, sentConfiguration, configuredFrom},
		effects: [{
			kind: 'send-to-agent',
			vmId: link.vmId,
			command: {case: 'configuration', value: {offset: BigInt(Math.max(0, configuration.offset)), ...value}},
		}],
	};
}

function isSameSource(left: ConfigurationSource, right: ConfigurationSource): boolean {
	return left.configuration === right.configuration
		&& left.backendServers === right.backendServers
		&& left.backendServerIds === right.backendServerIds
		&& left.vmDraining === right.vmDraining
		&& left.vmEvacuated === right.vmEvacuated;
}
