import {type ClusterState} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {type RequestAnswer, type RequestEffect} from '../requests/request-effect.js';
import {type ForwardResult, type RequestEvent} from '../requests/request-event.js';
import {type Metrics} from '../telemetry/metrics.js';
import {type Timeline, type TimelineEvent} from '../telemetry/timeline-event.js';

/**
Remembers what was decided about the newest requests, for `explain`, for the timeline and for metrics.
It holds neither bodies nor keys.
*/
export type RequestHistory = Readonly<{
	/** Takes every event of the request reducer before it is reduced. */
	noteEvent: (event: RequestEvent) => void;
	/** Takes every effect of the request reducer that concerns one request. */
	noteEffect: (effect: NotedEffect) => void;
	/** Takes a request that was refused before the request reducer saw it. */
	noteRefusal: (requestId: string, answer: RequestAnswer) => void;
	/** The decisions in words; undefined for a request that is unknown or forgotten. */
	explain: (requestId: string) => readonly string[] | undefined;
	/** Refusals, retries and failures; plain answers would fill the ring without telling an operator anything. */
	timeline: () => readonly TimelineEvent[];
}>;

type NotedEffect = Extract<RequestEffect, {requestId: string}>;

type Known = {
	readonly service: string;
	readonly priority: PriorityClass;
	readonly arrivedAtMs: number;
	readonly lines: string[];
	isEnded: boolean;
};

/** Lines kept for one request, which bounds the memory that a request with many retries takes. */
const linesPerRequest = 16;

/**
Creates the history. `timeline` should be a ring of its own, so that a flood of refusals drives out no other events.

@example
const history = createRequestHistory({metrics, timeline, nowMs: () => performance.now(), cluster: () => state().cluster});
history.explain('7e0c…'); // => ['Request 7e0c… for service loaf-ordering (normal, keyed) arrived.', …]
*/
export function createRequestHistory({metrics, timeline, nowMs, cluster, capacity = 8192}: Readonly<{
	metrics: Metrics;
	timeline: Timeline;
	nowMs: () => number;
	cluster: () => ClusterState;
	/** Requests that are remembered. */
	capacity?: number;
}>): RequestHistory {
	/** Oldest first. */
	const requests = new Map<string, Known>();
	const offset = (): number => cluster().offset;

	function note(requestId: string, text: string): void {
		const known = requests.get(requestId);
		if (known && known.lines.length < linesPerRequest) {
			known.lines.push(`After ${Math.round(nowMs() - known.arrivedAtMs)} ms, on the state at offset ${offset()}: ${text}`);
		}
	}

	function record(requestId: string, event: string, facts: Readonly<{vmId?: string; detail?: string}>): void {
		timeline.record({
			event, offset: offset(), requestId, ...facts,
		});
	}

	function end(requestId: string, outcome: string): void {
		const known = requests.get(requestId);
		if (known && !known.isEnded) {
			known.isEnded = true;
			const {service, priority} = known;
			metrics.increment('requests', 1, {service, class: priority, outcome});
			metrics.timingMs('requests.latency', nowMs() - known.arrivedAtMs, {service, class: priority});
		}
	}

	function begin(requestId: string, service: string, priority: PriorityClass, line: string): void {
		requests.set(requestId, {
			// A caller chooses the name, and each name that is not admitted would make another metric.
			service: cluster().configuration.services.has(service) ? service : 'unknown', priority, arrivedAtMs: nowMs(), isEnded: false, lines: [line],
		});
		if (requests.size > capacity) {
			requests.delete(requests.keys().next().value!);
		}
	}

	function noteAnswer({requestId, outcome, status, error}: RequestAnswer & Readonly<{requestId: string}>): void {
		note(requestId, `the entry answered ${status} ${outcome} (${error.kind}): ${error.message}.`);
		record(requestId, `request-${outcome}`, {detail: error.kind});
		end(requestId, outcome);
	}

	const eventNotes: {readonly [Kind in RequestEvent['kind']]: (event: Extract<RequestEvent, {kind: Kind}>) => void} = {
		'request-arrived'({requestId, service, idempotency, priority, firstAttempt}) {
			const declared = firstAttempt ? ', declared as the first attempt' : '';
			begin(requestId, service, priority, `Request ${requestId} for service ${service} (${priority}, ${idempotency}${declared}) arrived.`);
		},
		'cluster-advanced': passOver,
		'tail-confirmed': passOver,
		'tail-unavailable': passOver,
		'agent-load-reported': passOver,
		tick: passOver,
		'forward-finished'({requestId, attempt, backendServerId, result}) {
			note(requestId, `forward ${attempt} to backend server ${backendServerId} ended: ${describeResult(result)}.`);
			if (result.kind === 'answered') {
				end(requestId, 'done');
				return;
			}

			if (result.kind === 'broken-in-answer') {
				end(requestId, 'failed');
			}

			record(requestId, 'request-not-answered', {detail: `forward ${attempt} to ${backendServerId}: ${result.kind}`});
		},
		'request-abandoned'({requestId}) {
			// The caller's connection also closes after a whole answer.
			if (requests.get(requestId)?.isEnded === false) {
				note(requestId, 'the caller closed its connection before the answer.');
				end(requestId, 'abandoned');
			}
		},
	};
	const effectNotes: {readonly [Kind in NotedEffect['kind']]: (effect: Extract<NotedEffect, {kind: Kind}>) => void} = {
		'forward-request'({requestId, attempt, backendServerId, vmId, claimOffset, service}) {
			const claim = claimOffset === undefined ? '' : ` under the claim at offset ${claimOffset}`;
			note(requestId, `forward ${attempt} went to backend server ${backendServerId} on VM ${vmId}${claim}.`);
			if (attempt > 1) {
				metrics.increment('requests.retries', 1, {service});
				record(requestId, 'request-retried', {vmId, detail: `forward ${attempt} to ${backendServerId}`});
			}
		},
		'answer-request': noteAnswer,
		'cancel-forward'({requestId, reason}) {
			note(requestId, `the forward was cancelled: ${reason === 'deadline' ? 'the deadline passed' : 'the caller is gone'}.`);
		},
	};

	return {
		noteEvent<Kind extends RequestEvent['kind']>(event: Extract<RequestEvent, {kind: Kind}>) {
			eventNotes[event.kind](event);
		},
		noteEffect<Kind extends NotedEffect['kind']>(effect: Extract<NotedEffect, {kind: Kind}>) {
			effectNotes[effect.kind](effect);
		},
		noteRefusal(requestId, answer) {
			begin(requestId, '', 'normal', `Request ${requestId} arrived.`);
			noteAnswer({requestId, ...answer});
		},
		explain: requestId => requests.get(requestId)?.lines,
		timeline: () => timeline.read(),
	};
}

function passOver(): void {
	// The event concerns no single request.
}

function describeResult(result: ForwardResult): string {
	if (result.kind === 'answered') {
		return 'the whole answer reached the caller';
	}

	return result.kind === 'refused-not-run' ? `refused as not run (${result.errorKind})` : `${result.kind} (${result.message})`;
}
