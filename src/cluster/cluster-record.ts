import {z} from 'zod';
import {addressSchema, listenAddressSchema} from '../validation/address-schema.js';
import {countSchema, timeMsSchema} from '../validation/bounds-schema.js';
import {freeTextSchema} from './free-text.js';
import {nameSchema, planSchema, jobSchema} from './intent.js';
import {resourcesSchema} from './resources-schema.js';

/** Longest ID that need not be a name, in characters. */
export const maxIdLength = 128;

/** Longest name of a placement policy, in characters. */
export const maxPolicyLength = 128;

const maxLabels = 256;
const maxLabelLength = 256;
const maxRunningTasks = 10_000;

const attemptSchema = z.strictObject({taskId: nameSchema, attempt: countSchema});
const agentSchema = z.strictObject({vmId: nameSchema, agentIncarnation: nameSchema});
const backendServerSchema = agentSchema.extend({backendServerId: nameSchema});

/**
Inputs of a candidate's score, apart from its free resources (`room`) and its harm. Zero and false values are left out to keep the record
small, because a claim is written for every task start. The harm to batch tasks is `harmMilli` minus `serviceHarmMilli`. Harm is the share of its
speed that work loses through its neighbours, in thousandths.
*/
export const scoreInputsSchema = z.strictObject({
	serviceHarmMilli: z.int().optional(),
	siblingsInRack: z.int().positive().optional(),
	siblingsInFailureDomain: z.int().positive().optional(),
	failedBefore: z.literal(true).optional(),
	wastesAccelerators: z.literal(true).optional(),
	evictions: z.int().positive().optional(),
	packs: z.literal(true).optional(),
}).readonly();

export type ScoreInputs = z.infer<typeof scoreInputsSchema>;

/** A placement decision with the inputs that it was computed from, so that a replay can compute it again. */
export const placementDecisionSchema = z.strictObject({
	policy: z.string().max(maxPolicyLength),
	seed: z.int(),
	stateOffset: z.int(),
	/** The best candidates with their scores in thousandths, best first; at most three. */
	candidates: z.array(z.strictObject({
		vmId: nameSchema, scoreMilli: z.int(), harmMilli: z.int(), room: resourcesSchema,
		/** Left out by versions that did not record it. */
		inputs: scoreInputsSchema.optional(),
	}).readonly()).max(3).readonly(),
	consideredVms: z.int().min(0),
	reason: freeTextSchema,
}).readonly();

export type PlacementDecision = z.infer<typeof placementDecisionSchema>;

