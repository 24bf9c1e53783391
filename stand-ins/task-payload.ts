import {Buffer} from 'node:buffer';
import {z} from 'zod';

/** Behaviour of a task of the worker stand-in; sent as a JSON string in the payload of the task. */
export const taskPayloadSchema = z.object({
	/** Key of the task in the interference table. */
	kind: z.string().default('other'),
	/** Run time in milliseconds alone on the VM at full processor share; without it, the task runs until it is stopped. */
	workMs: z.number().positive().optional(),
	/** Reason with which the task fails when half its work is done; without it, the task does not fail. */
	failure: z.string().optional(),
	/** Share of its limit that the task uses, in thousandths; declared sizes are often far from the actual usage. */
	usedMilli: z.int().min(0).default(1000),
});

export type TaskPayload = z.infer<typeof taskPayloadSchema>;

const checkpointSchema = z.object({workDoneMs: z.number().min(0)});

/** Parses a payload; returns undefined for text that is not a valid payload. */
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

/** Decodes the work done, in milliseconds, from a checkpoint; returns 0 for an empty checkpoint and undefined for an invalid one. */
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
