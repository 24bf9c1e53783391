import {decreaseLimit, increaseLimit} from './concurrency-limit.js';
import {queueRequest} from './dispatch-requests.js';
import {handleClaimedKey, tryConsumeRetry} from './forward-request.js';
import {refusalAnswer} from './refusals.js';
import {refuseRequest, uncertainAnswer} from './refuse-request.js';
import {type RequestAnswer} from './request-effect.js';
import {type ForwardResult} from './request-event.js';
import {type PendingRequest} from './request-state.js';
import {
	answerRequest, dropRequest, enterPhase, releasePlace, updateUse, type RequestReduction,
} from './request-reduction.js';
import {type BackendServerUse} from './select-backend-server.js';

/** Time for which a backend server gets no requests after it refused one, by the kind of the error. */
const avoidMsByErrorKind: Readonly<Record<string, number>> = {busy: 50};

/** The same for all other kinds. */
const defaultAvoidMs = 1000;

/** Pause after the first broken connection; it doubles with each further one up to `maxAvoidMs`. */
const firstAvoidAfterBreakMs = 100;

const maxAvoidMs = 5000;

function avoidAfterBreak(use: BackendServerUse, nowMs: number): BackendServerUse {
	const pauseMs = Math.min(maxAvoidMs, firstAvoidAfterBreakMs * (2 ** Math.min(use.consecutiveBreaks, 10)));
	return {...use, consecutiveBreaks: use.consecutiveBreaks + 1, avoidUntilMs: nowMs + pauseMs};
}

function isClientError(status: number): boolean {
	return status >= 400 && status < 500 && status !== 429;
}

/**
Retries a request when the retry budget, the deadline and the body allow it: queues it again, or forwards it to the claimed agent
when it is keyed. Otherwise calls `answer`.
*/
function retryOrAnswer(reduction: RequestReduction, request: PendingRequest, canResend: boolean, answer: (request: PendingRequest) => void): void {
	const {description, phase} = request;
	if (phase.kind !== 'sent' || !canResend || !tryConsumeRetry(reduction, request)) {
		answer(request);
		return;
	}

	const {backendServerId, failureDomain} = phase.target;
	const retried: PendingRequest = {...request, failedTargets: [...request.failedTargets, {backendServerId, failureDomain}]};
	if (description.idempotency === 'keyed') {
		if (!handleClaimedKey(reduction, retried)) {
			answer(retried);
		}

		return;
	}

	queueRequest(reduction, releasePlace(reduction, retried));
}

/**
Appends a record that the claimed agent released the key, and waits until the key can be claimed again. When no retry is allowed
or the log is unreachable, the answer is uncertain, since another entry may have claimed the key again.
*/
function releaseClaimOrAnswer(reduction: RequestReduction, request: PendingRequest, message: string): void {
	const {description, phase} = request;
	if (phase.kind !== 'sent' || phase.target.claimOffset === undefined || !reduction.context.logReachable || !tryConsumeRetry(reduction, request)) {
		answerRequest(reduction, request, uncertainAnswer(request, message));
		return;
	}

	const {backendServerId, failureDomain, vmId, agentIncarnation, claimOffset} = phase.target;
	const withoutPlace = releasePlace(reduction, {...request, failedTargets: [...request.failedTargets, {backendServerId, failureDomain}]});
	enterPhase(reduction, withoutPlace, {kind: 'releasing', claimOffset}, description.deadlineAtMs);
	reduction.effects.push({
		kind: 'append-record',
		record: {
			kind: 'key-released', keyHash: description.keyHash!, claimOffset, vmId, agentIncarnation,
		},
	});
}

function answerUncertain(reduction: RequestReduction, message: string): (request: PendingRequest) => void {
	return request => {
		answerRequest(reduction, request, uncertainAnswer(request, message));
	};
}

type ResultHandlers = {[Kind in ForwardResult['kind']]: (reduction: RequestReduction, request: PendingRequest, backendServerId: string, result: Extract<ForwardResult, {kind: Kind}>) => void};

