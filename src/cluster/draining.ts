import {type BackendServer, type ClusterState, type Vm} from './cluster-state.js';
import {evictTask} from './task-transitions.js';

/** Returns whether operators drain a VM, by itself or with its failure domain. */
export function isVmDrained(state: ClusterState, vm: Readonly<{vmId: string; failureDomain: string}>): boolean {
	return state.configuration.drainingVmIds.has(vm.vmId) || state.configuration.drainingFailureDomains.has(vm.failureDomain);
}

/** Returns whether operators drain a backend server, by itself or with its VM. */
export function isBackendServerDrained(state: ClusterState, server: Readonly<{backendServerId: string; vmId: string}>): boolean {
	return state.configuration.drainingBackendServerIds.has(server.backendServerId) || (state.vms.get(server.vmId)?.draining ?? false);
}

/**
Updates the draining flag of a backend server from the configuration.

@example
refreshBackendServerDrain(state, server).backendServers.get('b3').draining; // => true
*/
export function refreshBackendServerDrain(state: ClusterState, server: BackendServer): ClusterState {
	const draining = isBackendServerDrained(state, server);
	return draining === server.draining
		? state
		: {...state, backendServers: state.backendServers.set(server.backendServerId, {...server, draining})};
}

/**
Updates the draining flags of a VM and its backend servers from the configuration. The tasks of a VM that starts draining are
marked for eviction.

@example
refreshVmDrain(state, vm, 17).vms.get('vm-1').draining; // => true
*/
export function refreshVmDrain(state: ClusterState, vm: Vm, offset: number): ClusterState {
	const draining = isVmDrained(state, vm);
	if (draining === vm.draining) {
		return state;
	}

	let next: ClusterState = {...state, vms: state.vms.set(vm.vmId, {...vm, draining})};
	for (const backendServerId of vm.backendServerIds) {
		const server = next.backendServers.get(backendServerId);
		if (server) {
			next = refreshBackendServerDrain(next, server);
		}
	}

	if (draining) {
		for (const taskId of vm.taskIds) {
			const task = next.tasks.get(taskId);
			if (task) {
				next = evictTask(next, task, {offset, reason: `VM ${vm.vmId} is drained`});
			}
		}
	}

	return next;
}
