import {Map as immutableMap, Set as immutableSet} from 'immutable';
import {type BackendServer, type ClusterState, type Vm} from '../cluster/cluster-state.js';
import {emptyClusterState} from '../cluster/reduce-cluster.js';
import {type RequestLimits} from '../cluster/intent.js';
import {noResources} from '../cluster/resources.js';
import {type RequestContext} from './request-context.js';
import {type RequestEventOf} from './request-event.js';

/** Limits of the fixtures, with a floor of 10 % for each class. */
export const fixtureLimits: RequestLimits = {
	queuedRequestsPerService: 100,
	queueTimeoutMs: 2000,
	retryBudgetMilli: 100,
	shareByClass: {urgent: 10, normal: 5, background: 1},
	floorMilliByClass: {urgent: 100, normal: 100, background: 100},
};

function fixtureVm(index: number, requestAddress: string): Vm {
	return {
		vmId: `vm${index}`,
		agentIncarnation: `agent${index}`,
		formerAgentIncarnations: [],
		workerIncarnation: `worker${index}`,
		failureDomain: `domain${index % 4}`,
		rack: 'rack',
		requestAddress,
		capacity: noResources,
		committed: noResources,
		phase: 'live',
		draining: false,
		leaving: false,
		workerLost: false,
		quarantined: false,
		service: '',
		labels: [],
		workerStartedAtMs: 0,
		heardBy: immutableSet(['entry-1']),
		contact: {isBounded: true},
		taskIds: immutableSet(),
		backendServerIds: immutableSet(),
		waitingTaskIds: [],
		waitingBackendServerIds: [],
	};
}

function fixtureBackendServer(index: number): BackendServer {
	return {
		backendServerId: `b${index}`,
		service: 'loaf-ordering',
		vmId: `vm${index}`,
		agentIncarnation: `agent${index}`,
		slots: 4,
		connections: 64,
		phase: 'serving',
		draining: false,
		committed: noResources,
	};
}

/**
Returns a cluster with the service `loaf-ordering` on backend servers `b0`, `b1` and so on, each with 4 slots and a VM of its own.

@example
fixtureCluster(['127.0.0.1:9000']).backendServers.size; // => 1
*/
export function fixtureCluster(requestAddresses: readonly string[], limits: RequestLimits = fixtureLimits): ClusterState {
	return {
		...emptyClusterState,
		offset: 0,
		vms: immutableMap(requestAddresses.map((address, index) => [`vm${index}`, fixtureVm(index, address)])),
		backendServers: immutableMap(requestAddresses.map((_, index) => [`b${index}`, fixtureBackendServer(index)])),
		configuration: {
			...emptyClusterState.configuration,
			offset: 0,
			services: immutableMap({
				'loaf-ordering': {
					service: 'loaf-ordering', teamId: 'bakehouse', latencyTargetMs: 100, demandPerBackendServer: noResources,
				},
			}),
			requestLimits: limits,
		},
	};
}

/**
Returns a context at a time, with a log that is reachable.

@example
fixtureContext(cluster, 1000).logReachable; // => true
*/
export function fixtureContext(cluster: ClusterState, nowMs: number, more: Partial<RequestContext> = {}): RequestContext {
	return {
		cluster, nowMs, tailConfirmedSentAtMs: -1, logReachable: true, seed: 20_261_204, ...more,
	};
}

/**
Returns the arrival of an idempotent request with a deadline of 10 s.

@example
fixtureArrival('r1', 0, {priority: 'urgent'}).deadlineAtMs; // => 10_000
*/
export function fixtureArrival(requestId: string, nowMs: number, more: Partial<RequestEventOf<'request-arrived'>> = {}): RequestEventOf<'request-arrived'> {
	return {
		kind: 'request-arrived',
		requestId,
		service: 'loaf-ordering',
		idempotency: 'idempotent',
		priority: 'normal',
		caller: 'shop',
		deadlineAtMs: nowMs + 10_000,
		firstAttempt: false,
		arrivedAtMs: nowMs,
		...more,
	};
}
