import type {Result} from 'true-myth';
import {formatError} from '../errors/typed-error.js';
import type {WorkerError, WorkerErrorKind} from '../worker/worker-client.js';
import type {EventLog} from '../telemetry/event-log.js';
import type {AgentEffectOf} from './agent-effect.js';
import type {AgentEvent, AgentEventOf} from './agent-event.js';
import type {Worker} from './worker.js';

/** Effects that are calls to the worker. */
export type WorkerEffectKind = 'start-task' | 'checkpoint-task' | 'stop-task' | 'delete-task' | 'throttle-task' | 'set-lease';

/** Executes the reducer's calls to the worker, and polls its tasks and usage. */
export type WorkerDriver = Readonly<{
	execute: (effect: AgentEffectOf<WorkerEffectKind>) => void;
	/** Reads tasks and usage. All calls during a poll together cause one more poll. */
	poll: () => Promise<void>;
}>;

/** Result of a start call that failed, by kind of error. */
const startResults: Readonly<Record<WorkerErrorKind, AgentEventOf<'start-answered'>['result']>> = {
	'worker-refused': 'refused', 'worker-unreached': 'unsent', 'worker-gone': 'unsent', 'worker-unavailable': 'unknown', 'worker-unknown-task': 'unknown', 'worker-protocol': 'unknown',
};

type WorkerDriverDependencies = Readonly<{worker: Worker; eventLog: EventLog; nowMs: () => number; dispatch: (event: AgentEvent) => void}>;

/**
Connects the reducer with the worker. Calls for one task are made one after the other, so that the deletion of an ended attempt never
overtakes the start of the next one.

@example
const driver = createWorkerDriver({worker, eventLog, nowMs, dispatch});
await driver.poll();
*/
export function createWorkerDriver({worker, eventLog, nowMs, dispatch}: WorkerDriverDependencies): WorkerDriver {
	const lastCalls = new Map<string, Promise<void>>();
	let polling: Promise<void> | undefined;
	let isPollRequested = false;
	let isPollFailing = false;

	function warn(call: string, taskId: string | undefined, error: WorkerError): void {
		eventLog.warn('worker-call-failed', {call, taskId, error: formatError(error)});
	}

	function callInOrder(taskId: string, call: () => Promise<void>): void {
		const after = lastCalls.get(taskId) ?? Promise.resolve();
		const current = (async () => {
			await after;
			await call();
		})();
		lastCalls.set(taskId, current);
		void (async () => {
			await current;
			if (lastCalls.get(taskId) === current) {
				lastCalls.delete(taskId);
			}
		})();
	}

	function simpleCall(name: string, taskId: string, call: () => Promise<Result<unknown, WorkerError>>): void {
		callInOrder(taskId, async () => {
			const result = await call();
			if (result.isErr) {
				warn(name, taskId, result.error);
			}
		});
	}

	async function start({taskId, request, workerIncarnation}: AgentEffectOf<'start-task'>): Promise<void> {
		const {attempt} = request;
		if (nowMs() >= request.leaseDeadlineMonotonicMs) {
			// Nothing is sent, but an earlier try may have reached the worker, so the result is unknown until the worker lists its tasks.
			dispatch({
				kind: 'start-answered', nowMs: nowMs(), taskId, attempt, result: 'unknown', reason: 'the lease expired',
			});
			return;
		}

		if (worker.isCurrent?.(workerIncarnation) === false) {
			// The claim holds only for the worker process for which it was accepted; a start on the next process could run the task twice.
			dispatch({
				kind: 'start-answered', nowMs: nowMs(), taskId, attempt, result: 'unknown', reason: 'another worker process has replaced the one that the start is for',
			});
			return;
		}

		const result = await worker.startTask(taskId, request);
		if (result.isErr) {
			warn('start-task', taskId, result.error);
			dispatch({
				kind: 'start-answered', nowMs: nowMs(), taskId, attempt, result: startResults[result.error.kind], reason: result.error.message,
			});
			return;
		}

		dispatch({
			kind: 'start-answered', nowMs: nowMs(), taskId, attempt, result: 'started', reason: '',
		});
	}

	function stop(name: 'checkpoint-task' | 'stop-task', taskId: string, call: () => Promise<Result<unknown, WorkerError>>): void {
		callInOrder(taskId, async () => {
			const result = await call();
			if (result.isErr) {
				warn(name, taskId, result.error);
			} else {
				dispatch({kind: 'stop-answered', nowMs: nowMs(), taskId});
			}

			void poll();
		});
	}

	const effectHandlers: Readonly<{[Kind in WorkerEffectKind]: (effect: AgentEffectOf<Kind>) => void}> = {
		'start-task'(effect) {
			callInOrder(effect.taskId, async () => start(effect));
		},
		'checkpoint-task'({taskId}) {
			stop('checkpoint-task', taskId, async () => worker.checkpointTask(taskId));
		},
		'stop-task'({taskId}) {
			stop('stop-task', taskId, async () => worker.stopTask(taskId));
		},
		'delete-task'({taskId}) {
			simpleCall('delete-task', taskId, async () => worker.deleteTask(taskId));
		},
		'throttle-task'({taskId, shareMilli}) {
			callInOrder(taskId, async () => {
				const result = await worker.throttleTask(taskId, shareMilli);
				if (result.isErr) {
					warn('throttle-task', taskId, result.error);
					dispatch({kind: 'throttle-failed', nowMs: nowMs(), taskId});
				}
			});
		},
		'set-lease'({deadlineMonotonicMs}) {
			callInOrder('', async () => {
				const result = await worker.setLease(deadlineMonotonicMs);
				if (result.isErr) {
					warn('set-lease', undefined, result.error);
				}
			});
		},
	};

	async function readOnce(): Promise<void> {
		const requestedAtMs = nowMs();
		const tasks = await worker.listTasks();
		if (tasks.isOk) {
			if (isPollFailing) {
				isPollFailing = false;
				eventLog.info('worker-regained', {workerIncarnation: tasks.value.workerIncarnation});
			}

			dispatch({
				kind: 'worker-tasks', nowMs: nowMs(), requestedAtMs, list: tasks.value,
			});
		} else {
			// Only the first of consecutive failed polls is logged.
			if (!isPollFailing) {
				isPollFailing = true;
				warn('list-tasks', undefined, tasks.error);
			}

			dispatch({
				kind: 'worker-look-failed', nowMs: nowMs(), isConnectionRefused: tasks.error.kind === 'worker-gone', isUnreached: tasks.error.kind === 'worker-unreached',
			});
			return;
		}

		isPollRequested ||= worker.usesLongPolling === true;
		const usage = await worker.readUsage();
		if (usage.isOk) {
			dispatch({kind: 'worker-usage', nowMs: nowMs(), usage: usage.value});
		} else {
			warn('read-usage', undefined, usage.error);
		}
	}

	async function pollWhileRequested(): Promise<void> {
		while (isPollRequested) {
			isPollRequested = false;
			await readOnce();
		}

		polling = undefined;
	}

	async function poll(): Promise<void> {
		isPollRequested = true;
		polling ??= pollWhileRequested();
		return polling;
	}

	function execute<Kind extends WorkerEffectKind>(effect: AgentEffectOf<Kind>): void {
		effectHandlers[effect.kind](effect);
	}

	return {execute, poll};
}
