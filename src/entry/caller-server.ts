import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import polka from 'polka';
import {type Result} from 'true-myth/result';
import {type RequestAnswer} from '../requests/request-effect.js';
import {type RequestEvent} from '../requests/request-event.js';
import {type EntrySettings} from '../settings/entry-settings.js';
import {type EventLog} from '../telemetry/event-log.js';
import {createLineLimit} from '../telemetry/line-limit.js';
import {type Metrics} from '../telemetry/metrics.js';
import {type TypedError} from '../errors/typed-error.js';
import {createDefaultIntake} from '../intake/default-intake.js';
import {guardConnections} from '../intake/guard-connections.js';
import {hasBody} from '../intake/has-body.js';
import {type Intake} from '../intake/intake.js';
import {type BodyRefusal, readBody} from '../intake/read-body.js';
import {outcomeUnknownAnswer} from '../requests/key-claims.js';
import {badRequestAnswer, sendCallerAnswer} from './caller-answer.js';
import {bufferedCallerBody, createCallerBody, type CallerBody} from './caller-body.js';
import {isHopByHop, type CallerExchange, type CallerExchanges} from './caller-exchange.js';
import {
	hashKey, hashKeyedRequest, readCallerRequest, type CallerRequest,
} from './caller-request.js';

/** An error of a job function with the HTTP status of its answer. */
export type CallerJobError = Readonly<{status: number; error: TypedError; retryAfterMs?: number}>;

/** Functions behind the job paths; their values are sent as JSON. */
export type CallerJobs = Readonly<{
	submit: (body: unknown) => Promise<Result<unknown, CallerJobError>>;
	find: (jobId: string) => Promise<Result<unknown, CallerJobError>>;
	cancel: (jobId: string) => Promise<Result<unknown, CallerJobError>>;
}>;

/** Whether the entry is ready for requests; `reason` is empty when it is. */
export type Readiness = Readonly<{isReady: boolean; reason: string}>;

export type CallerServerOptions = Readonly<{
	settings: Readonly<Pick<EntrySettings, 'callerAddress' | 'limits'>>;
	/** Receives the events `request-arrived` and `request-abandoned`. */
	dispatch: (event: RequestEvent) => void;
	/** Shared with the request forwarder, which writes the answers to their responses. */
	exchanges: CallerExchanges;
	jobs: CallerJobs;
	/** Called for requests that are refused before they are dispatched. */
	onRefusal: (requestId: string, answer: RequestAnswer) => void;
	readiness: () => Readiness;
	/** Returns the time on the clock that the reducer's events use. */
	nowMs: () => number;
	log: EventLog;
	/** Counts malformed requests, for which no event is dispatched. */
	metrics: Metrics;
	/** Account of the process. */
	intake?: Intake;
}>;

export type CallerServer = Readonly<{
	/** Listens on the caller address and returns the port. */
	listen: () => Promise<number>;
	/** Accepts no new connections and resolves when every request in flight is answered. */
	close: () => Promise<void>;
}>;

/** A request with the named parts of its path. */
type RoutedRequest = IncomingMessage & Readonly<{params: Readonly<Record<string, string | string[]>>}>;

/** Bodies up to this size are retained, so that a request can be sent again. */
const maxRetainedBodyBytes = 65_536;

/** Memory for the bodies of keyed requests of all callers together. */
const maxKeyedBodiesBytes = 134_217_728;

const maxJobBytes = 1_048_576;

/** Lines a second about refused requests; a crowd of clients outside the limits must not fill the log. */
const refusalLinesPerSecond = 20;

/** Retry time for callers whose body had to make room for others. */
const bodiesFullRetryAfterMs = 1000;

function bodyTooLargeAnswer(limitBytes: number): RequestAnswer {
	return badRequestAnswer({
		status: 413, kind: 'body-too-large', message: `the body exceeds ${limitBytes} bytes`, remedy: 'send a smaller body',
	});
}

