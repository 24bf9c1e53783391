import {z} from 'zod';
import {resourcesSchema} from './resources-schema.js';
import {findInvalidDependency, workflowSchema} from './workflow.js';

/** Names of services, jobs, teams, VMs and other entities: what fits into a URL path segment unescaped. */
export const namePattern = /^[\w.:\-]{1,128}$/v;

/** A name; see {@link namePattern}. */
export const nameSchema = z.string().regex(namePattern, 'use 1 to 128 letters, digits, dots, colons, hyphens or underscores');

/** The classes that share the fleet; each keeps its floor in a flood of the others. */
export const priorityClassSchema = z.enum(['urgent', 'normal', 'background']);

export type PriorityClass = z.infer<typeof priorityClassSchema>;

/** A service as the operator admits it. */
export const serviceSchema = z.strictObject({
	service: nameSchema,
	teamId: nameSchema,
	latencyTargetMs: z.int().positive(),
	demandPerBackendServer: resourcesSchema,
}).readonly();

export type Service = z.infer<typeof serviceSchema>;

/** Limits that apply to callers' requests; shares are weights, floors are thousandths of all places. */
export const requestLimitsSchema = z.strictObject({
	queuedRequestsPerService: z.int().positive(),
	queueTimeoutMs: z.int().positive(),
	retryBudgetMilli: z.int().min(0).max(1000),
	shareByClass: z.strictObject({urgent: z.int().positive(), normal: z.int().positive(), background: z.int().positive()}).readonly(),
	floorMilliByClass: z.strictObject({urgent: z.int().min(0).max(300), normal: z.int().min(0).max(300), background: z.int().min(0).max(300)}).readonly(),
}).readonly();

export type RequestLimits = z.infer<typeof requestLimitsSchema>;

/** How much each measure counts in placement and in the guards, in thousandths. */
export const weightsSchema = z.strictObject({
	tailLatencyMilli: z.int().min(0),
	batchThroughputMilli: z.int().min(0),
	evictionsMilli: z.int().min(0),
	floodMilli: z.int().min(0),
}).readonly();

export type Weights = z.infer<typeof weightsSchema>;

/** One task of a batch job as its team submits it. */
export const taskSpecSchema = z.strictObject({
	taskId: nameSchema,
	demand: resourcesSchema,
	declaredRunTimeMs: z.int().positive(),
	/** Kind of work, for what is learned about interference; the team's name stands in for it. */
	taskKind: nameSchema.optional(),
	payload: z.string().max(4096),
}).readonly();

export type TaskSpec = z.infer<typeof taskSpecSchema>;

/** A job: tasks that one team submits together, or a workflow whose steps make its tasks. */
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

/** What an operator wants; a plan is computed for it and takes effect only when confirmed. */
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

/** A plan travels whole inside its confirmation, so no entry has to remember it. */
export const planSchema = z.strictObject({
	planId: nameSchema,
	intent: intentSchema,
	/** Offset of the last record that the plan was computed from. */
	baseOffset: z.int().min(-1),
	/** Entities whose change after `baseOffset` makes the plan void, such as `service/loaf-ordering`. */
	touches: z.array(z.string()).readonly(),
	/** Lines for the operator: what changes, what it costs and why. */
	summary: z.array(z.string()).readonly(),
	createdAtMs: z.int(),
	expiresAtMs: z.int(),
}).readonly();

export type Plan = z.infer<typeof planSchema>;
