import {decreaseLimit, increaseLimit} from './concurrency-limit.js';
import {queueRequest} from './dispatch-requests.js';
import {followClaim, mayRetry} from './forward-request.js';
import {refusalAnswer} from './refusals.js';
import {refuseRequest, uncertainAnswer} from './refuse-request.js';
import {type RequestAnswer} from './request-effect.js';
import {type ForwardResult} from './request-event.js';
import {type PendingRequest} from './request-state.js';
import {
	answerRequest, dropRequest, enterPhase, releasePlace, updateUse, type RequestReduction,
} from './request-reduction.js';
import {type BackendServerUse} from './select-backend-server.js';

/** How long a backend server that refused a request gets no other one. */
const avoidAfterRefusalMs: Readonly<Record<string, number>> = {busy: 50};

const avoidAfterOtherRefusalMs = 1000;

/** First pause after a broken connection; it doubles up to the longest one. */
const avoidAfterBreakMs = 100;

const longestAvoidMs = 5000;

function avoidBroken(use: BackendServerUse, nowMs: number): BackendServerUse {
	const pauseMs = Math.min(longestAvoidMs, avoidAfterBreakMs * (2 ** Math.min(use.brokenInRow, 10)));
	return {...use, brokenInRow: use.brokenInRow + 1, avoidUntilMs: nowMs + pauseMs};
}

function isAboutRequest(status: number): boolean {
	return status >= 400 && status < 500 && status !== 429;
}

/**
Sends the request elsewhere, or to the claimed agent when it is keyed, while the retry budget, the deadline and the body allow it.
Otherwise gives `answer`.
*/
function retryOr(step: RequestReduction, request: PendingRequest, canResend: boolean, giveUp: (request: PendingRequest) => void): void {
	const {description, phase} = request;
	if (phase.kind !== 'sent' || !canResend || !mayRetry(step, request)) {
		giveUp(request);
		return;
	}

	const {backendServerId, failureDomain} = phase.target;
	const retried: PendingRequest = {...request, failedAt: [...request.failedAt, {backendServerId, failureDomain}]};
	if (description.idempotency === 'keyed') {
		if (!followClaim(step, retried)) {
			giveUp(retried);
		}

		return;
	}

	queueRequest(step, releasePlace(step, retried));
}

/**
Writes that the claimed agent gave the key back, and lets the request wait for a new claim. Without a retry the answer is
uncertain: another entry may have claimed the key anew.
*/
function releaseClaim(step: RequestReduction, request: PendingRequest, message: string): void {
	const {description, phase} = request;
	if (phase.kind !== 'sent' || phase.target.claimOffset === undefined || !step.context.logReachable || !mayRetry(step, request)) {
		answerRequest(step, request, uncertainAnswer(request, message));
		return;
	}

	const {backendServerId, failureDomain, vmId, agentIncarnation, claimOffset} = phase.target;
	const placeless = releasePlace(step, {...request, failedAt: [...request.failedAt, {backendServerId, failureDomain}]});
	enterPhase(step, placeless, {kind: 'releasing', claimOffset}, description.deadlineAtMs);
	step.effects.push({
		kind: 'append-record',
		record: {
			kind: 'key-released', keyHash: description.keyHash!, claimOffset, vmId, agentIncarnation,
		},
	});
}

function answerUncertain(step: RequestReduction, message: string): (request: PendingRequest) => void {
	return request => {
		answerRequest(step, request, uncertainAnswer(request, message));
	};
}

type FinishSteps = {[Kind in ForwardResult['kind']]: (step: RequestReduction, request: PendingRequest, backendServerId: string, result: Extract<ForwardResult, {kind: Kind}>) => void};

const finishSteps: FinishSteps = {
	answered(step, request, backendServerId) {
		const maximum = step.context.cluster.backendServers.get(backendServerId)?.connections ?? 1;
		updateUse(step, backendServerId, use => ({
			...use, brokenInRow: 0, avoidUntilMs: 0, concurrency: increaseLimit(use.concurrency, {inFlight: use.inFlight, maximum}),
		}));
		dropRequest(step, request);
	},
	'refused-not-run'(step, request, backendServerId, result) {
		const {nowMs} = step.context;
		const answer: RequestAnswer = {
			outcome: 'refused-not-run',
			status: result.status,
			error: {kind: result.errorKind, message: result.message, remedy: result.remedy},
			retryAfterMs: result.retryAfterMs,
		};
		if (isAboutRequest(result.status)) {
			answerRequest(step, request, request.mayHaveRun && request.description.idempotency !== 'keyed' ? uncertainAnswer(request, result.message) : answer);
			return;
		}

		const pauseMs = avoidAfterRefusalMs[result.errorKind] ?? avoidAfterOtherRefusalMs;
		updateUse(step, backendServerId, use => ({
			...use,
			avoidUntilMs: nowMs + pauseMs,
			concurrency: result.errorKind === 'busy' ? decreaseLimit(use.concurrency, nowMs) : use.concurrency,
		}));
		if (result.errorKind === 'key-released') {
			releaseClaim(step, request, result.message);
			return;
		}

		if (request.description.idempotency === 'keyed') {
			// The claimed agent alone decides for the key, so its word holds for every attempt.
			answerRequest(step, request, answer);
			return;
		}

		retryOr(step, request, result.canResend, given => {
			refuseRequest(step, given, answer);
		});
	},
	'not-sent'(step, request, backendServerId, result) {
		updateUse(step, backendServerId, use => avoidBroken(use, step.context.nowMs));
		retryOr(step, request, result.canResend, given => {
			// Another entry may have sent an attempt with the same key to the claimed agent.
			if (given.description.idempotency === 'keyed' && !given.description.firstAttempt) {
				answerRequest(step, given, uncertainAnswer(given, result.message));
			} else {
				refuseRequest(step, given, refusalAnswer('no-backend-server'));
			}
		});
	},
	'broken-before-answer'(step, request, backendServerId, result) {
		updateUse(step, backendServerId, use => avoidBroken(use, step.context.nowMs));
		const canResend = result.canResend && request.description.idempotency !== 'unkeyed';
		retryOr(step, {...request, mayHaveRun: true}, canResend, answerUncertain(step, result.message));
	},
	'broken-in-answer'(step, request, backendServerId) {
		updateUse(step, backendServerId, use => avoidBroken(use, step.context.nowMs));
		dropRequest(step, request);
	},
	failed(step, request, _backendServerId, result) {
		const canResend = result.canResend && request.description.idempotency === 'idempotent';
		retryOr(step, {...request, mayHaveRun: true}, canResend, given => {
			answerRequest(step, given, {
				outcome: 'failed', status: 502, error: {kind: 'request-failed', message: result.message, remedy: 'look at the backend server\'s logs before you retry'},
			});
		});
	},
	'outcome-unknown'(step, request, _backendServerId, result) {
		const canResend = result.canResend && request.description.idempotency === 'idempotent';
		retryOr(step, {...request, mayHaveRun: true}, canResend, answerUncertain(step, result.message));
	},
};

/**
Takes the end of a forward: adapts the backend server's limit, then answers, retries or forgets the request.

@example
finishForward(step, request, 'b3', {kind: 'answered'});
*/
export function finishForward<Kind extends ForwardResult['kind']>(
	step: RequestReduction,
	request: PendingRequest,
	backendServerId: string,
	result: Extract<ForwardResult, {kind: Kind}>,
): void {
	finishSteps[result.kind](step, request, backendServerId, result);
}
