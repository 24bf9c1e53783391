import type {Result} from 'true-myth';
import type {WorkerClient, WorkerError} from '../worker/worker-client.js';

type Command = 'startTask' | 'deleteTask' | 'setLease' | 'checkpointTask' | 'throttleTask' | 'stopTask';

/**
The calls that the agent makes to the worker; a `WorkerClient` satisfies it. The caller that starts the agent owns the connections. Only the task
list reports the phase of a task, so the values that commands return are not read.
*/
export type Worker = Readonly<Pick<WorkerClient, 'listTasks' | 'readUsage'> & {
	/** Whether the worker answers a list request only when a task ends or after some time. The next request is then sent at once. */
	usesLongPolling?: boolean;
	/** Returns whether the worker is still the given process, for workers that restart at the same address. */
	isCurrent?: (workerIncarnation: string) => boolean;
} & {
	[Call in Command]: (...parameters: Parameters<WorkerClient[Call]>) => Promise<Result<unknown, WorkerError>>;
}>;
