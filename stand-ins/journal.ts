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

/** What a backend server ran; `GET /journal`, and a line on standard output when it stops. */
export const backendServerJournalSchema = z.strictObject({
	backendServerId: z.string(),
	started: z.int(),
	answered: z.int(),
	/** Requests that were in flight when the server stopped by itself. */
	cutByOwnStop: z.int(),
	/** Requests whose connection the agent closed before the answer was whole. */
	cutByAgent: z.int(),
	mostConcurrent: z.int(),
	/** Runs by the last segment of the path, which is the caller's own identifier of the request. */
	runsByRequestId: z.record(z.string(), z.int()),
	/** Runs by the `Idempotency-Key` that reached the server. */
	runsByKey: z.record(z.string(), z.int()),
});

export type BackendServerJournal = z.infer<typeof backendServerJournalSchema>;

/** What a caller saw; printed as a line on standard output when it ends. */
export const callerJournalSchema = z.strictObject({
	requests: z.int(),
	answered: z.int(),
	refused: z.int(),
	/** Requests that ended as unknown or without any answer after all their retries. */
	unknown: z.int(),
	failed: z.int(),
	/** Answers that were not whole or belonged to another request. */
	wrong: z.int(),
	retries: z.int(),
	p50Ms: z.number(),
	p99Ms: z.number(),
	p999Ms: z.number().optional(),
	maxMs: z.number(),
	/** Identifiers of the keyed orders by their outcome; only these run at most once. */
	ordersAnswered: z.array(z.string()),
	ordersRefused: z.array(z.string()),
	/** Up to ten descriptions of requests that were not answered. */
	examples: z.array(z.string()),
});

export type CallerJournal = z.infer<typeof callerJournalSchema>;

/** Prefix of the standard output lines that hold a journal as JSON. */
export const journalLinePrefix = 'journal ';
