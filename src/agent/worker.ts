import type {Result} from 'true-myth';
import type {TypedError} from '../errors/typed-error.js';
import type {StartTaskRequest, WorkerTask, WorkerUsage} from '../platform/worker-api.js';
import type {Resources} from '../cluster/resources.js';

/**
Why a call to the worker has no result. `worker-refused` is an answer that the worker did not do it;
after any other kind the call may have taken effect.
*/
export type WorkerError = TypedError;

/** The worker's list of tasks with what the VM offers. */
export type WorkerTaskList = Readonly<{capacity: Resources; tasks: readonly WorkerTask[]}>;

/**
The platform's worker, which runs the tasks of this VM. Every call is idempotent; `deleteTask` must not
touch a running task, and `startTask` must refuse a deadline that has passed.
*/
export type Worker = Readonly<{
	startTask: (taskId: string, request: StartTaskRequest) => Promise<Result<unknown, WorkerError>>;
	listTasks: () => Promise<Result<WorkerTaskList, WorkerError>>;
	deleteTask: (taskId: string) => Promise<Result<unknown, WorkerError>>;
	setLease: (deadlineMonotonicMs: number) => Promise<Result<unknown, WorkerError>>;
	checkpointTask: (taskId: string) => Promise<Result<unknown, WorkerError>>;
	throttleTask: (taskId: string, shareMilli: number) => Promise<Result<unknown, WorkerError>>;
	stopTask: (taskId: string) => Promise<Result<unknown, WorkerError>>;
	readUsage: () => Promise<Result<WorkerUsage, WorkerError>>;
}>;
