import {Set as immutableSet} from 'immutable';
import {markBackendServerGone} from './backend-server-handlers.js';
import {type ClusterRecordOf} from './cluster-record.js';
import {type ClusterState, type Task, type Vm} from './cluster-state.js';
import {isVmDrained} from './draining.js';
import {entityName, removeEntityOffset, markChanged} from './entity-offsets.js';
import {type RecordContext, type RecordHandlers} from './record-handler.js';
import {addResources, fitsInto, noResources} from './resources.js';
import {MAX_EXPIRED_VMS, MAX_FORMER_INCARNATIONS} from './state-limits.js';
import {evictTask, handleLostAttempt} from './task-transitions.js';
import {newContact, unboundedContact, withdrawHearer} from './vm-contact.js';
import {addVmOffer} from './vm-offer.js';
import {stepOf} from './workflow-progress.js';

type AgentRecord = Readonly<{vmId: string; agentIncarnation: string}>;

/** Returns the VM that a record names; undefined when the record is about another agent incarnation than the current one. */
function vmOfCurrentAgent(state: ClusterState, record: AgentRecord): Vm | undefined {
	const vm = state.vms.get(record.vmId);
	return vm?.agentIncarnation === record.agentIncarnation ? vm : undefined;
}

/** Returns IDs in a deterministic order. The iteration order of an immutable Set depends on its history, which a snapshot does not keep. */
function sortedIds(ids: Iterable<string>): string[] {
	return [...ids].toSorted();
}

function markBackendServersGone(state: ClusterState, vm: Vm, offset: number): ClusterState {
	let next = state;
	for (const backendServerId of sortedIds(vm.backendServerIds)) {
		next = markBackendServerGone(next, backendServerId, offset);
	}

	return next;
}

/** Handles the loss of those live attempts on a VM for whose task `isLost` returns true. */
function handleLostAttempts(state: ClusterState, vm: Vm, isLost: (task: Task) => boolean, change: Readonly<{offset: number; reason: string}>): ClusterState {
	let next = state;
	for (const taskId of sortedIds(vm.taskIds)) {
		const task = next.tasks.get(taskId);
		if (task && isLost(task)) {
			next = handleLostAttempt(next, task, change);
		}
	}

	return next;
}

/**
Rebinds the tasks that the worker still runs to the new agent incarnation and recomputes the committed sum. Claims that were counted come before
those that were not, and older claims before newer ones. From the first claim that does not fit, all claims wait; of these, tasks whose claim was
counted before are evicted.
*/
function rebindTasks(state: ClusterState, vm: Vm, running: ReadonlyMap<string, number>, offset: number): ClusterState {
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
			// The new incarnation has less capacity than the former one, so tasks that no longer fit must stop.
			next = evictTask(next, next.tasks.get(taskId)!, {offset, reason: `VM ${vm.vmId} offers less than before`});
		}
	}

	return {...next, vms: next.vms.set(vm.vmId, {...vm, committed, waitingTaskIds})};
}

