import {type ClusterState} from '../cluster/cluster-state.js';
import {taskIdsOf} from '../cluster/workflow-progress.js';
import {type PendingClaims} from './pending-claims.js';

/**
Returns since when each job has had queued tasks and none that is claimed or has a pending claim.

@example
trackIdleJobs(new Map(), ['bake-1.0.0.0'], {cluster, pending, nowMs: 5000}); // => new Map([['bake-1', 5000]])
*/
export function trackIdleJobs(
	before: ReadonlyMap<string, number>,
	queuedTaskIds: Iterable<string>,
	{cluster, pending, nowMs}: Readonly<{cluster: ClusterState; pending: PendingClaims; nowMs: number}>,
): ReadonlyMap<string, number> {
	const sinceMs = new Map<string, number>();
	const checkedJobIds = new Set<string>();
	for (const taskId of queuedTaskIds) {
		const jobId = cluster.tasks.get(taskId)?.jobId;
		if (jobId === undefined || checkedJobIds.has(jobId)) {
			continue;
		}

		checkedJobIds.add(jobId);
		const siblings = taskIdsOf(cluster, jobId);
		if (!siblings.some(sibling => cluster.tasks.get(sibling)?.claim !== undefined || pending.byTask.has(sibling))) {
			sinceMs.set(jobId, before.get(jobId) ?? nowMs);
		}
	}

	return sinceMs;
}
