import {
	type BackendServer, type ClusterState, type Task, type TaskClaim, type Vm,
} from './cluster-state.js';
import {
	addResources, fitsInto, noResources, subtractResources, type Resources,
} from './resources.js';

/**
Returns the resources that a backend server's service demands for each of its backend servers. None when the service is not admitted.

@example
demandOfBackendServer(state, server); // => {processorsMilli: 2000, memoryMb: 512, accelerators: 0}
*/
export function demandOfBackendServer(state: ClusterState, server: BackendServer): Resources {
	return state.configuration.services.get(server.service)?.demandPerBackendServer ?? noResources;
}

/** Returns the resources that claims and backend servers wait for on a VM, beyond its committed sum. */
function waitingDemand(state: ClusterState, vm: Vm): Resources {
	let demand = noResources;
	for (const backendServerId of vm.waitingBackendServerIds) {
		const server = state.backendServers.get(backendServerId);
		if (server) {
			demand = addResources(demand, subtractResources(demandOfBackendServer(state, server), server.committed));
		}
	}

	for (const taskId of vm.waitingTaskIds) {
		demand = addResources(demand, state.tasks.get(taskId)?.claim?.committed ?? noResources);
	}

	return demand;
}

/** Returns the resources that a VM frees once the tasks that are stopping, and those in `evictTaskIds`, have ended. */
function freedByStopping(state: ClusterState, vm: Vm, evictTaskIds: readonly string[]): Resources {
	let freed = noResources;
	for (const taskId of vm.taskIds) {
		const task = state.tasks.get(taskId);
		if (task?.claim && (task.phase === 'evicting' || task.phase === 'cancelling' || evictTaskIds.includes(taskId))) {
			freed = addResources(freed, task.claim.committed);
		}
	}

	return freed;
}

/**
Returns when a claim of `demand` fits on a VM: `now`, `later` (once the tasks in `evictTaskIds` have ended) or `never`.
Resources that waiting claims and backend servers will use do not count as free. Two claims that name the same task to evict therefore
cannot both use the resources that it frees.

@example
fitOnVm(state, vm, {processorsMilli: 1000, memoryMb: 64, accelerators: 0}, []); // => 'now'
*/
export function fitOnVm(state: ClusterState, vm: Vm, demand: Resources, evictTaskIds: readonly string[]): 'now' | 'later' | 'never' {
	const isNothingWaiting = vm.waitingTaskIds.length === 0 && vm.waitingBackendServerIds.length === 0;
	const committedAndWaiting = isNothingWaiting ? vm.committed : addResources(vm.committed, waitingDemand(state, vm));
	const needed = addResources(committedAndWaiting, demand);
	if (fitsInto(needed, vm.capacity)) {
		return 'now';
	}

	if (evictTaskIds.length === 0) {
		return 'never';
	}

	return fitsInto(needed, addResources(vm.capacity, freedByStopping(state, vm, evictTaskIds))) ? 'later' : 'never';
}

/**
Commits a VM's free resources to its waiting backend servers and then to its waiting claims, each oldest first. It stops at
the first one that does not fit, so that small claims cannot starve a large one.

@example
commitWaiting(state, 'vm-1').vms.get('vm-1').waitingTaskIds; // => []
*/
export function commitWaiting(state: ClusterState, vmId: string): ClusterState {
	const vm = state.vms.get(vmId);
	if (!vm || (vm.waitingTaskIds.length === 0 && vm.waitingBackendServerIds.length === 0)) {
		return state;
	}

	let {committed} = vm;
	let {backendServers, tasks} = state;
	const fits = (demand: Resources) => fitsInto(addResources(committed, demand), vm.capacity);
	let committedServers = 0;
	for (const backendServerId of vm.waitingBackendServerIds) {
		const server = backendServers.get(backendServerId);
		if (server) {
			const demand = demandOfBackendServer(state, server);
			const missing = subtractResources(demand, server.committed);
			if (!fits(missing)) {
				break;
			}

			committed = addResources(committed, missing);
			backendServers = backendServers.set(backendServerId, {...server, committed: demand});
		}

		committedServers++;
	}

	let committedTasks = 0;
	for (const taskId of committedServers === vm.waitingBackendServerIds.length ? vm.waitingTaskIds : []) {
		const task = tasks.get(taskId);
		if (task?.claim) {
			if (!fits(task.claim.committed)) {
				break;
			}

			committed = addResources(committed, task.claim.committed);
			tasks = tasks.set(taskId, {...task, claim: {...task.claim, counted: true}});
		}

		committedTasks++;
	}

	if (committedServers === 0 && committedTasks === 0) {
		return state;
	}

	return {
		...state,
		backendServers,
		tasks,
		vms: state.vms.set(vmId, {
			...vm,
			committed,
			waitingBackendServerIds: vm.waitingBackendServerIds.slice(committedServers),
			waitingTaskIds: vm.waitingTaskIds.slice(committedTasks),
		}),
	};
}

