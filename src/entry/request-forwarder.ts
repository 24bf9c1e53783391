import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {type Readable} from 'node:stream';
import PQueue from 'p-queue';
import {errors, Pool, type Dispatcher} from 'undici';
import {z} from 'zod';
import {type ForwardRequestEffect, type RequestEffect} from '../requests/request-effect.js';
import {type ForwardResult, type RequestEvent} from '../requests/request-event.js';
import {messageOf} from '../errors/message-of.js';
import {type EventLog} from '../telemetry/event-log.js';
import {isAddress} from '../validation/address.js';
import {boundedText} from '../validation/bounded-text.js';
import {sendCallerAnswer} from './caller-answer.js';
import {isHopByHop, type CallerExchange, type CallerExchanges} from './caller-exchange.js';

export type RequestForwarderOptions = Readonly<{
	/** Shared with the caller server. */
	exchanges: CallerExchanges;
	/** Receives the event `forward-finished`. */
	dispatch: (event: RequestEvent) => void;
	log: EventLog;
	/** Maximum number of concurrent forwards. */
	concurrency: number;
	/** Maximum number of connections to one agent. */
	connectionsPerAgent?: number;
	connectTimeoutMs?: number;
	/** Maximum time between two chunks of an agent's answer. */
	answerIdleTimeoutMs?: number;
}>;

export type RequestForwarder = Readonly<{
	forward: (effect: ForwardRequestEffect) => void;
	cancel: (effect: Extract<RequestEffect, {kind: 'cancel-forward'}>) => void;
	answer: (effect: Extract<RequestEffect, {kind: 'answer-request'}>) => void;
	/** Closes the connection pools of all agents except those with the given addresses. */
	retainPools: (requestAddresses: ReadonlySet<string>) => void;
	close: () => Promise<void>;
}>;

/** A forward in progress. */
type RunningForward = {
	hasAnswerBegun: boolean;
	abort: (() => void) | undefined;
	isCancelled: boolean;
};

const errorBodySchema = z.object({error: z.object({kind: z.string(), message: z.string(), remedy: z.string()})});

/** Longest time after which an agent may tell a caller to retry, in seconds. */
const maxRetryAfterSeconds = 3600;

/** Longest message of an agent that is passed on, in characters. */
const maxMessageLength = 500;

/** Maximum size of an agent's error body; further chunks are dropped. */
const maxErrorBodyBytes = 65_536;

function agentHeaders(effect: ForwardRequestEffect, exchange: CallerExchange): string[] {
	const headers = [
		...exchange.headers,
		'X-Arbutushinge-Request-Id',
		effect.requestId,
		'X-Arbutushinge-Backend-Server',
		effect.backendServerId,
		'X-Arbutushinge-Method',
		exchange.method,
		'X-Arbutushinge-Agent-Incarnation',
		effect.agentIncarnation,
		'X-Arbutushinge-Deadline-Ms',
		String(Math.max(1, Math.floor(effect.remainingMs))),
	];
	if (exchange.keyHash !== undefined && exchange.bodyHash !== undefined) {
		headers.push('X-Arbutushinge-Key', exchange.keyHash, 'X-Arbutushinge-Body-Hash', exchange.bodyHash);
	}

	if (effect.claimOffset !== undefined) {
		headers.push('X-Arbutushinge-Claim-Offset', String(effect.claimOffset));
	}

	return headers;
}

function answerHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
	const connection = headers.connection?.toString();
	const forwarded: Record<string, string | string[]> = {'x-arbutushinge-outcome': 'done'};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !isHopByHop(name, connection)) {
			forwarded[name] = value;
		}
	}

	return forwarded;
}

/** An answer that comes from the agent itself instead of the backend server. */
type AgentRefusal = Readonly<{outcome: string | undefined; status: number; retryAfter: string | undefined; chunks: Uint8Array[]}>;

