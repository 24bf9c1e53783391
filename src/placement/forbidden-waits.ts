import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {isStopping, taskIdsOf} from '../cluster/workflow-progress.js';
import {longRunningTasksOf} from './long-running-waits.js';
import {
	type CapacityReading, isHalfFree, capacityForTask, type WorkerFreeResources, workerFreeResourcesOf,
} from './worker-free-resources.js';

/** Time after its last run for which a long-running task may not run, whatever the capacity. */
const maxRestartMs = 6000;
/** Time for which there must have been capacity without interruption before a wait is forbidden. */
const minCapacityMs = 3000;
/** Time before the one with capacity that must also be without impairment, while there is traffic. */
const unimpairedBeforeMs = 4000;

/** State of the work at one time: as the entries agree on it, and as the workers run it. */
export type WaitMoment = Readonly<{
	cluster: ClusterState;
	/** Tasks that run on each VM whose worker is live, recorded by the entries or not. */
	runningByVm: ReadonlyMap<string, Iterable<string>>;
	nowMs: number;
	/** When the newest impairment ended. */
	unimpairedSinceMs: number;
	/** Whether the traffic is over and the time to finish the remaining jobs has passed. */
	isAfterTraffic: boolean;
}>;

/** Rule that a wait breaks. */
export type WaitRule = 'lasting-in-calm' | 'lasting-after-traffic' | 'idle-job-after-traffic';

/** A wait that the platform does not allow, at the time at which it began to break the rule. */
export type ForbiddenWait = Readonly<{
	rule: WaitRule;
	/** Way of counting by which there was capacity for the task. */
	capacity: CapacityReading;
	taskId: string;
	atMs: number;
	/** Time since the last run of the task, or of any task of its job, or since it was first seen runnable. */
	waitMs: number;
	demandMilli: number;
	largestRoomMilli: number;
	sumRoomMilli: number;
	/** Whether the task is claimed on a VM whose worker is not live. */
	isHeld: boolean;
}>;

type OpenWait = Readonly<{sinceMs: number; isReported: boolean}>;

/** State that is kept between two calls. */
export type ForbiddenWaitState = Readonly<{
	/** When each long-running task and each job last ran, or was first seen runnable. */
	lastRunMs: ReadonlyMap<string, number>;
	/** Waits during which there is capacity, by rule, way of counting the capacity, and task or job. */
	open: ReadonlyMap<string, OpenWait>;
}>;

export const noForbiddenWaits: ForbiddenWaitState = {lastRunMs: new Map(), open: new Map()};

/** A wait that becomes forbidden when there is capacity for long enough. */
type Wait = Readonly<{rule: WaitRule; name: string; task: Task; waitMs: number}>;

type Moment = WaitMoment & Readonly<{workers: WorkerFreeResources; running: ReadonlySet<string>}>;

