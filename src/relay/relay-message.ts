import {z} from 'zod';
import {nameSchema} from '../cluster/intent.js';
import {type CallerJobError} from '../entry/caller-server.js';

/** Longest message, remedy or reason in an answer, in characters. */
const maxTextLength = 4096;

/** Highest HTTP status and longest Retry-After, in milliseconds, of an error in an answer. */
const maxStatus = 599;
const maxRetryAfterMs = 600_000;

const textSchema = z.string().max(maxTextLength);

/** One call of a front to a decider, as JSON in the body of a POST to `/jobs`. The decider checks the job itself. */
export const relayCallSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('submit'),
		job: z.unknown(),
		/** Failure domain of the front that the caller reached. Left out by versions that did not send it. */
		callerFailureDomain: nameSchema.optional(),
		/** An earlier attempt at another decider had no usable answer, so that the job may be on its way to the log. */
		mayHaveRun: z.boolean().optional(),
	}),
	z.object({kind: z.literal('find'), jobId: nameSchema}),
	z.object({kind: z.literal('cancel'), jobId: nameSchema}),
	z.object({kind: z.literal('count-pending'), queue: z.string().max(maxTextLength)}),
	z.object({kind: z.literal('check')}),
]).readonly();

export type RelayCall = z.infer<typeof relayCallSchema>;

/** Answer to a call: its value, or the error for the caller. */
export const relayAnswerSchema = z.discriminatedUnion('result', [
	z.object({result: z.literal('ok'), value: z.unknown()}),
	z.object({
		result: z.literal('error'),
		error: z.object({
			status: z.int().min(400).max(maxStatus),
			error: z.object({kind: textSchema, message: textSchema, remedy: textSchema}),
			retryAfterMs: z.int().min(0).max(maxRetryAfterMs).optional(),
		}),
	}),
]).readonly();

export type RelayAnswer = Readonly<{result: 'ok'; value: unknown}> | Readonly<{result: 'error'; error: CallerJobError}>;

/** Largest body of a call in bytes: the largest job that the log takes, and its envelope. */
export const maxRelayBodyBytes = 1_048_576;

/** Path of all calls. */
export const relayPath = '/jobs';
