import {err, ok, type Result} from 'true-myth/result';
import {Pool} from 'undici';
import {z} from 'zod';
import {
	type LogError, type LogErrorKind, type LogLimits, type LogService,
} from './log-service.js';

/** A record holds the largest job of a caller, and an append the largest snapshot. */
const limits: LogLimits = {recordBytes: 2 * 1024 * 1024, appendBytes: 9 * 1024 * 1024};

const appendAnswerSchema = z.object({firstOffset: z.int().min(0)});

const readAnswerSchema = z.object({
	records: z.array(z.object({offset: z.int().min(0), value: z.string()})),
	nextOffset: z.int().min(0),
	firstRetainedOffset: z.int().min(0),
	tailOffset: z.int().min(0),
});

const boundsAnswerSchema = z.object({firstRetainedOffset: z.int().min(0), nextOffset: z.int().min(0)});

const remedies: Readonly<Record<LogErrorKind, string>> = {
	'log-unavailable': 'check the log service and `logServiceUrl`; the call is retried',
	'log-rate-limited': 'raise `appendIntervalMs`; the call is retried more slowly',
	'log-maybe-applied': 'append the same records again unchanged; readers apply them once',
	'log-protocol': 'check that `logServiceUrl` names the log service and that its version fits',
};

function logError(kind: LogErrorKind, message: string): LogError {
	return {kind, message, remedy: remedies[kind]};
}

/** Any other error status leaves open whether an append took effect. */
const errorKindByStatus: Readonly<Partial<Record<number, LogErrorKind>>> = {
	400: 'log-protocol',
	404: 'log-protocol',
	413: 'log-protocol',
	429: 'log-rate-limited',
	503: 'log-unavailable',
};

/** Codes of errors that occur before a request is sent. */
const notSentCodes: ReadonlySet<unknown> = new Set([
	'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_DESTROYED', 'UND_ERR_CLOSED',
]);

function isNotSent(error: unknown): boolean {
	return error instanceof Error && 'code' in error && notSentCodes.has(error.code);
}

/**
Creates a client of the platform's log service. A call fails with `log-unavailable` when the service reports it or cannot be
reached, with `log-rate-limited` when the service reports it, and with `log-protocol` when the service rejects the request or the
answer to a read is malformed. An append fails with `log-maybe-applied` when its answer is lost or malformed. `timeoutMs` limits
each call; a read may take its `waitMs` longer.

@example
const service = createHttpLogService({baseUrl: 'http://127.0.0.1:7100', timeoutMs: 1000});
const appended = await service.append('arbutushinge', ['value']); // => Ok(0)
await service.close();
*/
export function createHttpLogService(options: Readonly<{baseUrl: string; timeoutMs: number}>): LogService & Readonly<{close: () => Promise<void>}> {
	const base = new URL(options.baseUrl);
	const basePath = base.pathname.replace(/\/$/v, '');
	const pool = new Pool(base.origin, {connections: 8, connect: {timeout: options.timeoutMs}});

	async function call<Answer>(
		request: Readonly<{method: 'GET' | 'POST'; path: string; body?: string; timeoutMs: number}>,
		schema: z.ZodType<Answer>,
	): Promise<Result<Answer, LogError>> {
		const lostKind = request.method === 'POST' ? 'log-maybe-applied' : 'log-unavailable';
		let text: string;
		try {
			const response = await pool.request({
				method: request.method,
				path: basePath + request.path,
				body: request.body,
				headers: request.body === undefined ? {} : {'content-type': 'application/json'},
				signal: AbortSignal.timeout(request.timeoutMs),
			});
			text = await response.body.text();
			if (response.statusCode !== 200) {
				const kind = errorKindByStatus[response.statusCode] ?? lostKind;
				return err(logError(kind, `the log service answered ${response.statusCode} to ${request.method} ${request.path}: ${text.slice(0, 200)}`));
			}
		} catch (error) {
			const message = `${request.method} ${request.path} got no whole answer: ${error instanceof Error ? error.message : String(error)}`;
			return err(logError(isNotSent(error) ? 'log-unavailable' : lostKind, message));
		}

		try {
			return ok(schema.parse(JSON.parse(text)));
		} catch {
			return err(logError(request.method === 'POST' ? 'log-maybe-applied' : 'log-protocol', `the answer to ${request.method} ${request.path} is not of the expected form`));
		}
	}

	const pathOf = (stream: string) => `/streams/${encodeURIComponent(stream)}`;
	return {
		limits,
		async append(stream, values) {
			const answer = await call({
				method: 'POST', path: `${pathOf(stream)}/records`, body: JSON.stringify({records: values}), timeoutMs: options.timeoutMs,
			}, appendAnswerSchema);
			return answer.map(({firstOffset}) => firstOffset);
		},
		async read(stream, fromOffset, {limit, waitMs}) {
			const answer = await call({
				method: 'GET',
				path: `${pathOf(stream)}/records?from=${fromOffset}&limit=${limit}&waitMs=${waitMs}`,
				timeoutMs: options.timeoutMs + waitMs,
			}, readAnswerSchema);
			return answer.map(({records, ...page}) => ({values: records, ...page}));
		},
		async bounds(stream) {
			const answer = await call({method: 'GET', path: pathOf(stream), timeoutMs: options.timeoutMs}, boundsAnswerSchema);
			return answer.map(({firstRetainedOffset, nextOffset}) => ({firstRetainedOffset, tailOffset: nextOffset}));
		},
		async close() {
			await pool.destroy();
		},
	};
}
