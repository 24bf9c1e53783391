import {admitRequest} from './admission.js';
import {
	countPlaces, dispatchService, queueRequest,
} from './dispatch-requests.js';
import {takeExpired} from './expiry-index.js';
import {finishForward} from './finish-forward.js';
import {handleClaimedKey} from './forward-request.js';
import {outcomeUnknownAnswer} from './key-claims.js';
import {refusalAnswer} from './refusals.js';
import {refuseRequest, requestTailReadOnce, uncertainAnswer} from './refuse-request.js';
import {type RequestContext} from './request-context.js';
import {type RequestEffect} from './request-effect.js';
import {type RequestEvent, type RequestEventOf} from './request-event.js';
import {type PendingRequest, type RequestPhase, type RequestState} from './request-state.js';
import {
	answerRequest, dropRequest, newRequest, serviceOf, updateUse, type RequestReduction,
} from './request-reduction.js';

/** Time for which a backend server gets no new requests after its agent reported it as leaving; each report extends it. */
const leavingReportValidMs = 3000;

function routeRequest(reduction: RequestReduction, request: PendingRequest): void {
	const {description} = request;
	const {cluster, nowMs, logReachable} = reduction.context;
	if (!cluster.configuration.services.has(description.service)) {
		refuseRequest(reduction, request, refusalAnswer('service-unknown'));
		return;
	}

	if (handleClaimedKey(reduction, request)) {
		return;
	}

	if (description.idempotency === 'keyed' && !logReachable) {
		refuseRequest(reduction, request, refusalAnswer('log-unavailable'));
		return;
	}

	const places = countPlaces(reduction, description.service);
	if (places === 0) {
		refuseRequest(reduction, request, refusalAnswer('no-backend-server'));
		return;
	}

	const {requestLimits: limits} = cluster.configuration;
	const {queue, meanServiceMs} = serviceOf(reduction.state, description.service);
	const longestWaitMs = Math.min(limits.queueTimeoutMs, description.deadlineAtMs - nowMs);
	const admission = admitRequest({
		queue, priority: description.priority, limits, places, meanServiceMs, longestWaitMs,
	});
	if (admission.kind === 'shed') {
		refuseRequest(reduction, request, refusalAnswer(admission.reason, admission.retryAfterMs));
		return;
	}

	queueRequest(reduction, request);
}

type ExpiryHandlers = Record<RequestPhase['kind'], (reduction: RequestReduction, request: PendingRequest) => void>;

function refuseExpired(reduction: RequestReduction, request: PendingRequest): void {
	refuseRequest(reduction, request, refusalAnswer('waited-too-long'));
}

const expiryHandlers: ExpiryHandlers = {
	queued: refuseExpired,
	claiming: refuseExpired,
	releasing(reduction, request) {
		answerRequest(reduction, request, outcomeUnknownAnswer('the deadline passed before the key could be claimed for another backend server'));
	},
	confirming(reduction, request) {
		// The pending read may never end; clearing the flag lets the next refusal request a new one.
		reduction.state = {...reduction.state, isTailReadPending: false};
		answerRequest(reduction, request, outcomeUnknownAnswer('the read of the log took too long, so an earlier attempt with this key may have run'));
	},
	sent(reduction, request) {
		reduction.effects.push({kind: 'cancel-forward', requestId: request.description.requestId, reason: 'deadline'});
		answerRequest(reduction, request, uncertainAnswer(request, 'the deadline passed after the request was sent'));
	},
};

function expireRequests(reduction: RequestReduction): void {
	const {index, requestIds} = takeExpired(reduction.state.expiries, reduction.context.nowMs);
	reduction.state = {...reduction.state, expiries: index};
	for (const requestId of requestIds) {
		const request = reduction.state.pending.get(requestId)!;
		expiryHandlers[request.phase.kind](reduction, request);
	}
}

function markServicesWithQueuedRequests(reduction: RequestReduction): void {
	for (const [service, {queue}] of reduction.state.services) {
		if (queue.size > 0) {
			reduction.servicesToDispatch.add(service);
		}
	}
}

function removeIdleServices(reduction: RequestReduction): void {
	const {services: configuredServices} = reduction.context.cluster.configuration;
	const services = reduction.state.services.filter(({queue, inFlightByClass}, service) => configuredServices.has(service)
		|| queue.size + inFlightByClass.urgent + inFlightByClass.normal + inFlightByClass.background > 0);
	reduction.state = {...reduction.state, services};
}

