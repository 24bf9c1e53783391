import {type Map as ImmutableMap} from 'immutable';
import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {type EntryContext} from '../entry/entry-context.js';
import {fillingLoadOf} from './filling-work.js';
import {pendingFillingMilli, type PendingClaims} from './pending-claims.js';

/** When this entry first saw each job wait with nothing running, on its own clock. */
export type WaitingJobs = ImmutableMap<string, number>;

/** Which jobs of filling work may start a task beside others, as one entry judges it in one pass. */
export type StarvedJobs = Readonly<{
	/** Tells whether one task of a task's job may share processors that are not idle. */
	isStarved: (task: Task) => boolean;
	/** Takes in that a task of a job was claimed. */
	noteClaim: (jobId: string) => void;
	/** The observation for the next pass, after the jobs that were asked for. */
	waiting: () => WaitingJobs;
}>;

/** Time after which a job with nothing running starts its first task on busy processors; the longest chains take about as long. */
const starvedAfterMs = 10_000;

type ServiceUse = Readonly<{capacityMilli: number; committedMilli: number; fillingMilli: number}>;

/**
Judges which jobs have nothing running or under way and may start one task on processors that are not idle: small jobs and those that
can still be in time always go first, and would otherwise keep a large one from starting. A job may at once while less than half of
its service's processors is in use, filling work included, and when it has waited long while committed work takes less than half of
them. Beyond that it may not: during a flood every job that waits would take a share of the few that are left, and keep the jobs that
can still be in time from it. The wait counts by the caller's submission or by this entry's clock, whichever is longer, since the
clocks of entries differ.

@example
const starved = findStarvedJobs(state.waitingJobs, context, () => pending);
starved.isStarved(task); // => true
*/
export function findStarvedJobs(waitingBefore: WaitingJobs, context: EntryContext, pending: () => PendingClaims): StarvedJobs {
	const {cluster, nowMs, wallTimeMs} = context;
	const usesByService = new Map<string, ServiceUse>();
	const known = new Map<string, boolean>();
	let waiting = withoutEnded(waitingBefore, cluster);

	function useOf(service: string): ServiceUse {
		const use = usesByService.get(service) ?? serviceUse(service, cluster, pending());
		usesByService.set(service, use);
		return use;
	}

	function decide(jobId: string): boolean {
		const workflow = cluster.workflows.get(jobId)?.workflow;
		if (!workflow || hasTaskUnderWay(jobId, cluster, pending())) {
			waiting = waiting.delete(jobId);
			return false;
		}

		const sinceMs = waiting.get(jobId) ?? nowMs;
		waiting = waiting.set(jobId, sinceMs);
		const sinceSubmissionMs = workflow.objective === undefined ? 0 : wallTimeMs - workflow.objective.submittedAtMs;
		const isLongWait = Math.max(nowMs - sinceMs, sinceSubmissionMs) > starvedAfterMs;
		const {capacityMilli, committedMilli, fillingMilli} = useOf(workflow.service);
		return 2 * (committedMilli + (isLongWait ? 0 : fillingMilli)) < capacityMilli;
	}

	return {
		isStarved({jobId}) {
			const isStarved = known.get(jobId) ?? decide(jobId);
			known.set(jobId, isStarved);
			return isStarved;
		},
		noteClaim(jobId) {
			known.set(jobId, false);
			waiting = waiting.delete(jobId);
		},
		waiting: () => waiting,
	};
}

/** Sums the processors of the VMs of a service that may run tasks, claims under way included. */
function serviceUse(service: string, cluster: ClusterState, pending: PendingClaims): ServiceUse {
	let capacityMilli = 0;
	let committedMilli = 0;
	let fillingMilli = 0;
	for (const vm of cluster.vms.values()) {
		if (vm.service === service && vm.phase === 'live' && !vm.workerLost) {
			capacityMilli += vm.capacity.processorsMilli;
			committedMilli += vm.committed.processorsMilli + (pending.committedByVm.get(vm.vmId)?.processorsMilli ?? 0);
			fillingMilli += fillingLoadOf(vm, cluster).fillingMilli + pendingFillingMilli(pending, vm.vmId);
		}
	}

	return {capacityMilli, committedMilli, fillingMilli};
}

function hasTaskUnderWay(jobId: string, cluster: ClusterState, pending: PendingClaims): boolean {
	return (cluster.jobs.get(jobId) ?? []).some(taskId => pending.byTask.has(taskId) || isUnderWay(cluster.tasks.get(taskId), cluster));
}

/** A claim on a VM that no entry hears shows only what ran there; it may be seconds until the claim ends. */
function isUnderWay(task: Task | undefined, cluster: ClusterState): boolean {
	const vm = task?.claim && cluster.vms.get(task.claim.vmId);
	return vm?.phase === 'live' && !vm.heardBy.isEmpty();
}

function withoutEnded(waiting: WaitingJobs, {workflows}: ClusterState): WaitingJobs {
	return waiting.every((_sinceMs, jobId) => workflows.has(jobId)) ? waiting : waiting.filter((_sinceMs, jobId) => workflows.has(jobId));
}