/**
Returns the waits that become forbidden at a time. From 6 s after its last run, a long-running task must not wait for 3 s while there is capacity
for it twice over, either without impairment, or after the traffic while less than half of its service's processors are used. Under the latter
conditions no job may be without a running task. A wait is reported once for each way of counting the capacity. Meant to be called every 100 ms.

@example
const {state, forbidden} = trackForbiddenWaits(noForbiddenWaits, {cluster, runningByVm, nowMs, unimpairedSinceMs: 0, isAfterTraffic: false});
*/
export function trackForbiddenWaits(before: ForbiddenWaitState, given: WaitMoment): Readonly<{state: ForbiddenWaitState; forbidden: readonly ForbiddenWait[]}> {
	const {cluster, nowMs, unimpairedSinceMs} = given;
	const moment: Moment = {...given, workers: workerFreeResourcesOf(cluster, given.runningByVm), running: new Set([...given.runningByVm.values()].flatMap(taskIds => [...taskIds]))};
	const {waits, lastRunMs} = waitsAt(before, moment);
	const open = new Map<string, OpenWait>();
	const forbidden: ForbiddenWait[] = [];
	for (const {rule, name, task, waitMs} of waits) {
		const available = capacityForTask(task, cluster, moment.workers);
		for (const capacity of available.twiceOver) {
			const key = `${rule} ${capacity} ${name}`;
			const {sinceMs, isReported} = before.open.get(key) ?? {sinceMs: nowMs, isReported: false};
			const isUnimpaired = rule !== 'lasting-in-calm' || nowMs - unimpairedSinceMs >= minCapacityMs + unimpairedBeforeMs;
			const isForbidden = isUnimpaired && nowMs - sinceMs >= minCapacityMs;
			open.set(key, {sinceMs, isReported: isReported || isForbidden});
			if (isForbidden && !isReported) {
				forbidden.push({
					rule,
					capacity,
					taskId: task.spec.taskId,
					atMs: nowMs,
					waitMs,
					demandMilli: task.spec.demand.processorsMilli,
					largestRoomMilli: available.largestMilli,
					sumRoomMilli: available.sumMilli,
					isHeld: task.claim !== undefined && !given.runningByVm.has(task.claim.vmId),
				});
			}
		}
	}

	return {state: {lastRunMs, open}, forbidden};
}

function waitsAt({lastRunMs: lastRunBeforeMs}: ForbiddenWaitState, moment: Moment): Readonly<{waits: readonly Wait[]; lastRunMs: ReadonlyMap<string, number>}> {
	const {cluster, nowMs, isAfterTraffic, running} = moment;
	const lastRunMs = new Map<string, number>();
	const waits: Wait[] = [];

	function waitOf(name: string, isWaiting: boolean): number {
		const sinceMs = isWaiting ? lastRunBeforeMs.get(name) ?? nowMs : nowMs;
		lastRunMs.set(name, sinceMs);
		return nowMs - sinceMs;
	}

	for (const task of longRunningTasksOf(cluster)) {
		const {taskId} = task.spec;
		const waitMs = waitOf(taskId, mayRun(task, cluster) && !running.has(taskId));
		if (waitMs >= maxRestartMs) {
			waits.push({
				rule: 'lasting-in-calm', name: taskId, task, waitMs,
			});
			if (isAfterTraffic && isHalfFreeFor(task, moment)) {
				waits.push({
					rule: 'lasting-after-traffic', name: taskId, task, waitMs,
				});
			}
		}
	}

	for (const jobId of isAfterTraffic ? cluster.jobs.keys() : []) {
		const taskIds = taskIdsOf(cluster, jobId);
		const task = taskIds.some(taskId => running.has(taskId)) ? undefined : firstRunnable(taskIds, moment);
		const waitMs = waitOf(jobId, task !== undefined);
		if (task) {
			waits.push({
				rule: 'idle-job-after-traffic', name: jobId, task, waitMs,
			});
		}
	}

	return {waits, lastRunMs};
}

const runnablePhases: ReadonlySet<Task['phase']> = new Set(['queued', 'claimed', 'running', 'evicting']);

/** Returns whether a task may run now: its phase allows it and its job is not stopping. */
function mayRun(task: Task, cluster: ClusterState): boolean {
	const run = cluster.workflows.get(task.jobId);
	return runnablePhases.has(task.phase) && !(run && isStopping(run));
}

/** Returns the first task of a job that could start, however the capacity is counted. */
function firstRunnable(taskIds: Iterable<string>, moment: Moment): Task | undefined {
	const {cluster, workers} = moment;
	return [...taskIds]
		.map(taskId => cluster.tasks.get(taskId))
		.filter(task => task !== undefined)
		.find(task => mayRun(task, cluster) && isHalfFreeFor(task, moment) && capacityForTask(task, cluster, workers).twiceOver.length > 0);
}

function isHalfFreeFor({jobId}: Task, {cluster, workers}: Moment): boolean {
	return isHalfFree(cluster.workflows.get(jobId)?.workflow.service ?? '', workers);
}