/** Answers by the status of a refused body. */
const bodyRefusalAnswers: Readonly<Record<BodyRefusal['status'], (limitBytes: number) => RequestAnswer>> = {
	400: () => badRequestAnswer({
		status: 400, kind: 'body-cut', message: 'the connection closed before the body ended', remedy: 'send the whole body',
	}),
	408: () => badRequestAnswer({
		status: 408, kind: 'body-too-slow', message: 'the body did not arrive before the deadline', remedy: 'send the body faster or name a later deadline',
	}),
	413: limitBytes => bodyTooLargeAnswer(limitBytes),
	503: () => ({
		...badRequestAnswer({
			status: 503, kind: 'bodies-full', message: 'too many bodies are being received', remedy: 'retry after the time in Retry-After',
		}), retryAfterMs: bodiesFullRetryAfterMs,
	}),
};

async function readBytes(request: IncomingMessage, intake: Intake, limitBytes: number, timeoutMs: number): Promise<Result<Buffer, RequestAnswer>> {
	const bytes = await readBody(request, {
		intake, group: 'callers', maxBytes: limitBytes, timeoutMs,
	});
	return bytes.mapErr(({status}) => bodyRefusalAnswers[status](limitBytes));
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
	if (!response.headersSent && !response.destroyed) {
		const body = Buffer.from(JSON.stringify(value));
		response.writeHead(status, {'content-type': 'application/json', 'content-length': body.length});
		response.end(body);
	}
}

function sendResult(response: ServerResponse, status: number, result: Result<unknown, CallerJobError>): void {
	if (result.isOk) {
		sendJson(response, status, result.value);
	} else {
		sendJson(response, result.error.status, {error: result.error.error});
	}
}

