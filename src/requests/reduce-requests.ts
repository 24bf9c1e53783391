import {admitRequest} from './admission.js';
import {
	countPlaces, dispatchService, queueRequest,
} from './dispatch-requests.js';
import {takeExpired} from './expiry-index.js';
import {finishForward} from './finish-forward.js';
import {followClaim} from './forward-request.js';
import {unknownAnswer} from './key-claims.js';
import {refusalAnswer} from './refusals.js';
import {refuseRequest, requestTailRead, uncertainAnswer} from './refuse-request.js';
import {type RequestContext} from './request-context.js';
import {type RequestEffect} from './request-effect.js';
import {type RequestEvent, type RequestEventOf} from './request-event.js';
import {type PendingRequest, type RequestPhase, type RequestState} from './request-state.js';
import {
	answerRequest, dropRequest, newRequest, serviceOf, updateUse, type RequestReduction,
} from './request-reduction.js';

/** How long a backend server that its agent reported as leaving gets nothing, unless it is reported again. */
const leavingReportMs = 3000;

function placeRequest(step: RequestReduction, request: PendingRequest): void {
	const {description} = request;
	const {cluster, nowMs, logReachable} = step.context;
	if (!cluster.configuration.services.has(description.service)) {
		refuseRequest(step, request, refusalAnswer('service-unknown'));
		return;
	}

	if (followClaim(step, request)) {
		return;
	}

	if (description.idempotency === 'keyed' && !logReachable) {
		refuseRequest(step, request, refusalAnswer('log-unavailable'));
		return;
	}

	const places = countPlaces(step, description.service);
	if (places === 0) {
		refuseRequest(step, request, refusalAnswer('no-backend-server'));
		return;
	}

	const {requestLimits: limits} = cluster.configuration;
	const {queue, meanServiceMs} = serviceOf(step.state, description.service);
	const longestWaitMs = Math.min(limits.queueTimeoutMs, description.deadlineAtMs - nowMs);
	const admission = admitRequest({
		queue, priority: description.priority, limits, places, meanServiceMs, longestWaitMs,
	});
	if (admission.kind === 'shed') {
		refuseRequest(step, request, refusalAnswer(admission.reason, admission.retryAfterMs));
		return;
	}

	queueRequest(step, request);
}

type ExpirySteps = Record<RequestPhase['kind'], (step: RequestReduction, request: PendingRequest) => void>;

function refuseExpired(step: RequestReduction, request: PendingRequest): void {
	refuseRequest(step, request, refusalAnswer('waited-too-long'));
}

const expirySteps: ExpirySteps = {
	queued: refuseExpired,
	claiming: refuseExpired,
	releasing(step, request) {
		answerRequest(step, request, unknownAnswer('the deadline passed before the key could be claimed for another backend server'));
	},
	confirming(step, request) {
		// A read that takes this long may never end; the next refusal asks for a new one.
		step.state = {...step.state, isTailReadPending: false};
		answerRequest(step, request, unknownAnswer('the read of the log took too long, so an earlier attempt with this key may have run'));
	},
	sent(step, request) {
		step.effects.push({kind: 'cancel-forward', requestId: request.description.requestId, reason: 'deadline'});
		answerRequest(step, request, uncertainAnswer(request, 'the deadline passed after the request was sent'));
	},
};

function expireRequests(step: RequestReduction): void {
	const {index, requestIds} = takeExpired(step.state.expiries, step.context.nowMs);
	step.state = {...step.state, expiries: index};
	for (const requestId of requestIds) {
		const request = step.state.pending.get(requestId)!;
		expirySteps[request.phase.kind](step, request);
	}
}

function touchWaitingServices(step: RequestReduction): void {
	for (const [service, {queue}] of step.state.services) {
		if (queue.size > 0) {
			step.touchedServices.add(service);
		}
	}
}

function forgetIdleServices(step: RequestReduction): void {
	const {services: admitted} = step.context.cluster.configuration;
	const services = step.state.services.filter(({queue, inFlightByClass}, service) => admitted.has(service)
		|| queue.size + inFlightByClass.urgent + inFlightByClass.normal + inFlightByClass.background > 0);
	step.state = {...step.state, services};
}

