import {Buffer} from 'node:buffer';
import {ok, type Result} from 'true-myth/result';
import {request} from 'undici';
import {z} from 'zod';
import {encodeClusterState} from '../cluster/cluster-state-codec.js';
import {type Intent, type Plan} from '../cluster/intent.js';
import {type TypedError} from '../errors/typed-error.js';
import {logEnvelopeSchema} from '../log/log-envelope.js';
import {type LogService} from '../log/log-service.js';
import {type EntrySettings} from '../settings/entry-settings.js';
import {type Timeline, type TimelineEvent, timelineEventSchema} from '../telemetry/timeline-event.js';
import {type DeferredAnswer} from './control-effect.js';
import {type DeferredSubject} from './entry-event.js';
import {type EntryState} from './entry-state.js';
import {type OperatorBackend} from './operator-server.js';

const agentTimeoutMs = 1000;

/**
Creates what the operators' interface needs from the state of an entry.

@example
const backend = createOperatorBackend({settings, state, ask, logService, timeline, nowMs, computePlan});
*/
export function createOperatorBackend({settings, state, ask, logService, timeline, nowMs, computePlan}: Readonly<{
	settings: EntrySettings;
	state: () => EntryState;
	ask: (subject: DeferredSubject) => Promise<DeferredAnswer>;
	logService: LogService;
	timeline: Timeline;
	nowMs: () => number;
	computePlan: (intent: Intent) => Result<Plan, TypedError>;
}>): OperatorBackend {
	return {
		state: () => state().cluster,
		computePlan,
		async confirm(plan) {
			const isExpired = Date.now() > plan.expiresAtMs && !state().cluster.planDecisions.has(plan.planId);
			const answer: DeferredAnswer = isExpired
				? {result: 'rejected', offset: -1, reason: 'the plan has expired; ask for a new plan'}
				: await ask({kind: 'plan', plan});
			return {planId: plan.planId, ...answer};
		},
		liveness() {
			const {links, log, cluster} = state();
			const tailAgeMs = Math.min(Number.MAX_SAFE_INTEGER, Math.max(0, nowMs() - log.tailConfirmedSentAtMs));
			return {
				appliedOffsetByVm: Object.fromEntries([...links.values()].map(link => [link.vmId, link.appliedConfigurationOffset])),
				appliedOffsetByEntry: Object.fromEntries([...cluster.entries.values()].map(entry => [
					entry.entryId,
					entry.entryId === settings.entryId ? cluster.offset : entry.appliedOffset,
				])),
				logReachable: log.reachable && tailAgeMs <= settings.timings.logFreshnessMs,
				tailAgeMs,
			};
		},
		async timeline(fromSequence) {
			const addresses = [...state().links.values()].map(link => link.hello.requestAddress);
			const ofAgents = await Promise.all(addresses.map(async address => fetchAgentTimeline(address)));
			return [...timeline.read(fromSequence), ...ofAgents.flat()];
		},
		async records(fromOffset, limit) {
			const page = await logService.read(settings.logStream, fromOffset, {limit, waitMs: 0});
			return page.andThen(({values, ...bounds}) => ok({
				...bounds,
				records: values.flatMap(({offset, value}) => {
					const envelope = logEnvelopeSchema.safeParse(JSON.parse(value));
					return envelope.success ? [{offset, envelope: envelope.data}] : [];
				}),
			}));
		},
		explainRequest: () => undefined,
		encodeState: () => Buffer.from(JSON.stringify(encodeClusterState(state().cluster))),
	};
}

const agentTimelineSchema = z.object({events: z.array(timelineEventSchema)});

async function fetchAgentTimeline(address: string): Promise<readonly TimelineEvent[]> {
	try {
		const {statusCode, body} = await request(`http://${address}/timeline`, {headersTimeout: agentTimeoutMs, bodyTimeout: agentTimeoutMs});
		const answer = agentTimelineSchema.safeParse(await body.json());
		return statusCode === 200 && answer.success ? answer.data.events : [];
	} catch {
		// An agent that does not answer is missing from the timeline; status shows it as unreachable.
		return [];
	}
}
