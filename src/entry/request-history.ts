import {type ClusterState} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {type RequestAnswer, type RequestEffect} from '../requests/request-effect.js';
import {type ForwardResult, type RequestEvent} from '../requests/request-event.js';
import {type Metrics} from '../telemetry/metrics.js';
import {type Timeline, type TimelineEvent} from '../telemetry/timeline-event.js';

/**
Records the decisions on the newest requests, for `explain`, the timeline and metrics.
It contains neither bodies nor keys.
*/
export type RequestHistory = Readonly<{
	/** Records an event of the request reducer; must be called before the event is reduced. */
	recordEvent: (event: RequestEvent) => void;
	/** Records an effect of the request reducer on one request. */
	recordEffect: (effect: SingleRequestEffect) => void;
	/** Records a request that was refused before it was dispatched to the request reducer. */
	recordRefusal: (requestId: string, answer: RequestAnswer) => void;
	/** Describes the decisions on a request, one line each; undefined for a request that is not or no longer recorded. */
	explain: (requestId: string) => readonly string[] | undefined;
	/** Returns refusals, retries and failures. Successful requests are left out, since they would displace these events from the ring buffer. */
	timeline: () => readonly TimelineEvent[];
}>;

type SingleRequestEffect = Extract<RequestEffect, {requestId: string}>;

type RecordedRequest = {
	readonly service: string;
	readonly priority: PriorityClass;
	readonly arrivedAtMs: number;
	readonly lines: string[];
	isEnded: boolean;
};

/** Maximum number of lines of one request, which bounds the memory of a request with many retries. */
const maxLinesPerRequest = 16;

/**
Creates the history. `timeline` should have its own ring buffer, so that many refusals displace no other events.

@example
const history = createRequestHistory({metrics, timeline, nowMs: () => performance.now(), cluster: () => state().cluster});
history.explain('7e0c…'); // => ['Request 7e0c… for service loaf-ordering (normal, keyed) arrived.', …]
*/
export function createRequestHistory({metrics, timeline, nowMs, cluster, capacity = 8192}: Readonly<{
	metrics: Metrics;
	timeline: Timeline;
	nowMs: () => number;
	cluster: () => ClusterState;
	/** Maximum number of requests; the oldest are evicted. */
	capacity?: number;
}>): RequestHistory {
	/** By request ID, oldest first. */
	const requests = new Map<string, RecordedRequest>();
	const offset = (): number => cluster().offset;

	function addLine(requestId: string, text: string): void {
		const recorded = requests.get(requestId);
		if (recorded && recorded.lines.length < maxLinesPerRequest) {
			recorded.lines.push(`After ${Math.round(nowMs() - recorded.arrivedAtMs)} ms, on the state at offset ${offset()}: ${text}`);
		}
	}

	function recordTimelineEvent(requestId: string, event: string, details: Readonly<{vmId?: string; detail?: string}>): void {
		timeline.record({
			event, offset: offset(), requestId, ...details,
		});
	}

	function recordOutcome(requestId: string, outcome: string): void {
		const recorded = requests.get(requestId);
		if (recorded && !recorded.isEnded) {
			recorded.isEnded = true;
			const {service, priority} = recorded;
			metrics.increment('requests', 1, {service, class: priority, outcome});
			metrics.timingMs('requests.latency', nowMs() - recorded.arrivedAtMs, {service, class: priority});
		}
	}

	function addRequest(requestId: string, service: string, priority: PriorityClass, line: string): void {
		requests.set(requestId, {
			// Callers choose the name of the service, and every distinct name would create another metric.
			service: cluster().configuration.services.has(service) ? service : 'unknown', priority, arrivedAtMs: nowMs(), isEnded: false, lines: [line],
		});
		if (requests.size > capacity) {
			requests.delete(requests.keys().next().value!);
		}
	}

	function recordAnswer({requestId, outcome, status, error}: RequestAnswer & Readonly<{requestId: string}>): void {
		addLine(requestId, `the entry answered ${status} ${outcome} (${error.kind}): ${error.message}.`);
		recordTimelineEvent(requestId, `request-${outcome}`, {detail: error.kind});
		recordOutcome(requestId, outcome);
	}

	const eventRecorders: {readonly [Kind in RequestEvent['kind']]: (event: Extract<RequestEvent, {kind: Kind}>) => void} = {
		'request-arrived'({requestId, service, idempotency, priority, firstAttempt}) {
			const declared = firstAttempt ? ', declared as the first attempt' : '';
			addRequest(requestId, service, priority, `Request ${requestId} for service ${service} (${priority}, ${idempotency}${declared}) arrived.`);
		},
		'cluster-advanced': ignoreEvent,
		'tail-confirmed': ignoreEvent,
		'tail-unavailable': ignoreEvent,
		'agent-load-reported': ignoreEvent,
		tick: ignoreEvent,
		'forward-finished'({requestId, attempt, backendServerId, result}) {
			addLine(requestId, `forward ${attempt} to backend server ${backendServerId} ended: ${describeResult(result)}.`);
			if (result.kind === 'answered') {
				recordOutcome(requestId, 'done');
				return;
			}

			if (result.kind === 'broken-in-answer') {
				recordOutcome(requestId, 'failed');
			}

			recordTimelineEvent(requestId, 'request-not-answered', {detail: `forward ${attempt} to ${backendServerId}: ${result.kind}`});
		},
		'request-abandoned'({requestId}) {
			// The response also closes after a complete answer.
			if (requests.get(requestId)?.isEnded === false) {
				addLine(requestId, 'the caller closed its connection before the answer.');
				recordOutcome(requestId, 'abandoned');
			}
		},
	};
	const effectRecorders: {readonly [Kind in SingleRequestEffect['kind']]: (effect: Extract<SingleRequestEffect, {kind: Kind}>) => void} = {
		'forward-request'({requestId, attempt, backendServerId, vmId, claimOffset, service}) {
			const claim = claimOffset === undefined ? '' : ` under the claim at offset ${claimOffset}`;
			addLine(requestId, `forward ${attempt} went to backend server ${backendServerId} on VM ${vmId}${claim}.`);
			if (attempt > 1) {
				metrics.increment('requests.retries', 1, {service});
				recordTimelineEvent(requestId, 'request-retried', {vmId, detail: `forward ${attempt} to ${backendServerId}`});
			}
		},
		'answer-request': recordAnswer,
		'cancel-forward'({requestId, reason}) {
			addLine(requestId, `the forward was cancelled: ${reason === 'deadline' ? 'the deadline passed' : 'the caller is gone'}.`);
		},
	};

	return {
		recordEvent<Kind extends RequestEvent['kind']>(event: Extract<RequestEvent, {kind: Kind}>) {
			eventRecorders[event.kind](event);
		},
		recordEffect<Kind extends SingleRequestEffect['kind']>(effect: Extract<SingleRequestEffect, {kind: Kind}>) {
			effectRecorders[effect.kind](effect);
		},
		recordRefusal(requestId, answer) {
			addRequest(requestId, '', 'normal', `Request ${requestId} arrived.`);
			recordAnswer({requestId, ...answer});
		},
		explain: requestId => requests.get(requestId)?.lines,
		timeline: () => timeline.read(),
	};
}

function ignoreEvent(): void {
	// The event concerns no single request.
}

function describeResult(result: ForwardResult): string {
	if (result.kind === 'answered') {
		return 'the whole answer reached the caller';
	}

	return result.kind === 'refused-not-run' ? `refused as not run (${result.errorKind})` : `${result.kind} (${result.message})`;
}
