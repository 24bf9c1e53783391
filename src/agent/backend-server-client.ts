import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import {finished, pipeline} from 'node:stream/promises';
import PQueue from 'p-queue';
import {messageOf} from '../errors/message-of.js';
import type {EventLog} from '../telemetry/event-log.js';
import {boundedText} from '../validation/bounded-text.js';
import {createHttpConnections, isConnectFailure, type HttpConnections} from '../worker/http-connections.js';
import type {AgentEffectOf} from './agent-effect.js';
import type {RequestSettlement} from './agent-event.js';
import type {Exchange} from './exchange.js';
import {LatencyWindow} from './latency-window.js';
import {refusalOf, type RefusalKind} from './request-outcome.js';

/** Headers that are not passed on: those of one connection, and those that only the agent and the entry exchange. */
const droppedHeaders: ReadonlySet<string> = new Set([
	'connection',
	'expect',
	'host',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'x-arbutushinge-agent-incarnation',
	'x-arbutushinge-backend-server',
	'x-arbutushinge-body-hash',
	'x-arbutushinge-claim-offset',
	'x-arbutushinge-deadline-ms',
	'x-arbutushinge-key',
	'x-arbutushinge-method',
	'x-arbutushinge-outcome',
]);

type Target = Readonly<{pool: HttpConnections; queue: PQueue; address: string; connections: number; latencies: LatencyWindow}>;

/** Sends requests to the backend servers of this VM. */
export type BackendServerClient = Readonly<{
	run: (exchange: Exchange, effect: AgentEffectOf<'run-request'>) => void;
	/** Returns the 99th percentile of each backend server's latency. */
	latencies: () => ReadonlyArray<Readonly<{backendServerId: string; p99Ms: number}>>;
	remove: (backendServerId: string) => void;
	close: () => Promise<void>;
}>;

type Options = Readonly<{
	keyedAnswerBytes: number;
	nowMs: () => number;
	settle: (requestId: string, settlement: RequestSettlement) => void;
	eventLog: EventLog;
}>;

/** Returns the headers for the backend server. A body without a length is sent in chunks with any method. */
function requestHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
	return Object.fromEntries([
		...Object.entries(headers).filter(([name]) => !droppedHeaders.has(name)),
		...(headers['transfer-encoding'] === undefined ? [] : [['transfer-encoding', 'chunked'] as const]),
	]);
}

/** Returns alternating names and values of the headers to pass on, including repeated headers. */
function answerHeaders(rawHeaders: readonly string[]): string[] {
	return rawHeaders.flatMap((name, index) => index % 2 === 1 || droppedHeaders.has(name.toLowerCase())
		? []
		: [name.toLowerCase(), rawHeaders[index + 1] ?? '']);
}

/** Returns the status of an answer; one that a client received always has it. */
function statusOf(answer: IncomingMessage): number {
	return answer.statusCode ?? 502;
}