function forwardedHeaders(request: IncomingMessage): readonly string[] {
	const {rawHeaders, headers} = request;
	const forwarded: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		if (!isHopByHop(rawHeaders[index]!, headers.connection)) {
			forwarded.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return forwarded;
}

const malformedAnswers: Readonly<Record<string, Readonly<{status: number; kind: string; message: string; remedy: string}>>> = {
	HPE_HEADER_OVERFLOW: {
		status: 431, kind: 'header-too-large', message: 'the header is too large', remedy: 'send fewer or shorter headers',
	},
	ERR_HTTP_REQUEST_TIMEOUT: {
		status: 408, kind: 'header-too-slow', message: 'the request did not arrive in time', remedy: 'send the request faster',
	},
};

function answerMalformed(error: Error & {code?: string}, socket: Duplex): void {
	if (!socket.writable || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	const {status, ...body} = malformedAnswers[error.code ?? ''] ?? {
		status: 400, kind: 'request-malformed', message: 'the request is not valid HTTP/1.1', remedy: 'use an HTTP client library',
	};
	const text = JSON.stringify({error: body});
	socket.end([
		`HTTP/1.1 ${status} Refused`,
		'content-type: application/json',
		`content-length: ${Buffer.byteLength(text)}`,
		'x-arbutushinge-outcome: refused-not-run',
		'connection: close',
		'',
		text,
	].join('\r\n'));
}

/**
Creates the server for callers. It checks each request, stores its exchange and dispatches `request-arrived`; the request forwarder
answers through the exchange. Neither bodies nor keys are logged.

@example
const server = createCallerServer({settings, dispatch, exchanges: new Map(), jobs, onRefusal, readiness, nowMs: () => performance.now(), log, metrics});
await server.listen();
*/
export function createCallerServer(options: CallerServerOptions): CallerServer {
	const {settings: {callerAddress, limits}, dispatch, exchanges, jobs, onRefusal, readiness, nowMs, log, metrics, intake = createDefaultIntake('entry')} = options;
	/** Response of the newest valid service request on each connection. It shows whether an idle connection waits for an answer; if so, it is not closed. */
	const responseBySocket = new WeakMap<Duplex, ServerResponse>();
	const refusalLimit = createLineLimit({linesPerSecond: refusalLinesPerSecond});
	let isClosing = false;
	let reservedKeyedBytes = 0;

	function admit(response: ServerResponse, checked: CallerRequest, body: CallerBody | undefined, hashes: Readonly<{keyHash?: string; bodyHash?: string}>): void {
		const request = response.req;
		const {requestId} = checked.description;
		const exchange: CallerExchange = {
			requestId,
			service: checked.service,
			method: request.method ?? 'GET',
			target: checked.target,
			headers: forwardedHeaders(request),
			...hashes,
			body,
			response,
		};
		exchanges.set(requestId, exchange);
		response.once('close', () => {
			exchanges.delete(requestId);
			// `close` also fires after a complete answer, before the forwarder's promise resolves. `setImmediate` lets the forwarder dispatch the end
			// of the request first; the request is then no longer pending, and the reducer ignores `request-abandoned`.
			setImmediate(() => {
				dispatch({kind: 'request-abandoned', requestId});
				if (isClosing) {
					server.closeIdleConnections();
				}
			});
		});
		dispatch({kind: 'request-arrived', ...checked.description, ...hashes});
	}

	function refuse(response: ServerResponse, requestId: string, answer: RequestAnswer): void {
		const {isAllowed, omitted} = refusalLimit(nowMs());
		if (isAllowed) {
			log.info('request-refused', {requestId, reason: answer.error.kind, omitted: omitted === 0 ? undefined : omitted});
		}

		onRefusal(requestId, answer);
		sendCallerAnswer(response, answer);
	}

	async function admitKeyed(request: IncomingMessage, response: ServerResponse, checked: CallerRequest): Promise<void> {
		const reservedBytes = Math.min(limits.keyedBodyBytes, Number(request.headers['content-length'] ?? limits.keyedBodyBytes));
		if (reservedKeyedBytes + reservedBytes > maxKeyedBodiesBytes) {
			refuse(response, checked.description.requestId, checked.description.firstAttempt
				? {
					...badRequestAnswer({
						status: 503, kind: 'keyed-bodies-full', message: 'too many keyed bodies are held in memory', remedy: 'retry after the time in Retry-After',
					}), retryAfterMs: 1000,
				}
				: outcomeUnknownAnswer('too many keyed bodies are held in memory, and an earlier attempt with this key may have run'));
			return;
		}

		reservedKeyedBytes += reservedBytes;
		response.once('close', () => {
			reservedKeyedBytes -= reservedBytes;
		});
		const bytes = await readBytes(request, intake, limits.keyedBodyBytes, checked.deadlineMs);
		if (bytes.isErr) {
			refuse(response, checked.description.requestId, bytes.error);
			return;
		}

		if (response.destroyed) {
			return;
		}

		const hashes = {
			keyHash: hashKey(checked.service, checked.key!),
			bodyHash: hashKeyedRequest(request.method ?? 'POST', checked.target, bytes.value),
		};
		admit(response, checked, bytes.value.length === 0 ? undefined : bufferedCallerBody(bytes.value), hashes);
	}

	async function handleServiceRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const requestId = randomUUID();
		response.setHeader('x-arbutushinge-request-id', requestId);
		if (isClosing) {
			response.setHeader('connection', 'close');
		}

		const checked = readCallerRequest(request, {requestId, nowMs: nowMs(), defaultDeadlineMs: limits.defaultDeadlineMs});
		if (checked.isErr) {
			refuse(response, requestId, checked.error);
			return;
		}

		responseBySocket.set(request.socket, response);
		if (checked.value.description.idempotency === 'keyed') {
			await admitKeyed(request, response, checked.value);
			return;
		}

		if (Number(request.headers['content-length'] ?? 0) > limits.bodyBytes) {
			refuse(response, requestId, bodyTooLargeAnswer(limits.bodyBytes));
			return;
		}

		const body = hasBody(request) ? createCallerBody(request, {retainBytes: maxRetainedBodyBytes, limitBytes: limits.bodyBytes, bodies: intake.bodies('callers')}) : undefined;
		admit(response, checked.value, body, {});
	}

	async function submitJob(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const bytes = await readBytes(request, intake, maxJobBytes, limits.idleTimeoutMs);
		if (bytes.isErr) {
			sendCallerAnswer(response, bytes.error);
			return;
		}

		let body: unknown;
		try {
			body = JSON.parse(bytes.value.toString('utf8'));
		} catch {
			sendCallerAnswer(response, badRequestAnswer({
				status: 400, kind: 'json-invalid', message: 'the body is not valid JSON', remedy: 'send a job as JSON',
			}));
			return;
		}

		sendResult(response, 202, await jobs.submit(body));
	}

	/** Wraps a handler so that its failure is logged and closes only its own connection. */
	function destroyOnFailure(handler: (request: RoutedRequest, response: ServerResponse) => Promise<void>): (request: RoutedRequest, response: ServerResponse) => void {
		return (request, response) => {
			handler(request, response).catch((error: unknown) => {
				log.error('caller-server-failed', {message: error instanceof Error ? error.message : 'unknown'});
				response.destroy();
			});
		};
	}

	const server: Server = createServer({
		maxHeaderSize: limits.headerBytes,
		headersTimeout: limits.idleTimeoutMs,
		keepAliveTimeout: limits.idleTimeoutMs,
		connectionsCheckingInterval: Math.max(50, Math.min(1000, Math.floor(limits.idleTimeoutMs / 4))),
	});
	server.maxConnections = limits.connections;
	guardConnections(server, {intake, group: 'callers'});
	server.on('clientError', (error, socket) => {
		metrics.increment('callers.malformed');
		answerMalformed(error, socket);
	});
	server.setTimeout(limits.idleTimeoutMs, (socket: Socket) => {
		const response = responseBySocket.get(socket);
		const isWaiting = response !== undefined && !response.writableEnded && !response.headersSent && response.req.complete;
		if (!isWaiting) {
			socket.destroy();
		}
	});

	const app = polka({
		server,
		onNoMatch(_request, response) {
			sendCallerAnswer(response, badRequestAnswer({
				status: 404, kind: 'path-unknown', message: 'there is nothing at this path', remedy: 'use /services/{service}/{path}, /jobs, /ready or /health',
			}));
		},
		onError(error, _request, response) {
			log.error('caller-server-failed', {message: error.message});
			response.destroy();
		},
	});
	app.get('/ready', (_request, response) => {
		const {isReady, reason} = readiness();
		sendJson(response, isReady && !isClosing ? 200 : 503, {ready: isReady && !isClosing, reason: isClosing ? 'the entry is closing' : reason});
	});
	app.get('/health', (_request, response) => {
		sendJson(response, 200, {healthy: true});
	});
	app.all('/services/:service', destroyOnFailure(handleServiceRequest));
	app.all('/services/:service/*', destroyOnFailure(handleServiceRequest));
	app.post('/jobs', destroyOnFailure(submitJob));
	app.get('/jobs/:jobId', destroyOnFailure(async (request, response) => {
		sendResult(response, 200, await jobs.find(String(request.params.jobId)));
	}));
	app.delete('/jobs/:jobId', destroyOnFailure(async (request, response) => {
		sendResult(response, 202, await jobs.cancel(String(request.params.jobId)));
	}));

	return {
		async listen() {
			const [host, port] = callerAddress.split(':');
			return new Promise((resolve, reject) => {
				server.once('error', reject);
				app.listen({port: Number(port), host, backlog: intake.pendingConnections}, () => {
					server.off('error', reject);
					const address = server.address();
					resolve(typeof address === 'object' && address ? address.port : Number(port));
				});
			});
		},
		async close() {
			isClosing = true;
			for (const {response} of exchanges.values()) {
				if (!response.headersSent) {
					response.setHeader('connection', 'close');
				}
			}

			return new Promise(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeIdleConnections();
			});
		},
	};
}
