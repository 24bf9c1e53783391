import {boundedText} from '../validation/bounded-text.js';
import {type ClusterState, type Task, type Vm} from './cluster-state.js';

/** Checks of parts of a state. Each returns what is contradictory, or `undefined`. */
const checks: ReadonlyArray<(state: ClusterState) => string | undefined> = [
	state => firstOf(state.tasks.values(), task => checkTask(state, task)),
	state => firstOf(state.vms.values(), vm => checkVm(state, vm)),
	state => firstOf(state.queued, ([priority, queue]) => firstOf(queue.keys(), taskId => {
		const task = state.tasks.get(taskId);
		return task?.phase === 'queued' && task.priority === priority ? undefined : `task ${boundedText(taskId)} is in a queue and not queued`;
	})),
	state => firstOf(state.entries.values(), ({entryId, lastOffset}) => checkOffset(state, lastOffset, `entry ${entryId}`)),
	state => firstOf(state.keys.values(), ({keyHash, claimOffset}) => checkOffset(state, claimOffset, `key ${keyHash}`)),
	state => firstOf(state.earlyCancellations, ([jobId, offset]) => checkOffset(state, offset, `the cancellation of ${boundedText(jobId)}`)),
	state => firstOf(state.planDecisions.values(), ({planId, offset}) => checkOffset(state, offset, `plan ${planId}`)),
	state => firstOf(state.entityOffsets, ([name, offset]) => checkOffset(state, offset, name)),
	state => firstOf(state.configuration.evacuations, ([failureDomain, {offset}]) => checkOffset(state, offset, `the evacuation of ${boundedText(failureDomain)}`)),
	state => checkOffset(state, state.configuration.offset, 'the configuration') ?? checkOffset(state, state.keysForgottenThroughOffset, 'the end of the expired keys')
		?? checkOffset(state, state.earlyCancellationsForgottenThroughOffset, 'the end of the forgotten cancellations'),
];

/**
Returns what is contradictory in a state that another process wrote, such as a claim for a VM that does not exist; `undefined` when nothing is found.

@example
checkClusterState(emptyClusterState); // => undefined
*/
export function checkClusterState(state: ClusterState): string | undefined {
	return firstOf(checks, check => check(state));
}

function firstOf<Value>(values: Iterable<Value>, check: (value: Value) => string | undefined): string | undefined {
	for (const value of values) {
		const problem = check(value);
		if (problem !== undefined) {
			return problem;
		}
	}

	return undefined;
}

function checkOffset(state: ClusterState, offset: number, name: string): string | undefined {
	return offset <= state.offset ? undefined : `${boundedText(name)} is of offset ${offset}, after the state's offset ${state.offset}`;
}

function checkTask(state: ClusterState, {spec: {taskId}, claim, jobId, position, submittedOffset, changedOffset}: Task): string | undefined {
	const name = `task ${boundedText(taskId)}`;
	const needsStep = position !== undefined && state.workflows.get(jobId)?.workflow.steps[position.stepIndex] === undefined;
	if (needsStep) {
		return `${name} is of a step that does not exist`;
	}

	if (claim && !state.vms.get(claim.vmId)?.taskIds.has(taskId)) {
		return `${name} is claimed for VM ${boundedText(claim.vmId)}, which does not have it`;
	}

	return checkOffset(state, Math.max(submittedOffset, changedOffset, claim?.claimOffset ?? -1), name);
}

function checkVm(state: ClusterState, {vmId, taskIds, waitingTaskIds, backendServerIds, contact}: Vm): string | undefined {
	const name = `VM ${boundedText(vmId)}`;
	return firstOf([...taskIds, ...waitingTaskIds], taskId => state.tasks.get(taskId)?.claim?.vmId === vmId ? undefined : `${name} has task ${boundedText(taskId)}, which is not claimed for it`)
		?? firstOf(backendServerIds, id => state.backendServers.get(id)?.vmId === vmId ? undefined : `${name} has backend server ${boundedText(id)}, which is not on it`)
		?? checkOffset(state, Math.max(contact.withdrawnOffset ?? -1, contact.endedOffset ?? -1), name);
}
