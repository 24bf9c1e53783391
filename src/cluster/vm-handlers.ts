import {Set as immutableSet} from 'immutable';
import {loseBackendServer} from './backend-server-handlers.js';
import {type ClusterRecordOf} from './cluster-record.js';
import {type ClusterState, type Task, type Vm} from './cluster-state.js';
import {isVmDrained} from './draining.js';
import {entityName, removeEntityOffset, markChanged} from './entity-offsets.js';
import {type RecordContext, type RecordHandlers} from './record-handler.js';
import {addResources, fitsInto, noResources} from './resources.js';
import {MAX_EXPIRED_VMS, MAX_FORMER_INCARNATIONS} from './state-limits.js';
import {evictTask, loseTask} from './task-transitions.js';
import {stepOf} from './workflow-progress.js';

type AgentRecord = Readonly<{vmId: string; agentIncarnation: string}>;

/** The VM that a record names, when the record is about its current agent incarnation. */
function current(state: ClusterState, record: AgentRecord): Vm | undefined {
	const vm = state.vms.get(record.vmId);
	return vm?.agentIncarnation === record.agentIncarnation ? vm : undefined;
}

/** Identifiers in one fixed order: the order of an immutable Set depends on its history, which a snapshot does not keep. */
function inOrder(ids: Iterable<string>): string[] {
	return [...ids].toSorted();
}

function loseBackendServers(state: ClusterState, vm: Vm, offset: number): ClusterState {
	let next = state;
	for (const backendServerId of inOrder(vm.backendServerIds)) {
		next = loseBackendServer(next, backendServerId, offset);
	}

	return next;
}

/** Loses those tasks of a VM for which `isLost` holds. */
function loseTasks(state: ClusterState, vm: Vm, isLost: (task: Task) => boolean, change: Readonly<{offset: number; reason: string}>): ClusterState {
	let next = state;
	for (const taskId of inOrder(vm.taskIds)) {
		const task = next.tasks.get(taskId);
		if (task && isLost(task)) {
			next = loseTask(next, task, change);
		}
	}

	return next;
}

/** Rebinds the tasks that the worker still runs to the new incarnation and counts their commitments anew. */
function retainTasks(state: ClusterState, vm: Vm, running: ReadonlyMap<string, number>, offset: number): ClusterState {
	const retained: Task[] = [];
	for (const taskId of vm.taskIds) {
		const task = state.tasks.get(taskId);
		if (task?.claim) {
			retained.push(task);
		}
	}

	retained.sort((a, b) => Number(b.claim!.counted) - Number(a.claim!.counted) || a.claim!.claimOffset - b.claim!.claimOffset);
	let committed = noResources;
	let next = state;
	const waitingTaskIds: string[] = [];
	for (const task of retained) {
		const {taskId} = task.spec;
		const claim = task.claim!;
		const sum = addResources(committed, claim.committed);
		const counted = waitingTaskIds.length === 0 && fitsInto(sum, vm.capacity);
		const phase = task.phase === 'claimed' && running.has(taskId) ? 'running' : task.phase;
		next = {
			...next,
			tasks: next.tasks.set(taskId, {
				...task, phase, changedOffset: offset, claim: {...claim, agentIncarnation: vm.agentIncarnation, counted},
			}),
		};
		if (counted) {
			committed = sum;
			continue;
		}

		waitingTaskIds.push(taskId);
		if (claim.counted) {
			// The new incarnation offers less than the earlier one did: what no longer fits must stop.
			next = evictTask(next, next.tasks.get(taskId)!, {offset, reason: `VM ${vm.vmId} offers less than before`});
		}
	}

	return {...next, vms: next.vms.set(vm.vmId, {...vm, committed, waitingTaskIds})};
}

/** Takes in an agent's new incarnation: what the worker no longer runs is lost, what it still runs continues. */
function registerIncarnation(
	state: ClusterState,
	record: ClusterRecordOf<'vm-registered'>,
	former: Vm | undefined,
	{offset, writerIncarnation}: RecordContext,
): ClusterState {
	const running = new Map(record.runningTasks.map(({taskId, attempt}) => [taskId, attempt]));
	const reason = `VM ${record.vmId} registered again without the task`;
	const settled = former
		? loseTasks(
			loseBackendServers(state, former, offset),
			former,
			task => running.get(task.spec.taskId) !== task.attempt,
			{offset, reason},
		)
		: state;
	// An agent that never heard the worker does not know what the VM is.
	const known = record.workerLost && former ? former : record;
	const vm: Vm = {
		vmId: record.vmId,
		agentIncarnation: record.agentIncarnation,
		formerAgentIncarnations: former ? [...former.formerAgentIncarnations, former.agentIncarnation].slice(-MAX_FORMER_INCARNATIONS) : [],
		workerIncarnation: known.workerIncarnation,
		failureDomain: record.failureDomain,
		rack: known.rack,
		requestAddress: record.requestAddress,
		capacity: known.capacity,
		committed: noResources,
		phase: 'live',
		draining: isVmDrained(settled, record),
		leaving: false,
		workerLost: record.workerLost === true,
		// The quarantine is the worker's, which did not change with the agent.
		quarantined: former?.workerIncarnation === known.workerIncarnation && former.quarantined,
		service: known.service ?? '',
		labels: known.labels ?? [],
		workerStartedAtMs: known.workerStartedAtMs ?? 0,
		heardBy: immutableSet([writerIncarnation]),
		taskIds: settled.vms.get(record.vmId)?.taskIds ?? immutableSet(),
		backendServerIds: immutableSet(),
		waitingTaskIds: [],
		waitingBackendServerIds: [],
	};
	const next = retainTasks({...settled, expiredVmIds: settled.expiredVmIds.delete(vm.vmId)}, vm, running, offset);
	return markChanged(next, offset, [entityName('vm', vm.vmId)]);
}

