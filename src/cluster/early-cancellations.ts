import {cancelJob} from './cancel-job.js';
import {type ClusterState} from './cluster-state.js';
import {type Job} from './intent.js';
import {MAX_EARLY_CANCELLATIONS} from './state-limits.js';
import {addJob, isNewJob} from './task-transitions.js';

/**
Returns whether the state holds a job or its outcome.

@example
isKnownJob(emptyClusterState, 'job-1'); // => false
*/
export function isKnownJob(state: ClusterState, jobId: string): boolean {
	return state.jobs.has(jobId) || state.finishedWorkflows.has(jobId);
}

/**
Records the cancellation of a job that is not known: its submission may still be on its way to the log. When there are too many, the oldest is
forgotten.

@example
recordEarlyCancellation(state, 'job-1', 17).earlyCancellations.get('job-1'); // => 17
*/
export function recordEarlyCancellation(state: ClusterState, jobId: string, offset: number): ClusterState {
	if (state.earlyCancellations.has(jobId)) {
		return state;
	}

	const earlyCancellations = state.earlyCancellations.set(jobId, offset);
	const oldest: readonly [string, number] | undefined = earlyCancellations.size > MAX_EARLY_CANCELLATIONS ? earlyCancellations.entrySeq().first() : undefined;
	return oldest === undefined
		? {...state, earlyCancellations}
		: {...state, earlyCancellations: earlyCancellations.delete(oldest[0]), earlyCancellationsForgottenThroughOffset: oldest[1]};
}

/**
Adds a submitted job. One that was cancelled before its submission was read is cancelled at once, so that it never runs. A repeated submission is
ignored, and so is one of a writer that had not read all cancellations that are forgotten: one of them may be the job's.

@param appliedOffset offset through which the writer had read the log when it queued the submission, or a lower one.

@example
submitJob(state, job, {offset: 17, appliedOffset: 15}).jobs.has(job.jobId); // => true
*/
export function submitJob(state: ClusterState, job: Job, {offset, appliedOffset}: Readonly<{offset: number; appliedOffset: number}>): ClusterState {
	if (!isNewJob(state, job) || appliedOffset < state.earlyCancellationsForgottenThroughOffset) {
		return state;
	}

	const added = addJob(state, job, offset);
	return state.earlyCancellations.has(job.jobId)
		? cancelJob({...added, earlyCancellations: added.earlyCancellations.delete(job.jobId)}, job.jobId, offset)
		: added;
}
