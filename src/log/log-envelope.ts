import {z} from 'zod';
import {clusterRecordSchema} from '../cluster/cluster-record.js';

/** What one value of the log stream holds: a record and the writer that it came from. */
export const logEnvelopeSchema = z.strictObject({
	writer: z.string(),
	/** Random identifier of the writer's process, made at its start. */
	incarnation: z.string(),
	/** Counts the writer's records from 1, so that a repeated append is applied once. */
	sequence: z.int().positive(),
	record: clusterRecordSchema,
}).readonly();

export type LogEnvelope = z.infer<typeof logEnvelopeSchema>;

/** An envelope with its place in the log's total order. */
export type LoggedRecord = Readonly<{offset: number; envelope: LogEnvelope}>;
