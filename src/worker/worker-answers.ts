import * as z from 'zod/mini';

/** The worker's answers carry amounts as requests do; stated here for zod/mini, which takes 10 MB less of the agent than zod. */
const resourcesSchema = z.readonly(z.strictObject({
	processorsMilli: z.int().check(z.minimum(0)),
	memoryMb: z.int().check(z.minimum(0)),
	accelerators: z.int().check(z.minimum(0)),
}));

/** What the worker knows of a task; ended tasks stay listed until they are deleted. */
export const workerTaskSchema = z.readonly(z.strictObject({
	taskId: z.string(),
	attempt: z.int().check(z.positive()),
	phase: z.enum(['running', 'finished', 'failed', 'checkpointed', 'stopped']),
	limit: resourcesSchema,
	latencyCritical: z.boolean(),
	/** Set in phase `checkpointed`. */
	checkpoint: z.string(),
	/** Why the task ended. */
	reason: z.string(),
}));

export type WorkerTask = z.infer<typeof workerTaskSchema>;

/** `GET /tasks` */
export const workerTasksSchema = z.readonly(z.strictObject({
	/** Random identifier of the worker's process: a list of another process says nothing of what an earlier one runs. */
	workerIncarnation: z.string(),
	capacity: resourcesSchema,
	tasks: z.readonly(z.array(workerTaskSchema)),
	/** Service that the worker belongs to; missing for a worker that takes any task. */
	service: z.optional(z.string()),
	labels: z.optional(z.readonly(z.array(z.string()))),
	/** Rack of the worker, in place of the one in the agent's settings. */
	rack: z.optional(z.string()),
	/** Start of the worker's process in Unix time. */
	startedAtMs: z.optional(z.int()),
	/** Whether the worker announced that it leaves. */
	leaving: z.optional(z.boolean()),
}));

export type WorkerTasks = z.infer<typeof workerTasksSchema>;

/** `GET /usage`: measurements of a window that ended some time ago. */
export const workerUsageSchema = z.readonly(z.strictObject({
	/** End of the window on the VM's monotonic clock. */
	measuredAtMonotonicMs: z.number(),
	processorsUsedMilli: z.int().check(z.minimum(0)),
	memoryUsedMb: z.int().check(z.minimum(0)),
	tasks: z.readonly(z.array(z.readonly(z.strictObject({
		taskId: z.string(),
		processorsUsedMilli: z.int().check(z.minimum(0)),
		memoryUsedMb: z.int().check(z.minimum(0)),
		relativeSpeedMilli: z.int().check(z.minimum(0)),
		/** Tail of the response times of a task that serves users, in milliseconds. */
		latencyTailMs: z.optional(z.number()),
	})))),
}));

export type WorkerUsage = z.infer<typeof workerUsageSchema>;
