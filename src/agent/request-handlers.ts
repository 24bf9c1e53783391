import type {AgentEffect} from './agent-effect.js';
import type {AgentEventOf, ArrivedRequest, RequestSettlement} from './agent-event.js';
import type {AgentState} from './agent-state.js';
import {phaseOf, type BackendServer} from './backend-server-table.js';
import {
	awaitKey, decideKey, enterKey, releaseKey, completeKey, withdrawKey, type KeyDecision, type KeyEntry, type KeyResult,
} from './key-table.js';
import {refusalOf, type RefusalKind} from './request-outcome.js';
import {transition, type Transition} from './transition.js';

function refuse(state: AgentState, requestId: string, kind: RefusalKind): Transition {
	return transition(state, {kind: 'refuse-request', requestId, refusal: refusalOf(kind)}, {kind: 'count', metric: `agent.requests.${kind}`});
}

function resultEffect(requestId: string, result: KeyResult): AgentEffect {
	return 'answer' in result
		? {kind: 'answer-request', requestId, answer: result.answer}
		: {kind: 'refuse-request', requestId, refusal: result.refusal};
}

/** Returns the reason why a backend server cannot accept one more request; undefined when it can. */
function requestRefusalKind(state: AgentState, backendServer: BackendServer | undefined): RefusalKind | undefined {
	if (backendServer === undefined || backendServer.gone || !backendServer.admitted) {
		return 'unknown-backend-server';
	}

	if (state.stop !== undefined || phaseOf(backendServer) !== 'serving') {
		return 'draining';
	}

	return backendServer.requests >= backendServer.slots + state.settings.limits.backendQueueLimit ? 'busy' : undefined;
}

/** Refusals that last. They release the key of a keyed request, so that it can be claimed for another backend server. */
const releasingReasons: ReadonlySet<RefusalKind> = new Set<RefusalKind>(['draining', 'unknown-backend-server', 'kept-answers-full']);

function refuseRun(state: AgentState, request: ArrivedRequest, reason: RefusalKind, nowMs: number): Transition {
	return request.key !== undefined && releasingReasons.has(reason)
		? refuse({...state, keys: releaseKey(state.keys, request.key, nowMs)}, request.requestId, 'key-released')
		: refuse(state, request.requestId, reason);
}

function run(state: AgentState, request: ArrivedRequest, nowMs: number): Transition {
	const backendServer = state.backendServers.get(request.backendServerId);
	const reason = requestRefusalKind(state, backendServer);
	if (reason !== undefined || backendServer === undefined) {
		return refuseRun(state, request, reason ?? 'unknown-backend-server', nowMs);
	}

	const {requestId, backendServerId, key} = request;
	return transition(
		{
			...state,
			backendServers: state.backendServers.set(backendServerId, {...backendServer, requests: backendServer.requests + 1}),
			requests: state.requests.set(requestId, {
				requestId, backendServerId, keyHash: key?.keyHash, runs: true,
			}),
			keys: key === undefined ? state.keys : enterKey(state.keys, key, requestId),
		},
		{
			kind: 'run-request', requestId, keyed: key !== undefined, backendServerId, address: backendServer.address, slots: backendServer.slots, connections: backendServer.connections,
		},
	);
}

function wait(state: AgentState, request: ArrivedRequest, keyHash: string): Transition {
	const {requestId, backendServerId} = request;
	return transition({
		...state,
		keys: awaitKey(state.keys, keyHash, requestId),
		requests: state.requests.set(requestId, {
			requestId, backendServerId, keyHash, runs: false,
		}),
	});
}

type KeyedRequest = ArrivedRequest & Readonly<{key: NonNullable<ArrivedRequest['key']>}>;

const keyHandlers: Readonly<Record<KeyDecision, (state: AgentState, request: KeyedRequest, nowMs: number) => Transition>> = {
	run,
	wait: (state, request) => wait(state, request, request.key.keyHash),
	settled(state, request) {
		const result = state.keys.entries.get(request.key.keyHash)?.result;
		return result === undefined
			? refuse(state, request.requestId, 'key-forgotten')
			: transition(state, resultEffect(request.requestId, result), {kind: 'count', metric: 'agent.requests.kept'});
	},
	'key-body-mismatch': (state, request) => refuse(state, request.requestId, 'key-body-mismatch'),
	'stale-incarnation': (state, request) => refuse(state, request.requestId, 'stale-incarnation'),
	'key-forgotten': (state, request) => refuse(state, request.requestId, 'key-forgotten'),
	'kept-answers-full': (state, request, nowMs) => refuseRun(state, request, 'kept-answers-full', nowMs),
};

/**
Runs a request or refuses it. A request whose key is in use waits for the running one, and one whose key is completed receives the stored result.

@example
requestArrived(state, {kind: 'request-arrived', nowMs, request: {requestId: 'r1', backendServerId: 'b3', key: undefined}});
*/
export function requestArrived(state: AgentState, event: AgentEventOf<'request-arrived'>): Transition {
	const {request, nowMs} = event;
	if (request.key === undefined) {
		return run(state, request, nowMs);
	}

	const decision = decideKey(state.keys, request.key, {agentIncarnation: state.incarnation, keptAnswersBytes: state.settings.limits.keptAnswersBytes});
	return keyHandlers[decision](state, {...request, key: request.key}, nowMs);
}

/** Returns the result that later requests with the same key receive; undefined when the request certainly did not run. */
function keyResultOf(settlement: RequestSettlement): KeyResult | undefined {
	switch (settlement.kind) {
		case 'passed': {
			return {refusal: refusalOf('answer-not-kept')};
		}

		case 'kept': {
			return {answer: settlement.answer};
		}

		case 'refused': {
			return settlement.refusal.outcome === 'refused-not-run' ? undefined : {refusal: settlement.refusal};
		}
	}
}

function completeKeyOfRequest(state: AgentState, entry: KeyEntry, settlement: RequestSettlement, nowMs: number): Transition {
	const result = keyResultOf(settlement);
	const waitingIds = entry.waitingRequestIds;
	const keys = result === undefined ? withdrawKey(state.keys, entry.keyHash) : completeKey(state.keys, entry.keyHash, result, nowMs);
	const shared: KeyResult | undefined = result ?? (settlement.kind === 'refused' ? {refusal: settlement.refusal} : undefined);
	return transition(
		{...state, keys, requests: state.requests.deleteAll(waitingIds)},
		...shared === undefined ? [] : waitingIds.map(requestId => resultEffect(requestId, shared)),
	);
}

/**
Handles the end of a request that ran: its slot is released, and the retries that wait for its key receive the result.

@example
requestSettled(state, {kind: 'request-settled', nowMs, requestId: 'r1', settlement: {kind: 'passed'}});
*/
export function requestSettled(state: AgentState, event: AgentEventOf<'request-settled'>): Transition {
	const request = state.requests.get(event.requestId);
	if (!request?.runs) {
		return transition(state);
	}

	const backendServer = state.backendServers.get(request.backendServerId);
	const finished: AgentState = {
		...state,
		requests: state.requests.delete(event.requestId),
		backendServers: backendServer === undefined
			? state.backendServers
			: state.backendServers.set(request.backendServerId, {...backendServer, requests: backendServer.requests - 1}),
	};
	const entry = request.keyHash === undefined ? undefined : finished.keys.entries.get(request.keyHash);
	return entry?.runningRequestId === event.requestId ? completeKeyOfRequest(finished, entry, event.settlement, event.nowMs) : transition(finished);
}
