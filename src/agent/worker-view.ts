import type {WorkerTasks} from '../worker/worker-api.js';

/** State of the VM's worker process, as this agent has recorded it. */
export type WorkerView = Readonly<{
	/** Incarnation of the worker process; empty until its first list. */
	incarnation: string;
	service: string;
	labels: readonly string[];
	/** Empty when the worker does not report it. */
	rack: string;
	/** Unix time in milliseconds; 0 when the worker does not report it. */
	startedAtMs: number;
	/** Until when the worker remains slow, on the VM's monotonic clock. */
	coldUntilMs: number;
	/** Whether the worker announced that it leaves. */
	leaving: boolean;
	/** Which ends its newest list names. */
	listedEnds: WorkerTasks['listedEnds'];
	/** When its newest list arrived, on the VM's monotonic clock. */
	lastSeenAtMs: number;
	/** Deadline of the latest worker lease that was sent to the worker or assumed. At this time the worker stops the tasks that the agent's lease covers. */
	workerLeaseDeadlineMs: number;
	/** Time until which the worker's process may hold a lease that was meant for a former one; 0 when there is none. */
	foreignLeaseUntilMs: number;
	/** Times of the first and the newest poll in the current series of refused connections; undefined when the newest poll was not refused. */
	connectionRefused: Readonly<{sinceMs: number; untilMs: number}> | undefined;
	/** Whether no connection was made for the newest poll. It says nothing of the worker's tasks. */
	isUnreached: boolean;
	/** Whether the newest poll returned no task list. */
	isPollFailing: boolean;
	/** Whether the worker is lost: its tasks have certainly stopped, and it has sent no list since. */
	lost: boolean;
}>;

/** Share by which the worker's clock may run slow; its lease then expires later by this share of its duration. */
const maxClockDriftShare = 0.02;

/** A worker that has not listed its tasks yet. */
export const initialWorkerView: WorkerView = {
	incarnation: '', service: '', labels: [], rack: '', startedAtMs: 0, coldUntilMs: 0, leaving: false, listedEnds: 'all', lastSeenAtMs: Number.NEGATIVE_INFINITY, workerLeaseDeadlineMs: 0, foreignLeaseUntilMs: 0, connectionRefused: undefined, isUnreached: false, isPollFailing: false, lost: false,
};

/**
Records what a task list reports about the worker itself.

@example
recordWorkerList(initialWorkerView, list, 5000).lastSeenAtMs; // => 5000
*/
export function recordWorkerList(worker: WorkerView, list: WorkerTasks, nowMs: number): WorkerView {
	const {workerIncarnation, service = '', labels = [], rack = '', startedAtMs = 0, coldLeftMs = 0, leaving = false, listedEnds} = list;
	return {
		...worker, incarnation: workerIncarnation, service, labels, rack, startedAtMs, coldUntilMs: coldLeftMs === 0 ? 0 : nowMs + coldLeftMs, leaving, listedEnds, lastSeenAtMs: nowMs, connectionRefused: undefined, isUnreached: false, isPollFailing: false, lost: false,
	};
}

/**
Records a poll that returned no task list. A refused connection starts or continues the series of refused connections; any other failure
ends it.

@example
recordFailedPoll(initialWorkerView, {isConnectionRefused: true, nowMs: 5000}).connectionRefused; // => {sinceMs: 5000, untilMs: 5000}
*/
export function recordFailedPoll(worker: WorkerView, {isConnectionRefused, isUnreached = false, nowMs}: Readonly<{isConnectionRefused: boolean; isUnreached?: boolean; nowMs: number}>): WorkerView {
	return {
		...worker, isUnreached, isPollFailing: true, connectionRefused: isConnectionRefused ? {sinceMs: worker.connectionRefused?.sinceMs ?? nowMs, untilMs: nowMs} : undefined,
	};
}

/**
Returns whether the worker has ever listed its tasks to this agent.

@example
hasListedTasks(initialWorkerView); // => false
*/
export function hasListedTasks({incarnation}: WorkerView): boolean {
	return incarnation !== '';
}

/**
Assumes a worker lease of the longest duration for a worker that has not listed its tasks yet, since an earlier agent on this VM may just
have renewed it. This bounds the wait for the first list.

@example
assumeWorkerLease(initialWorkerView, {nowMs: 1000, workerHoldMs: 6000}).workerLeaseDeadlineMs; // => 7000
*/
export function assumeWorkerLease(worker: WorkerView, {nowMs, workerHoldMs}: Readonly<{nowMs: number; workerHoldMs: number}>): WorkerView {
	return worker.workerLeaseDeadlineMs > 0 ? worker : {...worker, workerLeaseDeadlineMs: nowMs + workerHoldMs};
}

