import {type RequestAnswer} from './request-effect.js';

/** Refusals of requests that this entry did not forward. `proveNotRun` decides whether an answer may claim "not run". */
export type RefusalKind = 'service-unknown' | 'no-backend-server' | 'queue-full' | 'wait-too-long' | 'waited-too-long' | 'log-unavailable' | 'claim-not-sent';

const refusals: Readonly<Record<RefusalKind, Readonly<{status: number; message: string; remedy: string; retryAfterMs?: number}>>> = {
	'service-unknown': {status: 404, message: 'no such service is admitted', remedy: 'check the service in the path, or ask an operator to admit it'},
	'no-backend-server': {
		status: 503, message: 'no backend server of the service takes work', remedy: 'retry after the time in Retry-After', retryAfterMs: 1000,
	},
	'queue-full': {status: 429, message: 'too many requests of this class wait', remedy: 'retry after the time in Retry-After'},
	'wait-too-long': {
		status: 429, message: 'the request would wait longer than its deadline or the queue\'s limit allows', remedy: 'retry after the time in Retry-After',
	},
	'waited-too-long': {
		status: 503,
		message: 'the request waited for a place until its deadline or the queue\'s limit passed',
		remedy: 'retry after the time in Retry-After',
		retryAfterMs: 1000,
	},
	'log-unavailable': {
		status: 503, message: 'no new key can be claimed while the log is unavailable', remedy: 'retry with the same key after the time in Retry-After', retryAfterMs: 1000,
	},
	'claim-not-sent': {
		status: 503, message: 'the agent that the key was bound to ended before the request was sent', remedy: 'send the request with a new key', retryAfterMs: 100,
	},
};

/**
Returns a refusal with the outcome "not run".

@example
refusalAnswer('queue-full', 250).status; // => 429
*/
export function refusalAnswer(kind: RefusalKind, retryAfterMs?: number): RequestAnswer {
	const refusal = refusals[kind];
	return {
		outcome: 'refused-not-run',
		status: refusal.status,
		error: {kind, message: refusal.message, remedy: refusal.remedy},
		retryAfterMs: retryAfterMs ?? refusal.retryAfterMs,
	};
}

/**
Returns the answer for an idempotent request whose attempts ended without a whole answer.

@example
failedAnswer('the connection to the agent broke').status; // => 502
*/
export function failedAnswer(message: string): RequestAnswer {
	return {outcome: 'failed', status: 502, error: {kind: 'request-failed', message, remedy: 'retry; the request is idempotent'}};
}

/**
Returns the answer for an unkeyed request that is not idempotent and that may have run.

@example
mayHaveRunAnswer('the connection to the agent broke').status; // => 504
*/
export function mayHaveRunAnswer(message: string): RequestAnswer {
	return {
		outcome: 'outcome-unknown',
		status: 504,
		error: {kind: 'outcome-unknown', message, remedy: 'check whether the request took effect; send an Idempotency-Key to be able to retry'},
	};
}
