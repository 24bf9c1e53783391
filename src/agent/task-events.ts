import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';

/** Time without an acknowledgement after which an event goes to every entry. */
const fallbackMs = 2000;

/** Longest time between two sendings of an event; keeps an outage of the log within the traffic budget. */
const longestRepeatMs = 30_000;

/** Events in one message; bounds the message after a long outage. */
const eventsPerMessage = 64;

/** What happened to an attempt. */
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
	/** Missing until it was sent. */
	nextSendMs: number;
	repeatMs: number;
	/** Whether the next sending goes to every entry. */
	toAll: boolean;
}>;

/** Task events until they are acknowledged, in order. */
export type TaskEvents = Readonly<{
	nextEventId: number;
	pending: ImmutableMap<number, PendingTaskEvent>;
}>;

/** No event has happened. */
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
			...event, eventId, nextSendMs: 0, repeatMs: fallbackMs, toAll: false,
		}),
	};
}

/**
Drops acknowledged events.

@example
acknowledgeTaskEvents(events, [1, 2]);
*/
export function acknowledgeTaskEvents(events: TaskEvents, eventIds: readonly number[]): TaskEvents {
	return {...events, pending: events.pending.deleteAll(eventIds)};
}

/**
Takes the events that are due: first to one entry, then to all, then less and less often.

@example
const {events, toOne, toAll} = takeDueTaskEvents(pending, nowMs);
*/
export function takeDueTaskEvents(events: TaskEvents, nowMs: number): Readonly<{events: TaskEvents; toOne: readonly PendingTaskEvent[]; toAll: readonly PendingTaskEvent[]}> {
	const due = [...events.pending.values()]
		.filter(event => event.nextSendMs <= nowMs)
		.toSorted((left, right) => left.eventId - right.eventId)
		.slice(0, eventsPerMessage);
	const pending = events.pending.withMutations(map => {
		for (const event of due) {
			map.set(event.eventId, {
				...event,
				toAll: true,
				nextSendMs: nowMs + event.repeatMs,
				repeatMs: Math.min(event.repeatMs * 2, longestRepeatMs),
			});
		}
	});
	return {events: {...events, pending}, toOne: due.filter(event => !event.toAll), toAll: due.filter(event => event.toAll)};
}

/**
Lists the oldest events that were sent and not acknowledged, as many as fit into one message.

@example
sentTaskEvents(noTaskEvents); // => []
*/
export function sentTaskEvents(events: TaskEvents): readonly PendingTaskEvent[] {
	return [...events.pending.values()]
		.filter(event => event.toAll)
		.toSorted((left, right) => left.eventId - right.eventId)
		.slice(0, eventsPerMessage);
}
