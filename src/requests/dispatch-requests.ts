import {Map as immutableMap, type Map} from 'immutable';
import {type ClusterState} from '../cluster/cluster-state.js';
import {followClaim, forwardRequest} from './forward-request.js';
import {refusalAnswer} from './refusals.js';
import {refuseRequest} from './refuse-request.js';
import {type PendingRequest} from './request-state.js';
import {
	enterPhase, serviceOf, takePlace, updateService, type RequestReduction,
} from './request-reduction.js';
import {
	eligibleTarget, placesOf, selectBackendServer, type FailedPlace, type RequestTarget,
} from './select-backend-server.js';
import {chooseClass, dequeueRequest, enqueueRequest} from './weighted-fair-queue.js';

function routesFrom(cluster: ClusterState): Map<string, readonly string[]> {
	const byService = new globalThis.Map<string, string[]>();
	for (const {service, backendServerId, phase} of cluster.backendServers.values()) {
		if (phase !== 'gone') {
			const known = byService.get(service);
			if (known === undefined) {
				byService.set(service, [backendServerId]);
			} else {
				known.push(backendServerId);
			}
		}
	}

	return immutableMap([...byService].map(([service, ids]) => [service, ids.toSorted()]));
}

/**
Lists the backend servers of a service. The index is rebuilt when the cluster state's backend servers changed; then backend
servers that are gone and hold no place are forgotten too.

@example
candidatesOf(step, 'loaf-ordering'); // => ['b1', 'b2']
*/
export function candidatesOf(step: RequestReduction, service: string): readonly string[] {
	const {cluster} = step.context;
	if (step.state.routes.source !== cluster.backendServers) {
		step.state = {
			...step.state,
			routes: {source: cluster.backendServers, byService: routesFrom(cluster)},
			backendServers: step.state.backendServers.filter((use, id) => use.inFlight > 0 || cluster.backendServers.has(id)),
		};
	}

	return step.state.routes.byService.get(service) ?? [];
}

/**
Counts the places that this entry may use at the eligible backend servers of a service.

@example
countPlaces(step, 'loaf-ordering'); // => 88
*/
export function countPlaces(step: RequestReduction, service: string): number {
	let places = 0;
	for (const backendServerId of candidatesOf(step, service)) {
		const target = eligibleTarget(step.context.cluster, backendServerId);
		if (target !== undefined) {
			places += placesOf(step.state.backendServers.get(backendServerId), target.backendServer);
		}
	}

	return places;
}

/**
Lets a request wait for a place until its deadline or the queue's time limit.

@example
queueRequest(step, request);
*/
export function queueRequest(step: RequestReduction, request: PendingRequest): void {
	const {service, deadlineAtMs} = request.description;
	const {queueTimeoutMs} = step.context.cluster.configuration.requestLimits;
	const {queue, ticket} = enqueueRequest(serviceOf(step.state, service).queue, request.description);
	updateService(step, service, own => ({...own, queue}));
	enterPhase(step, request, {kind: 'queued', ticket}, Math.min(deadlineAtMs, step.context.nowMs + queueTimeoutMs));
	step.touchedServices.add(service);
}

function selectTarget(step: RequestReduction, service: string, failedAt: readonly FailedPlace[]): RequestTarget | undefined {
	const candidates = candidatesOf(step, service);
	const {choices, backendServers} = step.state;
	const {cluster, nowMs, seed} = step.context;
	step.state = {...step.state, choices: choices + 1};
	return selectBackendServer({
		cluster, candidates, uses: backendServers, failedAt, seed: seed + choices, nowMs,
	});
}

function startRequest(step: RequestReduction, request: PendingRequest, {backendServer, vm}: RequestTarget): void {
	const {description} = request;
	if (step.context.nowMs >= description.deadlineAtMs) {
		refuseRequest(step, request, refusalAnswer('waited-too-long'));
		return;
	}

	const {backendServerId, vmId, agentIncarnation} = backendServer;
	if (description.idempotency !== 'keyed') {
		forwardRequest(step, takePlace(step, request, backendServerId), {
			backendServerId, vmId, requestAddress: vm.requestAddress, agentIncarnation, failureDomain: vm.failureDomain,
		});
		return;
	}

	if (followClaim(step, request)) {
		return;
	}

	if (!step.context.logReachable) {
		refuseRequest(step, request, refusalAnswer('log-unavailable'));
		return;
	}

	enterPhase(step, takePlace(step, request, backendServerId), {kind: 'claiming'}, description.deadlineAtMs);
	step.effects.push({
		kind: 'append-record',
		record: {
			kind: 'key-claimed',
			keyHash: description.keyHash!,
			bodyHash: description.bodyHash!,
			service: description.service,
			vmId,
			agentIncarnation,
			backendServerId,
		},
	});
}

/**
Gives the free places of a service to the requests that wait, in weighted fair order.

@example
dispatchService(step, 'loaf-ordering');
*/
export function dispatchService(step: RequestReduction, service: string): void {
	const {requestLimits: limits} = step.context.cluster.configuration;
	let places: number | undefined;
	while (serviceOf(step.state, service).queue.size > 0) {
		const target = selectTarget(step, service, []);
		if (target === undefined) {
			return;
		}

		places ??= countPlaces(step, service);
		const {queue, inFlightByClass} = serviceOf(step.state, service);
		const next = dequeueRequest(queue, chooseClass(queue, {limits, inFlightByClass, places})!, limits)!;
		updateService(step, service, own => ({...own, queue: next.queue}));
		const request = step.state.pending.get(next.requestId)!;
		const elsewhere = request.failedAt.length === 0 ? undefined : selectTarget(step, service, request.failedAt);
		startRequest(step, request, elsewhere ?? target);
	}
}
