import {
	type BackendServer, type ClusterState, type Task, type TaskClaim, type Vm,
} from './cluster-state.js';
import {
	addResources, fitsInto, noResources, subtractResources, type Resources,
} from './resources.js';

/**
What a backend server's service commits for it.

@example
wantedByBackendServer(state, server); // => {processorsMilli: 2000, memoryMb: 512, accelerators: 0}
*/
export function wantedByBackendServer(state: ClusterState, server: BackendServer): Resources {
	return state.configuration.services.get(server.service)?.demandPerBackendServer ?? noResources;
}

/** What claims and backend servers wait for on a VM beyond its committed sum. */
function waitingDemand(state: ClusterState, vm: Vm): Resources {
	let demand = noResources;
	for (const backendServerId of vm.waitingBackendServerIds) {
		const server = state.backendServers.get(backendServerId);
		if (server) {
			demand = addResources(demand, subtractResources(wantedByBackendServer(state, server), server.committed));
		}
	}

	for (const taskId of vm.waitingTaskIds) {
		demand = addResources(demand, state.tasks.get(taskId)?.claim?.committed ?? noResources);
	}

	return demand;
}

/** What the tasks that are being stopped on a VM, or named in `evictTaskIds`, will free. */
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
Tells how a claim of `demand` would fit on a VM: `now`, `later` when the tasks named in `evictTaskIds` have gone, or `never`.
Room that is already promised to waiting claims and backend servers does not count as free, and two claims
that name the same task cannot both rely on its room.

@example
fitOnVm(state, vm, {processorsMilli: 1000, memoryMb: 64, accelerators: 0}, []); // => 'now'
*/
export function fitOnVm(state: ClusterState, vm: Vm, demand: Resources, evictTaskIds: readonly string[]): 'now' | 'later' | 'never' {
	const nothingWaits = vm.waitingTaskIds.length === 0 && vm.waitingBackendServerIds.length === 0;
	const promised = nothingWaits ? vm.committed : addResources(vm.committed, waitingDemand(state, vm));
	const needed = addResources(promised, demand);
	if (fitsInto(needed, vm.capacity)) {
		return 'now';
	}

	if (evictTaskIds.length === 0) {
		return 'never';
	}

	return fitsInto(needed, addResources(vm.capacity, freedByStopping(state, vm, evictTaskIds))) ? 'later' : 'never';
}

/**
Gives freed room to what waits on a VM: backend servers first, then claims, each oldest first. The first one that does not
fit stops the others, so that small claims cannot starve a large one.

@example
admitWaiting(state, 'vm-1').vms.get('vm-1').waitingTaskIds; // => []
*/
export function admitWaiting(state: ClusterState, vmId: string): ClusterState {
	const vm = state.vms.get(vmId);
	if (!vm || (vm.waitingTaskIds.length === 0 && vm.waitingBackendServerIds.length === 0)) {
		return state;
	}

	let {committed} = vm;
	let {backendServers, tasks} = state;
	const fits = (demand: Resources) => fitsInto(addResources(committed, demand), vm.capacity);
	let admittedServers = 0;
	for (const backendServerId of vm.waitingBackendServerIds) {
		const server = backendServers.get(backendServerId);
		if (server) {
			const wanted = wantedByBackendServer(state, server);
			const missing = subtractResources(wanted, server.committed);
			if (!fits(missing)) {
				break;
			}

			committed = addResources(committed, missing);
			backendServers = backendServers.set(backendServerId, {...server, committed: wanted});
		}

		admittedServers++;
	}

	let admittedTasks = 0;
	for (const taskId of admittedServers === vm.waitingBackendServerIds.length ? vm.waitingTaskIds : []) {
		const task = tasks.get(taskId);
		if (task?.claim) {
			if (!fits(task.claim.committed)) {
				break;
			}

			committed = addResources(committed, task.claim.committed);
			tasks = tasks.set(taskId, {...task, claim: {...task.claim, counted: true}});
		}

		admittedTasks++;
	}

	if (admittedServers === 0 && admittedTasks === 0) {
		return state;
	}

	return {
		...state,
		backendServers,
		tasks,
		vms: state.vms.set(vmId, {
			...vm,
			committed,
			waitingBackendServerIds: vm.waitingBackendServerIds.slice(admittedServers),
			waitingTaskIds: vm.waitingTaskIds.slice(admittedTasks),
		}),
	};
}