function answerConfirmingRequests(reduction: RequestReduction, hasFailed: boolean): void {
	reduction.state = {...reduction.state, isTailReadPending: false};
	for (const requestId of reduction.state.confirming) {
		const request = reduction.state.pending.get(requestId)!;
		if (hasFailed) {
			answerRequest(reduction, request, outcomeUnknownAnswer('the log cannot be read, so an earlier attempt with this key may have run'));
		} else if (request.phase.kind === 'confirming') {
			refuseRequest(reduction, request, request.phase.refusal);
		}
	}

	if (reduction.state.confirming.size > 0) {
		requestTailReadOnce(reduction);
	}
}

/** Routes the requests whose released claim is no longer in the cluster state. */
function routeReleasedRequests(reduction: RequestReduction): void {
	for (const requestId of reduction.state.releasing) {
		const request = reduction.state.pending.get(requestId)!;
		const claim = reduction.context.cluster.keys.get(request.description.keyHash!);
		if (request.phase.kind === 'releasing' && claim?.claimOffset !== request.phase.claimOffset) {
			routeRequest(reduction, request);
		}
	}
}

const eventHandlers: {[Kind in RequestEvent['kind']]: (reduction: RequestReduction, event: RequestEventOf<Kind>) => void} = {
	'request-arrived'(reduction, {kind: _, ...description}) {
		if (!reduction.state.pending.has(description.requestId)) {
			routeRequest(reduction, newRequest(description));
		}
	},
	'cluster-advanced'(reduction, {readBackKeyHashes}) {
		const readBack = new Set(readBackKeyHashes);
		for (const requestId of reduction.state.claiming) {
			const request = reduction.state.pending.get(requestId)!;
			// A claim that was read back but is not in the state was rejected, because its agent was replaced in the meantime. It may
			// belong to an earlier request with this key, appended before this one arrived. So it does not prove "not run", and
			// `refuseRequest` reads the tail first.
			if (!handleClaimedKey(reduction, request) && readBack.has(request.description.keyHash!)) {
				refuseRequest(reduction, request, refusalAnswer('no-backend-server'));
			}
		}

		routeReleasedRequests(reduction);
		markServicesWithQueuedRequests(reduction);
	},
	'tail-confirmed'(reduction) {
		answerConfirmingRequests(reduction, false);
	},
	'tail-unavailable'(reduction) {
		answerConfirmingRequests(reduction, true);
	},
	'agent-load-reported'(reduction, {backendServers}) {
		for (const {backendServerId, activeRequests, queuedRequests, leaving} of backendServers) {
			updateUse(reduction, backendServerId, use => ({
				...use,
				othersInFlight: Math.max(0, activeRequests + queuedRequests - use.inFlight),
				avoidUntilMs: leaving ? reduction.context.nowMs + leavingReportValidMs : use.avoidUntilMs,
			}));
		}
	},
	'forward-finished'(reduction, {requestId, attempt, backendServerId, result}) {
		const request = reduction.state.pending.get(requestId);
		if (request?.phase.kind === 'sent' && request.attempt === attempt) {
			finishForward(reduction, request, backendServerId, result);
		}
	},
	'request-abandoned'(reduction, {requestId}) {
		const request = reduction.state.pending.get(requestId);
		if (request === undefined) {
			return;
		}

		if (request.phase.kind === 'sent') {
			reduction.effects.push({kind: 'cancel-forward', requestId, reason: 'abandoned'});
		}

		dropRequest(reduction, request);
	},
	tick(reduction) {
		expireRequests(reduction);
		removeIdleServices(reduction);
		markServicesWithQueuedRequests(reduction);
	},
};

/**
Returns the next state and the effects to execute after one event about callers' requests. Pure: the time, the random seed and
the cluster state come from `context`.

@example
reduceRequests(initialRequestState, {kind: 'tick'}, context); // => {state, effects: []}
*/
export function reduceRequests<Kind extends RequestEvent['kind']>(
	state: RequestState,
	event: RequestEventOf<Kind>,
	context: RequestContext,
): Readonly<{state: RequestState; effects: readonly RequestEffect[]}> {
	const reduction: RequestReduction = {
		state, context, effects: [], servicesToDispatch: new Set(),
	};
	eventHandlers[event.kind](reduction, event);
	for (const service of reduction.servicesToDispatch) {
		dispatchService(reduction, service);
	}

	return {state: reduction.state, effects: reduction.effects};
}
