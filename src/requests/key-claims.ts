import {type ClusterState, type KeyClaim} from '../cluster/cluster-state.js';
import {type RequestContext} from './request-context.js';
import {type RequestAnswer} from './request-effect.js';
import {type RequestDescription} from './request-event.js';

/** Where a claimed key leads. */
export type ClaimedRoute
	= | Readonly<{kind: 'claimed'; claim: KeyClaim; requestAddress: string}>
		| Readonly<{kind: 'body-differs'}>
		| Readonly<{kind: 'incarnation-gone'; claim: KeyClaim}>;

/**
Follows the claim of a key. The first claim in the log is the only one in the state, so every entry follows the same one.

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

/** Whether this entry may say by itself that a keyed request that it did not send was not run. */
export type NotRunProof = 'proven' | 'claimed' | 'tail-read-needed' | 'tail-unreadable';

/**
Decides whether "not run" is proven for a request that this entry never sent. Requests without a key have no other attempt.
A first attempt, as its caller declares, has none either. For other keyed requests the state must cover the log's tail as of
the arrival and hold no claim. Times are compared strictly: a read sent in the millisecond of the arrival may be older.

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

/** The key was used with another body. */
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
Answers a keyed request of which nobody can say whether it ran.

@example
unknownAnswer('the log cannot be read').status; // => 504
*/
export function unknownAnswer(message: string): RequestAnswer {
	return {
		outcome: 'outcome-unknown',
		status: 504,
		error: {kind: 'outcome-unknown', message, remedy: 'retry with the same key'},
		retryAfterMs: 1000,
	};
}

/** The agent that holds the key's outcome is gone. */
export const incarnationGoneAnswer: RequestAnswer = {
	outcome: 'outcome-unknown',
	status: 504,
	error: {
		kind: 'claimed-agent-gone',
		message: 'the agent that the key was bound to has ended, and with it the outcome',
		remedy: 'check whether the request took effect before you send it with a new key',
	},
};
