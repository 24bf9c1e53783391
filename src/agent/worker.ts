import type {Result} from 'true-myth';
import type {WorkerClient, WorkerError} from '../worker/worker-client.js';

type Command = 'startTask' | 'deleteTask' | 'setLease' | 'checkpointTask' | 'throttleTask' | 'stopTask';

/**
The calls to the platform's worker that the agent makes; a worker client fits. Whoever starts the agent owns the
connections. Only the task list says what became of a task, so the values of commands are not read.
*/
export type Worker = Readonly<Pick<WorkerClient, 'listTasks' | 'readUsage'> & {
	/** Whether a list is answered only when something ends or after a while, so that the next one is asked for at once. */
	holdsListsOpen?: boolean;
	/** Tells whether the worker is still the given process, for workers that start anew under the same address. */
	isCurrent?: (workerIncarnation: string) => boolean;
} & {
	[Call in Command]: (...parameters: Parameters<WorkerClient[Call]>) => Promise<Result<unknown, WorkerError>>;
}>;
