import {text as readText} from 'node:stream/consumers';
import {Result} from 'true-myth';
import {safeParse, type $ZodType} from 'zod/v4/core';
import en from 'zod/v4/locales/en.js';
import {type TypedError} from '../errors/typed-error.js';
import {createHttpConnections, isConnectFailure, isConnectionRefused} from './http-connections.js';
import {
	workerTaskSchema, workerTasksSchema, workerUsageSchema, type WorkerTask, type WorkerTasks, type WorkerUsage,
} from './worker-answers.js';
import {type StartTaskRequest} from './worker-api.js';

/**
Kinds of failed calls:

- `worker-unavailable`: no answer or a 5xx; the call may have taken effect.
- `worker-unreached`: no connection was opened in time, so that the call had no effect.
- `worker-replaced`: another process answers at the worker's address than the one that the call is meant for. The call was not sent to it.
- `worker-gone`: the connection was refused, since nothing listens at the worker's address. The worker's process and its tasks have ended.
- `worker-refused`: a 4xx; the call had no effect.
- `worker-unknown-task`: the worker has no such task.
- `worker-protocol`: the answer does not match its schema.
*/
export type WorkerErrorKind = 'worker-unavailable' | 'worker-unreached' | 'worker-replaced' | 'worker-gone' | 'worker-refused' | 'worker-unknown-task' | 'worker-protocol';

export type WorkerError = TypedError<WorkerErrorKind>;

/** Client of the platform's worker on this VM. Calls never reject; failures are returned as values. */
export type WorkerClient = Readonly<{
	/** Starts an attempt; a repeated start of the same attempt returns the task as it is now. */
	startTask: (taskId: string, request: StartTaskRequest) => Promise<Result<WorkerTask, WorkerError>>;
	/** Lists the capacity and all tasks that were not deleted, ended ones included. */
	listTasks: () => Promise<Result<WorkerTasks, WorkerError>>;
	/** Removes an ended task from the list; refused for a running task. */
	deleteTask: (taskId: string) => Promise<Result<void, WorkerError>>;
	/** Moves the deadline of all run-once tasks; a deadline that has passed is refused. */
	setLease: (leaseDeadlineMonotonicMs: number) => Promise<Result<void, WorkerError>>;
	/** Stops a task with a checkpoint; a task that has already ended is returned unchanged. */
	checkpointTask: (taskId: string) => Promise<Result<WorkerTask, WorkerError>>;
	/** Sets the task's processor share in thousandths; 1,000 removes the limit. */
	throttleTask: (taskId: string, processorsShareMilli: number) => Promise<Result<WorkerTask, WorkerError>>;
	/** Stops a task without a checkpoint; a task that has already ended is returned unchanged. */
	stopTask: (taskId: string) => Promise<Result<WorkerTask, WorkerError>>;
	/** Returns the measurements of a window that ended some time ago. */
	readUsage: () => Promise<Result<WorkerUsage, WorkerError>>;
	/** Closes the connections; calls in flight end as `worker-unavailable`. */
	close: () => Promise<void>;
}>;

/** `baseUrl` is the URL of the worker; `timeoutMs` bounds each call and defaults to 5,000. */
export type WorkerClientOptions = Readonly<{baseUrl: string; timeoutMs?: number; connections?: number}>;

/** Returns the English message of a schema issue; zod/mini contains no messages. */
const localizeIssue = en().localeError;

type Method = 'GET' | 'PUT' | 'POST' | 'DELETE';

const remedies: Readonly<Record<WorkerErrorKind, string>> = {
	'worker-unavailable': 'check that the worker runs at the workerUrl of the settings; the call is repeated',
	'worker-unreached': 'check that the VM at the workerUrl of the settings is running; the call is repeated',
	'worker-replaced': 'nothing has to be done: the agent registers again with the new process',
	'worker-gone': 'start the worker again at the workerUrl of the settings; its tasks are placed again',
	'worker-refused': 'read the worker\'s task list again before the next call',
	'worker-unknown-task': 'read the worker\'s task list again before the next call',
	'worker-protocol': 'check that the worker and the agent have matching versions',
};

