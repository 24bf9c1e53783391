import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {fitsInto, noResources} from '../cluster/resources.js';
import {isAllowedOnVm} from '../cluster/step-constraints.js';
import {isLongRunning, taskIdsOf} from '../cluster/workflow-progress.js';
import {freeResourcesOf} from './feasibility.js';
import {type PendingClaims, siblingsKeyOf} from './pending-claims.js';

/** Wait of a long-running task that does not run. */
type LongRunningWait = Readonly<{
	sinceMs: number;
	/** Runs of the task that have ended; the wait counts from the last of them. */
	endedRuns: number;
}>;

/** Since when each long-running task has not run, on the clock of this entry. */
export type LongRunningWaits = ReadonlyMap<string, LongRunningWait>;

// Keyed by the map of jobs, which is replaced when a job is added or removed.
const longRunningJobIdsByJobs = new WeakMap<ClusterState['jobs'], readonly string[]>();

function longRunningJobIds({jobs, workflows}: ClusterState): readonly string[] {
	const cached = longRunningJobIdsByJobs.get(jobs);
	if (cached) {
		return cached;
	}

	const jobIds = [...workflows].filter(([, {workflow}]) => workflow.steps.some(step => step.longRunning)).map(([jobId]) => jobId);
	longRunningJobIdsByJobs.set(jobs, jobIds);
	return jobIds;
}

/**
Returns the long-running tasks. The cost depends on the number of long-running jobs, not on the length of the queues.

@example
longRunningTasksOf(cluster).map(({spec}) => spec.taskId); // => ['watch-1.0.0.0', 'watch-1.0.0.1']
*/
export function longRunningTasksOf(cluster: ClusterState): readonly Task[] {
	return longRunningJobIds(cluster)
		.flatMap(jobId => [...taskIdsOf(cluster, jobId)])
		.map(taskId => cluster.tasks.get(taskId))
		.filter(task => task !== undefined)
		.filter(task => isLongRunning(cluster, task));
}

/**
Returns since when each long-running task has been queued, or claimed and not started. A claim whose task never ran does not end the wait.

@example
trackLongRunningWaits(new Map(), cluster, 5000); // => new Map([['watch-1.0.0.0', {sinceMs: 5000, endedRuns: 1}]])
*/
export function trackLongRunningWaits(before: LongRunningWaits, cluster: ClusterState, nowMs: number): LongRunningWaits {
	const waits = new Map<string, LongRunningWait>();
	for (const {spec: {taskId}, phase, failures, evictions} of longRunningTasksOf(cluster)) {
		if (phase === 'queued' || phase === 'claimed') {
			const endedRuns = failures + evictions;
			const wait = before.get(taskId);
			waits.set(taskId, wait?.endedRuns === endedRuns ? wait : {sinceMs: nowMs, endedRuns});
		}
	}

	return waits;
}

/**
Returns the most free millicores of one VM, among those that the task may run on and that have the memory and accelerators it needs; 0 without
such a VM.

@example
largestFreeProcessorsMilli(task, vms, {cluster, pending}); // => 5200
*/
export function largestFreeProcessorsMilli(task: Task, vms: readonly Vm[], {cluster, pending}: Readonly<{cluster: ClusterState; pending: PendingClaims}>): number {
	const demandWithoutProcessors = {...task.spec.demand, processorsMilli: 0};
	let largestMilli = 0;
	for (const vm of vms) {
		const free = freeResourcesOf(vm, pending.committedByVm.get(vm.vmId, noResources));
		if (free.processorsMilli > largestMilli && fitsInto(demandWithoutProcessors, free) && isAllowedOnVm(cluster, task, vm, pending.siblings.get(siblingsKeyOf(task, vm.vmId), 0))) {
			largestMilli = free.processorsMilli;
		}
	}

	return largestMilli;
}
