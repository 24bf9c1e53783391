import {type Map as ImmutableMap, type Set as ImmutableSet} from 'immutable';
import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {isEvacuated} from '../cluster/evacuations.js';
import {taskIdsOf} from '../cluster/workflow-progress.js';
import {type EntryContext} from '../entry/entry-context.js';
import {fillingLoadOf} from './filling-work.js';
import {pendingFillingMilli, type PendingClaims} from './pending-claims.js';

/** When this entry first saw that a job has queued filling tasks but no active task, by job ID and on the entry's own clock. */
export type WaitingJobs = ImmutableMap<string, number>;

/** The starved filling jobs of one pass, which may start a task on processors that are not idle. */
export type StarvedJobs = Readonly<{
	/** Returns whether the job of a task may start one task on processors that are not idle. */
	isStarved: (task: Task) => boolean;
	/** Records that a task of a job was claimed, which ends its starvation. */
	recordClaim: (jobId: string) => void;
	/** Returns the waiting jobs for the next pass: those of the previous pass, updated for the jobs that were evaluated in this one. */
	waiting: () => WaitingJobs;
}>;

/** Time after which a job without an active task may start one on busy processors; the longest chains of steps take about as long. */
const starvedAfterMs = 10_000;

type ServiceUsage = Readonly<{capacityMilli: number; committedMilli: number; fillingMilli: number}>;

/**
Finds the jobs that have no active task and may start one on processors that are not idle. Otherwise a large job might never start, since small
jobs and jobs that can still be in time always go first. A job may start a task at once while less than half of its service's processors
are committed or demanded by filling tasks, and after a long wait while less than half are committed, whatever filling tasks demand. Above
these limits it may not: during an overload every waiting job would take a share of the few free processors from the jobs that can still be in
time. The wait is the longer of the times since the caller's submission and since this entry's first observation, as the clocks of entries differ.

@param silentVmIds VMs with a silent worker or agent.

@example
const starved = findStarvedJobs(state.waitingJobs, context, () => pending, silentVmIds);
starved.isStarved(task); // => true
*/
export function findStarvedJobs(waitingBefore: WaitingJobs, context: EntryContext, pending: () => PendingClaims, silentVmIds: ImmutableSet<string>): StarvedJobs {
	const {cluster, nowMs, wallTimeMs} = context;
	const usageByService = new Map<string, ServiceUsage>();
	const decided = new Map<string, boolean>();
	let waiting = withoutEndedJobs(waitingBefore, cluster);

	function usageOf(service: string): ServiceUsage {
		const usage = usageByService.get(service) ?? serviceUsageOf(service, cluster, pending());
		usageByService.set(service, usage);
		return usage;
	}

	function evaluate(jobId: string): boolean {
		const workflow = cluster.workflows.get(jobId)?.workflow;
		if (!workflow || hasActiveTask(jobId, cluster, pending(), silentVmIds)) {
			waiting = waiting.delete(jobId);
			return false;
		}

		const sinceMs = waiting.get(jobId) ?? nowMs;
		waiting = waiting.set(jobId, sinceMs);
		const sinceSubmissionMs = workflow.objective === undefined ? 0 : wallTimeMs - workflow.objective.submittedAtMs;
		const isLongWait = Math.max(nowMs - sinceMs, sinceSubmissionMs) > starvedAfterMs;
		const {capacityMilli, committedMilli, fillingMilli} = usageOf(workflow.service);
		return 2 * (committedMilli + (isLongWait ? 0 : fillingMilli)) < capacityMilli;
	}

	return {
		isStarved({jobId}) {
			const isStarved = decided.get(jobId) ?? evaluate(jobId);
			decided.set(jobId, isStarved);
			return isStarved;
		},
		recordClaim(jobId) {
			decided.set(jobId, false);
			waiting = waiting.delete(jobId);
		},
		waiting: () => waiting,
	};
}

/** Returns the capacity and use of the VMs of a service that may run tasks, in millicores, pending claims included. */
function serviceUsageOf(service: string, cluster: ClusterState, pending: PendingClaims): ServiceUsage {
	let capacityMilli = 0;
	let committedMilli = 0;
	let fillingMilli = 0;
	for (const vm of cluster.vms.values()) {
		if (vm.service === service && vm.phase === 'live' && !vm.workerLost && !isEvacuated(cluster, vm.failureDomain)) {
			capacityMilli += vm.capacity.processorsMilli;
			committedMilli += vm.committed.processorsMilli + (pending.committedByVm.get(vm.vmId)?.processorsMilli ?? 0);
			fillingMilli += fillingLoadOf(vm, cluster).fillingMilli + pendingFillingMilli(pending, vm.vmId);
		}
	}

	return {capacityMilli, committedMilli, fillingMilli};
}

function hasActiveTask(jobId: string, cluster: ClusterState, pending: PendingClaims, silentVmIds: ImmutableSet<string>): boolean {
	return taskIdsOf(cluster, jobId).some(taskId => pending.byTask.has(taskId) || isActive(cluster.tasks.get(taskId), cluster, silentVmIds));
}

/** Returns whether a task is claimed on a VM that is live and reachable, with a worker that answers. On any other the task may have stopped, and its claim may end seconds later. */
function isActive(task: Task | undefined, cluster: ClusterState, silentVmIds: ImmutableSet<string>): boolean {
	const vm = task?.claim && cluster.vms.get(task.claim.vmId);
	return vm?.phase === 'live' && !vm.heardBy.isEmpty() && !silentVmIds.has(vm.vmId);
}

function withoutEndedJobs(waiting: WaitingJobs, {workflows}: ClusterState): WaitingJobs {
	return waiting.every((_sinceMs, jobId) => workflows.has(jobId)) ? waiting : waiting.filter((_sinceMs, jobId) => workflows.has(jobId));
}