/** Largest number of characters of an error answer that a message contains. */
const maxQuotedCharacters = 200;

/**
Returns the error kind of a call that failed without an answer.

@example
errorKindOfFailedCall(new Error('socket hang up')); // => 'worker-unavailable'
*/
export function errorKindOfFailedCall(error: unknown): WorkerErrorKind {
	if (isConnectionRefused(error)) {
		return 'worker-gone';
	}

	return isConnectFailure(error) ? 'worker-unreached' : 'worker-unavailable';
}

/**
Creates a client of the worker; connections are opened on demand.

@example
const worker = createWorkerClient({baseUrl: 'http://127.0.0.1:7000'});
const tasks = await worker.listTasks();
*/
export function createWorkerClient(options: WorkerClientOptions): WorkerClient {
	const timeoutMs = options.timeoutMs ?? 5000;
	const pool = createHttpConnections({address: new URL(options.baseUrl).host, connections: options.connections ?? 4});

	function failure(kind: WorkerErrorKind, message: string): Result<never, WorkerError> {
		return Result.err({kind, message, remedy: remedies[kind]});
	}

	async function call(method: Method, path: string, body?: unknown): Promise<Result<string, WorkerError>> {
		try {
			const answer = await pool.send({
				method,
				path,
				body: body === undefined ? undefined : JSON.stringify(body),
				headers: body === undefined ? {} : {'content-type': 'application/json'},
				signal: AbortSignal.timeout(timeoutMs),
			});
			const text = await readText(answer);
			const {statusCode = 0} = answer;
			if (statusCode >= 200 && statusCode < 300) {
				return Result.ok(text);
			}

			const message = `${method} ${path} was answered ${statusCode}: ${text.slice(0, maxQuotedCharacters)}`;
			if (statusCode === 404) {
				return failure('worker-unknown-task', message);
			}

			return failure(statusCode >= 400 && statusCode < 500 ? 'worker-refused' : 'worker-unavailable', message);
		} catch (error) {
			return failure(errorKindOfFailedCall(error), `${method} ${path} has no answer: ${error instanceof Error ? error.message : String(error)}`);
		}
	}

	async function callAndDecode<Value>(schema: $ZodType<Value>, method: Method, path: string, body?: unknown): Promise<Result<Value, WorkerError>> {
		const answer = await call(method, path, body);
		if (answer.isErr) {
			return Result.err(answer.error);
		}

		let value: unknown;
		try {
			value = JSON.parse(answer.value);
		} catch {
			return failure('worker-protocol', `${method} ${path} was answered with text that is not JSON`);
		}

		const parsed = safeParse(schema, value, {error: localizeIssue});
		return parsed.success
			? Result.ok(parsed.data)
			: failure('worker-protocol', `${method} ${path}: ${parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join(', ')}`);
	}

	async function callWithoutResult(method: Method, path: string, body?: unknown): Promise<Result<void, WorkerError>> {
		const answer = await call(method, path, body);
		return answer.map(() => undefined);
	}

	const pathOf = (taskId: string, action = ''): string => `/tasks/${encodeURIComponent(taskId)}${action}`;

	return {
		startTask: async (taskId, request) => callAndDecode(workerTaskSchema, 'PUT', pathOf(taskId), request),
		listTasks: async () => callAndDecode(workerTasksSchema, 'GET', '/tasks'),
		deleteTask: async taskId => callWithoutResult('DELETE', pathOf(taskId)),
		setLease: async leaseDeadlineMonotonicMs => callWithoutResult('PUT', '/lease', {leaseDeadlineMonotonicMs}),
		checkpointTask: async taskId => callAndDecode(workerTaskSchema, 'POST', pathOf(taskId, '/checkpoint')),
		throttleTask: async (taskId, processorsShareMilli) => callAndDecode(workerTaskSchema, 'POST', pathOf(taskId, '/throttle'), {processorsShareMilli}),
		stopTask: async taskId => callAndDecode(workerTaskSchema, 'POST', pathOf(taskId, '/stop')),
		readUsage: async () => callAndDecode(workerUsageSchema, 'GET', '/usage'),
		async close() {
			pool.destroy();
		},
	};
}
