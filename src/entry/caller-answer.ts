import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {closeAfterAnswer} from '../intake/close-after-answer.js';
import {type RequestAnswer} from '../requests/request-effect.js';

/**
Sends an answer with a typed error, unless an answer has begun. Closes the connection if the caller's body was not read to its end.

@example
sendCallerAnswer(response, refusalAnswer('queue-full', 250));
*/
export function sendCallerAnswer(response: ServerResponse, answer: RequestAnswer): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const body = Buffer.from(JSON.stringify({error: answer.error}));
	const headers: Record<string, string | number> = {
		'content-type': 'application/json',
		'content-length': body.length,
		'x-arbutushinge-outcome': answer.outcome,
	};
	if (answer.retryAfterMs !== undefined) {
		headers['retry-after'] = Math.max(1, Math.ceil(answer.retryAfterMs / 1000));
	}

	closeAfterAnswer(response);
	response.writeHead(answer.status, headers);
	response.end(body);
}

/**
Returns the answer to an invalid request, which is not forwarded to any backend server.

@example
badRequestAnswer({status: 400, kind: 'priority-invalid', message: 'the priority is unknown', remedy: 'use urgent, normal or background'});
*/
export function badRequestAnswer(problem: Readonly<{status: number; kind: string; message: string; remedy: string}>): RequestAnswer {
	const {status, ...error} = problem;
	return {outcome: 'refused-not-run', status, error};
}
