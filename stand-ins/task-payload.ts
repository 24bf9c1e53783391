import {Buffer} from 'node:buffer';
import {z} from 'zod';

/** What a task of the worker stand-in does; it travels as a JSON string. */
export const taskPayloadSchema = z.object({
	/** Row and column of the table of harm. */
	kind: z.string().default('other'),
	/** Run time alone on the VM at full share; a task without it runs until it is stopped. */
	workMs: z.number().positive().optional(),
	/** The task ends as failed, with this reason, when half its work is done. */
	failure: z.string().optional(),
	/** Used sizes as parts of the limit, in thousandths; declared sizes are often far off. */
	usedMilli: z.int().min(0).default(1000),
});

export type TaskPayload = z.infer<typeof taskPayloadSchema>;

const checkpointSchema = z.object({workDoneMs: z.number().min(0)});

/** Parses a payload; returns undefined for text that is no payload. */
export function parsePayload(text: string): TaskPayload | undefined {
	try {
		return taskPayloadSchema.parse(JSON.parse(text));
	} catch {
		return undefined;
	}
}

/** Encodes the work done so far as an opaque checkpoint. */
export function encodeCheckpoint(workDoneMs: number): string {
	return Buffer.from(JSON.stringify({workDoneMs}), 'utf8').toString('base64url');
}

/** Reads the work done from a checkpoint; an empty checkpoint is 0 and any other text is undefined. */
export function decodeCheckpoint(checkpoint: string): number | undefined {
	if (checkpoint === '') {
		return 0;
	}

	try {
		return checkpointSchema.parse(JSON.parse(Buffer.from(checkpoint, 'base64url').toString('utf8'))).workDoneMs;
	} catch {
		return undefined;
	}
}
