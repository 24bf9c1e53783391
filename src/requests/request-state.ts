import {
	Map as immutableMap, Set as immutableSet, type Map, type Set,
} from 'immutable';
import {type BackendServer} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {emptyExpiryIndex, type ExpiryIndex, type ExpiryTicket} from './expiry-index.js';
import {type RequestAnswer} from './request-effect.js';
import {type RequestDescription} from './request-event.js';
import {emptyRetryBudget, type RetryBudget} from './retry-budget.js';
import {type BackendServerUse, type FailedTarget} from './select-backend-server.js';
import {emptyFairQueue, type QueueTicket, type WeightedFairQueue} from './weighted-fair-queue.js';

/** The agent and backend server that a forward goes to. */
export type ForwardTarget = Readonly<{
	backendServerId: string;
	vmId: string;
	requestAddress: string;
	agentIncarnation: string;
	failureDomain: string;
	claimOffset?: number;
}>;

/**
`queued`: waits for a place. `claiming`: holds a place and waits until its key claim is read back. `releasing`: waits until the
release of its key's claim is read back. `confirming`: waits for a read of the log's tail that proves its refusal. `sent`: was
forwarded.
*/
export type RequestPhase
	= | Readonly<{kind: 'queued'; ticket: QueueTicket}>
		| Readonly<{kind: 'claiming'}>
		| Readonly<{kind: 'releasing'; claimOffset: number}>
		| Readonly<{kind: 'confirming'; refusal: RequestAnswer}>
		| Readonly<{kind: 'sent'; target: ForwardTarget; sentAtMs: number}>;

/** A request that has no answer yet. */
export type PendingRequest = Readonly<{
	description: RequestDescription;
	phase: RequestPhase;
	/** Backend server at which the request holds a place. */
	placeAt: string | undefined;
	/** Time at which it took that place. */
	placeSinceMs: number;
	/** Forwards so far. */
	attempt: number;
	/** An earlier forward may have run, so this entry can no longer answer "not run". */
	mayHaveRun: boolean;
	failedTargets: readonly FailedTarget[];
	expiry: ExpiryTicket;
}>;

/** State of one service's requests at this entry. */
export type ServiceRequests = Readonly<{
	queue: WeightedFairQueue;
	/** Places in use by class. */
	inFlightByClass: Readonly<Record<PriorityClass, number>>;
	retryBudget: RetryBudget;
	/** Exponential moving mean of the time that a request holds a place; `undefined` before the first measurement. */
	meanServiceMs: number | undefined;
}>;

/** The part of the entry's state that concerns callers' requests. */
export type RequestState = Readonly<{
	pending: Map<string, PendingRequest>;
	services: Map<string, ServiceRequests>;
	backendServers: Map<string, BackendServerUse>;
	/** Requests in phase `claiming`. */
	claiming: Set<string>;
	/** Requests in phase `releasing`. */
	releasing: Set<string>;
	/** Requests in phase `confirming`. */
	confirming: Set<string>;
	/** A read of the log's tail was requested and has not ended. */
	isTailReadPending: boolean;
	expiries: ExpiryIndex;
	/** Number of random selections so far; added to the seed, so that each selection differs. */
	choiceCount: number;
	/** The backend servers of each service, rebuilt when `source` is no longer the cluster state's map. */
	routes: Readonly<{source: Map<string, BackendServer> | undefined; byService: Map<string, readonly string[]>}>;
}>;

/** State of a service without requests. */
export const emptyServiceRequests: ServiceRequests = {
	queue: emptyFairQueue,
	inFlightByClass: {urgent: 0, normal: 0, background: 0},
	retryBudget: emptyRetryBudget,
	meanServiceMs: undefined,
};

/** The state of an entry that has no request. */
export const initialRequestState: RequestState = {
	pending: immutableMap(),
	services: immutableMap(),
	backendServers: immutableMap(),
	claiming: immutableSet(),
	releasing: immutableSet(),
	confirming: immutableSet(),
	isTailReadPending: false,
	expiries: emptyExpiryIndex,
	choiceCount: 0,
	routes: {source: undefined, byService: immutableMap()},
};
