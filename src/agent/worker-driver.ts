import {Result} from 'true-myth';
import {messageOf} from '../errors/message-of.js';
import {formatError} from '../errors/typed-error.js';
import {boundedText} from '../validation/bounded-text.js';
import type {WorkerError, WorkerErrorKind} from '../worker/worker-client.js';
import type {EventLog} from '../telemetry/event-log.js';
import type {AgentEffectOf} from './agent-effect.js';
import type {AgentEvent, AgentEventOf} from './agent-event.js';
import {usableWorkerTasks, usableWorkerUsage} from './usable-worker-answer.js';
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
	'worker-refused': 'refused', 'worker-unreached': 'unsent', 'worker-replaced': 'unsent', 'worker-gone': 'unsent', 'worker-unavailable': 'unknown', 'worker-unknown-task': 'unknown', 'worker-protocol': 'unknown',
};

/** Kinds of errors of polls after which a start would probably not reach the worker. */
const unreachedKinds: ReadonlySet<WorkerErrorKind> = new Set(['worker-unreached', 'worker-replaced']);

/** Longest wait for a call; the clients of workers end theirs earlier. A call without an end would block the polls, or the next calls of its task, for good. */
const defaultCallTimeoutMs = 8000;

type WorkerDriverDependencies = Readonly<{worker: Worker; eventLog: EventLog; nowMs: () => number; dispatch: (event: AgentEvent) => void; callTimeoutMs?: number}>;

/**
Makes a call that neither throws nor lasts longer than `timeoutMs`. A call that does either may have taken effect, as one without an answer.
*/
async function callSafely<Value>(call: () => Promise<Result<Value, WorkerError>>, timeoutMs: number): Promise<Result<Value, WorkerError>> {
	const failure = (message: string): Result<Value, WorkerError> => Result.err({kind: 'worker-unavailable', message, remedy: 'the call is repeated; see the worker\'s own log if this persists'});
	let timer: NodeJS.Timeout | undefined;
	const timedOut = new Promise<Result<Value, WorkerError>>(resolve => {
		timer = setTimeout(() => {
			resolve(failure(`no answer within ${timeoutMs} ms`));
		}, timeoutMs);
	});
	try {
		return await Promise.race([call(), timedOut]);
	} catch (error) {
		return failure(boundedText(messageOf(error)));
	} finally {
		clearTimeout(timer);
	}
}