/** Registers a new agent incarnation. Tasks that the worker no longer runs are handled as lost, the others continue. */
function registerIncarnation(
	state: ClusterState,
	record: ClusterRecordOf<'vm-registered'>,
	former: Vm | undefined,
	{offset, writerIncarnation}: RecordContext,
): ClusterState {
	const running = new Map(record.runningTasks.map(({taskId, attempt}) => [taskId, attempt]));
	const reason = `VM ${record.vmId} registered again without the task`;
	const reconciled = former
		? handleLostAttempts(
			markBackendServersGone(state, former, offset),
			former,
			task => running.get(task.spec.taskId) !== task.attempt,
			{offset, reason},
		)
		: state;
	// An agent whose worker is lost may never have received the worker's list, so what the list describes is taken from the former incarnation.
	const description = record.workerLost && former ? former : record;
	const vm: Vm = {
		vmId: record.vmId,
		agentIncarnation: record.agentIncarnation,
		formerAgentIncarnations: former ? [...former.formerAgentIncarnations, former.agentIncarnation].slice(-MAX_FORMER_INCARNATIONS) : [],
		workerIncarnation: description.workerIncarnation,
		failureDomain: record.failureDomain,
		rack: description.rack,
		requestAddress: record.requestAddress,
		capacity: description.capacity,
		committed: noResources,
		phase: 'live',
		draining: isVmDrained(reconciled, record),
		leaving: false,
		workerLost: record.workerLost === true,
		// A quarantine applies to the worker process. A new agent incarnation with the same worker does not end it.
		quarantined: former?.workerIncarnation === description.workerIncarnation && former.quarantined,
		service: description.service ?? '',
		labels: description.labels ?? [],
		workerStartedAtMs: description.workerStartedAtMs ?? 0,
		heardBy: immutableSet([writerIncarnation]),
		contact: newContact,
		taskIds: reconciled.vms.get(record.vmId)?.taskIds ?? immutableSet(),
		backendServerIds: immutableSet(),
		waitingTaskIds: [],
		waitingBackendServerIds: [],
	};
	const next = rebindTasks({
		...reconciled, expiredVmIds: reconciled.expiredVmIds.delete(vm.vmId), vmOffers: addVmOffer(reconciled.vmOffers, vm),
	}, vm, running, offset);
	return markChanged(next, offset, [entityName('vm', vm.vmId)]);
}

/** Records an expired VM and removes the oldest one when there are more than `MAX_EXPIRED_VMS`. */
function recordExpiredVm(state: ClusterState, vmId: string): ClusterState {
	const expiredVmIds = state.expiredVmIds.add(vmId);
	const oldest = expiredVmIds.first();
	return expiredVmIds.size > MAX_EXPIRED_VMS && oldest !== undefined
		? removeEntityOffset({...state, expiredVmIds: expiredVmIds.delete(oldest), vms: state.vms.delete(oldest)}, entityName('vm', oldest))
		: {...state, expiredVmIds};
}

function setQuarantine(state: ClusterState, record: AgentRecord, quarantined: boolean, offset: number): ClusterState {
	const vm = vmOfCurrentAgent(state, record);
	return vm && vm.quarantined !== quarantined
		? markChanged({...state, vms: state.vms.set(vm.vmId, {...vm, quarantined})}, offset, [entityName('vm', vm.vmId)])
		: state;
}

/** Returns the host of a VM's request address. It tells the machines apart that bear the name of a VM one after the other. */
function machineOf({requestAddress}: Pick<Vm, 'requestAddress'>): string {
	return requestAddress.split(':', 1)[0] ?? '';
}

/**
Returns whether batch tasks of the former worker may still run although another worker process registers under the same VM ID. They may: when an
unreachable VM was replaced, its worker may run on, and the new worker's list does not include the tasks. They have certainly stopped when the former
incarnation's lease has expired, and on the same machine also when the new worker is known to have started later or the agent reports its worker as
lost. Of another machine's worker neither says anything.
*/
function mayStillRunTasks(state: ClusterState, former: Vm, record: ClusterRecordOf<'vm-registered'>): boolean {
	const {workerIncarnation, workerStartedAtMs = 0, workerLost} = record;
	const isSuccessor = former.workerStartedAtMs > 0 && workerStartedAtMs > former.workerStartedAtMs;
	const hasStoppedTasks = machineOf(former) === machineOf(record) && (isSuccessor || workerLost === true);
	return !hasStoppedTasks
		&& former.phase !== 'expired'
		&& former.workerIncarnation !== workerIncarnation
		&& former.taskIds.some(taskId => state.tasks.get(taskId)?.workClass === 'batch');
}

/** Revokes a VM, so that its leases are not renewed. Its batch tasks stay bound to it until the leases have certainly expired. */
function revokeVm(state: ClusterState, vm: Vm, reason: string, offset: number): ClusterState {
	if (vm.phase !== 'live') {
		return state;
	}

	const revoked = markBackendServersGone({...state, vms: state.vms.set(vm.vmId, {...vm, phase: 'revoked'})}, vm, offset);
	// Latency-critical tasks need no lease and may run on while the VM is unreachable. They are replaced at once, without waiting until they have stopped.
	return handleLostAttempts(
		markChanged(revoked, offset, [entityName('vm', vm.vmId)]),
		vm,
		task => task.workClass === 'latency-critical',
		{offset, reason: `VM ${vm.vmId} was revoked: ${reason}`},
	);
}

