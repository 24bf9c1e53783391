import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';

/** Time without an acknowledgement after which an event is sent to every entry. */
const acknowledgementTimeoutMs = 2000;

/** Longest time between two repeats of an event; limits the traffic during an outage of the log. */
const maxRepeatMs = 30_000;

/** Limit of the events in one message, also after a long outage. */
const maxEventsPerMessage = 64;

/** Outcome of an attempt that an event reports. */
export type TaskEventOutcome
	= | Readonly<{case: 'started'; value: Record<string, never>}>
		| Readonly<{case: 'ended'; value: Readonly<{outcome: number; reason: string}>}>
		| Readonly<{case: 'checkpointed'; value: Readonly<{checkpoint: string; reason: string}>}>;

/** An event that no entry has acknowledged yet. */
export type PendingTaskEvent = Readonly<{
	eventId: number;
	taskId: string;
	attempt: number;
	outcome: TaskEventOutcome;
	/** When the event is due; 0 until it was sent. */
	nextSendMs: number;
	repeatMs: number;
	/** Whether it goes to every entry the next time. */
	toAll: boolean;
}>;

/** Task events that are not acknowledged yet, by ID. */
export type TaskEvents = Readonly<{
	nextEventId: number;
	pending: ImmutableMap<number, PendingTaskEvent>;
}>;

/** A table without events. */
export const noTaskEvents: TaskEvents = {nextEventId: 1, pending: immutableMap()};

/**
Adds an event; it is due at once.

@example
addTaskEvent(noTaskEvents, {taskId: 't1', attempt: 1, outcome: {case: 'started', value: {}}});
*/
export function addTaskEvent(events: TaskEvents, event: Readonly<Pick<PendingTaskEvent, 'taskId' | 'attempt' | 'outcome'>>): TaskEvents {
	const eventId = events.nextEventId;
	return {
		nextEventId: eventId + 1,
		pending: events.pending.set(eventId, {
			...event, eventId, nextSendMs: 0, repeatMs: acknowledgementTimeoutMs, toAll: false,
		}),
	};
}

/**
Removes acknowledged events.

@example
acknowledgeTaskEvents(events, [1, 2]);
*/
export function acknowledgeTaskEvents(events: TaskEvents, eventIds: readonly number[]): TaskEvents {
	return {...events, pending: events.pending.deleteAll(eventIds)};
}

/**
Returns the events that are due, and records when they are next due: first for one entry, then for all, at growing intervals.

@example
const {events, toOne, toAll} = takeDueTaskEvents(pending, nowMs);
*/
export function takeDueTaskEvents(events: TaskEvents, nowMs: number): Readonly<{events: TaskEvents; toOne: readonly PendingTaskEvent[]; toAll: readonly PendingTaskEvent[]}> {
	const due = [...events.pending.values()]
		.filter(event => event.nextSendMs <= nowMs)
		.toSorted((left, right) => left.eventId - right.eventId)
		.slice(0, maxEventsPerMessage);
	const pending = events.pending.withMutations(map => {
		for (const event of due) {
			map.set(event.eventId, {
				...event,
				toAll: true,
				nextSendMs: nowMs + event.repeatMs,
				repeatMs: Math.min(event.repeatMs * 2, maxRepeatMs),
			});
		}
	});
	return {events: {...events, pending}, toOne: due.filter(event => !event.toAll), toAll: due.filter(event => event.toAll)};
}

/**
Returns the oldest events that were sent and not acknowledged, as many as fit into one message.

@example
sentTaskEvents(noTaskEvents); // => []
*/
export function sentTaskEvents(events: TaskEvents): readonly PendingTaskEvent[] {
	return [...events.pending.values()]
		.filter(event => event.toAll)
		.toSorted((left, right) => left.eventId - right.eventId)
		.slice(0, maxEventsPerMessage);
}
