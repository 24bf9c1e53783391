import {type TimelineEvent} from './timeline-event.js';

/** Which events to show; an event must match every field that is set. */
export type TimelineFilter = Readonly<{
	taskId?: string;
	requestId?: string;
	vmId?: string;
	fromMs?: number;
	toMs?: number;
}>;

/**
Selects events of a timeline; the effects of a task or request in other processes are included.

@example
filterTimeline(events, {taskId: 't1'});
*/
export function filterTimeline(events: readonly TimelineEvent[], filter: TimelineFilter): readonly TimelineEvent[] {
	const {taskId, requestId, vmId, fromMs = -Infinity, toMs = Infinity} = filter;
	return events.filter(event =>
		(taskId === undefined || event.taskId === taskId || event.cause === taskId)
		&& (requestId === undefined || event.requestId === requestId || event.cause === requestId)
		&& (vmId === undefined || event.vmId === vmId)
		&& event.wallTimeMs >= fromMs
		&& event.wallTimeMs <= toMs);
}
