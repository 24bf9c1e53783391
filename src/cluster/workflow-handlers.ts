import {cancelJob} from './cancel-job.js';
import {isKnownJob, recordEarlyCancellation} from './early-cancellations.js';
import {type RecordHandlers} from './record-handler.js';
import {createOccurrence} from './workflow-progress.js';

/** Handlers of records about whole jobs and the occurrences of workflows. */
export const workflowHandlers: RecordHandlers<'job-cancelled' | 'occurrence-due'> = {
	'job-cancelled': (state, {jobId}, {offset}) => isKnownJob(state, jobId) ? cancelJob(state, jobId, offset) : recordEarlyCancellation(state, jobId, offset),
	'occurrence-due': (state, {jobId, occurrence}, {offset}) => createOccurrence(state, jobId, {occurrence, offset}),
};
