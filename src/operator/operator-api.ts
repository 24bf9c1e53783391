import {z} from 'zod';
import {
	intentSchema, nameSchema, planSchema, type priorityClassSchema,
} from '../cluster/intent.js';
import {resourcesSchema} from '../cluster/resources-schema.js';
import {logEnvelopeSchema} from '../log/log-envelope.js';
import {timelineEventSchema} from '../telemetry/timeline-event.js';

/** Maximum number of records in one answer of `GET /records`. */
export const MAXIMUM_RECORDS_PER_PAGE = 1000;

/** Body of every answer that is not a success. */
export const errorAnswerSchema = z.strictObject({
	error: z.strictObject({kind: z.string(), message: z.string(), remedy: z.string()}).readonly(),
}).readonly();

/** `POST /plans` */
export const planRequestSchema = z.strictObject({intent: intentSchema}).readonly();

/** Answer of `POST /plans` and body of `POST /plans/confirm`. */
export const planEnvelopeSchema = z.strictObject({plan: planSchema}).readonly();

/**
Answer of `POST /plans/confirm`. `unknown` means that the confirmation may or may not be in the log; confirming
the same plan again is safe and finds out. `offset` is that of the decision, or -1 when there is none.
*/
export const confirmationSchema = z.strictObject({
	planId: nameSchema,
	result: z.enum(['accepted', 'rejected', 'unknown']),
	offset: z.int().min(-1),
	reason: z.string(),
}).readonly();

export type Confirmation = z.infer<typeof confirmationSchema>;

/** Parts of the status that are not in the cluster state: the configuration that each live member has applied, and the state of the log connection. */
export const livenessSchema = z.strictObject({
	/** Configuration offset that each live member reported, by VM. */
	appliedOffsetByVm: z.record(z.string(), z.int()).readonly(),
	/** The same by entry identifier. */
	appliedOffsetByEntry: z.record(z.string(), z.int()).readonly(),
	logReachable: z.boolean(),
	/** Age of the newest read of the log's tail. */
	tailAgeMs: z.number().min(0),
}).readonly();

export type Liveness = z.infer<typeof livenessSchema>;

const countsByClassSchema = z.strictObject({urgent: z.int(), normal: z.int(), background: z.int()}).readonly();

/** Answer of `GET /status`. */
export const statusReportSchema = z.strictObject({
	offset: z.int(),
	configuration: z.strictObject({
		offset: z.int(),
		/** Whether every live member applied the newest configuration. */
		inForce: z.boolean(),
		lagging: z.array(z.strictObject({
			member: z.string(),
			role: z.enum(['entry', 'agent']),
			/** The offset that the member reported; null when it reported none. */
			appliedOffset: z.int().nullable(),
		}).readonly()).readonly(),
	}).readonly(),
	log: z.strictObject({reachable: z.boolean(), tailAgeMs: z.number()}).readonly(),
	/** Failure domains that the operator evacuates. Missing from entries of earlier versions. */
	evacuations: z.array(z.strictObject({
		failureDomain: z.string(),
		/** Time of day at which an entry recorded the request; null when it is not known. */
		sinceMs: z.int().nullable(),
		vms: z.int(),
		runningTasks: z.int(),
		/** Tasks that were claimed before and that their agents are about to refuse. */
		claimedTasks: z.int(),
		refusedClaims: z.int(),
	}).readonly()).readonly().default([]),
	entries: z.array(z.strictObject({entryId: z.string(), failureDomain: z.string(), lastOffset: z.int()}).readonly()).readonly(),
	services: z.array(z.strictObject({
		service: z.string(),
		teamId: z.string(),
		latencyTargetMs: z.int(),
		serving: z.int(),
		leaving: z.int(),
		slots: z.int(),
	}).readonly()).readonly(),
	backendServers: z.array(z.strictObject({
		backendServerId: z.string(),
		service: z.string(),
		vmId: z.string(),
		phase: z.string(),
		slots: z.int(),
		connections: z.int(),
	}).readonly()).readonly(),
	vms: z.array(z.strictObject({
		vmId: z.string(),
		failureDomain: z.string(),
		rack: z.string(),
		/** `live`, `revoked` or `expired`, with `evacuated`, `draining`, `quarantined` and `unreachable` when they apply. */
		condition: z.string(),
		committed: resourcesSchema,
		free: resourcesSchema,
		tasks: z.int(),
	}).readonly()).readonly(),
	queues: z.strictObject({
		byClass: countsByClassSchema,
		byTeam: z.array(z.strictObject({
			teamId: z.string(),
			queued: countsByClassSchema,
			committed: resourcesSchema,
			/** Null when the team has no quota. */
			quota: resourcesSchema.nullable(),
		}).readonly()).readonly(),
	}).readonly(),
	/** Evictions of all tasks that are in the cluster state. */
	evictions: z.int(),
}).readonly();

export type StatusReport = z.infer<typeof statusReportSchema>;

export type CountsByClass = Readonly<Record<z.infer<typeof priorityClassSchema>, number>>;

/** Answer of `GET /explain`. */
export const explanationSchema = z.strictObject({
	subject: z.string(),
	kind: z.enum(['task', 'plan', 'key', 'request']),
	lines: z.array(z.string()).readonly(),
}).readonly();

export type Explanation = z.infer<typeof explanationSchema>;

/** Answer of `GET /timeline`. */
export const timelineAnswerSchema = z.strictObject({events: z.array(timelineEventSchema).readonly()}).readonly();

/** Answer of `GET /records`. */
export const recordsPageSchema = z.strictObject({
	records: z.array(z.strictObject({offset: z.int(), envelope: logEnvelopeSchema}).readonly()).readonly(),
	nextOffset: z.int(),
	tailOffset: z.int(),
	firstRetainedOffset: z.int(),
	/** Number of values of the page that are not records. */
	skipped: z.int().min(0).default(0),
}).readonly();

export type RecordsPage = z.infer<typeof recordsPageSchema>;

/** Answer of `GET /snapshot`: the newest snapshot in the log, or null when there is none. */
export const snapshotAnswerSchema = z.strictObject({
	snapshot: z.strictObject({coversOffset: z.int(), value: z.unknown()}).readonly().nullable(),
}).readonly();

export type SnapshotAnswer = z.infer<typeof snapshotAnswerSchema>;

const offsetParameterSchema = z.coerce.number().int().min(0);

/** Query of `GET /explain`. */
export const explainQuerySchema = z.strictObject({subject: z.string().min(1).max(256)}).readonly();

/** Query of `GET /timeline`. */
export const timelineQuerySchema = z.strictObject({from: offsetParameterSchema.default(0)}).readonly();

/** Query of `GET /records`. */
export const recordsQuerySchema = z.strictObject({
	from: offsetParameterSchema.default(0),
	limit: z.coerce.number().int().min(1).max(MAXIMUM_RECORDS_PER_PAGE).default(MAXIMUM_RECORDS_PER_PAGE),
}).readonly();
