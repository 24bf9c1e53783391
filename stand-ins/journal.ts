import {z} from 'zod';

/** One attempt of a task on a worker; times are from the machine's monotonic clock, work is in milliseconds of run time at full speed. */
export const taskRunSchema = z.strictObject({
	taskId: z.string(),
	attempt: z.int(),
	startedAtMonotonicMs: z.number(),
	/** Null while the attempt runs. */
	endedAtMonotonicMs: z.number().nullable(),
	phase: z.enum(['running', 'finished', 'failed', 'checkpointed', 'stopped']),
	/** Work done before this attempt, according to its checkpoint. */
	workFromMs: z.number(),
	/** Work done at the end of this attempt, including earlier attempts. */
	workToMs: z.number(),
});

export type TaskRun = z.infer<typeof taskRunSchema>;

/** Attempts that a worker ran; answered to `GET /journal` and printed on standard output when the worker stops. */
export const workerJournalSchema = z.strictObject({workerId: z.string(), runs: z.array(taskRunSchema)});

export type WorkerJournal = z.infer<typeof workerJournalSchema>;

/** Requests that a backend server ran; answered to `GET /journal` and printed on standard output when the server stops. */
export const backendServerJournalSchema = z.strictObject({
	backendServerId: z.string(),
	started: z.int(),
	answered: z.int(),
	/** Requests in flight when the server closed its own connections at its stop. */
	cutByOwnStop: z.int(),
	/** Requests whose connection closed before the answer was complete, while the server was running. */
	cutByAgent: z.int(),
	mostConcurrent: z.int(),
	/** Number of runs by request ID, which the caller sends as the last segment of the path. */
	runsByRequestId: z.record(z.string(), z.int()),
	/** Number of runs by the idempotency key that the server received. */
	runsByKey: z.record(z.string(), z.int()),
});

export type BackendServerJournal = z.infer<typeof backendServerJournalSchema>;

/** Results of a caller's requests; printed on standard output when the load ends. */
export const callerJournalSchema = z.strictObject({
	requests: z.int(),
	answered: z.int(),
	refused: z.int(),
	/** Requests whose last attempt ended with an unknown outcome or without an answer. */
	unknown: z.int(),
	failed: z.int(),
	/** Requests whose answer was incomplete or belonged to another request. */
	wrong: z.int(),
	retries: z.int(),
	p50Ms: z.number(),
	p99Ms: z.number(),
	p999Ms: z.number().optional(),
	maxMs: z.number(),
	/** Request IDs of keyed orders by outcome; only keyed orders are guaranteed to run at most once. */
	ordersAnswered: z.array(z.string()),
	ordersRefused: z.array(z.string()),
	/** Descriptions of at most ten requests that did not end with a correct answer. */
	examples: z.array(z.string()),
});

export type CallerJournal = z.infer<typeof callerJournalSchema>;

/** Prefix of a line on standard output that contains a journal as JSON. */
export const journalLinePrefix = 'journal ';
