import {type RequestContext} from './request-context.js';
import {type RequestAnswer, type RequestEffect} from './request-effect.js';
import {type RequestDescription} from './request-event.js';
import {addExpiry, removeExpiry} from './expiry-index.js';
import {
	emptyServiceRequests, type PendingRequest, type RequestPhase, type RequestState, type ServiceRequests,
} from './request-state.js';
import {initialConcurrencyLimit} from './concurrency-limit.js';
import {type BackendServerUse} from './select-backend-server.js';
import {removeRequest} from './weighted-fair-queue.js';

/** A reduction in progress: the state and the effects so far, and the services whose queues are dispatched at its end. */
export type RequestReduction = {
	state: RequestState;
	readonly context: RequestContext;
	readonly effects: RequestEffect[];
	readonly servicesToDispatch: Set<string>;
};

/** Weight of a new measurement in the moving mean of the service time. */
const serviceTimeWeight = 0.1;

/**
Returns the request state of a service; an empty one when none is recorded.

@example
serviceOf(reduction.state, 'loaf-ordering').queue.size; // => 0
*/
export function serviceOf(state: RequestState, service: string): ServiceRequests {
	return state.services.get(service) ?? emptyServiceRequests;
}

/**
Replaces the request state of a service with the result of `change`.

@example
updateService(reduction, 'loaf-ordering', service => ({...service, retryBudget: emptyRetryBudget}));
*/
export function updateService(reduction: RequestReduction, service: string, change: (service: ServiceRequests) => ServiceRequests): void {
	reduction.state = {...reduction.state, services: reduction.state.services.set(service, change(serviceOf(reduction.state, service)))};
}

/**
Replaces the load state of a backend server with the result of `change`. Removes it once the backend server is no longer in the
cluster state and holds no place.

@example
updateUse(reduction, 'b3', use => ({...use, consecutiveBreaks: 0}));
*/
export function updateUse(reduction: RequestReduction, backendServerId: string, change: (use: BackendServerUse) => BackendServerUse): void {
	const recorded = reduction.state.backendServers.get(backendServerId);
	const backendServer = reduction.context.cluster.backendServers.get(backendServerId);
	if (recorded === undefined && backendServer === undefined) {
		return;
	}

	const use = change(recorded ?? {
		concurrency: initialConcurrencyLimit(backendServer!.slots), inFlight: 0, othersInFlight: 0, avoidUntilMs: 0, consecutiveBreaks: 0,
	});
	const isUnused = backendServer === undefined && use.inFlight === 0;
	const {backendServers} = reduction.state;
	reduction.state = {...reduction.state, backendServers: isUnused ? backendServers.delete(backendServerId) : backendServers.set(backendServerId, use)};
}

function leavePhase(reduction: RequestReduction, request: PendingRequest): void {
	const {requestId, service} = request.description;
	const {phase} = request;
	if (phase.kind === 'queued') {
		updateService(reduction, service, current => ({...current, queue: removeRequest(current.queue, phase.ticket)}));
	}

	reduction.state = {
		...reduction.state,
		claiming: reduction.state.claiming.delete(requestId),
		releasing: reduction.state.releasing.delete(requestId),
		confirming: reduction.state.confirming.delete(requestId),
		expiries: removeExpiry(reduction.state.expiries, requestId, request.expiry),
	};
}

/**
Moves a request to a phase that expires at `expiresAtMs`, and returns the changed request.

@example
enterPhase(reduction, request, {kind: 'claiming'}, request.description.deadlineAtMs).phase.kind; // => 'claiming'
*/
export function enterPhase(reduction: RequestReduction, request: PendingRequest, phase: RequestPhase, expiresAtMs: number): PendingRequest {
	const {requestId} = request.description;
	leavePhase(reduction, request);
	const {index, ticket} = addExpiry(reduction.state.expiries, requestId, expiresAtMs);
	const changed: PendingRequest = {...request, phase, expiry: ticket};
	reduction.state = {
		...reduction.state,
		expiries: index,
		pending: reduction.state.pending.set(requestId, changed),
		claiming: phase.kind === 'claiming' ? reduction.state.claiming.add(requestId) : reduction.state.claiming,
		releasing: phase.kind === 'releasing' ? reduction.state.releasing.add(requestId) : reduction.state.releasing,
		confirming: phase.kind === 'confirming' ? reduction.state.confirming.add(requestId) : reduction.state.confirming,
	};
	return changed;
}

/**
Returns a pending request that is not in the state yet; {@link enterPhase} adds it.

@example
newRequest(description).attempt; // => 0
*/
export function newRequest(description: RequestDescription): PendingRequest {
	return {
		description, phase: {kind: 'claiming'}, placeAt: undefined, placeSinceMs: 0, attempt: 0, mayHaveRun: false, failedTargets: [], expiry: -1,
	};
}

/**
Takes a place at a backend server for a request, and returns the changed request.

@example
takePlace(reduction, request, 'b3').placeAt; // => 'b3'
*/
export function takePlace(reduction: RequestReduction, request: PendingRequest, backendServerId: string): PendingRequest {
	const {service, priority} = request.description;
	updateUse(reduction, backendServerId, use => ({...use, inFlight: use.inFlight + 1}));
	updateService(reduction, service, current => ({
		...current, inFlightByClass: {...current.inFlightByClass, [priority]: current.inFlightByClass[priority] + 1},
	}));
	return {...request, placeAt: backendServerId, placeSinceMs: reduction.context.nowMs};
}

/**
Releases the place that a request holds, if any, and updates the mean service time. Returns the changed request.

@example
releasePlace(reduction, request).placeAt; // => undefined
*/
export function releasePlace(reduction: RequestReduction, request: PendingRequest): PendingRequest {
	if (request.placeAt === undefined) {
		return request;
	}

	const {service, priority} = request.description;
	const heldMs = Math.max(0, reduction.context.nowMs - request.placeSinceMs);
	updateUse(reduction, request.placeAt, use => ({...use, inFlight: use.inFlight - 1}));
	updateService(reduction, service, current => ({
		...current,
		inFlightByClass: {...current.inFlightByClass, [priority]: current.inFlightByClass[priority] - 1},
		meanServiceMs: current.meanServiceMs === undefined ? heldMs : current.meanServiceMs + (serviceTimeWeight * (heldMs - current.meanServiceMs)),
	}));
	reduction.servicesToDispatch.add(service);
	return {...request, placeAt: undefined};
}

/**
Removes a request from the state, with its queue entry, its place and its expiry.

@example
dropRequest(reduction, request);
*/
export function dropRequest(reduction: RequestReduction, request: PendingRequest): void {
	leavePhase(reduction, request);
	releasePlace(reduction, request);
	reduction.state = {...reduction.state, pending: reduction.state.pending.delete(request.description.requestId)};
}

/**
Answers a request and removes it from the state.

@example
answerRequest(reduction, request, incarnationGoneAnswer);
*/
export function answerRequest(reduction: RequestReduction, request: PendingRequest, answer: RequestAnswer): void {
	dropRequest(reduction, request);
	reduction.effects.push({kind: 'answer-request', requestId: request.description.requestId, ...answer});
}
