import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import {finished, pipeline} from 'node:stream/promises';
import PQueue from 'p-queue';
import {createHttpConnections, isConnectFailure, type HttpConnections} from '../worker/http-connections.js';
import type {AgentEffectOf} from './agent-effect.js';
import type {RequestSettlement} from './agent-event.js';
import type {Exchange} from './exchange.js';
import {LatencyWindow} from './latency-window.js';
import {refusalOf, type RefusalKind} from './request-outcome.js';

/** Headers that belong to one connection, or that only the agent and the entry exchange. */
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
	/** 99th percentile of the latency of each backend server. */
	latencies: () => ReadonlyArray<Readonly<{backendServerId: string; p99Ms: number}>>;
	forget: (backendServerId: string) => void;
	close: () => Promise<void>;
}>;

type Options = Readonly<{
	keyedAnswerBytes: number;
	nowMs: () => number;
	settle: (requestId: string, settlement: RequestSettlement) => void;
}>;

/** Headers for the backend server; a body without a length is sent in chunks, whatever the method. */
function requestHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
	return Object.fromEntries([
		...Object.entries(headers).filter(([name]) => !droppedHeaders.has(name)),
		...(headers['transfer-encoding'] === undefined ? [] : [['transfer-encoding', 'chunked'] as const]),
	]);
}

/** Names and values in turn, repeated headers included. */
function answerHeaders(rawHeaders: readonly string[]): string[] {
	return rawHeaders.flatMap((name, index) => index % 2 === 1 || droppedHeaders.has(name.toLowerCase())
		? []
		: [name.toLowerCase(), rawHeaders[index + 1] ?? '']);
}

/** Answers that a client receives always have a status. */
function statusOf(answer: IncomingMessage): number {
	return answer.statusCode ?? 502;
}

function hasBody(headers: IncomingHttpHeaders): boolean {
	return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/**
Makes a client that runs at most `slots` requests at a time on each backend server and passes bodies through as streams.

@example
const client = createBackendServerClient({keyedAnswerBytes: 262_144, nowMs, settle});
*/
export function createBackendServerClient({keyedAnswerBytes, nowMs, settle}: Options): BackendServerClient {
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

	/** Streams an answer to the entry. A broken one resets the connection, so that it never looks whole. */
	async function streamAnswer(exchange: Exchange, answer: IncomingMessage, bufferedChunks: readonly Uint8Array[]): Promise<void> {
		const {response} = exchange.details;
		exchange.clearDeadline();
		if (!exchange.isOpen) {
			// The backend server works until its answer ends, so the slot stays taken until then.
			answer.resume();
			try {
				await finished(answer);
			} catch {
				// The answer broke off, which ends it too.
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

	return {
		run(exchange, effect) {
			const target = targetOf(effect);
			void target.queue.add(async () => send(exchange, effect.keyed, target));
		},
		latencies: () => [...targets].map(([backendServerId, target]) => ({backendServerId, p99Ms: target.latencies.p99Ms(nowMs())})),
		forget(backendServerId) {
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
