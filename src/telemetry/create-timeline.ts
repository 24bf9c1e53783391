import {type Timeline, type TimelineEventInput, type TimelineEvent} from './timeline-event.js';

export type TimelineOptions = Readonly<{
	process: string;
	/** Maximum number of stored events. */
	capacity?: number;
	nowMs?: () => number;
}>;

/**
Creates the timeline of a process: a ring buffer of its newest events, which overwrites the oldest.

@example
const timeline = createTimeline({process: 'entry-1', capacity: 4096});
timeline.record({event: 'task-claimed', offset: 12, taskId: 't1'});
timeline.read(0);
*/
export function createTimeline(options: TimelineOptions): Timeline {
	const {process, capacity = 4096, nowMs = Date.now} = options;
	const ringBuffer: TimelineEvent[] = [];
	let nextSequence = 0;
	return {
		record(input: TimelineEventInput) {
			ringBuffer[nextSequence % capacity] = {
				...input, process, sequence: nextSequence, wallTimeMs: nowMs(),
			};
			nextSequence++;
		},
		read(fromSequence = 0) {
			const first = Math.max(0, fromSequence, nextSequence - capacity);
			return Array.from({length: Math.max(0, nextSequence - first)}, (_, index) => ringBuffer[(first + index) % capacity]!);
		},
	};
}