const resultHandlers: ResultHandlers = {
	answered(reduction, request, backendServerId) {
		const maximum = reduction.context.cluster.backendServers.get(backendServerId)?.connections ?? 1;
		updateUse(reduction, backendServerId, use => ({
			...use, consecutiveBreaks: 0, avoidUntilMs: 0, concurrency: increaseLimit(use.concurrency, {inFlight: use.inFlight, maximum}),
		}));
		dropRequest(reduction, request);
	},
	'refused-not-run'(reduction, request, backendServerId, result) {
		const {nowMs} = reduction.context;
		const answer: RequestAnswer = {
			outcome: 'refused-not-run',
			status: result.status,
			error: {kind: result.errorKind, message: result.message, remedy: result.remedy},
			retryAfterMs: result.retryAfterMs,
		};
		if (isClientError(result.status)) {
			answerRequest(reduction, request, request.mayHaveRun && request.description.idempotency !== 'keyed' ? uncertainAnswer(request, result.message) : answer);
			return;
		}

		const pauseMs = avoidMsByErrorKind[result.errorKind] ?? defaultAvoidMs;
		updateUse(reduction, backendServerId, use => ({
			...use,
			avoidUntilMs: nowMs + pauseMs,
			concurrency: result.errorKind === 'busy' ? decreaseLimit(use.concurrency, nowMs) : use.concurrency,
		}));
		if (result.errorKind === 'key-released') {
			releaseClaimOrAnswer(reduction, request, result.message);
			return;
		}

		if (request.description.idempotency === 'keyed') {
			// Only the claimed agent runs requests with this key, so its refusal holds for every attempt.
			answerRequest(reduction, request, answer);
			return;
		}

		retryOrAnswer(reduction, request, result.canResend, unretried => {
			refuseRequest(reduction, unretried, answer);
		});
	},
	'not-sent'(reduction, request, backendServerId, result) {
		updateUse(reduction, backendServerId, use => avoidAfterBreak(use, reduction.context.nowMs));
		retryOrAnswer(reduction, request, result.canResend, unretried => {
			// Another entry may have sent an attempt with the same key to the claimed agent.
			if (unretried.description.idempotency === 'keyed' && !unretried.description.firstAttempt) {
				answerRequest(reduction, unretried, uncertainAnswer(unretried, result.message));
			} else {
				refuseRequest(reduction, unretried, refusalAnswer('no-backend-server'));
			}
		});
	},
	'broken-before-answer'(reduction, request, backendServerId, result) {
		updateUse(reduction, backendServerId, use => avoidAfterBreak(use, reduction.context.nowMs));
		const canResend = result.canResend && request.description.idempotency !== 'unkeyed';
		retryOrAnswer(reduction, {...request, mayHaveRun: true}, canResend, answerUncertain(reduction, result.message));
	},
	'broken-in-answer'(reduction, request, backendServerId) {
		updateUse(reduction, backendServerId, use => avoidAfterBreak(use, reduction.context.nowMs));
		dropRequest(reduction, request);
	},
	failed(reduction, request, _backendServerId, result) {
		const canResend = result.canResend && request.description.idempotency === 'idempotent';
		retryOrAnswer(reduction, {...request, mayHaveRun: true}, canResend, unretried => {
			answerRequest(reduction, unretried, {
				outcome: 'failed', status: 502, error: {kind: 'request-failed', message: result.message, remedy: 'look at the backend server\'s logs before you retry'},
			});
		});
	},
	'outcome-unknown'(reduction, request, _backendServerId, result) {
		const canResend = result.canResend && request.description.idempotency === 'idempotent';
		retryOrAnswer(reduction, {...request, mayHaveRun: true}, canResend, answerUncertain(reduction, result.message));
	},
};

/**
Handles the result of a forward: adapts the backend server's concurrency limit and pause, then answers, retries or removes the
pending request.

@example
finishForward(reduction, request, 'b3', {kind: 'answered'});
*/
export function finishForward<Kind extends ForwardResult['kind']>(
	reduction: RequestReduction,
	request: PendingRequest,
	backendServerId: string,
	result: Extract<ForwardResult, {kind: Kind}>,
): void {
	resultHandlers[result.kind](reduction, request, backendServerId, result);
}
