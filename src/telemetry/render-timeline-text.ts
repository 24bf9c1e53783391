import {type TimelineEvent} from './timeline-event.js';

/**
Returns one line for each merged event: time, process, offset, event, identifiers and detail.

@example
console.log(renderTimelineText(mergeTimelines([entryEvents, agentEvents])));
*/
export function renderTimelineText(events: readonly TimelineEvent[]): string {
	const processWidth = longestLength(events.map(event => event.process));
	const eventWidth = longestLength(events.map(event => event.event));
	return events.map(event => [
		new Date(event.wallTimeMs).toISOString(),
		event.process.padEnd(processWidth),
		String(event.offset).padStart(8),
		event.event.padEnd(eventWidth),
		...formatIdentifiers(event),
		event.detail ?? '',
	].map(part => part.replaceAll(/[\p{Cc}\u2028\u2029]/gv, '\uFFFD')).join('  ').trimEnd()).join('\n');
}

/**
Returns the identifiers of an event as `name=value`.

@example
identifiers({process: 'entry-1', sequence: 0, wallTimeMs: 0, event: 'task-claimed', offset: 3, taskId: 't1'});
// => ['task=t1']
*/
export function formatIdentifiers(event: TimelineEvent): readonly string[] {
	return Object.entries({
		task: event.taskId, request: event.requestId, vm: event.vmId, cause: event.cause,
	}).filter(([, value]) => value !== undefined).map(([name, value]) => `${name}=${value}`);
}

function longestLength(texts: readonly string[]): number {
	let length = 0;
	for (const text of texts) {
		length = Math.max(length, text.length);
	}

	return length;
}