/**
Connects the reducer with the worker. Calls for one task are made one after the other, so that the deletion of an ended attempt never
overtakes the start of the next one. Polls and calls never reject: one that throws or has no end counts as one without an answer.

@example
const driver = createWorkerDriver({worker, eventLog, nowMs, dispatch});
await driver.poll();
*/
export function createWorkerDriver({worker, eventLog, nowMs, dispatch, callTimeoutMs = defaultCallTimeoutMs}: WorkerDriverDependencies): WorkerDriver {
	const lastCalls = new Map<string, Promise<void>>();
	let polling: Promise<void> | undefined;
	let isPollRequested = false;
	let isPollFailing = false;
	/** Problems of the newest answers that were logged, by call. They are the same in most answers. */
	const loggedProblems = new Map<string, string>();

	function warn(call: string, taskId: string | undefined, error: WorkerError): void {
		eventLog.warn('worker-call-failed', {call, taskId, error: formatError(error)});
	}

	function logProblems(call: string, problems: readonly string[]): void {
		const text = problems.join(', ');
		if (text !== '' && text !== loggedProblems.get(call)) {
			eventLog.warn('worker-value-out-of-range', {call, reason: text});
		}

		loggedProblems.set(call, text);
	}

	function callInOrder(name: WorkerEffectKind, taskId: string, call: () => Promise<void>): void {
		const after = lastCalls.get(taskId);
		const current = (async () => {
			await after;
			try {
				await call();
			} catch (error) {
				eventLog.error('worker-answer-unusable', {call: name, taskId, reason: boundedText(messageOf(error))});
			}
		})();
		lastCalls.set(taskId, current);
		void (async () => {
			await current;
			if (lastCalls.get(taskId) === current) {
				lastCalls.delete(taskId);
			}
		})();
	}

	function isCurrent(workerIncarnation: string): boolean {
		return worker.isCurrent?.(workerIncarnation) ?? true;
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

		if (!isCurrent(workerIncarnation)) {
			// The claim holds only for the worker process for which it was accepted; a start on the next process could run the task twice.
			dispatch({
				kind: 'start-answered', nowMs: nowMs(), taskId, attempt, result: 'unknown', reason: 'another worker process has replaced the one that the start is for',
			});
			return;
		}

		const result = await callSafely(async () => worker.startTask(taskId, request), callTimeoutMs);
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
		callInOrder(name, taskId, async () => {
			const result = await callSafely(call, callTimeoutMs);
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
			callInOrder('start-task', effect.taskId, async () => start(effect));
		},
		'checkpoint-task'({taskId}) {
			stop('checkpoint-task', taskId, async () => worker.checkpointTask(taskId));
		},
		'stop-task'({taskId}) {
			stop('stop-task', taskId, async () => worker.stopTask(taskId));
		},
		'delete-task'({taskId}) {
			callInOrder('delete-task', taskId, async () => {
				const result = await callSafely(async () => worker.deleteTask(taskId), callTimeoutMs);
				if (result.isErr) {
					warn('delete-task', taskId, result.error);
				}
			});
		},
		'throttle-task'({taskId, shareMilli}) {
			callInOrder('throttle-task', taskId, async () => {
				const result = await callSafely(async () => worker.throttleTask(taskId, shareMilli), callTimeoutMs);
				if (result.isErr) {
					warn('throttle-task', taskId, result.error);
					dispatch({kind: 'throttle-failed', nowMs: nowMs(), taskId});
				}
			});
		},
		'set-lease'({deadlineMonotonicMs}) {
			callInOrder('set-lease', '', async () => {
				const result = await callSafely(async () => worker.setLease(deadlineMonotonicMs), callTimeoutMs);
				if (result.isErr) {
					warn('set-lease', undefined, result.error);
				}
			});
		},
	};

	/** Returns false when the reducer cannot use an answer of the worker. */
	function dispatchAnswer(event: AgentEventOf<'worker-tasks' | 'worker-usage'>): boolean {
		try {
			dispatch(event);
			return true;
		} catch (error) {
			eventLog.error('worker-answer-unusable', {call: event.kind, reason: boundedText(messageOf(error))});
			return false;
		}
	}

	/** Polls the tasks; returns whether the worker listed them. */
	async function readTasks(): Promise<boolean> {
		const requestedAtMs = nowMs();
		const listed = await callSafely(async () => worker.listTasks(), callTimeoutMs);
		const tasks = listed.andThen(list => usableWorkerTasks(list).mapErr((message): WorkerError => ({
			kind: 'worker-protocol', message, remedy: 'check that the worker and the agent have matching versions',
		})));
		if (tasks.isErr) {
			// Only the first of consecutive failed polls is logged.
			if (!isPollFailing) {
				isPollFailing = true;
				warn('list-tasks', undefined, tasks.error);
			}

			dispatch({
				kind: 'worker-look-failed', nowMs: nowMs(), isConnectionRefused: tasks.error.kind === 'worker-gone', isUnreached: unreachedKinds.has(tasks.error.kind),
			});
			return false;
		}

		if (isPollFailing) {
			isPollFailing = false;
			eventLog.info('worker-regained', {workerIncarnation: tasks.value.answer.workerIncarnation});
		}

		logProblems('list-tasks', tasks.value.problems);
		const isUsed = dispatchAnswer({
			kind: 'worker-tasks', nowMs: nowMs(), requestedAtMs, list: tasks.value.answer,
		});
		if (!isUsed) {
			dispatch({kind: 'worker-look-failed', nowMs: nowMs(), isConnectionRefused: false});
		}

		return isUsed;
	}

	async function readOnce(): Promise<void> {
		if (!await readTasks()) {
			return;
		}

		isPollRequested ||= worker.usesLongPolling === true;
		const usage = await callSafely(async () => worker.readUsage(), callTimeoutMs);
		if (usage.isErr) {
			warn('read-usage', undefined, usage.error);
			return;
		}

		const usable = usableWorkerUsage(usage.value, nowMs());
		logProblems('read-usage', usable.isOk ? usable.value.problems : [usable.error]);
		if (usable.isOk) {
			dispatchAnswer({kind: 'worker-usage', nowMs: nowMs(), usage: usable.value.answer});
		}
	}

	async function pollWhileRequested(): Promise<void> {
		try {
			while (isPollRequested) {
				isPollRequested = false;
				await readOnce();
			}
		} catch (error) {
			eventLog.error('worker-poll-failed', {reason: boundedText(messageOf(error))});
		} finally {
			polling = undefined;
		}
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
