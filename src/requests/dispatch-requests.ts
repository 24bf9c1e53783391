import {Map as immutableMap, type Map} from 'immutable';
import {type ClusterState} from '../cluster/cluster-state.js';
import {handleClaimedKey, forwardRequest} from './forward-request.js';
import {refusalAnswer} from './refusals.js';
import {refuseRequest} from './refuse-request.js';
import {type PendingRequest} from './request-state.js';
import {
	enterPhase, serviceOf, takePlace, updateService, type RequestReduction,
} from './request-reduction.js';
import {
	eligibleTarget, placesOf, selectBackendServer, type FailedTarget, type RequestTarget,
} from './select-backend-server.js';
import {chooseClass, dequeueRequest, enqueueRequest} from './weighted-fair-queue.js';

function groupByService(cluster: ClusterState): Map<string, readonly string[]> {
	const byService = new globalThis.Map<string, string[]>();
	for (const {service, backendServerId, phase} of cluster.backendServers.values()) {
		if (phase !== 'gone') {
			const serviceIds = byService.get(service);
			if (serviceIds === undefined) {
				byService.set(service, [backendServerId]);
			} else {
				serviceIds.push(backendServerId);
			}
		}
	}

	return immutableMap([...byService].map(([service, ids]) => [service, ids.toSorted()]));
}

/**
Returns the sorted IDs of a service's backend servers. When the cluster state's backend servers changed, rebuilds the index and
removes the load state of backend servers that are no longer in the cluster state and have no request of this entry in flight.

@example
candidatesOf(reduction, 'loaf-ordering'); // => ['b1', 'b2']
*/
export function candidatesOf(reduction: RequestReduction, service: string): readonly string[] {
	const {cluster} = reduction.context;
	if (reduction.state.routes.source !== cluster.backendServers) {
		reduction.state = {
			...reduction.state,
			routes: {source: cluster.backendServers, byService: groupByService(cluster)},
			backendServers: reduction.state.backendServers.filter((use, id) => use.inFlight > 0 || cluster.backendServers.has(id)),
		};
	}

	return reduction.state.routes.byService.get(service) ?? [];
}

/**
Returns how many places this entry may use at all eligible backend servers of a service; see {@link placesOf}.

@example
countPlaces(reduction, 'loaf-ordering'); // => 88
*/
export function countPlaces(reduction: RequestReduction, service: string): number {
	let places = 0;
	for (const backendServerId of candidatesOf(reduction, service)) {
		const target = eligibleTarget(reduction.context.cluster, backendServerId);
		if (target !== undefined) {
			places += placesOf(reduction.state.backendServers.get(backendServerId), target.backendServer);
		}
	}

	return places;
}

/**
Queues a request until a place is free, at most until its deadline or the queue's time limit.

@example
queueRequest(reduction, request);
*/
export function queueRequest(reduction: RequestReduction, request: PendingRequest): void {
	const {service, deadlineAtMs} = request.description;
	const {queueTimeoutMs} = reduction.context.cluster.configuration.requestLimits;
	const {queue, ticket} = enqueueRequest(serviceOf(reduction.state, service).queue, request.description);
	updateService(reduction, service, current => ({...current, queue}));
	enterPhase(reduction, request, {kind: 'queued', ticket}, Math.min(deadlineAtMs, reduction.context.nowMs + queueTimeoutMs));
	reduction.servicesToDispatch.add(service);
}

function selectTarget(reduction: RequestReduction, service: string, failedTargets: readonly FailedTarget[]): RequestTarget | undefined {
	const candidates = candidatesOf(reduction, service);
	const {choiceCount, backendServers} = reduction.state;
	const {cluster, nowMs, seed} = reduction.context;
	reduction.state = {...reduction.state, choiceCount: choiceCount + 1};
	return selectBackendServer({
		cluster, candidates, uses: backendServers, failedTargets, seed: seed + choiceCount, nowMs,
	});
}

function forwardOrClaim(reduction: RequestReduction, request: PendingRequest, {backendServer, vm}: RequestTarget): void {
	const {description} = request;
	if (reduction.context.nowMs >= description.deadlineAtMs) {
		refuseRequest(reduction, request, refusalAnswer('waited-too-long'));
		return;
	}

	const {backendServerId, vmId, agentIncarnation} = backendServer;
	if (description.idempotency !== 'keyed') {
		forwardRequest(reduction, takePlace(reduction, request, backendServerId), {
			backendServerId, vmId, requestAddress: vm.requestAddress, agentIncarnation, failureDomain: vm.failureDomain,
		});
		return;
	}

	if (handleClaimedKey(reduction, request)) {
		return;
	}

	if (!reduction.context.logReachable) {
		refuseRequest(reduction, request, refusalAnswer('log-unavailable'));
		return;
	}

	enterPhase(reduction, takePlace(reduction, request, backendServerId), {kind: 'claiming'}, description.deadlineAtMs);
	reduction.effects.push({
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
Assigns the free places of a service to its queued requests, in weighted fair order.

@example
dispatchService(reduction, 'loaf-ordering');
*/
export function dispatchService(reduction: RequestReduction, service: string): void {
	const {requestLimits: limits} = reduction.context.cluster.configuration;
	let places: number | undefined;
	while (serviceOf(reduction.state, service).queue.size > 0) {
		const target = selectTarget(reduction, service, []);
		if (target === undefined) {
			return;
		}

		places ??= countPlaces(reduction, service);
		const {queue, inFlightByClass} = serviceOf(reduction.state, service);
		const next = dequeueRequest(queue, chooseClass(queue, {limits, inFlightByClass, places})!, limits)!;
		updateService(reduction, service, current => ({...current, queue: next.queue}));
		const request = reduction.state.pending.get(next.requestId)!;
		const retryTarget = request.failedTargets.length === 0 ? undefined : selectTarget(reduction, service, request.failedTargets);
		forwardOrClaim(reduction, request, retryTarget ?? target);
	}
}
