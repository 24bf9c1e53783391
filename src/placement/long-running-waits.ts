import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {fitsInto, noResources} from '../cluster/resources.js';
import {isAllowedOn} from '../cluster/step-constraints.js';
import {isLongRunning} from '../cluster/workflow-progress.js';
import {freeResourcesOf} from './feasibility.js';
import {type PendingClaims, siblingsKeyOf} from './pending-claims.js';

/** A task that lasts and does not run. */
type LastingWait = Readonly<{
	sinceMs: number;
	/** Runs that have ended so far; a wait counts from the last of them. */
	endedRuns: number;
}>;

/** Since when each task that lasts has not run, on the clock of the entry that looks. */
export type LongRunningWaits = ReadonlyMap<string, LastingWait>;

// Keyed by the jobs, which are replaced when a job comes, goes or gets more tasks.
const lastingJobsByJobs = new WeakMap<ClusterState['jobs'], readonly string[]>();

function lastingJobIds({jobs, workflows}: ClusterState): readonly string[] {
	const known = lastingJobsByJobs.get(jobs);
	if (known) {
		return known;
	}

	const jobIds = [...workflows].filter(([, {workflow}]) => workflow.steps.some(step => step.longRunning)).map(([jobId]) => jobId);
	lastingJobsByJobs.set(jobs, jobIds);
	return jobIds;
}

/**
Lists the tasks that last, whatever the length of the queues. The cost depends on the jobs that last.

@example
longRunningOrServingTasksOf(cluster).map(({spec}) => spec.taskId); // => ['watch-1.0.0.0', 'watch-1.0.0.1']
*/
export function longRunningOrServingTasksOf(cluster: ClusterState): readonly Task[] {
	return lastingJobIds(cluster)
		.flatMap(jobId => cluster.jobs.get(jobId) ?? [])
		.map(taskId => cluster.tasks.get(taskId))
		.filter(task => task !== undefined)
		.filter(task => isLongRunning(cluster, task));
}

/**
Tells since when each task that lasts is queued, or claimed and not started. A claim that never came to a run does not end the wait.

@example
trackLongRunningWaits(new Map(), cluster, 5000); // => new Map([['watch-1.0.0.0', {sinceMs: 5000, endedRuns: 1}]])
*/
export function trackLongRunningWaits(before: LongRunningWaits, cluster: ClusterState, nowMs: number): LongRunningWaits {
	const waits = new Map<string, LastingWait>();
	for (const {spec: {taskId}, phase, failures, evictions} of longRunningOrServingTasksOf(cluster)) {
		if (phase === 'queued' || phase === 'claimed') {
			const endedRuns = failures + evictions;
			const known = before.get(taskId);
			waits.set(taskId, known?.endedRuns === endedRuns ? known : {sinceMs: nowMs, endedRuns});
		}
	}

	return waits;
}

/**
Tells the most processors that one VM has left for a task, in thousandths, among those that allow it and have the memory and the
accelerators that it needs; 0 without such a VM.

@example
largestFreeProcessorsMilli(task, vms, {cluster, pending}); // => 5200
*/
export function largestFreeProcessorsMilli(task: Task, vms: readonly Vm[], {cluster, pending}: Readonly<{cluster: ClusterState; pending: PendingClaims}>): number {
	const besideProcessors = {...task.spec.demand, processorsMilli: 0};
	let largestMilli = 0;
	for (const vm of vms) {
		const room = freeResourcesOf(vm, pending.committedByVm.get(vm.vmId, noResources));
		if (room.processorsMilli > largestMilli && fitsInto(besideProcessors, room) && isAllowedOn(cluster, task, vm, pending.siblings.get(siblingsKeyOf(task, vm.vmId), 0))) {
			largestMilli = room.processorsMilli;
		}
	}

	return largestMilli;
}