/** Adds to what a team's live claims commit. */
function commitForTeam(state: ClusterState, teamId: string, amount: Resources): ClusterState {
	return {...state, committedByTeam: state.committedByTeam.set(teamId, addResources(state.committedByTeam.get(teamId) ?? noResources, amount))};
}

/**
Subtracts from what a team's live claims commit.

@example
releaseForTeam(state, 'team-7', claim.committed);
*/
export function releaseForTeam(state: ClusterState, teamId: string, amount: Resources): ClusterState {
	const left = subtractResources(state.committedByTeam.get(teamId) ?? noResources, amount);
	return {
		...state,
		committedByTeam: fitsInto(left, noResources) ? state.committedByTeam.delete(teamId) : state.committedByTeam.set(teamId, left),
	};
}

/**
Binds a task's next attempt to a VM and counts its commitment, at once or when room is free.

@example
bindClaim(state, task, claim).tasks.get(task.spec.taskId).phase; // => 'claimed'
*/
export function bindClaim(state: ClusterState, task: Task, claim: TaskClaim): ClusterState {
	const {taskId} = task.spec;
	const vm = state.vms.get(claim.vmId);
	if (!vm) {
		return state;
	}

	return commitForTeam({
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
Frees the room of a task's live attempt on the VM and in its team's quota and gives the room to what waits there. The caller stores
the task without its claim.

@example
releaseClaim(state, task).vms.get('vm-1').taskIds.has(task.spec.taskId); // => false
*/
export function releaseClaim(state: ClusterState, task: Task): ClusterState {
	const {claim, spec: {taskId}} = task;
	if (!claim) {
		return state;
	}

	const released = releaseForTeam(state, task.teamId, claim.committed);
	const vm = released.vms.get(claim.vmId);
	if (!vm) {
		return released;
	}

	return admitWaiting({
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
Commits what a backend server's service wants for it, as far as the VM has room; the rest waits.

@example
commitBackendServer(state, 'b3').backendServers.get('b3').committed; // => {processorsMilli: 2000, memoryMb: 512, accelerators: 0}
*/
export function commitBackendServer(state: ClusterState, backendServerId: string): ClusterState {
	const server = state.backendServers.get(backendServerId);
	const vm = server && state.vms.get(server.vmId);
	if (!server || !vm) {
		return state;
	}

	const wanted = wantedByBackendServer(state, server);
	const surplus = subtractResources(server.committed, wanted);
	const kept = subtractResources(server.committed, surplus);
	return admitWaiting({
		...state,
		backendServers: state.backendServers.set(backendServerId, {...server, committed: kept}),
		vms: state.vms.set(vm.vmId, {
			...vm,
			committed: subtractResources(vm.committed, surplus),
			waitingBackendServerIds: fitsInto(wanted, kept) || vm.waitingBackendServerIds.includes(backendServerId)
				? vm.waitingBackendServerIds
				: [...vm.waitingBackendServerIds, backendServerId],
		}),
	}, vm.vmId);
}

/**
Frees what a backend server committed on its VM and takes it off the VM.

@example
releaseBackendServer(state, 'b3').vms.get('vm-1').backendServerIds.has('b3'); // => false
*/
export function releaseBackendServer(state: ClusterState, backendServerId: string): ClusterState {
	const server = state.backendServers.get(backendServerId);
	const vm = server && state.vms.get(server.vmId);
	if (!server || !vm?.backendServerIds.has(backendServerId)) {
		return state;
	}

	return admitWaiting({
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
