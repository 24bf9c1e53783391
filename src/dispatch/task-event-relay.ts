import {type ClusterRecordOf} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {absenceReasonOf} from '../cluster/task-creation.js';
import {type ControlEffect} from '../entry/control-effect.js';
import {type EntryContext} from '../entry/entry-context.js';
import {type TaskEvent, TaskOutcome} from '../generated/arbutushinge/v1/agent_pb.js';
import {isName} from '../validation/name.js';
import {type AgentLink} from './agent-link.js';

type TaskRecord = ClusterRecordOf<'task-started' | 'task-ended' | 'task-checkpointed'>;

type Outcome = ClusterRecordOf<'task-ended'>['outcome'];

/** An agent of another version may report an outcome that this version does not define; it counts as failed. */
const recordOutcomes: Readonly<Partial<Record<TaskOutcome, Outcome>>> = {
	[TaskOutcome.UNSPECIFIED]: 'failed',
	[TaskOutcome.FINISHED]: 'finished',
	[TaskOutcome.FAILED]: 'failed',
	[TaskOutcome.REFUSED_NOT_RUN]: 'refused-not-run',
	[TaskOutcome.CANCELLED]: 'cancelled',
};

/**
A repeated event is appended again when a read of the log's tail that was sent at least this long after the append has not shown its
record; the writer of the record may have been replaced.
*/
const repeatAfterMs = 3000;

/**
Appends an agent's task events to the log, and acknowledges each once the cluster state reflects it.

@example
const {link, effects} = relayTaskEvents(link, events, context);
*/
export function relayTaskEvents(
	link: AgentLink,
	events: readonly TaskEvent[],
	context: EntryContext,
): Readonly<{link: AgentLink; effects: readonly ControlEffect[]}> {
	const effects: ControlEffect[] = [];
	let {pendingTaskEvents} = link;
	for (const event of events) {
		const pending = pendingTaskEvents.get(event.eventId);
		const record = toRecord(event, claimantOf(event, link, context.cluster));
		const isDue = pending === undefined || context.tailConfirmedSentAtMs - pending.appendedAtMs >= repeatAfterMs;
		const isAppended = isDue && record !== undefined && !(hasReadClaim(context.cluster, event) && isReflected(context.cluster, event, link));
		pendingTaskEvents = pendingTaskEvents.set(event.eventId, {
			event,
			receivedAtMs: pending?.receivedAtMs ?? context.nowMs,
			appendedAtMs: isAppended ? context.nowMs : pending?.appendedAtMs ?? Number.NEGATIVE_INFINITY,
		});
		if (isAppended) {
			effects.push({kind: 'append-record', record});
		}
	}

	const acknowledged = acknowledgeTaskEvents({...link, pendingTaskEvents}, context);
	return {link: acknowledged.link, effects: [...effects, ...acknowledged.effects]};
}

/**
Acknowledges the pending events that the cluster state reflects or that can no longer change it. The state must cover the log's
tail as of the event's arrival; before that, this entry may not have read the claim of the event's attempt.

@example
const {link, effects} = acknowledgeTaskEvents(link, context);
*/
export function acknowledgeTaskEvents(
	link: AgentLink,
	context: EntryContext,
): Readonly<{link: AgentLink; effects: readonly ControlEffect[]}> {
	const eventIds = [...link.pendingTaskEvents.values()]
		.filter(({event, receivedAtMs}) => context.tailConfirmedSentAtMs > receivedAtMs && isReflected(context.cluster, event, link))
		.map(({event}) => event.eventId);
	if (eventIds.length === 0) {
		return {link, effects: []};
	}

	return {
		link: {...link, pendingTaskEvents: link.pendingTaskEvents.deleteAll(eventIds)},
		effects: [{
			kind: 'send-to-agent',
			vmId: link.vmId,
			command: {case: 'acknowledgeTaskEvents', value: {eventIds}},
		}],
	};
}

/** Returns whether this entry has read the claim of the event's attempt, or of a later attempt. */
function hasReadClaim(cluster: ClusterState, event: TaskEvent): boolean {
	return (cluster.tasks.get(event.taskId)?.attempt ?? 0) >= event.attempt || absenceReasonOf(cluster, event.taskId) === 'ended';
}

function isReflected(cluster: ClusterState, event: TaskEvent, link: AgentLink): boolean {
	const vm = cluster.vms.get(link.vmId);
	const isRegistered = vm?.agentIncarnation === link.agentIncarnation || (vm?.formerAgentIncarnations.includes(link.agentIncarnation) ?? false);
	const task = cluster.tasks.get(event.taskId);
	if (task?.attempt !== event.attempt || task.claim?.vmId !== link.vmId) {
		return true;
	}

	// The claim passes to the agent's new incarnation when the log registers that incarnation. Readers of the log ignore an end behind the
	// registration that names the former one, so that the agent has to report it again.
	if (task.claim.agentIncarnation !== link.agentIncarnation) {
		return isRegistered && event.outcome.case === 'started';
	}

	// An end or a checkpoint removes the claim, so while the claim exists, neither is in the log.
	return event.outcome.case === 'started' && task.phase !== 'claimed';
}

/**
Returns the agent incarnation that the record of an event names. An agent that waits for further ends is not registered, so that the claims that its
events are about still name the incarnation before; undefined when this entry has not read such a claim.
*/
function claimantOf(event: TaskEvent, {hello, vmId, agentIncarnation}: AgentLink, {tasks}: ClusterState): string | undefined {
	if (!hello.endsPending) {
		return agentIncarnation;
	}

	const task = tasks.get(event.taskId);
	return task?.attempt === event.attempt && task.claim?.vmId === vmId ? task.claim.agentIncarnation : undefined;
}

/** Returns the record of an event, or undefined for one that no claim can have and that readers of the log would refuse; it is only acknowledged. */
function toRecord(event: TaskEvent, agentIncarnation: string | undefined): TaskRecord | undefined {
	if (agentIncarnation === undefined || !isName(event.taskId) || event.attempt === 0) {
		return undefined;
	}

	const subject = {taskId: event.taskId, attempt: event.attempt, agentIncarnation};
	const {outcome} = event;
	switch (outcome.case) {
		case 'started': {
			return {kind: 'task-started', ...subject};
		}

		case 'ended': {
			return {
				kind: 'task-ended', ...subject, outcome: recordOutcomes[outcome.value.outcome] ?? 'failed', reason: outcome.value.reason,
			};
		}

		case 'checkpointed': {
			return {
				kind: 'task-checkpointed', ...subject, checkpoint: outcome.value.checkpoint, reason: outcome.value.reason,
			};
		}

		case undefined: {
			return undefined;
		}
	}
}
