import {getHeapStatistics} from 'node:v8';
import {type EntrySettings} from '../settings/entry-settings.js';

/** Shares of the heap for the unfinished jobs and for their tasks. The rest is for reading a snapshot, which takes as much again, and for all else. */
const shareOfHeap = {jobs: 1 / 8, tasks: 3 / 10};

/**
Returns the settings with the memory for unfinished jobs and their tasks, which follows from the heap of the process unless it is set.

@example
withStateLimits(settings).limits.jobBytes; // => 35_127_296 with --max-old-space-size=220
*/
export function withStateLimits(settings: EntrySettings): EntrySettings {
	const {limits} = settings;
	const heapBytes = getHeapStatistics().heap_size_limit;
	return {
		...settings,
		limits: {
			...limits, jobBytes: limits.jobBytes ?? Math.floor(heapBytes * shareOfHeap.jobs), taskBytes: limits.taskBytes ?? Math.floor(heapBytes * shareOfHeap.tasks),
		},
	};
}
