import {getHeapStatistics} from 'node:v8';
import {type EntrySettings} from '../settings/entry-settings.js';

/** Share of the heap for the unfinished jobs. Reading a snapshot takes up to three times what the state takes, and tasks come on top. */
const jobShareOfHeap = 1 / 8;

/**
Returns the settings with the memory for unfinished jobs, which follows from the heap of the process unless it is set.

@example
withJobBytes(settings).limits.jobBytes; // => 32_000_000 with a heap of 244 MB
*/
export function withJobBytes(settings: EntrySettings): EntrySettings {
	return {...settings, limits: {...settings.limits, jobBytes: settings.limits.jobBytes ?? Math.floor(getHeapStatistics().heap_size_limit * jobShareOfHeap)}};
}