/**
Assumes that a new process of the worker holds a lease of the longest duration, for one whose first list names tasks that run: it has taken calls that
were meant for a former process, and their deadlines lie far ahead on its own clock. Without `workerLeaseLimitMs`, the clock of the worker's processes is
the VM's, and nothing is assumed.

@example
assumeForeignLease(initialWorkerView, {nowMs: 1000, workerLeaseLimitMs: 9800}).foreignLeaseUntilMs; // => 11_000
*/
export function assumeForeignLease(worker: WorkerView, {nowMs, workerLeaseLimitMs}: Readonly<{nowMs: number; workerLeaseLimitMs?: number | undefined}>): WorkerView {
	return workerLeaseLimitMs === undefined ? worker : {...worker, foreignLeaseUntilMs: nowMs + (workerLeaseLimitMs / (1 - maxClockDriftShare))};
}

/** Shortest renewal that is sent to the worker. Without it, the grant of every entry would cost a call; heartbeats are a second apart. */
const minRenewalMs = 500;

/**
Returns the next worker lease deadline. It lies within the agent's lease and at most `workerHoldMs` after the worker's last list, which
bounds how long the tasks of a silent worker may still run. Returns undefined when there is no lease, when the worker is
silent, or when the renewal is too short to be worth a call.

@example
nextWorkerLeaseDeadlineMs({...initialWorkerView, lastSeenAtMs: 5000}, {leaseDeadlineMs: 20_000, nowMs: 5500, workerHoldMs: 6000, workerTimeoutMs: 1500}); // => 11_000
*/
export function nextWorkerLeaseDeadlineMs(worker: WorkerView, {leaseDeadlineMs, nowMs, workerHoldMs, workerTimeoutMs}: Readonly<{
	leaseDeadlineMs: number | undefined;
	nowMs: number;
	workerHoldMs: number;
	workerTimeoutMs: number;
}>): number | undefined {
	if (leaseDeadlineMs === undefined || isSilent(worker, {nowMs, workerTimeoutMs})) {
		return undefined;
	}

	const deadlineMs = Math.min(leaseDeadlineMs, worker.lastSeenAtMs + workerHoldMs);
	return deadlineMs - worker.workerLeaseDeadlineMs >= minRenewalMs ? deadlineMs : undefined;
}

/**
Returns whether the worker lease has certainly expired at a worker that does not answer, so that the tasks that it covers have stopped.

@example
isWorkerLeaseExpired({...initialWorkerView, workerLeaseDeadlineMs: 5000}, {nowMs: 12_000, workerHoldMs: 6000}); // => true
*/
export function isWorkerLeaseExpired(worker: WorkerView, {nowMs, workerHoldMs}: Readonly<{nowMs: number; workerHoldMs: number}>): boolean {
	return nowMs > Math.max(worker.workerLeaseDeadlineMs + (workerHoldMs * maxClockDriftShare), worker.foreignLeaseUntilMs);
}

/**
Returns whether the worker is silent: it is lost, no connection was made for the newest poll, or its last list is older than `workerTimeoutMs`. Its
tasks may still run, but a start would probably not reach it.

@example
isSilent({...initialWorkerView, lastSeenAtMs: 5000}, {nowMs: 6000, workerTimeoutMs: 2500}); // => false
*/
export function isSilent(worker: WorkerView, timings: Readonly<{nowMs: number; workerTimeoutMs: number}>): boolean {
	return worker.isUnreached || hasFallenSilent(worker, timings);
}

/** Returns whether the worker is silent for another reason than a connection that was not made while its process may live. */
function hasFallenSilent({lastSeenAtMs, connectionRefused, lost}: WorkerView, {nowMs, workerTimeoutMs}: Readonly<{nowMs: number; workerTimeoutMs: number}>): boolean {
	return lost || connectionRefused !== undefined || nowMs - lastSeenAtMs > workerTimeoutMs;
}

/** Duration of refused connections after which a worker is lost. A restart at the same address refuses connections for less time; then the new process lists its tasks. */
const connectionRefusedTimeoutMs = 1000;

/**
Returns the reason why the worker is lost although it has not reported the ends of its tasks; undefined while tasks may still run, and when
the loss is already recorded.

@example
reasonForLoss({...initialWorkerView, lastSeenAtMs: 0, workerLeaseDeadlineMs: 5000}, {nowMs: 12_000, workerHoldMs: 6000, workerTimeoutMs: 2500});
// => 'the worker is silent and its lease has expired'
*/
export function reasonForLoss(worker: WorkerView, {nowMs, workerHoldMs, workerTimeoutMs}: Readonly<{
	nowMs: number;
	workerHoldMs: number;
	workerTimeoutMs: number;
}>): string | undefined {
	if (!worker.lost && worker.connectionRefused !== undefined && worker.connectionRefused.untilMs - worker.connectionRefused.sinceMs >= connectionRefusedTimeoutMs) {
		return 'nothing listens at the address of the worker';
	}

	return !worker.lost && hasFallenSilent(worker, {nowMs, workerTimeoutMs}) && isWorkerLeaseExpired(worker, {nowMs, workerHoldMs})
		? 'the worker is silent and its lease has expired'
		: undefined;
}
