import {Buffer} from 'node:buffer';
import {ok, type Result} from 'true-myth/result';
import {request} from 'undici';
import {z} from 'zod';
import {encodeClusterState} from '../cluster/cluster-state-codec.js';
import {type Intent, type Plan} from '../cluster/intent.js';
import {type TypedError} from '../errors/typed-error.js';
import {decodeLogValue} from '../log/log-value.js';
import {type LogService, type StreamValue} from '../log/log-service.js';
import {type RecordsPage} from '../operator/operator-api.js';
import {type SnapshotStore} from '../log/snapshot-store.js';
import {type EntrySettings} from '../settings/entry-settings.js';
import {type Metrics} from '../telemetry/metrics.js';
import {type Timeline, type TimelineEvent, timelineEventSchema} from '../telemetry/timeline-event.js';
import {type DeferredAnswer} from './control-effect.js';
import {type DeferredSubject} from './entry-event.js';
import {type EntryState} from './entry-state.js';
import {type OperatorBackend} from './operator-server.js';
import {type RequestHistory} from './request-history.js';

const agentTimeoutMs = 1000;

/**
Creates the backend of the operators' interface from the parts of an entry.

@example
const backend = createOperatorBackend({settings, state, requestDecision, logService, snapshots, timeline, requestHistory, metrics, nowMs, wallTimeMs, computePlan});
*/
export function createOperatorBackend({settings, state, requestDecision, logService, snapshots, timeline, requestHistory, metrics, nowMs, wallTimeMs, computePlan}: Readonly<{
	settings: EntrySettings;
	state: () => EntryState;
	requestDecision: (subject: DeferredSubject) => Promise<DeferredAnswer>;
	logService: LogService;
	snapshots: SnapshotStore;
	timeline: Timeline;
	requestHistory: RequestHistory;
	metrics: Metrics;
	nowMs: () => number;
	/** Time of day in Unix milliseconds, without the short jumps of the VM's clock. */
	wallTimeMs: () => number;
	computePlan: (intent: Intent) => Result<Plan, TypedError>;
}>): OperatorBackend {
	return {
		state: () => state().cluster,
		computePlan,
		async confirm(plan) {
			const isExpired = wallTimeMs() > plan.expiresAtMs && !state().cluster.planDecisions.has(plan.planId);
			const answer: DeferredAnswer = isExpired
				? {result: 'rejected', offset: -1, reason: 'the plan has expired; ask for a new plan'}
				: await requestDecision({kind: 'plan', plan});
			const {result, offset, reason} = answer;
			// Only jobs are refused for lack of capacity.
			return {
				planId: plan.planId, result: result === 'refused' ? 'rejected' : result, offset, reason,
			};
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
			const agentEvents = await Promise.all(addresses.map(async address => fetchAgentTimeline(address)));
			return [...timeline.read(fromSequence), ...requestHistory.timeline(), ...agentEvents.flat()];
		},
		async records(fromOffset, limit) {
			const page = await logService.read(settings.logStream, fromOffset, {limit, waitMs: 0});
			return page.andThen(({values, ...bounds}) => {
				const records = values.flatMap(stored => decodeRecord(stored));
				const skipped = values.length - records.length;
				if (skipped > 0) {
					metrics.increment('log.values.skipped', skipped);
				}

				return ok({...bounds, records, skipped});
			});
		},
		async snapshot() {
			const newest = await snapshots.loadNewest();
			return newest.map(snapshot => ({snapshot: snapshot ?? null}));
		},
		explainRequest: requestHistory.explain,
		encodeState: () => Buffer.from(JSON.stringify(encodeClusterState(state().cluster))),
	};
}

/** Returns the record of a stored value, or none if the value is not a record: readers of the log skip such values too. */
function decodeRecord({offset, value}: StreamValue): RecordsPage['records'] {
	return decodeLogValue(value).match({Ok: envelope => [{offset, envelope}], Err: () => []});
}

const agentTimelineSchema = z.object({events: z.array(timelineEventSchema)});

/** Returns an agent's event with its task as the cause, unless it has a cause: the task's claim caused it, and is in the timeline of the entry that appended the claim. */
function withCause(event: TimelineEvent): TimelineEvent {
	return {...event, cause: event.cause ?? event.taskId};
}

async function fetchAgentTimeline(address: string): Promise<readonly TimelineEvent[]> {
	try {
		const {statusCode, body} = await request(`http://${address}/timeline`, {headersTimeout: agentTimeoutMs, bodyTimeout: agentTimeoutMs});
		const answer = agentTimelineSchema.safeParse(await body.json());
		return statusCode === 200 && answer.success ? answer.data.events.map(event => withCause(event)) : [];
	} catch {
		// An agent that does not answer is missing from the timeline; status shows it as unreachable.
		return [];
	}
}