function hasBody(headers: IncomingHttpHeaders): boolean {
	return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/**
Creates a client that runs at most `slots` requests at a time on each backend server and streams the bodies.

@example
const client = createBackendServerClient({keyedAnswerBytes: 262_144, nowMs, settle, eventLog});
*/
export function createBackendServerClient({keyedAnswerBytes, nowMs, settle, eventLog}: Options): BackendServerClient {
	const targets = new Map<string, Target>();

	function targetOf({backendServerId, address, slots, connections}: AgentEffectOf<'run-request'>): Target {
		const existing = targets.get(backendServerId);
		if (existing?.address === address && existing.connections === connections) {
			existing.queue.concurrency = slots;
			return existing;
		}

		const target: Target = {
			address,
			connections,
			pool: createHttpConnections({address, connections}),
			queue: existing?.queue ?? new PQueue({concurrency: slots}),
			latencies: existing?.latencies ?? new LatencyWindow(),
		};
		existing?.pool.closeWhenIdle();
		targets.set(backendServerId, target);
		return target;
	}

	function refuse(exchange: Exchange, kind: RefusalKind): void {
		const refusal = refusalOf(kind);
		settle(exchange.details.requestId, {kind: 'refused', refusal});
		exchange.refuse(refusal);
	}

	/** Streams an answer to the entry. If it breaks off, the connection is reset, so that it never looks complete. */
	async function streamAnswer(exchange: Exchange, answer: IncomingMessage, bufferedChunks: readonly Uint8Array[]): Promise<void> {
		const {response} = exchange.details;
		exchange.clearDeadline();
		if (!exchange.isOpen) {
			// The backend server works until its answer ends, so the slot stays in use until then.
			answer.resume();
			try {
				await finished(answer);
			} catch {
				// An answer that breaks off has ended, too.
			}

			return;
		}

		response.writeHead(statusOf(answer), [...answerHeaders(answer.rawHeaders), 'x-arbutushinge-outcome', 'done']);
		for (const chunk of bufferedChunks) {
			response.write(chunk);
		}

		await pipeline(answer, response);
	}

	async function bufferAnswer(exchange: Exchange, answer: IncomingMessage): Promise<void> {
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		const iterator: AsyncIterable<Uint8Array> = answer.iterator({destroyOnReturn: false});
		for await (const chunk of iterator) {
			chunks.push(chunk);
			bytes += chunk.byteLength;
			if (bytes > keyedAnswerBytes) {
				break;
			}
		}

		if (bytes > keyedAnswerBytes) {
			await streamAnswer(exchange, answer, chunks);
			settle(exchange.details.requestId, {kind: 'passed'});
			return;
		}

		const stored = {status: statusOf(answer), headers: answerHeaders(answer.rawHeaders), body: Buffer.concat(chunks)};
		settle(exchange.details.requestId, {kind: 'kept', answer: stored});
		exchange.answer(stored);
	}

	async function send(exchange: Exchange, keyed: boolean, target: Target): Promise<void> {
		if (exchange.isWithdrawn) {
			return;
		}

		if (nowMs() >= exchange.details.deadlineMs) {
			refuse(exchange, 'deadline-passed');
			return;
		}

		exchange.isSent = true;
		const {request, response} = exchange.details;
		try {
			const answer = await target.pool.send({
				method: exchange.details.method,
				path: exchange.details.path,
				headers: requestHeaders(request.headers),
				body: hasBody(request.headers) ? request : undefined,
			});
			if (keyed) {
				await bufferAnswer(exchange, answer);
			} else {
				await streamAnswer(exchange, answer, []);
				settle(exchange.details.requestId, {kind: 'passed'});
			}

			target.latencies.record(nowMs() - exchange.details.arrivedAtMs);
		} catch (error) {
			if (response.headersSent) {
				response.destroy();
			}

			refuse(exchange, isConnectFailure(error) ? 'unreachable' : 'answer-lost');
		}
	}

	/** Sends a request; never rejects, and an exchange whose end cannot be recorded is logged. */
	async function sendSafely(exchange: Exchange, keyed: boolean, target: Target): Promise<void> {
		try {
			await send(exchange, keyed, target);
		} catch (error) {
			eventLog.error('request-result-unusable', {requestId: exchange.details.requestId, reason: boundedText(messageOf(error))});
			exchange.refuse(refusalOf('answer-lost'));
		}
	}

	return {
		run(exchange, effect) {
			const target = targetOf(effect);
			void target.queue.add(async () => sendSafely(exchange, effect.keyed, target));
		},
		latencies: () => [...targets].map(([backendServerId, target]) => ({backendServerId, p99Ms: target.latencies.p99Ms(nowMs())})),
		remove(backendServerId) {
			targets.get(backendServerId)?.pool.closeWhenIdle();
			targets.delete(backendServerId);
		},
		async close() {
			for (const target of targets.values()) {
				target.pool.destroy();
			}
		},
	};
}
