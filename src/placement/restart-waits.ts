import {Map, Set as immutableSet, type Set as ImmutableSet} from 'immutable';
import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {isLongRunningOrServing} from './free-resources-wait.js';

/** The long-running and serving tasks whose VM went out of reach, until they are claimed again; on the clock of this entry. */
export type RestartWaits = Readonly<{
	/** When the VM of each of them went out of reach. */
	sinceMs: Map<string, number>;
	/** Those that have waited for so long that they come before the ending tasks of every class. */
	overdue: ImmutableSet<string>;
}>;

export const noRestartWaits: RestartWaits = {sinceMs: Map(), overdue: immutableSet()};

/** Time after which a restart is overdue. A long-running task may be without a run for 9 s, and short tasks must end to free resources for it. */
const overdueAfterMs = 4000;

/**
Returns whether a task is the restart of a long-running or serving task.

@example
isRestart(task, cluster); // => false before the first attempt
*/
export function isRestart(task: Task, cluster: ClusterState): boolean {
	return task.attempt > 0 && isLongRunningOrServing(task, cluster);
}

/**
Removes the waits that have ended, begins those of tasks on VMs out of reach, and marks the overdue ones. A task on such a VM may have stopped,
and stays claimed until the lease of the VM or of its worker has expired.

@param silentVmIds VMs with a silent worker.

@example
trackRestartWaits(waits, {cluster, nowMs: 12_000}, silentVmIds).overdue; // => Set {'watch-1.0.0.0'}
*/
export function trackRestartWaits(waits: RestartWaits, {cluster, nowMs}: Readonly<{cluster: ClusterState; nowMs: number}>, silentVmIds: ImmutableSet<string>): RestartWaits {
	const outOfReach = [...cluster.vms.values()]
		.filter(({vmId, heardBy}) => heardBy.isEmpty() || silentVmIds.has(vmId))
		.flatMap(({taskIds}) => [...taskIds])
		.filter(taskId => {
			const task = cluster.tasks.get(taskId);
			return task !== undefined && isLongRunningOrServing(task, cluster);
		});
	if (waits.sinceMs.isEmpty() && outOfReach.length === 0) {
		return waits;
	}

	const sinceMs = waits.sinceMs
		.filter((_sinceMs, taskId) => cluster.tasks.get(taskId)?.phase === 'queued')
		.merge(Map(outOfReach.map(taskId => [taskId, waits.sinceMs.get(taskId, nowMs)])));
	return {sinceMs, overdue: immutableSet(sinceMs.filter(since => nowMs - since >= overdueAfterMs).keys())};
}
