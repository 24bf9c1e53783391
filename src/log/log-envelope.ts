import {z} from 'zod';
import {clusterRecordSchema, maxIdLength} from '../cluster/cluster-record.js';

/** One value of the log stream: a record with its writer. */
export const logEnvelopeSchema = z.strictObject({
	writer: z.string().max(maxIdLength),
	/** Random ID of the writer's process, created when the process starts. */
	incarnation: z.string().max(maxIdLength),
	/** Counts the writer's records from 1, so that a repeated append is applied once. */
	sequence: z.int().positive(),
	record: clusterRecordSchema,
}).readonly();

export type LogEnvelope = z.infer<typeof logEnvelopeSchema>;

/** An envelope with its offset in the log. */
export type LoggedRecord = Readonly<{offset: number; envelope: LogEnvelope}>;