function parseError(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/** Returns the result that an agent reports for a request without an answer of the backend server. */
function readRefusal(refusal: AgentRefusal, canResend: boolean): ForwardResult {
	const {outcome, status, retryAfter, chunks} = refusal;
	const parsed = errorBodySchema.safeParse(parseError(Buffer.concat(chunks).toString('utf8')));
	const {kind, message, remedy} = parsed.data?.error ?? {kind: 'agent-error', message: `the agent answered ${status}`, remedy: 'retry later'};
	const error = {kind: boundedText(kind), message: boundedText(message, maxMessageLength), remedy: boundedText(remedy, maxMessageLength)};
	if (outcome === 'refused-not-run') {
		const retryAfterSeconds = Number(retryAfter);
		return {
			kind: 'refused-not-run',
			errorKind: error.kind,
			status: status >= 400 ? status : 503,
			message: error.message,
			remedy: error.remedy,
			retryAfterMs: Number.isFinite(retryAfterSeconds) ? Math.min(maxRetryAfterSeconds, Math.max(0, retryAfterSeconds)) * 1000 : undefined,
			canResend,
		};
	}

	if (outcome === 'failed') {
		return {kind: 'failed', message: error.message, canResend};
	}

	// Without an outcome header the request may or may not have run.
	return {kind: 'outcome-unknown', message: error.message, canResend};
}

/**
Creates the forwarder, which executes the effects that forward requests to agents and answer callers. Each forward that is not cancelled ends in
exactly one `forward-finished` event.

@example
const forwarder = createRequestForwarder({exchanges, dispatch, log, concurrency: 4096});
forwarder.forward(effect);
*/
export function createRequestForwarder(options: RequestForwarderOptions): RequestForwarder {
	const {exchanges, dispatch, log, concurrency, connectionsPerAgent = 256, connectTimeoutMs = 1000, answerIdleTimeoutMs = 30_000} = options;
	const pools = new Map<string, Pool>();
	const running = new Map<string, RunningForward>();
	const queue = new PQueue({concurrency});

	function poolFor(requestAddress: string): Pool {
		const existing = pools.get(requestAddress);
		if (existing !== undefined) {
			return existing;
		}

		const pool = new Pool(`http://${requestAddress}`, {
			connections: connectionsPerAgent,
			pipelining: 1,
			connect: {timeout: connectTimeoutMs},
			// No timeout: at the request's deadline, the reducer cancels a forward whose answer has not begun.
			headersTimeout: 0,
			bodyTimeout: answerIdleTimeoutMs,
		});
		pools.set(requestAddress, pool);
		return pool;
	}

	/** Sends a request to an agent. Rejects only before any of it is sent. */
	async function send(effect: ForwardRequestEffect, exchange: CallerExchange, forward: RunningForward): Promise<ForwardResult> {
		let body: Readable | undefined;
		if (exchange.body !== undefined) {
			body = exchange.body.open();
			if (body === undefined) {
				return {kind: 'not-sent', message: 'the body is no longer kept', canResend: false};
			}
		}

		const canResend = () => exchange.body?.canResend() ?? true;
		const {response} = exchange;
		return new Promise(resolve => {
			let mayBeSent = false;
			let refusal: AgentRefusal | undefined;
			let refusalBytes = 0;
			const handler: Dispatcher.DispatchHandler = {
				onRequestStart(controller) {
					mayBeSent = !forward.isCancelled;
					forward.abort = () => {
						controller.abort(new Error('cancelled'));
					};

					if (forward.isCancelled) {
						forward.abort();
					}
				},
				onResponseStart(controller, statusCode, headers) {
					if (statusCode < 200) {
						return;
					}

					const outcome = headers['x-arbutushinge-outcome']?.toString();
					if (outcome !== 'done') {
						refusal = {
							outcome, status: statusCode, retryAfter: headers['retry-after']?.toString(), chunks: [],
						};
						return;
					}

					if (response.destroyed || response.headersSent) {
						controller.abort(new Error('the caller is gone'));
						return;
					}

					forward.hasAnswerBegun = true;
					response.writeHead(statusCode, answerHeaders(headers));
					response.once('close', () => {
						if (!response.writableFinished) {
							controller.abort(new Error('the caller is gone'));
						}
					});
				},
				onResponseData(controller, chunk) {
					if (refusal !== undefined) {
						refusalBytes += chunk.length;
						if (refusalBytes <= maxErrorBodyBytes) {
							refusal.chunks.push(chunk);
						}

						return;
					}

					if (!response.write(chunk)) {
						controller.pause();
						response.once('drain', () => {
							controller.resume();
						});
					}
				},
				onResponseEnd() {
					if (refusal !== undefined) {
						resolve(readRefusal(refusal, canResend()));
						return;
					}

					response.end();
					resolve({kind: 'answered'});
				},
				onResponseError(_controller, error) {
					const {message} = error;
					if (forward.hasAnswerBegun) {
						response.destroy();
						resolve({kind: 'broken-in-answer', message});
					} else if (mayBeSent) {
						resolve({kind: 'broken-before-answer', message, canResend: canResend()});
					} else if (error instanceof errors.InvalidArgumentError || error instanceof errors.NotSupportedError) {
						// The request itself cannot be forwarded; the agent is not at fault.
						resolve({
							kind: 'refused-not-run', errorKind: 'request-malformed', status: 400, message, remedy: 'use an HTTP client library', canResend: false,
						});
					} else {
						resolve({kind: 'not-sent', message, canResend: canResend()});
					}
				},
			};
			poolFor(effect.requestAddress).dispatch({
				method: 'POST',
				path: `/requests/${effect.service}${exchange.target}`,
				headers: agentHeaders(effect, exchange),
				body,
			}, handler);
		});
	}

	async function trySend(effect: ForwardRequestEffect, exchange: CallerExchange, forward: RunningForward): Promise<ForwardResult> {
		const canResend = () => exchange.body?.canResend() ?? true;
		if (!isAddress(effect.requestAddress)) {
			return {kind: 'not-sent', message: `the agent's address cannot be used: ${boundedText(effect.requestAddress)}`, canResend: canResend()};
		}

		try {
			return await send(effect, exchange, forward);
		} catch (error) {
			return {kind: 'not-sent', message: boundedText(messageOf(error), maxMessageLength), canResend: canResend()};
		}
	}

	async function closePool(pool: Pool): Promise<void> {
		try {
			await pool.close();
		} catch (error) {
			log.warn('agent-connections-not-closed', {reason: boundedText(messageOf(error))});
		}
	}

	async function run(effect: ForwardRequestEffect, forward: RunningForward): Promise<void> {
		const {requestId, attempt, backendServerId} = effect;
		const exchange = exchanges.get(requestId);
		const result: ForwardResult = exchange === undefined || forward.isCancelled
			? {kind: 'not-sent', message: 'the caller is gone', canResend: false}
			: await trySend(effect, exchange, forward);
		if (running.get(requestId) === forward) {
			running.delete(requestId);
		}

		if (result.kind !== 'answered') {
			log.info('forward-not-answered', {
				requestId, attempt, backendServer: backendServerId, result: result.kind, message: result.kind === 'refused-not-run' ? result.errorKind : result.message,
			});
		}

		try {
			dispatch({
				kind: 'forward-finished', requestId, attempt, backendServerId, result,
			});
		} catch (error) {
			log.error('forward-result-unusable', {requestId, attempt, reason: boundedText(messageOf(error))});
		}
	}

	return {
		forward(effect) {
			const forward: RunningForward = {hasAnswerBegun: false, abort: undefined, isCancelled: false};
			running.set(effect.requestId, forward);
			void queue.add(async () => run(effect, forward));
		},
		cancel({requestId, reason}) {
			const forward = running.get(requestId);
			if (forward !== undefined && !(forward.hasAnswerBegun && reason === 'deadline')) {
				forward.isCancelled = true;
				forward.abort?.();
			}
		},
		answer({requestId, kind: _, ...answer}) {
			const exchange = exchanges.get(requestId);
			if (exchange !== undefined) {
				sendCallerAnswer(exchange.response, answer);
			}
		},
		retainPools(requestAddresses) {
			for (const [address, pool] of pools) {
				if (!requestAddresses.has(address)) {
					pools.delete(address);
					void closePool(pool);
				}
			}
		},
		async close() {
			await queue.onIdle();
			await Promise.all([...pools.values()].map(async pool => pool.close()));
		},
	};
}
