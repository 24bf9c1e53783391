import {z} from 'zod';
import {nameSchema} from '../cluster/intent.js';
import {defaultEntryIntakeLimits, minEntryIntakeLimits} from '../intake/intake-limits.js';
import {placementPolicyNames} from '../placement/placement-policy-name.js';
import {addressSchema, listenAddressSchema} from '../validation/address-schema.js';
import {entryPlatformSettingsSchema} from './entry-platform-settings.js';
import {maxDurationMs} from './max-duration-ms.js';

/** Metrics settings of an entry. */
export const metricsSettingsSchema = z.strictObject({
	statsdAddress: z.optional(addressSchema).describe('Where StatsD metrics go; none are sent without it'),
	textAddress: z.optional(listenAddressSchema).describe('Where metrics are served as text at `/metrics`; none are without it'),
	prefix: z.string().default('arbutushinge.').describe('Prefix of every metric name'),
}).readonly();

/** Most entries that hold the cluster state; each of them costs what the whole site costs. */
const maxDeciders = 100;

/** Settings of `arbutushinge entry`. */
export const entrySettingsSchema = z.strictObject({
	role: z.literal('entry').describe('Role that this file is for'),
	entryId: nameSchema.describe('Name of this entry, unique in the deployment'),
	failureDomain: nameSchema.describe('Failure domain that this VM is in'),
	region: nameSchema.default('default').describe('Region that this VM is in'),
	processors: z.number().positive().default(1).describe('Processors of this VM; entries on large VMs place tasks and keep the agents\' streams'),
	processorShare: z.number().positive().default(1).describe('Share of each processor that this process may use'),
	callerAddress: listenAddressSchema.check(z.describe('Where callers and the balancer\'s health check connect')),
	operatorAddress: listenAddressSchema.check(z.describe('Where operator commands connect')),
	agentAddress: listenAddressSchema.check(z.describe('Where agents open their stream')),
	deciders: z.strictObject({
		count: z.int().min(1).max(maxDeciders).describe('Entries that hold the cluster state'),
		relayAddress: listenAddressSchema.check(z.describe('Where this entry takes the requests that other entries relay, once it decides')),
	}).readonly().optional().describe('On the users\' platform: entries that decide for all; the others relay callers\' requests to them. Without it, every entry decides'),
	operatorTokenFile: z.string().optional().describe('File that holds the operators\' token; without it the operator interface stays closed'),
	peerOperatorAddresses: z.array(addressSchema).readonly().default([]).describe('Operator addresses of the other entries, asked for state when the log is down at start'),
	logServiceUrl: z.url().optional().describe('Address of the platform\'s log service; not used beside `platform`'),
	platform: entryPlatformSettingsSchema.optional().describe('Addresses of the users\' platform, when the entry runs on it'),
	logStream: nameSchema.default('arbutushinge').describe('Stream that holds the cluster records'),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('Least severe level that is logged'),
	placementPolicy: z.enum(placementPolicyNames).default('least-harm').describe('How VMs are chosen for tasks; `first-fit` and `least-loaded` are baselines meant for comparison'),
	planning: z.strictObject({
		enabled: z.boolean().default(false).describe('Whether the limit of started filling jobs follows what the VMs report, and filling work that no VM can take keeps no other job waiting'),
		plansStarts: z.boolean().default(true).describe('Whether VMs are held for large waiting tasks by learned run times, and only smaller tasks that end in time use what is held. For deployments whose large tasks wait longest; where committed work fills the VMs, small tasks wait longer for it'),
		maxFillingDemandMilli: z.int().min(600).max(2000).default(800).describe('Highest limit of the demand of started filling jobs, in thousandths of the processors that filling tasks demand or are offered'),
	}).readonly().prefault({}),
	metrics: metricsSettingsSchema.default({prefix: 'arbutushinge.'}),
	timings: z.strictObject({
		appendIntervalMs: z.int().min(1).max(maxDurationMs).default(20).describe('Shortest time between two appends of this entry'),
		pagePauseMs: z.int().min(0).max(maxDurationMs).default(0).describe('Pause between two reads of the log while a caller or a queued task waits for this entry'),
		idlePagePauseMs: z.int().min(0).max(maxDurationMs).default(0).describe('Pause between two reads of the log while nobody waits for this entry'),
		logCloseTimeoutMs: z.int().min(50).max(maxDurationMs).default(5000).describe('Longest wait for the log at a graceful stop'),
		decisionTimeoutMs: z.int().min(100).max(maxDurationMs).default(5000).describe('Time after which a caller is told that the outcome of a job or plan is unknown'),
		entryHeartbeatMs: z.int().min(50).max(maxDurationMs).default(300).describe('Time between two entry-alive records'),
		entryTimeoutMs: z.int().min(200).max(maxDurationMs).default(5000).describe('Time without a record after which an entry is declared ended'),
		heartbeatTimeoutMs: z.int().min(100).max(maxDurationMs).default(3000).describe('Time without a heartbeat after which an agent is reported unreachable'),
		leaseDurationMs: z.int().min(200).max(maxDurationMs).default(15_000).describe('D: how long a lease lasts from the sending of the agent\'s heartbeat'),
		logFreshnessMs: z.int().min(50).max(maxDurationMs).default(2000).describe('F: age of the newest read of the log\'s tail up to which leases are granted'),
		leaseMarginMs: z.int().min(50).max(maxDurationMs).default(1000).describe('Margin for clock drift added to F + D before leases count as expired'),
		commandTakeoverMs: z.int().min(50).max(maxDurationMs).default(500).describe('Time after which an entry sends the start of another entry\'s claim'),
		placementTakeoverMs: z.int().min(50).max(maxDurationMs).default(800)
			.describe('Time without a record of the entry that should place a task after which another entry places it; longer than two heartbeats'),
		minSnapshotIntervalMs: z.int().min(500).max(maxDurationMs).default(15_000).describe('Shortest time between two snapshots, which hold the event loop while they are encoded'),
		snapshotEveryMs: z.int().min(1000).max(maxDurationMs).default(60_000).describe('Longest time between two snapshots'),
		keyRetentionMs: z.int().min(1000).max(maxDurationMs).default(600_000).describe('W: how long keys of non-idempotent requests are remembered'),
		shutdownDelayMs: z.int().min(0).max(maxDurationMs).default(2000).describe('Time between not ready and the closing of the callers\' port'),
	}).readonly().prefault({}),
	jobAdmission: z.strictObject({
		enabled: z.boolean().default(false).describe('Whether jobs that would end too late for their callers are refused with 429 at once'),
		minMeasuredEnds: z.int().min(1).max(64).default(8).describe('Finished tasks of a queue below which its jobs are accepted, since nothing is known of them'),
		queueFloorMilli: z.int().min(0).max(300).default(300).describe('Share of the capacity that the queues in use are guaranteed together, in thousandths'),
		failureDomainFloorMilli: z.int().min(0).max(300).default(200).describe('Share of the capacity that the failure domains of callers are guaranteed together, in thousandths'),
		largeFloorMilli: z.int().min(0).max(300).default(300).describe('Share of the capacity that the largest tenth and the fifth below it are guaranteed together, in thousandths'),
		largeRefusalLimitMilli: z.int().min(0).max(100_000).default(1000).describe('Highest refusal rate of large jobs in thousandths of that of their whole queue'),
	}).readonly().prefault({}).describe('Admission of jobs in overload, for entries that decide'),
	snapshotEveryRecords: z.int().min(10).default(5000).describe('Records after which a snapshot is written'),
	intake: z.strictObject({
		connections: z.int().min(minEntryIntakeLimits.connections).default(defaultEntryIntakeLimits.connections)
			.describe('Most connections of all servers of the process: half for callers, a quarter for agents, an eighth for relays, the rest for the balancer, operators and metrics'),
		bodyBytes: z.int().min(minEntryIntakeLimits.bodyBytes).default(defaultEntryIntakeLimits.bodyBytes)
			.describe('Most memory for the bodies that the process receives: half of it for callers, a third for operators, the rest for relays'),
		pendingConnections: z.int().min(minEntryIntakeLimits.pendingConnections).default(defaultEntryIntakeLimits.pendingConnections)
			.describe('Most connections that wait to be accepted at each server but that for agents; more of them are connected a second or more later'),
	}).readonly().prefault({}),
	limits: z.strictObject({
		headerBytes: z.int().min(1024).default(16_384).describe('Largest header of a caller\'s request'),
		bodyBytes: z.int().min(1024).default(67_108_864).describe('Largest body of a caller\'s request'),
		keyedBodyBytes: z.int().min(1024).default(1_048_576).describe('Largest body of a keyed request, which is held in memory'),
		jobBytes: z.int().min(1_048_576).optional().describe('Most memory for the unfinished jobs of the cluster state, beyond which new jobs are refused with 429; an eighth of the heap without it'),
		taskBytes: z.int().min(1_048_576).optional().describe('Most memory for the tasks of the cluster state, beyond which no more are placed; three tenths of the heap without it'),
		connections: z.int().min(1).default(4096).describe('Most connections of callers'),
		idleTimeoutMs: z.int().min(100).max(maxDurationMs).default(30_000).describe('Time without a byte after which a caller\'s connection is closed'),
		defaultDeadlineMs: z.int().min(1).max(maxDurationMs).default(10_000).describe('Deadline of a request that names none'),
	}).readonly().prefault({}),
}).readonly();

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
