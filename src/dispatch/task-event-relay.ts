import {type ClusterRecordOf} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type ControlEffect} from '../entry/control-effect.js';
import {type EntryContext} from '../entry/entry-context.js';
import {type TaskEvent, TaskOutcome} from '../generated/arbutushinge/v1/agent_pb.js';
import {type AgentLink} from './agent-link.js';

type TaskRecord = ClusterRecordOf<'task-started' | 'task-ended' | 'task-checkpointed'>;

type Outcome = ClusterRecordOf<'task-ended'>['outcome'];

const outcomeNames: Readonly<Record<TaskOutcome, Outcome>> = {
	// An agent of another version may report an outcome that this one does not know.
	[TaskOutcome.UNSPECIFIED]: 'failed',
	[TaskOutcome.FINISHED]: 'finished',
	[TaskOutcome.FAILED]: 'failed',
	[TaskOutcome.REFUSED_NOT_RUN]: 'refused-not-run',
	[TaskOutcome.CANCELLED]: 'cancelled',
};

/**
Writes an agent's task events to the log; each is acknowledged once the cluster state reflects it.

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
		const isPending = pendingTaskEvents.has(event.eventId);
		pendingTaskEvents = pendingTaskEvents.set(event.eventId, event);
		const record = isPending ? undefined : toRecord(event, link.agentIncarnation);
		if (record && !isReflected(context.cluster, event, link)) {
			effects.push({kind: 'append-record', record});
		}
	}

	const acknowledged = acknowledgeTaskEvents({...link, pendingTaskEvents}, context.cluster);
	return {link: acknowledged.link, effects: [...effects, ...acknowledged.effects]};
}

/**
Acknowledges the pending events that the cluster state reflects or that can no longer change it.

@example
const {link, effects} = acknowledgeTaskEvents(link, cluster);
*/
export function acknowledgeTaskEvents(
	link: AgentLink,
	cluster: ClusterState,
): Readonly<{link: AgentLink; effects: readonly ControlEffect[]}> {
	const eventIds = [...link.pendingTaskEvents.values()]
		.filter(event => isReflected(cluster, event, link))
		.map(event => event.eventId);
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

function isReflected(cluster: ClusterState, event: TaskEvent, link: AgentLink): boolean {
	const task = cluster.tasks.get(event.taskId);
	const isCurrentAttempt = task?.attempt === event.attempt
		&& task.claim?.vmId === link.vmId
		&& task.claim.agentIncarnation === link.agentIncarnation;
	if (!isCurrentAttempt) {
		return true;
	}

	// An end or a checkpoint removes the claim, so a current claim means that neither is in the log.
	return event.outcome.case === 'started' && task.phase !== 'claimed';
}

function toRecord(event: TaskEvent, agentIncarnation: string): TaskRecord | undefined {
	const subject = {taskId: event.taskId, attempt: event.attempt, agentIncarnation};
	const {outcome} = event;
	switch (outcome.case) {
		case 'started': {
			return {kind: 'task-started', ...subject};
		}

		case 'ended': {
			return {
				kind: 'task-ended', ...subject, outcome: outcomeNames[outcome.value.outcome], reason: outcome.value.reason,
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
