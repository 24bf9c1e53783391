import * as z from 'zod/mini';

/** Same form as `resourcesSchema` of `src/cluster`, but in zod/mini, which takes 10 MB less of the agent's memory than zod. */
const resourcesSchema = z.readonly(z.strictObject({
	processorsMilli: z.int().check(z.minimum(0)),
	memoryMb: z.int().check(z.minimum(0)),
	accelerators: z.int().check(z.minimum(0)),
}));

/** A task as the worker reports it; ended tasks stay listed until they are deleted. */
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
	/** Unique identifier of the worker's process. A list of another process contains no information about the tasks of an earlier one. */
	workerIncarnation: z.string(),
	capacity: resourcesSchema,
	tasks: z.readonly(z.array(workerTaskSchema)),
	/**
	Which ends that were not deleted the list names. Every list names all that runs. Only a list that names all ends shows that a task is gone by
	not naming it; in a list that names some, the task may have ended and is named later.
	*/
	listedEnds: z._default(z.enum(['all', 'some']), 'all'),
	/** Service that the worker belongs to; absent for a worker that accepts tasks of any service. */
	service: z.optional(z.string()),
	labels: z.optional(z.readonly(z.array(z.string()))),
	/** Rack of the worker; overrides the one in the agent's settings. */
	rack: z.optional(z.string()),
	/** Unix time in milliseconds at which the worker's process started. */
	startedAtMs: z.optional(z.int()),
	/** Whether the worker has announced that it is leaving. */
	leaving: z.optional(z.boolean()),
	/** Time for which the worker remains slow; absent for a warm one. */
	coldLeftMs: z.optional(z.int()),
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
		/** Tail latency of a serving task, in milliseconds. */
		latencyTailMs: z.optional(z.number()),
	})))),
}));

export type WorkerUsage = z.infer<typeof workerUsageSchema>;
