import {z} from 'zod';
import {maxTimeMs} from '../validation/bounds.js';
import {countSchema, timeMsSchema} from '../validation/bounds-schema.js';
import {namePattern} from '../validation/name.js';
import {resourcesSchema} from './resources-schema.js';
import {findInvalidDependency, workflowSchema} from './workflow.js';

/** A name; see {@link namePattern}. */
export const nameSchema = z.string().regex(namePattern, 'use 1 to 128 letters, digits, dots, colons, hyphens or underscores');

/** Priority classes of requests and jobs. Each has a floor (guaranteed minimum share) that holds even when the other classes are overloaded. */
export const priorityClassSchema = z.enum(['urgent', 'normal', 'background']);

export type PriorityClass = z.infer<typeof priorityClassSchema>;

/** A service that an operator admits. */
export const serviceSchema = z.strictObject({
	service: nameSchema,
	teamId: nameSchema,
	latencyTargetMs: countSchema,
	demandPerBackendServer: resourcesSchema,
}).readonly();

export type Service = z.infer<typeof serviceSchema>;

/** Limits on callers' requests. `shareByClass` are relative weights. `floorMilliByClass` are guaranteed minimum shares in thousandths, which placement uses as well. */
export const requestLimitsSchema = z.strictObject({
	queuedRequestsPerService: countSchema,
	queueTimeoutMs: countSchema,
	retryBudgetMilli: z.int().min(0).max(1000),
	shareByClass: z.strictObject({urgent: z.int().positive(), normal: z.int().positive(), background: z.int().positive()}).readonly(),
	floorMilliByClass: z.strictObject({urgent: z.int().min(0).max(300), normal: z.int().min(0).max(300), background: z.int().min(0).max(300)}).readonly(),
}).readonly();

export type RequestLimits = z.infer<typeof requestLimitsSchema>;

/** Weights of the objectives that placement trades off against each other, in thousandths. */
export const weightsSchema = z.strictObject({
	tailLatencyMilli: z.int().min(0),
	batchThroughputMilli: z.int().min(0),
	evictionsMilli: z.int().min(0),
	floodMilli: z.int().min(0),
}).readonly();

export type Weights = z.infer<typeof weightsSchema>;

/** A task of a job, as its team submits it. */
export const taskSpecSchema = z.strictObject({
	taskId: nameSchema,
	demand: resourcesSchema,
	declaredRunTimeMs: z.int().positive().max(maxTimeMs),
	/** Kind of work under which interference is estimated; the team's name if left out. */
	taskKind: nameSchema.optional(),
	payload: z.string().max(4096),
}).readonly();

export type TaskSpec = z.infer<typeof taskSpecSchema>;

/** A job: tasks that one team submits together, or a workflow whose steps define the tasks. */
export const jobSchema = z.strictObject({
	jobId: nameSchema,
	teamId: nameSchema,
	workClass: z.enum(['latency-critical', 'batch']),
	priority: priorityClassSchema,
	tasks: z.array(taskSpecSchema).max(1000).readonly(),
	workflow: workflowSchema.optional(),
}).readonly()
	.refine(({tasks, workflow}) => (tasks.length > 0) !== (workflow !== undefined), {error: 'give either tasks or a workflow', path: ['tasks']})
	.refine(({workflow}) => workflow === undefined || findInvalidDependency(workflow.steps) === undefined, {error: 'a step may depend on earlier steps only', path: ['workflow', 'steps']});

export type Job = z.infer<typeof jobSchema>;

/** A change that an operator requests. A plan is computed for it, and it takes effect only when the plan is confirmed. */
export const intentSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('admit-service'), service: serviceSchema}),
	z.strictObject({kind: z.literal('remove-service'), service: nameSchema}),
	z.strictObject({kind: z.literal('submit-job'), job: jobSchema}),
	z.strictObject({kind: z.literal('cancel-job'), jobId: nameSchema}),
	z.strictObject({kind: z.literal('drain-backend-server'), backendServerId: nameSchema}),
	z.strictObject({kind: z.literal('return-backend-server'), backendServerId: nameSchema}),
	z.strictObject({kind: z.literal('drain-vm'), vmId: nameSchema}),
	z.strictObject({kind: z.literal('return-vm'), vmId: nameSchema}),
	z.strictObject({kind: z.literal('drain-failure-domain'), failureDomain: nameSchema}),
	z.strictObject({kind: z.literal('return-failure-domain'), failureDomain: nameSchema}),
	z.strictObject({kind: z.literal('set-request-limits'), limits: requestLimitsSchema}),
	z.strictObject({kind: z.literal('set-quota'), teamId: nameSchema, quota: resourcesSchema}),
	z.strictObject({kind: z.literal('set-weights'), weights: weightsSchema}),
]).readonly();

export type Intent = z.infer<typeof intentSchema>;

/** A plan for an intent. The confirmation contains the whole plan, so entries do not store plans that are not confirmed. */
export const planSchema = z.strictObject({
	planId: nameSchema,
	intent: intentSchema,
	/** Offset of the last record that the plan was computed from. */
	baseOffset: z.int().min(-1),
	/** Entities that the plan depends on, such as `service/loaf-ordering`. The plan is rejected when one of them changed after `baseOffset`. */
	touches: z.array(z.string()).readonly(),
	/** Lines for the operator: what changes, what it costs and why. */
	summary: z.array(z.string()).readonly(),
	createdAtMs: timeMsSchema,
	expiresAtMs: timeMsSchema,
}).readonly();

export type Plan = z.infer<typeof planSchema>;
