import {z} from 'zod';
import {resourcesSchema} from '../cluster/resources-schema.js';

/** `PUT /tasks/{taskId}`: starts a task. A repeated start of the same attempt returns the task as it is now. */
export const startTaskRequestSchema = z.strictObject({
	attempt: z.int().positive(),
	limit: resourcesSchema,
	payload: z.string(),
	checkpoint: z.string(),
	latencyCritical: z.boolean(),
	/** Deadline on the VM's monotonic clock after which the worker checkpoints and stops the task by itself. */
	leaseDeadlineMonotonicMs: z.number(),
}).readonly();

export type StartTaskRequest = z.infer<typeof startTaskRequestSchema>;

/** `PUT /lease`: moves the deadline of all run-once tasks; a deadline that has passed is answered 409. */
export const leaseRequestSchema = z.strictObject({leaseDeadlineMonotonicMs: z.number()}).readonly();

/** `POST /tasks/{taskId}/throttle`: sets the task's processor share in thousandths; 1,000 removes the limit. */
export const throttleRequestSchema = z.strictObject({processorsShareMilli: z.int().min(0).max(1000)}).readonly();

export type {WorkerTask, WorkerTasks, WorkerUsage} from './worker-answers.js';