/** The records that entries write to the log. The cluster state is a pure function of the records in log order. */
export const clusterRecordSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('entry-registered'), entryId: nameSchema, failureDomain: nameSchema, operatorAddress: listenAddressSchema,
		/** Processors of the entry's VM in thousandths; left out by versions that did not record it. */
		processorsMilli: z.optional(countSchema),
	}),
	/** The writer bounds the contact of agents: it withdraws only after this time without a message, and neither grants leases nor answers in contact from then on. */
	z.strictObject({kind: z.literal('entry-bounds-contact'), withdrawsAfterMs: timeMsSchema}),
	/** A heartbeat; the writer had applied all records through `appliedOffset`. */
	z.strictObject({kind: z.literal('entry-alive'), appliedOffset: z.int().min(-1)}),
	z.strictObject({
		kind: z.literal('entry-ended'), entryId: nameSchema, incarnation: nameSchema, reason: freeTextSchema,
	}),
	agentSchema.extend({
		kind: z.literal('vm-registered'),
		/** Identity of the worker process that `runningTasks` comes from. */
		workerIncarnation: nameSchema,
		failureDomain: nameSchema,
		rack: nameSchema,
		requestAddress: addressSchema,
		capacity: resourcesSchema,
		runningTasks: z.array(attemptSchema.readonly()).max(maxRunningTasks).readonly(),
		/** Service that the worker itself serves as a backend server, if any. */
		service: z.string().max(maxIdLength).optional(),
		labels: z.array(z.string().max(maxLabelLength)).max(maxLabels).readonly().optional(),
		/** Start of the worker process; a later start on the same VM means that the earlier process has ended. */
		workerStartedAtMs: z.optional(timeMsSchema),
		/** The agent reports its worker as lost: the worker's tasks have certainly stopped. */
		workerLost: z.literal(true).optional(),
	}),
	/** The agent stops leased tasks this long after the sending of its newest heartbeat that was answered in contact. */
	agentSchema.extend({kind: z.literal('vm-bounds-contact'), limitMs: timeMsSchema}),
	/** The worker announced that it will stop. The VM accepts no new tasks; long-running tasks and those with checkpoints are evicted. */
	agentSchema.extend({kind: z.literal('vm-leaving')}),
	agentSchema.extend({kind: z.literal('vm-unreachable')}),
	agentSchema.extend({kind: z.literal('vm-reachable')}),
	agentSchema.extend({kind: z.literal('vm-revoked'), reason: freeTextSchema}),
	agentSchema.extend({kind: z.literal('vm-lease-expired')}),
	agentSchema.extend({kind: z.literal('vm-quarantined'), reason: freeTextSchema}),
	agentSchema.extend({kind: z.literal('vm-unquarantined'), reason: freeTextSchema}),
	backendServerSchema.extend({
		kind: z.literal('backend-server-announced'),
		service: nameSchema,
		slots: countSchema,
		connections: countSchema,
	}),
	backendServerSchema.extend({kind: z.literal('backend-server-leaving')}),
	backendServerSchema.extend({kind: z.literal('backend-server-gone')}),
	z.strictObject({kind: z.literal('plan-confirmed'), plan: planSchema}),
	/** The operator requested the evacuation of a failure domain, or removed the request. */
	z.strictObject({
		kind: z.literal('failure-domain-evacuation'),
		failureDomain: nameSchema,
		isRequested: z.boolean(),
		/** Offset of the request or of its removal in the operator's topic; records with a lower one are stale. */
		requestOffset: z.int().min(0),
		/** Time of day at which the writer saw it, for operators only. */
		noticedAtMs: z.optional(timeMsSchema),
	}),
	/** A job that a team submits directly; operators' jobs arrive inside a plan. */
	z.strictObject({kind: z.literal('job-submitted'), job: jobSchema}),
	z.strictObject({kind: z.literal('tasks-cancelled'), taskIds: z.array(nameSchema).max(10_000).readonly()}),
	/**
	Cancels a workflow's job, including the occurrences whose tasks are not created yet, or a job that is not known: its submission may be read later, and
	the job is then cancelled at once.
	*/
	z.strictObject({kind: z.literal('job-cancelled'), jobId: nameSchema}),
	/** An occurrence of a scheduled workflow has come due. */
	z.strictObject({kind: z.literal('occurrence-due'), jobId: nameSchema, occurrence: z.int().min(0)}),
	/** No VM could hold the task, even if no other task ran on it. */
	z.strictObject({kind: z.literal('task-unplaceable'), taskId: nameSchema, lacks: freeTextSchema}),
	agentSchema.extend({
		kind: z.literal('task-claimed'),
		taskId: nameSchema,
		attempt: countSchema,
		/** Resources to commit on the VM: the larger of the task's declared and observed size. */
		committed: resourcesSchema,
		evictTaskIds: z.array(nameSchema).max(16).readonly(),
		decision: placementDecisionSchema,
	}),
	attemptSchema.extend({kind: z.literal('task-started'), agentIncarnation: nameSchema}),
	attemptSchema.extend({
		kind: z.literal('task-ended'),
		agentIncarnation: nameSchema,
		outcome: z.enum(['finished', 'failed', 'refused-not-run', 'cancelled']),
		reason: freeTextSchema,
	}),
	attemptSchema.extend({
		kind: z.literal('task-checkpointed'),
		agentIncarnation: nameSchema,
		checkpoint: z.string().max(1024),
		reason: freeTextSchema,
	}),
	attemptSchema.extend({kind: z.literal('evict-requested'), reason: freeTextSchema}),
	agentSchema.extend({
		kind: z.literal('key-claimed'),
		/** SHA-256 of service and caller's key, in base64url. */
		keyHash: z.string().max(maxIdLength),
		bodyHash: z.string().max(maxIdLength),
		service: nameSchema,
		backendServerId: nameSchema,
	}),
	/** The agent that the key was claimed for has not run the request and never will, so the key may be claimed again. */
	agentSchema.extend({kind: z.literal('key-released'), keyHash: z.string().max(maxIdLength), claimOffset: z.int()}),
	/** Key claims at or below `throughOffset` expire. The agents that the keys were claimed for refuse requests with these claims too. */
	z.strictObject({kind: z.literal('keys-expired'), throughOffset: z.int()}),
]).readonly();

export type ClusterRecord = z.infer<typeof clusterRecordSchema>;

export type ClusterRecordOf<Kind extends ClusterRecord['kind']> = Extract<ClusterRecord, {kind: Kind}>;
