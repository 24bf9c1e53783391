import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {isLongRunning} from '../cluster/workflow-progress.js';
import {type LoggedRecord} from '../log/log-envelope.js';

/** The newest failure of a long-running task: how often it has failed soon after its start, without a longer run between. */
type FailedStart = Readonly<{attempt: number; failures: number; readAtMs: number}>;

/**
The long-running tasks that failed of late, with times of this entry's clock. Every entry follows the failures in the log, so that each knows the
pauses when it takes the placement over.
*/
export type FailedStarts = ReadonlyMap<string, FailedStart>;

export const noFailedStarts: FailedStarts = new Map();

/** A task that ran for longer than this has not failed at its start. */
const startFailureMs = 3000;
/** Pause after the second failure in a row; it doubles with each further one. After a first failure a task starts again at once. */
const minPauseMs = 500;
/** Longest pause. A long-running task may be without a run for 9 s, most of which the wait for free resources may need. */
const maxPauseMs = 3000;

function pauseMsOf({failures}: FailedStart): number {
	return failures < 2 ? 0 : Math.min(maxPauseMs, minPauseMs * (2 ** (failures - 2)));
}

/** Returns whether a failure is too long ago for the next one to count as another in a row. */
function isOutdated(failed: FailedStart, nowMs: number): boolean {
	return nowMs - failed.readAtMs > pauseMsOf(failed) + startFailureMs;
}

/**
Records the failures of long-running tasks that a page of records reports.

@param cluster State after the page.

@example
recordFailedStarts(noFailedStarts, records, cluster, nowMs).get('watch-1.0.0.0'); // => {attempt: 3, failures: 1, readAtMs: nowMs}
*/
export function recordFailedStarts(before: FailedStarts, records: readonly LoggedRecord[], cluster: ClusterState, nowMs: number): FailedStarts {
	let failedStarts: Map<string, FailedStart> | undefined;
	for (const {envelope: {record}} of records) {
		if (record.kind !== 'task-ended' || record.outcome !== 'failed') {
			continue;
		}

		const {taskId, attempt} = record;
		const task = cluster.tasks.get(taskId);
		const last = (failedStarts ?? before).get(taskId);
		// Several entries may report one end.
		if (task && task.attempt >= attempt && (last?.attempt ?? 0) < attempt && isLongRunning(cluster, task)) {
			failedStarts ??= new Map([...before].filter(([, failed]) => !isOutdated(failed, nowMs)));
			const failuresBefore = last && !isOutdated(last, nowMs) ? last.failures : 0;
			failedStarts.set(taskId, {attempt, failures: failuresBefore + 1, readAtMs: nowMs});
		}
	}

	return failedStarts ?? before;
}

/**
Returns whether a task waits out a pause, since it failed at its newest starts. Pauses grow with each failure and never exceed 3 s. Without them,
such tasks would take the free resources of each pass before all others.

@example
isPaused(failedStarts, task, nowMs); // => true
*/
export function isPaused(failedStarts: FailedStarts, {spec: {taskId}, attempt}: Task, nowMs: number): boolean {
	const failed = failedStarts.get(taskId);
	return failed?.attempt === attempt && nowMs - failed.readAtMs < pauseMsOf(failed);
}
