import {type RequestAnswer} from './request-effect.js';
import {type PendingRequest} from './request-state.js';
import {proveNotRun, outcomeUnknownAnswer, type NotRunProof} from './key-claims.js';
import {
	answerRequest, enterPhase, releasePlace, type RequestReduction,
} from './request-reduction.js';
import {failedAnswer, mayHaveRunAnswer} from './refusals.js';
import {handleClaimedKey} from './forward-request.js';
import {type Idempotency} from './request-event.js';

/** Longest wait for the read of the log's tail that a refusal needs. */
const confirmTimeoutMs = 1000;

const uncertainAnswers: Readonly<Record<Idempotency, (message: string) => RequestAnswer>> = {
	idempotent: failedAnswer,
	keyed: outcomeUnknownAnswer,
	unkeyed: mayHaveRunAnswer,
};

/**
Returns the answer for a request that may have run and got no whole answer; it depends on the request's idempotency.

@example
uncertainAnswer(request, 'the deadline passed').outcome; // => 'failed' when idempotent, else 'outcome-unknown'
*/
export function uncertainAnswer(request: PendingRequest, message: string): RequestAnswer {
	return uncertainAnswers[request.description.idempotency](message);
}

const refusalHandlers: Readonly<Record<NotRunProof, (reduction: RequestReduction, request: PendingRequest, refusal: RequestAnswer) => void>> = {
	proven: answerRequest,
	claimed(reduction, request) {
		handleClaimedKey(reduction, request);
	},
	'tail-read-needed'(reduction, request, refusal) {
		enterPhase(reduction, request, {kind: 'confirming', refusal}, reduction.context.nowMs + confirmTimeoutMs);
		requestTailReadOnce(reduction);
	},
	'tail-unreadable'(reduction, request) {
		answerRequest(reduction, request, outcomeUnknownAnswer('the log cannot be read, so an earlier attempt with this key may have run'));
	},
};

/**
Refuses a request that this entry will not forward, with the strongest outcome that is proven.

@example
refuseRequest(reduction, request, refusalAnswer('queue-full'));
*/
export function refuseRequest(reduction: RequestReduction, request: PendingRequest, refusal: RequestAnswer): void {
	if (request.mayHaveRun) {
		answerRequest(reduction, request, uncertainAnswer(request, refusal.error.message));
		return;
	}

	const withoutPlace = releasePlace(reduction, request);
	refusalHandlers[proveNotRun(request.description, reduction.context)](reduction, withoutPlace, refusal);
}

/**
Requests a read of the log's tail unless one is pending; all requests in phase `confirming` share it.

@example
requestTailReadOnce(reduction);
*/
export function requestTailReadOnce(reduction: RequestReduction): void {
	if (!reduction.state.isTailReadPending) {
		reduction.state = {...reduction.state, isTailReadPending: true};
		reduction.effects.push({kind: 'confirm-log-tail'});
	}
}
