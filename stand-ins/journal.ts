import {z} from 'zod';

/** What a worker did for one attempt of a task; times are on the machine's monotonic clock. */
export const taskRunSchema = z.strictObject({
	taskId: z.string(),
	attempt: z.int(),
	startedAtMonotonicMs: z.number(),
	/** Unset while the attempt runs. */
	endedAtMonotonicMs: z.number().nullable(),
	phase: z.enum(['running', 'finished', 'failed', 'checkpointed', 'stopped']),
	/** Work done before this attempt, from its checkpoint. */
	workFromMs: z.number(),
	/** Work done at the end of this attempt. */
	workToMs: z.number(),
});

export type TaskRun = z.infer<typeof taskRunSchema>;

/** `GET /journal` of a worker. */
export const workerJournalSchema = z.strictObject({workerId: z.string(), runs: z.array(taskRunSchema)});

export type WorkerJournal = z.infer<typeof workerJournalSchema>;
