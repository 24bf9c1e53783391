import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {hasBody} from './has-body.js';
import type {Intake} from './intake.js';
import type {IntakeGroup} from './intake-shares.js';

/** Times after which a connection is closed. */
export type ConnectionTimeouts = Readonly<{
	/** From the first byte of a request's headers to the last. */
	headerTimeoutMs: number;
	/** Between two requests, and before the first one. */
	idleTimeoutMs: number;
}>;

type Connection = {
	/** Requests that were read and not answered. */
	unanswered: number;
	/** Bytes read when the connection became idle; more of them mean that a request has begun. */
	idleBytes: number;
	idleSinceMs: number;
	/** When the check first saw that a request has begun. */
	begunAtMs: number | undefined;
	readonly shed: () => void;
};

/** Interval between two checks of the times. */
const checkIntervalMs = 250;

/** Requests that a connection may have in flight; Node.js sets no bound to those that a client sends without waiting for answers. */
const maxPipelinedRequests = 32;

/** Requests of all connections of a server that may be in flight behind another one of their connection. */
const maxPipelinedRequestsOfServer = 512;

const tooSlowAnswer = 'HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n';

/**
Counts the connections of a server in the account of the process, which closes those that have been incomplete for the longest time. A
connection is complete while its request, read to the end, waits for the answer. With `timeouts`, closes connections that are idle or send
headers for too long; to be called before `listen`.

@example
guardConnections(server, {intake, group: 'readiness'});
*/
export function guardConnections(server: Server, {intake, group, timeouts, nowMs = () => performance.now()}: Readonly<{
	intake: Intake;
	group: IntakeGroup;
	timeouts?: () => ConnectionTimeouts;
	nowMs?: () => number;
}>): void {
	const part = intake.connections(group);
	const connections = new Map<Socket, Connection>();
	/** Unanswered requests of all connections, less the first one of each. */
	let pipelinedRequests = 0;

	function setUnanswered(connection: Connection, unanswered: number): void {
		pipelinedRequests += Math.max(0, unanswered - 1) - Math.max(0, connection.unanswered - 1);
		connection.unanswered = unanswered;
	}

	function markIdle(socket: Socket, connection: Connection): void {
		connection.idleBytes = socket.bytesRead;
		connection.idleSinceMs = nowMs();
		connection.begunAtMs = undefined;
		part.begin(connection);
	}

	function close(socket: Socket): void {
		intake.recordRefusal(group, 'header-too-slow');
		socket.pause();
		socket.end(tooSlowAnswer, () => {
			socket.destroy();
		});
	}

	function checkTimes({headerTimeoutMs, idleTimeoutMs}: ConnectionTimeouts): void {
		const checkNowMs = nowMs();
		for (const [socket, connection] of connections) {
			if (connection.unanswered > 0) {
				continue;
			}

			if (socket.bytesRead === connection.idleBytes) {
				if (checkNowMs - connection.idleSinceMs > idleTimeoutMs) {
					socket.destroy();
				}

				continue;
			}

			connection.begunAtMs ??= checkNowMs;
			if (checkNowMs - connection.begunAtMs > headerTimeoutMs && !socket.writableEnded) {
				close(socket);
			}
		}
	}

	server.on('connection', (socket: Socket) => {
		const connection: Connection = {
			unanswered: 0,
			idleBytes: 0,
			idleSinceMs: nowMs(),
			begunAtMs: undefined,
			shed() {
				socket.destroy();
			},
		};
		if (!part.claim(connection, 1)) {
			socket.destroy();
			return;
		}

		connections.set(socket, connection);
		socket.once('close', () => {
			connections.delete(socket);
			// Node.js reports no end of responses that wait behind another one.
			setUnanswered(connection, 0);
			part.release(connection);
		});
	});

	/** Counts a request; returns false when its connection is closed, by this request or by one before that was read with it. */
	function admit(request: IncomingMessage, response: ServerResponse): boolean {
		const {socket} = request;
		const connection = connections.get(socket);
		if (!connection || socket.destroyed) {
			return false;
		}

		const isPipelined = connection.unanswered > 0;
		if (isPipelined && (connection.unanswered === maxPipelinedRequests || pipelinedRequests === maxPipelinedRequestsOfServer)) {
			intake.recordRefusal(group, 'requests-pipelined');
			socket.destroy();
			return false;
		}

		setUnanswered(connection, connection.unanswered + 1);
		if (hasBody(request)) {
			request.once('end', () => {
				part.complete(connection);
			});
		} else {
			part.complete(connection);
		}

		response.once('close', () => {
			if (!connections.has(socket)) {
				return;
			}

			setUnanswered(connection, connection.unanswered - 1);
			if (connection.unanswered === 0) {
				markIdle(socket, connection);
			}
		});
		return true;
	}

	// One read may hold a thousand requests, and a listener cannot keep those that are refused from the listeners behind it.
	const emit = server.emit.bind(server) as (event: string, ...values: readonly unknown[]) => boolean;
	server.emit = (event: string, ...values: readonly unknown[]) => {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Node.js emits these two with each request.
		const isRefused = event === 'request' && !admit(...values as [IncomingMessage, ServerResponse]);
		return !isRefused && emit(event, ...values);
	};

	if (timeouts) {
		const timer = setInterval(() => {
			checkTimes(timeouts());
		}, checkIntervalMs);
		timer.unref();
		server.once('close', () => {
			clearInterval(timer);
		});
	}
}