function settleConfirming(step: RequestReduction, hasFailed: boolean): void {
	step.state = {...step.state, isTailReadPending: false};
	for (const requestId of step.state.confirming) {
		const request = step.state.pending.get(requestId)!;
		if (hasFailed) {
			answerRequest(step, request, unknownAnswer('the log cannot be read, so an earlier attempt with this key may have run'));
		} else if (request.phase.kind === 'confirming') {
			refuseRequest(step, request, request.phase.refusal);
		}
	}

	if (step.state.confirming.size > 0) {
		requestTailRead(step);
	}
}

/** Places the requests anew whose released claim is no longer in the state. */
function continueReleased(step: RequestReduction): void {
	for (const requestId of step.state.releasing) {
		const request = step.state.pending.get(requestId)!;
		const claim = step.context.cluster.keys.get(request.description.keyHash!);
		if (request.phase.kind === 'releasing' && claim?.claimOffset !== request.phase.claimOffset) {
			placeRequest(step, request);
		}
	}
}

const eventSteps: {[Kind in RequestEvent['kind']]: (step: RequestReduction, event: RequestEventOf<Kind>) => void} = {
	'request-arrived'(step, {kind: _, ...description}) {
		if (!step.state.pending.has(description.requestId)) {
			placeRequest(step, newRequest(description));
		}
	},
	'cluster-advanced'(step, {readBackKeyHashes}) {
		const readBack = new Set(readBackKeyHashes);
		for (const requestId of step.state.claiming) {
			const request = step.state.pending.get(requestId)!;
			// A claim that was read back and is not in the state was rejected: its agent was replaced meanwhile. It may be the claim
			// of an earlier request with this key, appended before this one arrived, so it proves nothing: the tail is read.
			if (!followClaim(step, request) && readBack.has(request.description.keyHash!)) {
				refuseRequest(step, request, refusalAnswer('no-backend-server'));
			}
		}

		continueReleased(step);
		touchWaitingServices(step);
	},
	'tail-confirmed'(step) {
		settleConfirming(step, false);
	},
	'tail-unavailable'(step) {
		settleConfirming(step, true);
	},
	'agent-load-reported'(step, {backendServers}) {
		for (const {backendServerId, activeRequests, queuedRequests, leaving} of backendServers) {
			updateUse(step, backendServerId, use => ({
				...use,
				othersInFlight: Math.max(0, activeRequests + queuedRequests - use.inFlight),
				avoidUntilMs: leaving ? step.context.nowMs + leavingReportMs : use.avoidUntilMs,
			}));
		}
	},
	'forward-finished'(step, {requestId, attempt, backendServerId, result}) {
		const request = step.state.pending.get(requestId);
		if (request?.phase.kind === 'sent' && request.attempt === attempt) {
			finishForward(step, request, backendServerId, result);
		}
	},
	'request-abandoned'(step, {requestId}) {
		const request = step.state.pending.get(requestId);
		if (request === undefined) {
			return;
		}

		if (request.phase.kind === 'sent') {
			step.effects.push({kind: 'cancel-forward', requestId, reason: 'abandoned'});
		}

		dropRequest(step, request);
	},
	tick(step) {
		expireRequests(step);
		forgetIdleServices(step);
		touchWaitingServices(step);
	},
};

/**
Takes one event that concerns callers' requests and returns the next state with the effects to execute. It is pure: time,
random seed and the cluster state come in `context`.

@example
reduceRequests(initialRequestState, {kind: 'tick'}, context); // => {state, effects: []}
*/
export function reduceRequests<Kind extends RequestEvent['kind']>(
	state: RequestState,
	event: RequestEventOf<Kind>,
	context: RequestContext,
): Readonly<{state: RequestState; effects: readonly RequestEffect[]}> {
	const step: RequestReduction = {
		state, context, effects: [], touchedServices: new Set(),
	};
	eventSteps[event.kind](step, event);
	for (const service of step.touchedServices) {
		dispatchService(step, service);
	}

	return {state: step.state, effects: step.effects};
}
