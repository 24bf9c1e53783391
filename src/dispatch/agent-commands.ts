import {
	type ClusterState, type Task, type TaskPhase, type Vm,
} from '../cluster/cluster-state.js';
import {newerRequests} from '../cluster/evacuations.js';
import {isLiveAgent} from '../cluster/liveness.js';
import {stepOf} from '../cluster/workflow-progress.js';
import {type AgentCommand, type ControlEffect} from '../entry/control-effect.js';
import {type EntryContext} from '../entry/entry-context.js';
import {type LatencyImpactEstimates, type PressReport, latencyImpactReports} from '../agent/latency-impact-estimates.js';
import {maxCount} from '../validation/bounds.js';
import {fillingDemandMilli, fillingLoadOf} from '../placement/filling-work.js';
import {type AgentLink} from './agent-link.js';

/** Time after which a command without an effect in the cluster state is sent again. */
const commandRepeatMs = 2000;

/**
Age of an entry's view of the log from which on it sends no starts: an evacuation that it has not read may stand. With the time until the request is in
the log, starts then end well within 5 s after the request; it is twice the age from which on an entry places nothing.
*/
const maxViewAgeOfStartsMs = 3000;

/** Time at which this entry read each claim, by task and attempt, so that it can take over the commands of a writer that may have ended. */
export type ClaimReadTimes = Readonly<{get: (key: string) => number | undefined}>;

/** Inputs of commands besides the cluster state. */
export type CommandInputs = Readonly<{claimReadTimes: ClaimReadTimes; latencyImpacts: LatencyImpactEstimates}>;

type CommandTransition = Readonly<{link: AgentLink; effects: readonly ControlEffect[]}>;

/**
Compares the claims for a VM with the commands that were sent on the agent's stream, and sends the missing ones.

@example
const {link, effects} = reconcileCommands(link, {claimReadTimes, latencyImpacts}, context);
*/
export function reconcileCommands(link: AgentLink, {claimReadTimes, latencyImpacts}: CommandInputs, context: EntryContext): CommandTransition {
	const vm = context.cluster.vms.get(link.vmId);
	if (!vm || !isLiveAgent(context.cluster, link.vmId, link.agentIncarnation)) {
		return {link, effects: []};
	}

	const sentCommands = link.sentCommands.isEmpty()
		? link.sentCommands
		: link.sentCommands.filter((_sentAtMs, key) => vm.taskIds.has(taskIdOf(key)));
	return sendCommands({...link, sentCommands}, vm.taskIds, {claimReadTimes, latencyImpacts}, context);
}

/**
Sends the missing commands for some of a VM's tasks. The other tasks are compared when the agent's next message arrives.

@example
const {link, effects} = sendCommands(link, ['task-1'], {claimReadTimes, latencyImpacts}, context);
*/
export function sendCommands(
	link: AgentLink,
	taskIds: Iterable<string>,
	{claimReadTimes, latencyImpacts}: CommandInputs,
	context: EntryContext,
): CommandTransition {
	const vm = context.cluster.vms.get(link.vmId);
	if (!vm || !isLiveAgent(context.cluster, link.vmId, link.agentIncarnation)) {
		return {link, effects: []};
	}

	const effects: ControlEffect[] = [];
	let {sentCommands} = link;
	for (const taskId of taskIds) {
		const task = context.cluster.tasks.get(taskId);
		const commandCase = task && commandCaseByPhase[task.phase];
		if (!task || !commandCase || !maySendCommand(task, claimReadTimes, context) || (commandCase === 'startTask' && !maySendStart(vm, link, context))) {
			continue;
		}

		const key = `${taskId}/${task.attempt}/${commandCase}`;
		const sentAtMs = sentCommands.get(key);
		if (sentAtMs !== undefined && context.nowMs - sentAtMs < commandRepeatMs) {
			continue;
		}

		const command = commandFor(task, vm, latencyImpacts, context.cluster);
		if (command) {
			sentCommands = sentCommands.set(key, context.nowMs);
			effects.push({kind: 'send-to-agent', vmId: link.vmId, command});
		}
	}

	return {link: sentCommands === link.sentCommands ? link : {...link, sentCommands}, effects};
}

/**
Cancels the tasks that an agent runs without a claim for its VM, such as an attempt that was claimed for another VM after the lease
expired.

@example
const effects = cancelUnclaimedTasks(link, context);
*/
export function cancelUnclaimedTasks(link: AgentLink, context: EntryContext): readonly ControlEffect[] {
	return link.hello.runningTasks
		.filter(running => {
			const task = context.cluster.tasks.get(running.taskId);
			return task?.claim?.vmId !== link.vmId || task.attempt !== running.attempt;
		})
		.map(({taskId, attempt}) => ({
			kind: 'send-to-agent',
			vmId: link.vmId,
			command: {case: 'cancelTask', value: {taskId, attempt}},
		}));
}

/** Command for a task in each phase that needs one. */
const commandCaseByPhase: Readonly<Partial<Record<TaskPhase, AgentCommand['case']>>> = {
	claimed: 'startTask', evicting: 'evictTask', cancelling: 'cancelTask',
};

