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

/** One reduction in progress: the state so far, the effects so far and the services that may have a place to fill. */
export type RequestReduction = {
	state: RequestState;
	readonly context: RequestContext;
	readonly effects: RequestEffect[];
	readonly touchedServices: Set<string>;
};

/** Weight of a new measurement in the moving mean of the service time. */
const serviceTimeWeight = 0.1;

/**
Gives what is kept for a service.

@example
serviceOf(step.state, 'loaf-ordering').queue.size; // => 0
*/
export function serviceOf(state: RequestState, service: string): ServiceRequests {
	return state.services.get(service) ?? emptyServiceRequests;
}

/**
Changes what is kept for a service.

@example
updateService(step, 'loaf-ordering', service => ({...service, retryBudget: emptyRetryBudget}));
*/
export function updateService(step: RequestReduction, service: string, change: (service: ServiceRequests) => ServiceRequests): void {
	step.state = {...step.state, services: step.state.services.set(service, change(serviceOf(step.state, service)))};
}

/**
Changes what is known of a backend server's load.

@example
updateUse(step, 'b3', use => ({...use, brokenInRow: 0}));
*/
export function updateUse(step: RequestReduction, backendServerId: string, change: (use: BackendServerUse) => BackendServerUse): void {
	const known = step.state.backendServers.get(backendServerId);
	const backendServer = step.context.cluster.backendServers.get(backendServerId);
	if (known === undefined && backendServer === undefined) {
		return;
	}

	const use = change(known ?? {
		concurrency: initialConcurrencyLimit(backendServer!.slots), inFlight: 0, othersInFlight: 0, avoidUntilMs: 0, brokenInRow: 0,
	});
	const isForgotten = backendServer === undefined && use.inFlight === 0;
	const {backendServers} = step.state;
	step.state = {...step.state, backendServers: isForgotten ? backendServers.delete(backendServerId) : backendServers.set(backendServerId, use)};
}

function leavePhase(step: RequestReduction, request: PendingRequest): void {
	const {requestId, service} = request.description;
	const {phase} = request;
	if (phase.kind === 'queued') {
		updateService(step, service, own => ({...own, queue: removeRequest(own.queue, phase.ticket)}));
	}

	step.state = {
		...step.state,
		claiming: step.state.claiming.delete(requestId),
		releasing: step.state.releasing.delete(requestId),
		confirming: step.state.confirming.delete(requestId),
		expiries: removeExpiry(step.state.expiries, requestId, request.expiry),
	};
}

/**
Puts a request into a phase that ends at `expiresAtMs` at the latest, and returns it as it is then.

@example
enterPhase(step, request, {kind: 'claiming'}, request.description.deadlineAtMs).phase.kind; // => 'claiming'
*/
export function enterPhase(step: RequestReduction, request: PendingRequest, phase: RequestPhase, expiresAtMs: number): PendingRequest {
	const {requestId} = request.description;
	leavePhase(step, request);
	const {index, ticket} = addExpiry(step.state.expiries, requestId, expiresAtMs);
	const changed: PendingRequest = {...request, phase, expiry: ticket};
	step.state = {
		...step.state,
		expiries: index,
		pending: step.state.pending.set(requestId, changed),
		claiming: phase.kind === 'claiming' ? step.state.claiming.add(requestId) : step.state.claiming,
		releasing: phase.kind === 'releasing' ? step.state.releasing.add(requestId) : step.state.releasing,
		confirming: phase.kind === 'confirming' ? step.state.confirming.add(requestId) : step.state.confirming,
	};
	return changed;
}

/**
Makes a pending request that is in no queue yet.

@example
newRequest(description).attempt; // => 0
*/
export function newRequest(description: RequestDescription): PendingRequest {
	return {
		description, phase: {kind: 'claiming'}, placeAt: undefined, placeSinceMs: 0, attempt: 0, mayHaveRun: false, failedAt: [], expiry: -1,
	};
}

/**
Takes a place at a backend server for a request.

@example
takePlace(step, request, 'b3').placeAt; // => 'b3'
*/
export function takePlace(step: RequestReduction, request: PendingRequest, backendServerId: string): PendingRequest {
	const {service, priority} = request.description;
	updateUse(step, backendServerId, use => ({...use, inFlight: use.inFlight + 1}));
	updateService(step, service, own => ({
		...own, inFlightByClass: {...own.inFlightByClass, [priority]: own.inFlightByClass[priority] + 1},
	}));
	return {...request, placeAt: backendServerId, placeSinceMs: step.context.nowMs};
}

/**
Frees the place that a request holds, if any.

@example
releasePlace(step, request).placeAt; // => undefined
*/
export function releasePlace(step: RequestReduction, request: PendingRequest): PendingRequest {
	if (request.placeAt === undefined) {
		return request;
	}

	const {service, priority} = request.description;
	const heldMs = Math.max(0, step.context.nowMs - request.placeSinceMs);
	updateUse(step, request.placeAt, use => ({...use, inFlight: use.inFlight - 1}));
	updateService(step, service, own => ({
		...own,
		inFlightByClass: {...own.inFlightByClass, [priority]: own.inFlightByClass[priority] - 1},
		meanServiceMs: own.meanServiceMs === undefined ? heldMs : own.meanServiceMs + (serviceTimeWeight * (heldMs - own.meanServiceMs)),
	}));
	step.touchedServices.add(service);
	return {...request, placeAt: undefined};
}

/**
Removes every trace of a request from the state.

@example
dropRequest(step, request);
*/
export function dropRequest(step: RequestReduction, request: PendingRequest): void {
	leavePhase(step, request);
	releasePlace(step, request);
	step.state = {...step.state, pending: step.state.pending.delete(request.description.requestId)};
}

/**
Answers a request and forgets it.

@example
answerRequest(step, request, incarnationGoneAnswer);
*/
export function answerRequest(step: RequestReduction, request: PendingRequest, answer: RequestAnswer): void {
	dropRequest(step, request);
	step.effects.push({kind: 'answer-request', requestId: request.description.requestId, ...answer});
}
