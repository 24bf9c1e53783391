import {
	bodyDiffersAnswer, claimedRoute, incarnationGoneAnswer, outcomeUnknownAnswer,
} from './key-claims.js';
import {refusalAnswer} from './refusals.js';
import {type ForwardTarget, type PendingRequest} from './request-state.js';
import {
	answerRequest, enterPhase, releasePlace, serviceOf, updateService, type RequestReduction,
} from './request-reduction.js';
import {creditRequest, takeRetry} from './retry-budget.js';

/** Most forwards of one request, the first included. */
export const maxAttempts = 3;

/**
Takes the cost of one retry from the service's retry budget. Returns `false`, and takes nothing, when the budget, the number of
attempts or the deadline allows no retry.

@example
tryConsumeRetry(reduction, request); // => true
*/
export function tryConsumeRetry(reduction: RequestReduction, request: PendingRequest): boolean {
	const {service, deadlineAtMs} = request.description;
	const retryBudget = takeRetry(serviceOf(reduction.state, service).retryBudget);
	if (retryBudget === undefined || request.attempt >= maxAttempts || reduction.context.nowMs >= deadlineAtMs) {
		return false;
	}

	updateService(reduction, service, current => ({...current, retryBudget}));
	return true;
}

/**
Forwards a request to an agent. The first forward of a request credits the service's retry budget.

@example
forwardRequest(reduction, request, target);
*/
export function forwardRequest(reduction: RequestReduction, request: PendingRequest, target: ForwardTarget): void {
	const {requestId, service, deadlineAtMs} = request.description;
	const {context} = reduction;
	if (request.attempt === 0) {
		const {retryBudgetMilli} = context.cluster.configuration.requestLimits;
		updateService(reduction, service, current => ({...current, retryBudget: creditRequest(current.retryBudget, retryBudgetMilli)}));
	}

	const attempt = request.attempt + 1;
	enterPhase(reduction, {...request, attempt}, {kind: 'sent', target, sentAtMs: context.nowMs}, deadlineAtMs);
	reduction.effects.push({
		kind: 'forward-request',
		requestId,
		attempt,
		backendServerId: target.backendServerId,
		service,
		vmId: target.vmId,
		requestAddress: target.requestAddress,
		agentIncarnation: target.agentIncarnation,
		claimOffset: target.claimOffset,
		remainingMs: deadlineAtMs - context.nowMs,
	});
}

/**
Handles a request whose key is claimed: forwards it to the claimed agent and to no other, or answers it when that is not
possible. Returns `false` when the key is not claimed.

@example
handleClaimedKey(reduction, request); // => false when the state holds no claim for the key
*/
export function handleClaimedKey(reduction: RequestReduction, request: PendingRequest): boolean {
	const {cluster, nowMs} = reduction.context;
	const route = claimedRoute(cluster, request.description);
	if (route === undefined) {
		return false;
	}

	if (route.kind === 'body-differs') {
		answerRequest(reduction, request, bodyDiffersAnswer);
		return true;
	}

	if (route.kind === 'incarnation-gone') {
		const isNotRun = request.description.firstAttempt && !request.mayHaveRun;
		answerRequest(reduction, request, isNotRun ? refusalAnswer('claim-not-sent') : incarnationGoneAnswer);
		return true;
	}

	const {claim, requestAddress} = route;
	if (nowMs >= request.description.deadlineAtMs) {
		answerRequest(reduction, request, outcomeUnknownAnswer('the deadline passed before the agent that holds the key was asked'));
		return true;
	}

	forwardRequest(reduction, request.placeAt === claim.backendServerId ? request : releasePlace(reduction, request), {
		backendServerId: claim.backendServerId,
		vmId: claim.vmId,
		requestAddress,
		agentIncarnation: claim.agentIncarnation,
		failureDomain: cluster.vms.get(claim.vmId)!.failureDomain,
		claimOffset: claim.claimOffset,
	});
	return true;
}
