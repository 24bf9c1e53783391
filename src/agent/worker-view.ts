import type {WorkerTasks} from '../worker/worker-api.js';

/** What the agent knows of the worker process on its VM. */
export type WorkerView = Readonly<{
	/** Identity of the process; empty until its first list. */
	incarnation: string;
	service: string;
	labels: readonly string[];
	/** Empty when the worker does not tell. */
	rack: string;
	/** Unix time in milliseconds; 0 when the worker does not tell. */
	startedAtMs: number;
	/** Whether the worker announced that it leaves. */
	leaving: boolean;
	/** When its newest list arrived, on the VM's monotonic clock. */
	lastSeenAtMs: number;
	/** Latest deadline that was sent to the worker; nothing that the lease covers runs there after it. */
	workerLeaseDeadlineMs: number;
	/** First and newest of the looks in a row that found nothing listening at its address; missing when the newest one found something. */
	connectionRefused: Readonly<{sinceMs: number; untilMs: number}> | undefined;
	/** Whether the tasks that it ran are known to be over and no list of it has arrived since. */
	lost: boolean;
}>;

/** A worker that has not been heard yet. */
export const initialWorkerView: WorkerView = {
	incarnation: '', service: '', labels: [], rack: '', startedAtMs: 0, leaving: false, lastSeenAtMs: Number.NEGATIVE_INFINITY, workerLeaseDeadlineMs: 0, connectionRefused: undefined, lost: false,
};

/**
Takes over what a list says of the worker itself.

@example
recordWorkerList(initialWorkerView, list, 5000).lastSeenAtMs; // => 5000
*/
export function recordWorkerList(worker: WorkerView, list: WorkerTasks, nowMs: number): WorkerView {
	const {workerIncarnation, service = '', labels = [], rack = '', startedAtMs = 0, leaving = false} = list;
	return {
		...worker, incarnation: workerIncarnation, service, labels, rack, startedAtMs, leaving, lastSeenAtMs: nowMs, connectionRefused: undefined, lost: false,
	};
}

/**
Takes in that the worker did not list its tasks, and whether nothing listens at its address.

@example
recordFailedPoll(initialWorkerView, {isGone: true, nowMs: 5000}).gone; // => {sinceMs: 5000, untilMs: 5000}
*/
export function recordFailedPoll(worker: WorkerView, {isGone, nowMs}: Readonly<{isGone: boolean; nowMs: number}>): WorkerView {
	return {...worker, connectionRefused: isGone ? {sinceMs: worker.connectionRefused?.sinceMs ?? nowMs, untilMs: nowMs} : undefined};
}

/**
Tells whether the worker has ever listed its tasks to this agent.

@example
hasListedTasks(initialWorkerView); // => false
*/
export function hasListedTasks({incarnation}: WorkerView): boolean {
	return incarnation !== '';
}

/**
Bounds the wait for the first list of a worker: an agent that ran here before may have told it to go on for the longest hold.

@example
expectWorker(initialWorkerView, {nowMs: 1000, workerHoldMs: 6000}).workerLeaseDeadlineMs; // => 7000
*/
export function expectWorker(worker: WorkerView, {nowMs, workerHoldMs}: Readonly<{nowMs: number; workerHoldMs: number}>): WorkerView {
	return worker.workerLeaseDeadlineMs > 0 ? worker : {...worker, workerLeaseDeadlineMs: nowMs + workerHoldMs};
}

/** A renewal by less would cost a call to the worker for the grant of every entry; heartbeats are a second apart. */
const leastRenewalMs = 500;

/**
Says until when the worker may be told to run tasks: the lease bounds it, and so does `workerHoldMs` from its last word on, so that
the tasks of a worker that stays silent are known to have stopped soon. Undefined when the worker is too silent for a longer hold,
or when the gain is not worth a call.

@example
nextWorkerLeaseDeadlineMs({...initialWorkerView, lastSeenAtMs: 5000}, {leaseDeadlineMs: 20_000, nowMs: 5500, workerHoldMs: 6000, workerTimeoutMs: 1500}); // => 11_000
*/
export function nextWorkerLeaseDeadlineMs(worker: WorkerView, {leaseDeadlineMs, nowMs, workerHoldMs, workerTimeoutMs}: Readonly<{
	leaseDeadlineMs: number | undefined;
	nowMs: number;
	workerHoldMs: number;
	workerTimeoutMs: number;
}>): number | undefined {
	if (leaseDeadlineMs === undefined || nowMs - worker.lastSeenAtMs > workerTimeoutMs) {
		return undefined;
	}

	const deadlineMs = Math.min(leaseDeadlineMs, worker.lastSeenAtMs + workerHoldMs);
	return deadlineMs - worker.workerLeaseDeadlineMs >= leastRenewalMs ? deadlineMs : undefined;
}

/** Part of the time by which the worker's clock may run slow; its deadlines then come that much later. */
const clockDriftShare = 0.02;

/**
Tells whether everything that the lease covers has certainly stopped at a worker that does not answer.

@example
isWorkerLeaseExpired({...initialWorkerView, workerLeaseDeadlineMs: 5000}, {nowMs: 12_000, workerHoldMs: 6000}); // => true
*/
export function isWorkerLeaseExpired(worker: WorkerView, {nowMs, workerHoldMs}: Readonly<{nowMs: number; workerHoldMs: number}>): boolean {
	return nowMs > worker.workerLeaseDeadlineMs + (workerHoldMs * clockDriftShare);
}

/**
Tells whether a start would probably not reach the worker.

@example
isSilent({...initialWorkerView, lastSeenAtMs: 5000}, {nowMs: 6000, workerTimeoutMs: 2500}); // => false
*/
export function isSilent({lastSeenAtMs: heardAtMs, connectionRefused: gone, lost}: WorkerView, {nowMs, workerTimeoutMs}: Readonly<{nowMs: number; workerTimeoutMs: number}>): boolean {
	return lost || gone !== undefined || nowMs - heardAtMs > workerTimeoutMs;
}

/** A process that ends and one that begins at its address may leave a gap between them, after which the next one tells of itself. */
const goneAfterMs = 1000;

/**
Says why nothing that the worker was told to run can go on any more although it has not said so; undefined while something may, and
once the loss is known.

@example
reasonForLoss({...initialWorkerView, lastSeenAtMs: 0, workerLeaseDeadlineMs: 5000}, {nowMs: 12_000, workerHoldMs: 6000, workerTimeoutMs: 2500});
// => 'the worker is silent and its tasks have lapsed'
*/
export function reasonForLoss(worker: WorkerView, {nowMs, workerHoldMs, workerTimeoutMs}: Readonly<{
	nowMs: number;
	workerHoldMs: number;
	workerTimeoutMs: number;
}>): string | undefined {
	if (!worker.lost && worker.connectionRefused !== undefined && worker.connectionRefused.untilMs - worker.connectionRefused.sinceMs >= goneAfterMs) {
		return 'nothing listens at the address of the worker';
	}

	return !worker.lost && isSilent(worker, {nowMs, workerTimeoutMs}) && isWorkerLeaseExpired(worker, {nowMs, workerHoldMs})
		? 'the worker is silent and its tasks have lapsed'
		: undefined;
}