/** Adds an amount to the sum that a team's live claims commit. */
function addTeamCommitment(state: ClusterState, teamId: string, amount: Resources): ClusterState {
	return {...state, committedByTeam: state.committedByTeam.set(teamId, addResources(state.committedByTeam.get(teamId) ?? noResources, amount))};
}

/**
Subtracts an amount from the sum that a team's live claims commit.

@example
subtractTeamCommitment(state, 'team-7', claim.committed);
*/
export function subtractTeamCommitment(state: ClusterState, teamId: string, amount: Resources): ClusterState {
	const remaining = subtractResources(state.committedByTeam.get(teamId) ?? noResources, amount);
	return {
		...state,
		committedByTeam: fitsInto(remaining, noResources) ? state.committedByTeam.delete(teamId) : state.committedByTeam.set(teamId, remaining),
	};
}

/**
Binds a task's next attempt to a VM. Its resources are committed at once when `claim.counted` is set; otherwise the claim waits for free resources.

@example
bindClaim(state, task, claim).tasks.get(task.spec.taskId).phase; // => 'claimed'
*/
export function bindClaim(state: ClusterState, task: Task, claim: TaskClaim): ClusterState {
	const {taskId} = task.spec;
	const vm = state.vms.get(claim.vmId);
	if (!vm) {
		return state;
	}

	return addTeamCommitment({
		...state,
		tasks: state.tasks.set(taskId, {
			...task, phase: 'claimed', attempt: task.attempt + 1, claim, changedOffset: claim.claimOffset, reason: claim.decision.reason,
		}),
		vms: state.vms.set(claim.vmId, {
			...vm,
			taskIds: vm.taskIds.add(taskId),
			committed: claim.counted ? addResources(vm.committed, claim.committed) : vm.committed,
			waitingTaskIds: claim.counted ? vm.waitingTaskIds : [...vm.waitingTaskIds, taskId],
		}),
	}, task.teamId, claim.committed);
}

/**
Releases the resources of a task's live attempt on the VM and in its team's quota, and commits them to what waits on the VM. The caller
stores the task without its claim.

@example
releaseClaim(state, task).vms.get('vm-1').taskIds.has(task.spec.taskId); // => false
*/
export function releaseClaim(state: ClusterState, task: Task): ClusterState {
	const {claim, spec: {taskId}} = task;
	if (!claim) {
		return state;
	}

	const released = subtractTeamCommitment(state, task.teamId, claim.committed);
	const vm = released.vms.get(claim.vmId);
	if (!vm) {
		return released;
	}

	return commitWaiting({
		...released,
		vms: released.vms.set(claim.vmId, {
			...vm,
			taskIds: vm.taskIds.delete(taskId),
			committed: claim.counted ? subtractResources(vm.committed, claim.committed) : vm.committed,
			waitingTaskIds: claim.counted ? vm.waitingTaskIds : vm.waitingTaskIds.filter(id => id !== taskId),
		}),
	}, claim.vmId);
}

/**
Updates the resources committed for a backend server to its service's demand. A surplus is released; an increase is committed once it fits on the VM.

@example
commitBackendServer(state, 'b3').backendServers.get('b3').committed; // => {processorsMilli: 2000, memoryMb: 512, accelerators: 0}
*/
export function commitBackendServer(state: ClusterState, backendServerId: string): ClusterState {
	const server = state.backendServers.get(backendServerId);
	const vm = server && state.vms.get(server.vmId);
	if (!server || !vm) {
		return state;
	}

	const demand = demandOfBackendServer(state, server);
	const surplus = subtractResources(server.committed, demand);
	const retained = subtractResources(server.committed, surplus);
	return commitWaiting({
		...state,
		backendServers: state.backendServers.set(backendServerId, {...server, committed: retained}),
		vms: state.vms.set(vm.vmId, {
			...vm,
			committed: subtractResources(vm.committed, surplus),
			waitingBackendServerIds: fitsInto(demand, retained) || vm.waitingBackendServerIds.includes(backendServerId)
				? vm.waitingBackendServerIds
				: [...vm.waitingBackendServerIds, backendServerId],
		}),
	}, vm.vmId);
}

/**
Releases the resources of a backend server and removes it from its VM.

@example
releaseBackendServer(state, 'b3').vms.get('vm-1').backendServerIds.has('b3'); // => false
*/
export function releaseBackendServer(state: ClusterState, backendServerId: string): ClusterState {
	const server = state.backendServers.get(backendServerId);
	const vm = server && state.vms.get(server.vmId);
	if (!server || !vm?.backendServerIds.has(backendServerId)) {
		return state;
	}

	return commitWaiting({
		...state,
		backendServers: state.backendServers.set(backendServerId, {...server, committed: noResources}),
		vms: state.vms.set(vm.vmId, {
			...vm,
			backendServerIds: vm.backendServerIds.delete(backendServerId),
			committed: subtractResources(vm.committed, server.committed),
			waitingBackendServerIds: vm.waitingBackendServerIds.filter(id => id !== backendServerId),
		}),
	}, vm.vmId);
}
