import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';

/** Connections that send the same bytes and then stay open without another byte. */
export type HostileLoad = Readonly<{
	address: string;
	connections: number;
	/** What each connection sends; nothing for an idle connection. */
	bytes: Buffer;
	/** Bytes of each write; by default all of them at once. */
	pieceBytes?: number;
	/** Whether the clients read what they are answered; by default they do. */
	readsAnswers?: boolean;
}>;

/** Connections that are opened at once; more of them overflow the queue of a listening socket, and the kernel connects them seconds later. */
const connectsAtOnce = 100;

/** The most bytes that a client reads of answers that it does not read on. */
const unreadBufferBytes = 1;

/**
Returns the head of a chunked request and a body in chunks of one size, without the chunk that ends it.

@example
unfinishedBody({method: 'POST', path: '/q/5c0e7a21d94b36f8', bodyBytes: 60_000, chunkBytes: 1});
*/
export function unfinishedBody({method, path, bodyBytes, chunkBytes}: Readonly<{method: string; path: string; bodyBytes: number; chunkBytes: number}>): Buffer {
	const chunk = `${chunkBytes.toString(16)}\r\n${'a'.repeat(chunkBytes)}\r\n`;
	return Buffer.from(`${method} ${path} HTTP/1.1\r\nhost: 127.0.0.1\r\ntransfer-encoding: chunked\r\n\r\n${chunk.repeat(Math.floor(bodyBytes / chunkBytes))}`);
}

/**
Returns a request whose headers declare the length of its body, without the last bytes of the body.

@example
requestWithLength({method: 'POST', path: '/q/5c0e7a21d94b36f8', body: '{}', missingBytes: 1});
*/
export function requestWithLength({method, path, body, missingBytes = 0, headers = []}: Readonly<{
	method: string;
	path: string;
	body: string;
	missingBytes?: number;
	headers?: readonly string[];
}>): Buffer {
	const head = [`${method} ${path} HTTP/1.1`, 'host: 127.0.0.1', `content-length: ${body.length}`, ...headers].join('\r\n');
	return Buffer.from(`${head}\r\n\r\n${body.slice(0, body.length - missingBytes)}`);
}

/**
Returns the head of a request whose headers never end.

@example
unfinishedHead(8192).length; // => 8192
*/
export function unfinishedHead(bytes: number): Buffer {
	const start = 'GET /q/ HTTP/1.1\r\nhost: 127.0.0.1\r\nx-padding: ';
	return Buffer.from(start.padEnd(bytes, 'a'));
}

/** Writes the bytes piece by piece, each after the kernel has taken the one before; calls `onSent` after the last one. */
function write(socket: Socket, bytes: Buffer, pieceBytes: number, onSent: () => void): void {
	socket.write(bytes.subarray(0, pieceBytes), error => {
		if (error) {
			return;
		}

		if (bytes.length <= pieceBytes) {
			onSent();
			return;
		}

		setImmediate(() => {
			write(socket, bytes.subarray(pieceBytes), pieceBytes, onSent);
		});
	});
}

/**
Opens the connections of a load and resolves once each of them has sent all of its bytes or was closed; returns a function that closes those
that are still open.

@example
const stop = await sendHostileLoad({address: '127.0.0.1:20001', connections: 500, bytes: unfinishedHead(8192)});
stop();
*/
export async function sendHostileLoad({address, connections, bytes, pieceBytes = bytes.length, readsAnswers = true}: HostileLoad): Promise<() => void> {
	const [host, port] = address.split(':');
	const sockets: Socket[] = [];
	const sent: Array<Promise<void>> = [];
	let remaining = connections;

	/** Resolves once the connection is open or has failed, and records when its bytes are sent. */
	async function open(): Promise<void> {
		const socket = connect({host, port: Number(port), ...(!readsAnswers && {highWaterMark: unreadBufferBytes})});
		sockets.push(socket);
		if (readsAnswers) {
			// The answer to a refused connection is read, so that the peer can close it.
			socket.resume();
		}

		return new Promise(resolve => {
			socket.once('connect', resolve);
			sent.push(new Promise(resolveSent => {
				socket.on('error', () => {
					socket.destroy();
				});
				socket.once('close', () => {
					resolve();
					resolveSent();
				});
				if (bytes.length > 0) {
					write(socket, bytes, pieceBytes, resolveSent);
				} else {
					socket.once('connect', () => {
						resolveSent();
					});
				}
			}));
		});
	}

	async function openSome(): Promise<void> {
		while (remaining > 0) {
			remaining--;
			await open();
		}
	}

	await Promise.all(Array.from({length: connectsAtOnce}, async () => openSome()));
	await Promise.all(sent);
	return () => {
		for (const socket of sockets) {
			socket.destroy();
		}
	};
}