function commandFor(task: Task, vm: Vm, latencyImpacts: LatencyImpactEstimates, cluster: ClusterState): AgentCommand | undefined {
	const {claim, attempt} = task;
	const {taskId} = task.spec;
	const {agentIncarnation} = vm;
	if (claim?.vmId !== vm.vmId) {
		return undefined;
	}

	switch (task.phase) {
		case 'claimed': {
			return {
				case: 'startTask',
				value: {
					taskId,
					attempt,
					agentIncarnation,
					claimOffset: BigInt(claim.claimOffset),
					latencyCritical: task.workClass === 'latency-critical',
					demand: claim.committed,
					declaredRunTimeMs: Math.min(task.spec.declaredRunTimeMs, maxCount),
					payload: cluster.workflows.get(task.jobId)?.workflow.payload ?? task.spec.payload,
					checkpoint: task.checkpoint,
					evictTaskIds: [...claim.evictTaskIds],
					traits: traitsOf(task, cluster),
					presses: latencyImpactsFor(task, vm, latencyImpacts, cluster).map(report => ({...report})),
				},
			};
		}

		case 'evicting': {
			return {
				case: 'evictTask', value: {
					taskId, attempt, reason: task.reason, agentIncarnation, claimOffset: BigInt(claim.claimOffset),
				},
			};
		}

		case 'cancelling': {
			return {
				case: 'cancelTask', value: {
					taskId, attempt, agentIncarnation, claimOffset: BigInt(claim.claimOffset),
				},
			};
		}

		case 'queued':
		case 'running':
		case 'finished':
		case 'failed':
		case 'cancelled':
		case 'unplaceable': {
			return undefined;
		}
	}
}

type TaskTraits = Readonly<{latencyTargetMs: number; fillsIdle: boolean; image: string; fillingMilli: number}>;

function traitsOf(task: Task, cluster: ClusterState): TaskTraits {
	const step = stepOf(cluster, task);
	return {
		latencyTargetMs: step?.latencyTargetMs ?? 0, fillsIdle: step?.fillsIdle ?? false, image: step?.image ?? '', fillingMilli: fillingDemandMilli(task, cluster),
	};
}

/** Returns the latency impact, estimated over all VMs, of the pairs of filling and serving tasks that a task forms on a VM. */
function latencyImpactsFor(task: Task, vm: Vm, latencyImpacts: LatencyImpactEstimates, cluster: ClusterState): readonly PressReport[] {
	const step = stepOf(cluster, task);
	const {servingByImage, fillingByImage} = fillingLoadOf(vm, cluster);
	const image = step?.image ?? '';
	if (step?.fillsIdle) {
		return latencyImpactReports(latencyImpacts, servingByImage.keys(), [image]);
	}

	return step?.latencyTargetMs === undefined ? [] : latencyImpactReports(latencyImpacts, [image], [...fillingByImage.keys()]);
}

/**
Sends an agent the traits of the tasks that its hello lists and that are claimed for its VM, since the worker's list lacks them.

@example
const effects = sendClaimedTraits(link, context);
*/
export function sendClaimedTraits(link: AgentLink, {cluster}: EntryContext): readonly ControlEffect[] {
	const claims = link.hello.runningTasks.flatMap(({taskId}) => {
		const task = cluster.tasks.get(taskId);
		return task?.claim?.vmId === link.vmId ? [{taskId, traits: traitsOf(task, cluster)}] : [];
	});
	return claims.length === 0 ? [] : [{kind: 'send-to-agent', vmId: link.vmId, command: {case: 'claimedTraits', value: {claims}}}];
}

/** Returns whether this entry sends a task's commands: the claim's writer at once, the others after `commandTakeoverMs`, when the writer may have ended. */
function maySendCommand(task: Task, claimReadTimes: ClaimReadTimes, context: EntryContext): boolean {
	if (task.claim?.writerIncarnation === context.incarnation) {
		return true;
	}

	const readAtMs = claimReadTimes.get(`${task.spec.taskId}/${task.attempt}`);
	return readAtMs === undefined || context.nowMs - readAtMs >= context.settings.timings.commandTakeoverMs;
}

/**
Returns whether a start may be sent to a VM. In an evacuated failure domain it is sent once the agent has applied the evacuation, so that the agent refuses
it and the task is queued again. Where operators request evacuations, an entry sends no start before it has read the requests, none that contradicts a
request which the log does not hold yet, and none while its view of the log is old.
*/
function maySendStart({failureDomain}: Vm, {appliedConfigurationOffset}: AgentLink, {cluster, evacuationRequests, nowMs, tailConfirmedSentAtMs}: EntryContext): boolean {
	const evacuation = cluster.configuration.evacuations.get(failureDomain);
	if (evacuation?.isRequested) {
		return appliedConfigurationOffset >= evacuation.offset;
	}

	if (evacuationRequests === undefined || evacuationRequests === 'unread') {
		return evacuationRequests === undefined;
	}

	return nowMs - tailConfirmedSentAtMs <= maxViewAgeOfStartsMs && newerRequests(cluster, evacuationRequests).get(failureDomain)?.isRequested !== true;
}

function taskIdOf(key: string): string {
	return key.slice(0, key.indexOf('/'));
}
