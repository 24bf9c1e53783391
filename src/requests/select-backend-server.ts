import {type Map} from 'immutable';
import {congruential32} from 'pure-rand/generator/congruential32';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {type BackendServer, type ClusterState, type Vm} from '../cluster/cluster-state.js';
import {type ConcurrencyLimit} from './concurrency-limit.js';

/** State of a backend server's load at this entry. */
export type BackendServerUse = Readonly<{
	concurrency: ConcurrencyLimit;
	/** Places in use by requests of this entry. */
	inFlight: number;
	/** Requests of other entries, according to the agent's newest report. */
	othersInFlight: number;
	/** It gets no requests before this time, since its agent refused one, reported it as leaving, or a connection broke. */
	avoidUntilMs: number;
	/** Consecutive broken connections. */
	consecutiveBreaks: number;
}>;

/** A backend server with the VM that it runs on. */
export type RequestTarget = Readonly<{backendServer: BackendServer; vm: Vm}>;

/** Where an earlier attempt of the same request failed. */
export type FailedTarget = Readonly<{backendServerId: string; failureDomain: string}>;

/**
Returns a backend server with its VM if it may get new requests: it serves, it is not draining, and its VM is live with the agent
incarnation that announced it.

@example
eligibleTarget(cluster, 'b3')?.vm.requestAddress; // => '127.0.0.1:9000'
*/
export function eligibleTarget(cluster: ClusterState, backendServerId: string): RequestTarget | undefined {
	const backendServer = cluster.backendServers.get(backendServerId);
	const vm = backendServer && cluster.vms.get(backendServer.vmId);
	if (!vm || backendServer.phase !== 'serving' || backendServer.draining || vm.draining || vm.phase !== 'live') {
		return undefined;
	}

	const {drainingBackendServerIds, drainingVmIds, drainingFailureDomains} = cluster.configuration;
	const isDraining = drainingBackendServerIds.has(backendServerId) || drainingVmIds.has(vm.vmId) || drainingFailureDomains.has(vm.failureDomain);
	return isDraining || vm.agentIncarnation !== backendServer.agentIncarnation ? undefined : {backendServer, vm};
}

/**
Returns how many places this entry may use at a backend server, at least 1. A place is the right to have one request in flight.

@example
placesOf(use, backendServer); // => 8
*/
export function placesOf(use: BackendServerUse | undefined, backendServer: BackendServer): number {
	return Math.max(1, Math.floor(use?.concurrency.limit ?? backendServer.slots));
}

function loadOf(use: BackendServerUse | undefined, backendServer: BackendServer): number {
	return ((use?.inFlight ?? 0) + (use?.othersInFlight ?? 0)) / backendServer.slots;
}

/**
Returns the less loaded of two random candidates with a free place. A retry avoids the targets where the request failed, their
failure domains first, then only the backend servers, as long as others have a free place.

@example
selectBackendServer({cluster, candidates: ['b1', 'b2'], uses, failedTargets: [], seed: 7, nowMs: 0})?.backendServer.backendServerId; // => 'b2'
*/
export function selectBackendServer(choice: Readonly<{
	cluster: ClusterState;
	/** Backend servers of the service. */
	candidates: readonly string[];
	uses: Map<string, BackendServerUse>;
	failedTargets: readonly FailedTarget[];
	seed: number;
	nowMs: number;
}>): RequestTarget | undefined {
	let available: RequestTarget[] = [];
	for (const backendServerId of choice.candidates) {
		const use = choice.uses.get(backendServerId);
		const target = eligibleTarget(choice.cluster, backendServerId);
		const hasPlace = target !== undefined && (use?.inFlight ?? 0) < placesOf(use, target.backendServer);
		if (hasPlace && (use?.avoidUntilMs ?? 0) <= choice.nowMs) {
			available.push(target);
		}
	}

	const failedIds = new Set(choice.failedTargets.map(target => target.backendServerId));
	const failedDomains = new Set(choice.failedTargets.map(target => target.failureDomain));
	const onOtherServers = available.filter(({backendServer}) => !failedIds.has(backendServer.backendServerId));
	const inOtherDomains = onOtherServers.filter(({vm}) => !failedDomains.has(vm.failureDomain));
	available = [inOtherDomains, onOtherServers, available].find(targets => targets.length > 0) ?? [];
	if (available.length < 2) {
		return available[0];
	}

	const generator = congruential32(choice.seed);
	const firstIndex = uniformInt(generator, 0, available.length - 1);
	const distance = uniformInt(generator, 1, available.length - 1);
	const [left, right] = [available[firstIndex]!, available[(firstIndex + distance) % available.length]!];
	const leftLoad = loadOf(choice.uses.get(left.backendServer.backendServerId), left.backendServer);
	const rightLoad = loadOf(choice.uses.get(right.backendServer.backendServerId), right.backendServer);
	return leftLoad <= rightLoad ? left : right;
}
