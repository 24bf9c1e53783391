import * as z from 'zod/mini';
import {defaultAgentIntakeLimits, minAgentIntakeLimits} from '../intake/intake-limits.js';
import {addressSchema, listenAddressSchema} from '../validation/address-schema.js';
import {agentPlatformSettingsSchema} from './agent-platform-settings.js';
import {maxDurationMs} from './max-duration-ms.js';

const nameSchema = z.string().check(z.regex(/^[\w.:\-]{1,128}$/v, 'use 1 to 128 letters, digits, dots, colons, hyphens or underscores'));

/** Settings of `arbutushinge agent`; separate from the entry's and written for zod/mini, so that an agent loads only the code that it needs. */
export const agentSettingsSchema = z.readonly(z.strictObject({
	role: z.literal('agent').check(z.describe('Role that this file is for')),
	vmId: nameSchema.check(z.describe('Name of the VM, unique in the deployment')),
	failureDomain: nameSchema.check(z.describe('Failure domain that this VM is in')),
	rack: nameSchema.check(z.describe('Rack that this VM is in')),
	requestAddress: listenAddressSchema.check(z.describe('Where entries send requests and backend servers announce themselves; a replacement of the VM under the same name needs another IP number')),
	entryAddresses: z._default(z.readonly(z.array(addressSchema)), []).check(z.describe('Agent addresses of the entries of this region; needed without `platform`')),
	entryStreams: z.optional(z.int().check(z.minimum(1))).check(z.describe('Entries that the agent keeps a stream to at once; without it, all of them')),
	workerUrl: z.optional(z.url()).check(z.describe('Address of the platform\'s worker on this VM; not used beside `platform`')),
	platform: z.optional(agentPlatformSettingsSchema).check(z.describe('Addresses of the users\' platform, when the agent runs on it')),
	logLevel: z._default(z.enum(['debug', 'info', 'warn', 'error']), 'info').check(z.describe('Least severe level that is logged')),
	metrics: z._default(z.readonly(z.strictObject({
		statsdAddress: z.optional(addressSchema).check(z.describe('Where StatsD metrics go; none are sent without it')),
		textAddress: z.optional(listenAddressSchema).check(z.describe('Where metrics are served as text at `/metrics`; none are without it')),
		prefix: z._default(z.string(), 'arbutushinge.').check(z.describe('Prefix of every metric name')),
	})), {prefix: 'arbutushinge.'}),
	timings: z.prefault(z.readonly(z.strictObject({
		heartbeatMs: z._default(z.int().check(z.minimum(50), z.maximum(maxDurationMs)), 1000).check(z.describe('Time between two heartbeats to each entry')),
		workerPollMs: z._default(z.int().check(z.minimum(50), z.maximum(maxDurationMs)), 1000).check(z.describe('Time between two reads of the worker\'s tasks and usage')),
		announceTimeoutMs: z._default(z.int().check(z.minimum(200), z.maximum(maxDurationMs)), 4000).check(z.describe('Time without an announcement after which a backend server counts as gone')),
		keyRetentionMs: z._default(z.int().check(z.minimum(1000), z.maximum(maxDurationMs)), 600_000).check(z.describe('W: how long outcomes of keyed requests are kept')),
		drainTimeoutMs: z._default(z.int().check(z.minimum(100), z.maximum(maxDurationMs)), 30_000).check(z.describe('Longest wait for requests in flight at a stop')),
		workerEndTimeoutMs: z._default(z.int().check(z.minimum(0), z.maximum(maxDurationMs)), 4000)
			.check(z.describe('Longest wait, at a stop that keeps the tasks, for the end of a worker that leaves or does not answer; the process must not be killed before')),
		workerHoldMs: z._default(z.int().check(z.minimum(500), z.maximum(maxDurationMs)), 60_000)
			.check(z.describe('Longest time for which the worker is told to run tasks without word from the agent; the lease bounds it as well')),
		workerLeaseLimitMs: z.optional(z.int().check(z.minimum(500), z.maximum(maxDurationMs)))
			.check(z.describe('Longest lease that the worker takes, for one whose processes each have a clock of their own; none without it')),
		contactLimitMs: z._default(z.int().check(z.minimum(500), z.maximum(maxDurationMs)), 12_500)
			.check(z.describe('S: how long leased tasks run from the sending of the newest heartbeat that an entry answered; several heartbeats and less than the entries\' D')),
		workerTimeoutMs: z._default(z.int().check(z.minimum(200), z.maximum(maxDurationMs)), 10_000).check(z.describe('Silence of the worker after which its tasks are held no longer')),
		usageLagMs: z._default(z.int().check(z.minimum(0), z.maximum(maxDurationMs)), 5000).check(z.describe('Expected lag of the worker\'s usage reports')),
	})), {}),
	tasksAtStop: z._default(z.enum(['checkpoint', 'keep']), 'checkpoint')
		.check(z.describe('What a graceful stop does to run-once tasks: `checkpoint` stops them, `keep` leaves them to the next agent on the VM')),
	guards: z.prefault(z.readonly(z.strictObject({
		enabled: z._default(z.boolean(), true).check(z.describe('Whether batch tasks are throttled and evicted for services')),
		throttleShareMilli: z._default(z.int().check(z.minimum(50), z.maximum(1000)), 300).check(z.describe('Processor share of a throttled batch task, in thousandths')),
		recoverAfterMs: z._default(z.int().check(z.minimum(100), z.maximum(maxDurationMs)), 10_000).check(z.describe('Time within the latency target before a throttle is eased')),
	})), {}),
	intake: z.prefault(z.readonly(z.strictObject({
		connections: z._default(z.int().check(z.minimum(minAgentIntakeLimits.connections)), defaultAgentIntakeLimits.connections)
			.check(z.describe('Most connections of all servers of the process: half of them for entries and backend servers, three eighths for executors, the rest for metrics')),
		bodyBytes: z._default(z.int().check(z.minimum(minAgentIntakeLimits.bodyBytes)), defaultAgentIntakeLimits.bodyBytes)
			.check(z.describe('Most memory for the bodies that the process receives: half of it for executors, half for backend servers')),
		pendingConnections: z._default(z.int().check(z.minimum(minAgentIntakeLimits.pendingConnections)), defaultAgentIntakeLimits.pendingConnections)
			.check(z.describe('Most connections that wait to be accepted at each server; more of them are connected a second or more later')),
	})), {}),
	limits: z.prefault(z.readonly(z.strictObject({
		backendQueueLimit: z._default(z.int().check(z.minimum(0)), 16).check(z.describe('Requests that may wait for a slot of one backend server')),
		keyedAnswerBytes: z._default(z.int().check(z.minimum(1024)), 262_144).check(z.describe('Largest answer of a keyed request that is kept for retries')),
		keptAnswersBytes: z._default(z.int().check(z.minimum(65_536)), 8_388_608).check(z.describe('Most memory for kept answers; new keyed requests are refused beyond it')),
		headerBytes: z._default(z.int().check(z.minimum(1024)), 16_384).check(z.describe('Largest header of a request')),
	})), {}),
}));

export type AgentSettings = z.infer<typeof agentSettingsSchema>;
