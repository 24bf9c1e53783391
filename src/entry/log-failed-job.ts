import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {MAX_TASK_FAILURES} from '../cluster/state-limits.js';
import {type LoggedRecord} from '../log/log-envelope.js';
import {type ControlEffect} from './control-effect.js';

/** Kinds of records that can fail a job; a cancellation is logged as `job-cancelled`. */
const failingKinds: ReadonlySet<ClusterRecord['kind']> = new Set(['task-ended', 'task-unplaceable']);

/**
Returns the log line `job-failed` for a record of this entry with which a job fails, so that over all entries each failed job has one
line. `before` and `after` are the states before and after the record, or before and after the page that contains it.

@example
logFailedJob(logged, before, after, incarnation); // => [{kind: 'log-event', event: 'job-failed', …}]
*/
export function logFailedJob({offset, envelope}: LoggedRecord, before: ClusterState, after: ClusterState, incarnation: string): readonly ControlEffect[] {
	const {record} = envelope;
	if (envelope.incarnation !== incarnation || !failingKinds.has(record.kind) || !('taskId' in record) || ('outcome' in record && record.outcome !== 'failed')) {
		return [];
	}

	const task = before.tasks.get(record.taskId);
	if (!task || hasFailed(before, task) || !hasFailed(after, task)) {
		return [];
	}

	const run = before.workflows.get(task.jobId);
	const vmId = task.claim?.vmId;
	return [{
		kind: 'log-event',
		level: 'warn',
		event: 'job-failed',
		fields: {
			offset,
			jobId: task.jobId,
			queue: run?.workflow.queue,
			taskId: record.taskId,
			decidedBy: record.kind,
			reason: reasonOf(record),
			vmId,
			attempts: task.attempt,
			failures: task.failures + (record.kind === 'task-ended' ? 1 : 0),
			maxFailures: run?.workflow.maxFailures ?? MAX_TASK_FAILURES,
			evictions: task.evictions,
			formerVmIds: task.failedOnVmIds.join(','),
		},
	}];
}

/**
Returns one log line for each job that failed with a record of this entry in a page.

@example
logFailedJobs(records, {before, after}, incarnation); // => [{kind: 'log-event', event: 'job-failed', …}]
*/
export function logFailedJobs(
	records: readonly LoggedRecord[],
	{before, after}: Readonly<{before: ClusterState; after: ClusterState}>,
	incarnation: string,
): readonly ControlEffect[] {
	const effects = new Map<string, readonly ControlEffect[]>();
	for (const record of records) {
		const found = logFailedJob(record, before, after, incarnation);
		const jobId = found.length > 0 && 'taskId' in record.envelope.record ? before.tasks.get(record.envelope.record.taskId)?.jobId : undefined;
		if (jobId !== undefined && !effects.has(jobId)) {
			effects.set(jobId, found);
		}
	}

	return [...effects.values()].flat();
}

function reasonOf(record: ClusterRecord): string | undefined {
	return record.kind === 'task-unplaceable' ? record.lacks : ('reason' in record ? record.reason : undefined);
}

/** Returns whether a task's job has failed: by the phase of its workflow or, without one, by a task that failed or is unplaceable. */
function hasFailed(state: ClusterState, {jobId, position}: Task): boolean {
	return position === undefined
		? (state.jobs.get(jobId) ?? []).some(taskId => ['failed', 'unplaceable'].includes(state.tasks.get(taskId)?.phase ?? ''))
		: state.workflows.get(jobId)?.phase === 'failed' || state.finishedWorkflows.get(jobId)?.phase === 'failed';
}
