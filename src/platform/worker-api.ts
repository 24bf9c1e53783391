import {z} from 'zod';
import {resourcesSchema} from '../cluster/resources.js';

/** `PUT /tasks/{taskId}`: starts a task. Starting the same attempt twice is answered like the first time. */
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

/** What the worker knows of a task; ended tasks stay listed until they are deleted. */
export const workerTaskSchema = z.strictObject({
	taskId: z.string(),
	attempt: z.int().positive(),
	phase: z.enum(['running', 'finished', 'failed', 'checkpointed', 'stopped']),
	limit: resourcesSchema,
	latencyCritical: z.boolean(),
	/** Set in phase `checkpointed`. */
	checkpoint: z.string(),
	/** Why the task ended. */
	reason: z.string(),
}).readonly();

export type WorkerTask = z.infer<typeof workerTaskSchema>;

/** `GET /tasks` */
export const workerTasksSchema = z.strictObject({
	/** Random identifier of the worker's process: a list of another process says nothing of what an earlier one runs. */
	workerIncarnation: z.string(),
	capacity: resourcesSchema,
	tasks: z.array(workerTaskSchema).readonly(),
}).readonly();

export type WorkerTasks = z.infer<typeof workerTasksSchema>;

/** `PUT /lease`: moves the deadline of all run-once tasks; a deadline that has passed is answered 409. */
export const leaseRequestSchema = z.strictObject({leaseDeadlineMonotonicMs: z.number()}).readonly();

/** `POST /tasks/{taskId}/throttle`: limits the task's processors; 1,000 removes the limit. */
export const throttleRequestSchema = z.strictObject({processorsShareMilli: z.int().min(50).max(1000)}).readonly();

/** `GET /usage`: measurements of a window that ended some time ago. */
export const workerUsageSchema = z.strictObject({
	/** End of the window on the VM's monotonic clock. */
	measuredAtMonotonicMs: z.number(),
	processorsUsedMilli: z.int().min(0),
	memoryUsedMb: z.int().min(0),
	tasks: z.array(z.strictObject({
		taskId: z.string(),
		processorsUsedMilli: z.int().min(0),
		memoryUsedMb: z.int().min(0),
		relativeSpeedMilli: z.int().min(0),
	}).readonly()).readonly(),
}).readonly();

export type WorkerUsage = z.infer<typeof workerUsageSchema>;
