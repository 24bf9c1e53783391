import {
	Agent, request as sendRequest, type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders,
} from 'node:http';
import {pipeline, type Readable} from 'node:stream';

/** Timeout for opening a connection; most servers run on the same VM. */
const connectTimeoutMs = 1000;

/** Time after which an unused connection is closed. */
const idleTimeoutMs = 4000;

/** Idle connections are closed this long before the server's idle timeout, so that no request is sent on a connection that the server is closing. */
const idleMarginMs = 2000;

/** One request whose response body is read by the caller. */
export type HttpCall = Readonly<{
	method: string;
	path: string;
	headers: OutgoingHttpHeaders;
	body: Readable | string | undefined;
	signal?: AbortSignal | undefined;
}>;

/** One request whose answer is short and returned as a whole. */
export type HttpExchange = Readonly<{
	method: string;
	path: string;
	headers: OutgoingHttpHeaders;
	body?: string;
	/** The request is aborted if the whole answer has not arrived within this time. */
	timeoutMs: number;
}>;

/** A short answer. */
export type HttpAnswer = Readonly<{status: number; text: string}>;

/** Connections to one address that stay open between requests. */
export type HttpConnections = Readonly<{
	/** Resolves when the headers of the answer have arrived; the caller reads its body. */
	send: (call: HttpCall) => Promise<IncomingMessage>;
	/** Resolves with the whole answer; costs less than `send` with a signal and a reader of the body. */
	exchange: (call: HttpExchange) => Promise<HttpAnswer>;
	/** Returns whether a connection is open and has no request, so that the next request uses it. */
	hasIdleConnection: () => boolean;
	/** Closes each connection when its request has ended. */
	closeWhenIdle: () => void;
	/** Ends all connections and the requests in flight. */
	destroy: () => void;
}>;

/** Returns the error of a connection that was not opened in time. Like all connect errors it has `syscall: 'connect'`, which `isConnectFailure` checks. */
function connectTimeout(address: string, timeoutMs: number): Error {
	return Object.assign(new Error(`no connection to ${address} within ${timeoutMs} ms`), {code: 'ETIMEDOUT', syscall: 'connect'});
}

/** Returns how long the server keeps an idle connection open, as its `Keep-Alive` header states. */
function serverIdleTimeoutMs(answer: IncomingMessage): number | undefined {
	const seconds = /timeout=(?<seconds>\d+)/v.exec([answer.headers['keep-alive'] ?? ''].flat().join(','))?.groups?.seconds;
	return seconds === undefined ? undefined : Number(seconds) * 1000;
}

/**
Returns whether an error shows that no byte of a request was sent.

@example
isConnectFailure(Object.assign(new Error('refused'), {syscall: 'connect'})); // => true
*/
export function isConnectFailure(error: unknown): boolean {
	return error instanceof Error && 'syscall' in error && error.syscall === 'connect';
}

/**
Returns whether an error shows that nothing listens at the address.

@example
isConnectionRefused(Object.assign(new Error('refused'), {code: 'ECONNREFUSED', syscall: 'connect'})); // => true
*/
export function isConnectionRefused(error: unknown): boolean {
	return isConnectFailure(error) && error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

/**
Creates a pool of HTTP/1.1 connections to one address, which are opened on demand. It uses `node:http` because the
WebAssembly parser of undici takes more memory than the agent has (docs/decisions/agent-footprint.md).

@example
const connections = createHttpConnections({address: '127.0.0.1:7000', connections: 4});
const answer = await connections.send({method: 'GET', path: '/tasks', headers: {}, body: undefined});
*/
export function createHttpConnections({address, connections}: Readonly<{address: string; connections: number}>): HttpConnections {
	const {hostname, port} = new URL(`http://${address}`);
	const agent = new Agent({keepAlive: true, maxSockets: connections, timeout: idleTimeoutMs});
	const inFlight = new Set<ClientRequest>();
	let isDestroyed = false;

	function startConnectTimer(outgoing: ClientRequest): void {
		outgoing.once('socket', socket => {
			if (!socket.connecting) {
				return;
			}

			const timer = setTimeout(() => {
				outgoing.destroy(connectTimeout(address, connectTimeoutMs));
			}, connectTimeoutMs);
			const stopTimer = (): void => {
				clearTimeout(timer);
			};

			socket.once('connect', stopTimer);
			socket.once('close', stopTimer);
		});
	}

	/** Closes the connection before the server does, if the server announces a short idle timeout. */
	function applyServerIdleTimeout(answer: IncomingMessage): void {
		const idleMs = serverIdleTimeoutMs(answer);
		if (idleMs !== undefined && idleMs < idleTimeoutMs + idleMarginMs) {
			const {socket} = answer;
			socket.once('free', () => {
				socket.setTimeout(Math.max(1, idleMs - idleMarginMs));
			});
		}
	}

	function open({method, path, headers, signal}: Pick<HttpCall, 'method' | 'path' | 'headers' | 'signal'>, onResponse: (answer: IncomingMessage) => void): ClientRequest {
		const outgoing = sendRequest({
			agent, hostname, port: port === '' ? 80 : port, method, path, headers, signal,
		});
		inFlight.add(outgoing);
		outgoing.once('close', () => {
			inFlight.delete(outgoing);
		});
		outgoing.once('response', answer => {
			applyServerIdleTimeout(answer);
			onResponse(answer);
		});
		startConnectTimer(outgoing);
		return outgoing;
	}

	return {
		async exchange({timeoutMs, body, ...call}) {
			return new Promise((resolve, reject) => {
				if (isDestroyed) {
					reject(new Error(`the connections to ${address} are closed`));
					return;
				}

				const fail = (error: Error): void => {
					clearTimeout(timer);
					reject(error);
				};

				const outgoing = open(call, answer => {
					let text = '';
					answer.setEncoding('utf8');
					answer.on('data', (chunk: string) => {
						text += chunk;
					});
					answer.once('end', () => {
						clearTimeout(timer);
						resolve({status: answer.statusCode ?? 0, text});
					});
					answer.once('error', fail);
				});
				const timer = setTimeout(() => {
					const isConnected = outgoing.socket?.connecting === false;
					outgoing.destroy(isConnected ? new Error(`no answer within ${timeoutMs} ms`) : connectTimeout(address, timeoutMs));
				}, timeoutMs);
				outgoing.on('error', fail);
				outgoing.end(body);
			});
		},
		async send({method, path, headers, body, signal}) {
			return new Promise((resolve, reject) => {
				if (isDestroyed) {
					reject(new Error(`the connections to ${address} are closed`));
					return;
				}

				const outgoing = open({
					method, path, headers, signal,
				}, resolve);
				// Later errors reach the reader of the body. This handler must stay: an `error` event without a handler ends the process.
				outgoing.on('error', reject);
				if (body === undefined || typeof body === 'string') {
					outgoing.end(body);
				} else {
					pipeline(body, outgoing, error => {
						if (error) {
							reject(error);
						}
					});
				}
			});
		},
		hasIdleConnection: () => Object.values(agent.freeSockets).flat().some(socket => socket?.destroyed === false),
		closeWhenIdle() {
			agent.maxFreeSockets = 0;
			for (const socket of Object.values(agent.freeSockets).flat()) {
				socket?.destroy();
			}
		},
		destroy() {
			isDestroyed = true;
			for (const outgoing of inFlight) {
				outgoing.destroy();
			}

			agent.destroy();
		},
	};
}
