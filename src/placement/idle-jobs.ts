import {type ClusterState} from '../cluster/cluster-state.js';
import {type PendingClaims} from './pending-claims.js';

/**
Tells since when each job has had queued tasks and none that runs or is claimed.

@example
followIdleJobs(new Map(), ['bake-1.0.0.0'], {cluster, pending, nowMs: 5000}); // => new Map([['bake-1', 5000]])
*/
export function followIdleJobs(
	before: ReadonlyMap<string, number>,
	queuedTaskIds: Iterable<string>,
	{cluster, pending, nowMs}: Readonly<{cluster: ClusterState; pending: PendingClaims; nowMs: number}>,
): ReadonlyMap<string, number> {
	const sinceMs = new Map<string, number>();
	const seen = new Set<string>();
	for (const taskId of queuedTaskIds) {
		const jobId = cluster.tasks.get(taskId)?.jobId;
		if (jobId === undefined || seen.has(jobId)) {
			continue;
		}

		seen.add(jobId);
		const siblings = cluster.jobs.get(jobId) ?? [];
		if (!siblings.some(sibling => cluster.tasks.get(sibling)?.claim !== undefined || pending.byTask.has(sibling))) {
			sinceMs.set(jobId, before.get(jobId) ?? nowMs);
		}
	}

	return sinceMs;
}
