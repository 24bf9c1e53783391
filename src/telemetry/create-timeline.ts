import {type Timeline, type TimelineEntry, type TimelineEvent} from './timeline-event.js';

export type TimelineOptions = Readonly<{
	process: string;
	/** Most events that are kept. */
	capacity?: number;
	nowMs?: () => number;
}>;

/**
Makes the ring of the newest events of a process; older ones are overwritten.

@example
const timeline = createTimeline({process: 'entry-1', capacity: 4096});
timeline.record({event: 'task-claimed', offset: 12, taskId: 't1'});
timeline.read(0);
*/
export function createTimeline(options: TimelineOptions): Timeline {
	const {process, capacity = 4096, nowMs = Date.now} = options;
	const ring: TimelineEvent[] = [];
	let nextSequence = 0;
	return {
		record(entry: TimelineEntry) {
			ring[nextSequence % capacity] = {
				...entry, process, sequence: nextSequence, wallTimeMs: nowMs(),
			};
			nextSequence++;
		},
		read(fromSequence = 0) {
			const first = Math.max(0, fromSequence, nextSequence - capacity);
			return Array.from({length: Math.max(0, nextSequence - first)}, (_, index) => ring[(first + index) % capacity]!);
		},
	};
}
