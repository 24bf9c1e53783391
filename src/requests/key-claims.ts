import {type ClusterState, type KeyClaim} from '../cluster/cluster-state.js';
import {type RequestContext} from './request-context.js';
import {type RequestAnswer} from './request-effect.js';
import {type RequestDescription} from './request-event.js';

/**
How a request with a claimed key is handled. `claimed`: it is forwarded to the claimed agent. `body-differs`: the key was claimed
for another body. `incarnation-gone`: the claimed agent incarnation is no longer the one of its VM.
*/
export type ClaimedRoute
	= | Readonly<{kind: 'claimed'; claim: KeyClaim; requestAddress: string}>
		| Readonly<{kind: 'body-differs'}>
		| Readonly<{kind: 'incarnation-gone'; claim: KeyClaim}>;

/**
Returns how a request is handled by the claim of its key. The cluster state holds only the first claim of a key in the log, so
all entries use the same one.

@example
claimedRoute(cluster, request)?.kind; // => 'claimed', or undefined when the key is not claimed
*/
export function claimedRoute(cluster: ClusterState, request: RequestDescription): ClaimedRoute | undefined {
	const claim = request.keyHash === undefined ? undefined : cluster.keys.get(request.keyHash);
	if (claim === undefined) {
		return undefined;
	}

	if (claim.bodyHash !== request.bodyHash) {
		return {kind: 'body-differs'};
	}

	const vm = cluster.vms.get(claim.vmId);
	return vm?.agentIncarnation === claim.agentIncarnation
		? {kind: 'claimed', claim, requestAddress: vm.requestAddress}
		: {kind: 'incarnation-gone', claim};
}

/**
Whether this entry can prove that a request which it did not forward was not run. `claimed`: the key is claimed, so the claim
decides. `tail-read-needed`: the cluster state may lack a claim until the log's tail is read. `tail-unreadable`: the log cannot be
read.
*/
export type NotRunProof = 'proven' | 'claimed' | 'tail-read-needed' | 'tail-unreadable';

/**
Returns whether "not run" is proven for a request that this entry never forwarded. A request without a key has no other attempt,
nor has one that its caller declares as the first attempt. For other keyed requests, the cluster state must cover the log's tail
as of the arrival and hold no claim. A read that was sent in the millisecond of the arrival does not count: it may be older.

@example
proveNotRun(request, context); // => 'proven'
*/
export function proveNotRun(request: RequestDescription, context: RequestContext): NotRunProof {
	if (request.idempotency !== 'keyed' || request.firstAttempt) {
		return 'proven';
	}

	if (context.cluster.keys.has(request.keyHash!)) {
		return 'claimed';
	}

	if (context.tailConfirmedSentAtMs > request.arrivedAtMs) {
		return 'proven';
	}

	return context.logReachable ? 'tail-read-needed' : 'tail-unreadable';
}

/** Answer when the key was used before with another body. */
export const bodyDiffersAnswer: RequestAnswer = {
	outcome: 'refused-not-run',
	status: 422,
	error: {
		kind: 'key-body-mismatch',
		message: 'the idempotency key was used before with another method, path or body; this request was not run',
		remedy: 'use a new key for a new request, or repeat the earlier request unchanged',
	},
};

/**
Returns the answer for a keyed request that may or may not have run.

@example
outcomeUnknownAnswer('the log cannot be read').status; // => 504
*/
export function outcomeUnknownAnswer(message: string): RequestAnswer {
	return {
		outcome: 'outcome-unknown',
		status: 504,
		error: {kind: 'outcome-unknown', message, remedy: 'retry with the same key'},
		retryAfterMs: 1000,
	};
}

/** Answer when the agent incarnation that held the key's outcome has ended. */
export const incarnationGoneAnswer: RequestAnswer = {
	outcome: 'outcome-unknown',
	status: 504,
	error: {
		kind: 'claimed-agent-gone',
		message: 'the agent that the key was bound to has ended, and with it the outcome',
		remedy: 'check whether the request took effect before you send it with a new key',
	},
};
