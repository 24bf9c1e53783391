import {createHash} from 'node:crypto';
import {type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'true-myth/result';
import {z} from 'zod';
import {nameSchema, priorityClassSchema} from '../cluster/intent.js';
import {type RequestAnswer} from '../requests/request-effect.js';
import {type Idempotency, type RequestDescription} from '../requests/request-event.js';
import {badRequestAnswer} from './caller-answer.js';

/** Longest deadline that a caller may set: one hour. */
const maxDeadlineMs = 3_600_000;

const headersSchema = z.object({
	'idempotency-key': z.string().min(1).max(256).optional(),
	'x-arbutushinge-idempotent': z.enum(['true', 'false']).optional(),
	'x-arbutushinge-priority': priorityClassSchema.default('normal'),
	'x-arbutushinge-deadline-ms': z.string().regex(/^\d{1,7}$/v, 'use whole milliseconds, from 1 to 3600000')
		.transform(Number).pipe(z.int().min(1).max(maxDeadlineMs)).optional(),
	'x-arbutushinge-caller': nameSchema.optional(),
	'x-arbutushinge-attempt': z.string().regex(/^[1-9]\d{0,5}$/v, 'use a whole number from 1').optional(),
});

const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD']);

/** A request with a valid request line and headers; its body is not read yet. */
export type CallerRequest = Readonly<{
	service: string;
	/** Path and query after the service's name, with a leading slash. */
	target: string;
	key: string | undefined;
	description: Omit<RequestDescription, 'keyHash' | 'bodyHash'>;
	deadlineMs: number;
}>;

function idempotencyOf(method: string, isMarked: boolean, key: string | undefined): Idempotency {
	if (idempotentMethods.has(method) || isMarked) {
		return 'idempotent';
	}

	return key === undefined ? 'unkeyed' : 'keyed';
}

function splitTarget(url: string): Readonly<{service: string; target: string}> | undefined {
	const match = /^\/services\/(?<service>[^\/?]*)(?<target>[\/?].*)?$/v.exec(url);
	if (!match?.groups) {
		return undefined;
	}

	const {service, target = '/'} = match.groups;
	return {service: service!, target: target.startsWith('?') ? `/${target}` : target};
}

/**
Checks a caller's request line and headers. The error is the answer that refuses the request.

@example
readCallerRequest(request, {requestId: 'r1', nowMs: 0, defaultDeadlineMs: 10_000}).isOk;
*/
export function readCallerRequest(
	request: IncomingMessage,
	defaults: Readonly<{requestId: string; nowMs: number; defaultDeadlineMs: number}>,
): Result<CallerRequest, RequestAnswer> {
	const split = splitTarget(request.url ?? '');
	if (split === undefined || !nameSchema.safeParse(split.service).success) {
		return err(badRequestAnswer({
			status: 400,
			kind: 'path-invalid',
			message: 'the path names no service',
			remedy: 'use /services/{service}/{path} with a service name of 1 to 128 letters, digits, dots, colons, hyphens or underscores',
		}));
	}

	const headers = headersSchema.safeParse(request.headers satisfies IncomingHttpHeaders);
	if (!headers.success) {
		const [issue] = headers.error.issues;
		const name = String(issue!.path[0]);
		return err(badRequestAnswer({
			status: 400, kind: 'header-invalid', message: `the header ${name} is not valid`, remedy: issue!.message,
		}));
	}

	const key = headers.data['idempotency-key'];
	const method = request.method ?? 'GET';
	const deadlineMs = headers.data['x-arbutushinge-deadline-ms'] ?? defaults.defaultDeadlineMs;
	return ok({
		...split,
		key,
		deadlineMs,
		description: {
			requestId: defaults.requestId,
			service: split.service,
			idempotency: idempotencyOf(method, headers.data['x-arbutushinge-idempotent'] === 'true', key),
			priority: headers.data['x-arbutushinge-priority'],
			caller: headers.data['x-arbutushinge-caller'] ?? request.socket.remoteAddress ?? 'unknown',
			deadlineAtMs: defaults.nowMs + deadlineMs,
			firstAttempt: headers.data['x-arbutushinge-attempt'] === '1',
			arrivedAtMs: defaults.nowMs,
		},
	});
}

/**
Returns the SHA-256 hash of a key and its service in base64url, so that neither the log service nor log lines contain the key itself.

@example
hashKey('loaf-ordering', 'order-7').length; // => 43
*/
export function hashKey(service: string, key: string): string {
	return createHash('sha256').update(service).update('\0').update(key).digest('base64url');
}

/**
Returns the SHA-256 hash of a keyed request in base64url: method, path, query and body.

@example
hashKeyedRequest('POST', '/orders', Buffer.from('{}')).length; // => 43
*/
export function hashKeyedRequest(method: string, target: string, body: Uint8Array): string {
	return createHash('sha256').update(method).update('\0').update(target).update('\0').update(body).digest('base64url');
}
