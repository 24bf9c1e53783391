import {type RequestAnswer} from './request-effect.js';
import {type PendingRequest} from './request-state.js';
import {proveNotRun, unknownAnswer, type NotRunProof} from './key-claims.js';
import {
	answerRequest, enterPhase, releasePlace, type RequestReduction,
} from './request-reduction.js';
import {failedAnswer, mayHaveRunAnswer} from './refusals.js';
import {followClaim} from './forward-request.js';
import {type Idempotency} from './request-event.js';

/** Longest wait for the read of the log's tail that a refusal needs. */
const confirmTimeoutMs = 1000;

const uncertainAnswers: Readonly<Record<Idempotency, (message: string) => RequestAnswer>> = {
	idempotent: failedAnswer,
	keyed: unknownAnswer,
	unkeyed: mayHaveRunAnswer,
};

/**
Gives the truthful answer for a request that may have run and got no whole answer.

@example
uncertainAnswer(request, 'the deadline passed').outcome; // => 'failed' when idempotent, else 'outcome-unknown'
*/
export function uncertainAnswer(request: PendingRequest, message: string): RequestAnswer {
	return uncertainAnswers[request.description.idempotency](message);
}

const refusalSteps: Readonly<Record<NotRunProof, (step: RequestReduction, request: PendingRequest, refusal: RequestAnswer) => void>> = {
	proven: answerRequest,
	claimed(step, request) {
		followClaim(step, request);
	},
	'tail-read-needed'(step, request, refusal) {
		enterPhase(step, request, {kind: 'confirming', refusal}, step.context.nowMs + confirmTimeoutMs);
		requestTailRead(step);
	},
	'tail-unreadable'(step, request) {
		answerRequest(step, request, unknownAnswer('the log cannot be read, so an earlier attempt with this key may have run'));
	},
};

/**
Refuses a request that this entry will not send, with the strongest statement that is proven.

@example
refuseRequest(step, request, refusalAnswer('queue-full'));
*/
export function refuseRequest(step: RequestReduction, request: PendingRequest, refusal: RequestAnswer): void {
	if (request.mayHaveRun) {
		answerRequest(step, request, uncertainAnswer(request, refusal.error.message));
		return;
	}

	const placeless = releasePlace(step, request);
	refusalSteps[proveNotRun(request.description, step.context)](step, placeless, refusal);
}

/**
Asks for a read of the log's tail unless one is on its way; all waiting refusals share it.

@example
requestTailRead(step);
*/
export function requestTailRead(step: RequestReduction): void {
	if (!step.state.isTailReadPending) {
		step.state = {...step.state, isTailReadPending: true};
		step.effects.push({kind: 'confirm-log-tail'});
	}
}
