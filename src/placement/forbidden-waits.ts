import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {isStopping} from '../cluster/workflow-progress.js';
import {longRunningOrServingTasksOf} from './long-running-waits.js';
import {
	type CapacityReading, isHalfFree, roomForTask, type WorkerRooms, workerRoomsOf,
} from './worker-room.js';

/** After its last run a task that lasts may be away for this long, whatever room there is. */
const restartMs = 6000;
/** Capacity is there for this long on end before a wait is forbidden. */
const capacityMs = 3000;
/** Before the traffic is over, the time with capacity and this long before it must be without impairment. */
const calmBeforeMs = 4000;

/** What a moment shows of the work: what the entries agree on, and what the workers do. */
export type WaitMoment = Readonly<{
	cluster: ClusterState;
	/** Tasks that run on each VM whose worker is up, known to the entries or not. */
	runningByVm: ReadonlyMap<string, Iterable<string>>;
	nowMs: number;
	/** When the newest impairment ended. */
	calmSinceMs: number;
	/** Whether the callers ask for what is left: the traffic is over, and the time to finish has passed. */
	isAfterTraffic: boolean;
}>;

/** Part of the rule that a wait breaks. */
export type WaitRule = 'lasting-in-calm' | 'lasting-after-traffic' | 'idle-job-after-traffic';

/** A wait that the platform does not allow, at the moment from which on it breaks the rule. */
export type ForbiddenWait = Readonly<{
	rule: WaitRule;
	/** How the capacity has to be read for the wait to be forbidden. */
	capacity: CapacityReading;
	taskId: string;
	atMs: number;
	/** Time since the last run of the task, or of any task of its job, or since its turn was first seen. */
	waitMs: number;
	demandMilli: number;
	largestRoomMilli: number;
	sumRoomMilli: number;
	/** Whether a claim on a VM whose worker is not up holds the task. */
	isHeld: boolean;
}>;

type OpenWait = Readonly<{sinceMs: number; isTold: boolean}>;

/** What is remembered from moment to moment. */
export type ForbiddenWaitState = Readonly<{
	/** When each task that lasts and each job last ran, or was first seen with its turn come. */
	lastRunMs: ReadonlyMap<string, number>;
	/** Waits with capacity, by part of the rule, reading of the capacity, and task or job. */
	open: ReadonlyMap<string, OpenWait>;
}>;

export const noForbiddenWaits: ForbiddenWaitState = {lastRunMs: new Map(), open: new Map()};

/** A wait that becomes forbidden when capacity is there for long enough. */
type Wait = Readonly<{rule: WaitRule; name: string; task: Task; waitMs: number}>;

type Moment = WaitMoment & Readonly<{rooms: WorkerRooms; running: ReadonlySet<string>}>;

/**
Tells which waits become forbidden at a moment. From 6 s after its last run a task that lasts must not wait for 3 s while there is
capacity for it twice over, in calm or, after the traffic, with under half of its service's processors in use. After the traffic no job
may have nothing running under the latter conditions. A wait is told once for each reading of the capacity. Meant to be called every
100 ms.

@example
const {state, forbidden} = trackForbiddenWaits(noForbiddenWaits, {cluster, runningByVm, nowMs, calmSinceMs: 0, isAfterTraffic: false});
*/
export function trackForbiddenWaits(before: ForbiddenWaitState, given: WaitMoment): Readonly<{state: ForbiddenWaitState; forbidden: readonly ForbiddenWait[]}> {
	const {cluster, nowMs, calmSinceMs} = given;
	const moment: Moment = {...given, rooms: workerRoomsOf(cluster, given.runningByVm), running: new Set([...given.runningByVm.values()].flatMap(taskIds => [...taskIds]))};
	const {waits, lastRunMs} = waitsAt(before, moment);
	const open = new Map<string, OpenWait>();
	const forbidden: ForbiddenWait[] = [];
	for (const {rule, name, task, waitMs} of waits) {
		const room = roomForTask(task, cluster, moment.rooms);
		for (const capacity of room.twiceOver) {
			const key = `${rule} ${capacity} ${name}`;
			const {sinceMs, isTold} = before.open.get(key) ?? {sinceMs: nowMs, isTold: false};
			const isCalm = rule !== 'lasting-in-calm' || nowMs - calmSinceMs >= capacityMs + calmBeforeMs;
			const isForbidden = isCalm && nowMs - sinceMs >= capacityMs;
			open.set(key, {sinceMs, isTold: isTold || isForbidden});
			if (isForbidden && !isTold) {
				forbidden.push({
					rule,
					capacity,
					taskId: task.spec.taskId,
					atMs: nowMs,
					waitMs,
					demandMilli: task.spec.demand.processorsMilli,
					largestRoomMilli: room.largestMilli,
					sumRoomMilli: room.sumMilli,
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

	for (const task of longRunningOrServingTasksOf(cluster)) {
		const {taskId} = task.spec;
		const waitMs = waitOf(taskId, mayRun(task, cluster) && !running.has(taskId));
		if (waitMs >= restartMs) {
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

	for (const [jobId, taskIds] of isAfterTraffic ? cluster.jobs : []) {
		const task = taskIds.some(taskId => running.has(taskId)) ? undefined : firstInTurn(taskIds, moment);
		const waitMs = waitOf(jobId, task !== undefined);
		if (task) {
			waits.push({
				rule: 'idle-job-after-traffic', name: jobId, task, waitMs,
			});
		}
	}

	return {waits, lastRunMs};
}

const phasesInTurn: ReadonlySet<Task['phase']> = new Set(['queued', 'claimed', 'running', 'evicting']);

/** Tells whether a task's turn has come and its job goes on. */
function mayRun(task: Task, cluster: ClusterState): boolean {
	const run = cluster.workflows.get(task.jobId);
	return phasesInTurn.has(task.phase) && !(run && isStopping(run));
}

/** The first task of a job that could start by the widest reading of the capacity. */
function firstInTurn(taskIds: readonly string[], moment: Moment): Task | undefined {
	const {cluster, rooms} = moment;
	return taskIds
		.map(taskId => cluster.tasks.get(taskId))
		.filter(task => task !== undefined)
		.find(task => mayRun(task, cluster) && isHalfFreeFor(task, moment) && roomForTask(task, cluster, rooms).twiceOver.length > 0);
}

function isHalfFreeFor({jobId}: Task, {cluster, rooms}: Moment): boolean {
	return isHalfFree(cluster.workflows.get(jobId)?.workflow.service ?? '', rooms);
}