/** Handlers of records about VMs and their agents. */
export const vmHandlers: RecordHandlers<
	'vm-registered' | 'vm-bounds-contact' | 'vm-leaving' | 'vm-unreachable' | 'vm-reachable' | 'vm-revoked' | 'vm-lease-expired' | 'vm-quarantined' | 'vm-unquarantined'
> = {
	'vm-registered'(state, record, context) {
		const {offset} = context;
		const former = state.vms.get(record.vmId);
		// Several entries register the same incarnation, and a delayed registration may name an incarnation that was replaced or revoked.
		if (former && (former.agentIncarnation === record.agentIncarnation || former.formerAgentIncarnations.includes(record.agentIncarnation))) {
			return state;
		}

		return former && mayStillRunTasks(state, former, record)
			// The entries have not withdrawn, so nothing bounds the contact of the former incarnation.
			? revokeVm(state, {...former, contact: unboundedContact}, 'another worker registered under the name of the VM', offset)
			: registerIncarnation(state, record, former, context);
	},
	'vm-bounds-contact'(state, record) {
		const vm = vmOfCurrentAgent(state, record);
		return vm?.phase === 'live' && vm.contact.isBounded && vm.contact.limitMs === undefined
			? {...state, vms: state.vms.set(vm.vmId, {...vm, contact: {...vm.contact, limitMs: record.limitMs}})}
			: state;
	},
	'vm-leaving'(state, record, {offset}) {
		const vm = vmOfCurrentAgent(state, record);
		if (!vm || vm.leaving) {
			return state;
		}

		let next = markChanged({...state, vms: state.vms.set(vm.vmId, {...vm, leaving: true})}, offset, [entityName('vm', vm.vmId)]);
		for (const taskId of sortedIds(vm.taskIds)) {
			const task = next.tasks.get(taskId);
			const step = task && stepOf(next, task);
			// Tasks that are neither long-running nor checkpointed keep running: an eviction would lose their progress, and they may still finish in time.
			if (task && (step?.longRunning === true || step?.checkpoints === true)) {
				next = evictTask(next, task, {offset, reason: `the worker of VM ${vm.vmId} leaves`});
			}
		}

		return next;
	},
	'vm-unreachable'(state, record, {offset, writerIncarnation}) {
		const vm = vmOfCurrentAgent(state, record);
		return vm
			? {...state, vms: state.vms.set(vm.vmId, withdrawHearer(vm, state.entries.get(writerIncarnation) ?? {incarnation: writerIncarnation}, offset))}
			: state;
	},
	'vm-reachable'(state, record, {writerIncarnation}) {
		const vm = vmOfCurrentAgent(state, record);
		return vm
			? {...state, vms: state.vms.set(vm.vmId, {...vm, heardBy: vm.heardBy.add(writerIncarnation)})}
			: state;
	},
	'vm-revoked'(state, record, {offset}) {
		const vm = vmOfCurrentAgent(state, record);
		return vm?.phase === 'live' && vm.heardBy.isEmpty() ? revokeVm(state, vm, record.reason, offset) : state;
	},
	'vm-lease-expired'(state, record, {offset}) {
		const vm = vmOfCurrentAgent(state, record);
		if (vm?.phase !== 'revoked') {
			return state;
		}

		const reconciled = handleLostAttempts(state, vm, () => true, {offset, reason: `the lease of VM ${vm.vmId} expired`});
		const next = {...reconciled, vms: reconciled.vms.update(vm.vmId, vm, expiredVm => ({...expiredVm, phase: 'expired' as const}))};
		return markChanged(recordExpiredVm(next, vm.vmId), offset, [entityName('vm', vm.vmId)]);
	},
	'vm-quarantined': (state, record, {offset}) => setQuarantine(state, record, true, offset),
	'vm-unquarantined': (state, record, {offset}) => setQuarantine(state, record, false, offset),
};