/** Remembers an expired VM and forgets the oldest of them. */
function rememberExpired(state: ClusterState, vmId: string): ClusterState {
	const expiredVmIds = state.expiredVmIds.add(vmId);
	const oldest = expiredVmIds.first();
	return expiredVmIds.size > MAX_EXPIRED_VMS && oldest !== undefined
		? removeEntityOffset({...state, expiredVmIds: expiredVmIds.delete(oldest), vms: state.vms.delete(oldest)}, entityName('vm', oldest))
		: {...state, expiredVmIds};
}

function setQuarantine(state: ClusterState, record: AgentRecord, quarantined: boolean, offset: number): ClusterState {
	const vm = current(state, record);
	return vm && vm.quarantined !== quarantined
		? markChanged({...state, vms: state.vms.set(vm.vmId, {...vm, quarantined})}, offset, [entityName('vm', vm.vmId)])
		: state;
}

/**
Tells whether run-once tasks may still run on the VM although another worker process registers under its name. Such a
worker's list says nothing of the earlier one, which may be a VM that was replaced while it is out of reach; a worker that is
known to have started later on the same VM replaced a process that has ended, and an agent whose worker is lost knows that nothing runs.
*/
function mayStillRunTasks(state: ClusterState, former: Vm, {workerIncarnation, workerStartedAtMs = 0, workerLost}: ClusterRecordOf<'vm-registered'>): boolean {
	const isSuccessor = former.workerStartedAtMs > 0 && workerStartedAtMs > former.workerStartedAtMs;
	return workerLost !== true
		&& former.phase !== 'expired'
		&& former.workerIncarnation !== workerIncarnation
		&& !isSuccessor
		&& former.taskIds.some(taskId => state.tasks.get(taskId)?.workClass === 'batch');
}

/** Ends the renewal of a VM's leases; its run-once tasks wait until the leases have certainly expired. */
function revokeVm(state: ClusterState, vm: Vm, reason: string, offset: number): ClusterState {
	if (vm.phase !== 'live') {
		return state;
	}

	const revoked = loseBackendServers({...state, vms: state.vms.set(vm.vmId, {...vm, phase: 'revoked'})}, vm, offset);
	// Replicas need no lease and may run on out of reach, so they are replaced at once.
	return loseTasks(
		markChanged(revoked, offset, [entityName('vm', vm.vmId)]),
		vm,
		task => task.workClass === 'latency-critical',
		{offset, reason: `VM ${vm.vmId} was revoked: ${reason}`},
	);
}

/** Records about VMs and their agents. */
export const vmHandlers: RecordHandlers<
	'vm-registered' | 'vm-leaving' | 'vm-unreachable' | 'vm-reachable' | 'vm-revoked' | 'vm-lease-expired' | 'vm-quarantined' | 'vm-unquarantined'
> = {
	'vm-registered'(state, record, context) {
		const {offset} = context;
		const former = state.vms.get(record.vmId);
		// Several entries register the same incarnation, and a slow one may name an incarnation that was replaced or revoked.
		if (former && (former.agentIncarnation === record.agentIncarnation || former.formerAgentIncarnations.includes(record.agentIncarnation))) {
			return state;
		}

		return former && mayStillRunTasks(state, former, record)
			? revokeVm(state, former, 'another worker registered under the name of the VM', offset)
			: registerIncarnation(state, record, former, context);
	},
	'vm-leaving'(state, record, {offset}) {
		const vm = current(state, record);
		if (!vm || vm.leaving) {
			return state;
		}

		let next = markChanged({...state, vms: state.vms.set(vm.vmId, {...vm, leaving: true})}, offset, [entityName('vm', vm.vmId)]);
		for (const taskId of inOrder(vm.taskIds)) {
			const task = next.tasks.get(taskId);
			const step = task && stepOf(next, task);
			// Short work that cannot be resumed has more from the time that is left than from a new start.
			if (task && (step?.longRunning === true || step?.checkpoints === true)) {
				next = evictTask(next, task, {offset, reason: `the worker of VM ${vm.vmId} leaves`});
			}
		}

		return next;
	},
	'vm-unreachable'(state, record, {writerIncarnation}) {
		const vm = current(state, record);
		return vm
			? {...state, vms: state.vms.set(vm.vmId, {...vm, heardBy: vm.heardBy.delete(writerIncarnation)})}
			: state;
	},
	'vm-reachable'(state, record, {writerIncarnation}) {
		const vm = current(state, record);
		return vm
			? {...state, vms: state.vms.set(vm.vmId, {...vm, heardBy: vm.heardBy.add(writerIncarnation)})}
			: state;
	},
	'vm-revoked'(state, record, {offset}) {
		const vm = current(state, record);
		return vm?.phase === 'live' && vm.heardBy.isEmpty() ? revokeVm(state, vm, record.reason, offset) : state;
	},
	'vm-lease-expired'(state, record, {offset}) {
		const vm = current(state, record);
		if (vm?.phase !== 'revoked') {
			return state;
		}

		const settled = loseTasks(state, vm, () => true, {offset, reason: `the lease of VM ${vm.vmId} expired`});
		const next = {...settled, vms: settled.vms.update(vm.vmId, vm, settledVm => ({...settledVm, phase: 'expired' as const}))};
		return markChanged(rememberExpired(next, vm.vmId), offset, [entityName('vm', vm.vmId)]);
	},
	'vm-quarantined': (state, record, {offset}) => setQuarantine(state, record, true, offset),
	'vm-unquarantined': (state, record, {offset}) => setQuarantine(state, record, false, offset),
};
