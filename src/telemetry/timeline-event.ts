import {z} from 'zod';

/** One event of the timeline that all processes contribute to. */
export const timelineEventSchema = z.strictObject({
	process: z.string(),
	/** Number of the event within its process, so that the order of these events is preserved. */
	sequence: z.int().min(0),
	wallTimeMs: z.number(),
	event: z.string(),
	/** Offset of the log record that the process had applied. */
	offset: z.int(),
	taskId: z.string().optional(),
	requestId: z.string().optional(),
	vmId: z.string().optional(),
	/** Request or task that caused the event in another process, for the causal order. */
	cause: z.string().optional(),
	detail: z.string().optional(),
}).readonly();

export type TimelineEvent = z.infer<typeof timelineEventSchema>;

/** An event as a caller records it; the timeline adds process, sequence and time. */
export type TimelineEventInput = Readonly<Omit<TimelineEvent, 'process' | 'sequence' | 'wallTimeMs'>>;

/** A ring buffer of the newest events of one process. */
export type Timeline = Readonly<{
	record: (input: TimelineEventInput) => void;
	/** Events with a sequence of at least `fromSequence`, oldest first. */
	read: (fromSequence?: number) => readonly TimelineEvent[];
}>;
