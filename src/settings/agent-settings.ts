import {z} from 'zod';

const nameSchema = z.string().regex(/^[\w.:\-]{1,128}$/v, 'use 1 to 128 letters, digits, dots, colons, hyphens or underscores');
const addressSchema = z.string().regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v, 'use an IP number and a port, such as 127.0.0.1:8080');

/** Settings of `arbutushinge agent`; kept apart from the entry's so that an agent loads no more than it needs. */
export const agentSettingsSchema = z.strictObject({
	role: z.literal('agent').describe('Role that this file is for'),
	vmId: nameSchema.describe('Name of the VM, unique in the deployment'),
	failureDomain: nameSchema.describe('Failure domain that this VM is in'),
	rack: nameSchema.describe('Rack that this VM is in'),
	requestAddress: addressSchema.describe('Where entries send requests and backend servers announce themselves'),
	entryAddresses: z.array(addressSchema).min(1).readonly().describe('Agent addresses of the entries of this region'),
	workerUrl: z.url().describe('Address of the platform\'s worker on this VM'),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('Least severe level that is logged'),
	metrics: z.strictObject({
		statsdAddress: addressSchema.optional().describe('Where StatsD metrics go; none are sent without it'),
		prefix: z.string().default('arbutushinge.').describe('Prefix of every metric name'),
	}).readonly().default({prefix: 'arbutushinge.'}),
	timings: z.strictObject({
		heartbeatMs: z.int().min(50).default(1000).describe('Time between two heartbeats to each entry'),
		workerPollMs: z.int().min(50).default(1000).describe('Time between two reads of the worker\'s tasks and usage'),
		announceTimeoutMs: z.int().min(200).default(4000).describe('Time without an announcement after which a backend server counts as gone'),
		keyRetentionMs: z.int().min(1000).default(600_000).describe('W: how long outcomes of keyed requests are kept'),
		drainTimeoutMs: z.int().min(100).default(30_000).describe('Longest wait for requests in flight at a stop'),
		usageLagMs: z.int().min(0).default(5000).describe('Expected lag of the worker\'s usage reports'),
	}).readonly().prefault({}),
	guards: z.strictObject({
		enabled: z.boolean().default(true).describe('Whether batch tasks are throttled and evicted for services'),
		throttleShareMilli: z.int().min(50).max(1000).default(300).describe('Processor share of a throttled batch task, in thousandths'),
		recoverAfterMs: z.int().min(100).default(10_000).describe('Time within the latency target before a throttle is eased'),
	}).readonly().prefault({}),
	limits: z.strictObject({
		backendQueueLimit: z.int().min(0).default(16).describe('Requests that may wait for a slot of one backend server'),
		keyedAnswerBytes: z.int().min(1024).default(262_144).describe('Largest answer of a keyed request that is kept for retries'),
		keptAnswersBytes: z.int().min(65_536).default(8_388_608).describe('Most memory for kept answers; new keyed requests are refused beyond it'),
		headerBytes: z.int().min(1024).default(16_384).describe('Largest header of a request'),
	}).readonly().prefault({}),
}).readonly();

export type AgentSettings = z.infer<typeof agentSettingsSchema>;
