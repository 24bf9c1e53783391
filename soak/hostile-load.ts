import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';

/** Connections that send the same bytes and then stay open without another byte. */
export type HostileLoad = Readonly<{
	address: string;
	connections: number;
	/** What each connection sends; nothing for an idle connection. */
	bytes: Buffer;
}>;

/** Connections that are opened at once; more of them overflow the queue of a listening socket, and the kernel connects them seconds later. */
const connectsAtOnce = 100;

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
Returns the head of a request whose headers never end.

@example
unfinishedHead(8192).length; // => 8192
*/
export function unfinishedHead(bytes: number): Buffer {
	const start = 'GET /q/ HTTP/1.1\r\nhost: 127.0.0.1\r\nx-padding: ';
	return Buffer.from(start.padEnd(bytes, 'a'));
}

/**
Opens the connections of a load and resolves once each of them has sent all of its bytes or was closed; returns a function that closes those
that are still open.

@example
const stop = await sendHostileLoad({address: '127.0.0.1:20001', connections: 500, bytes: unfinishedHead(8192)});
stop();
*/
export async function sendHostileLoad({address, connections, bytes}: HostileLoad): Promise<() => void> {
	const [host, port] = address.split(':');
	const sockets: Socket[] = [];
	const sent: Array<Promise<void>> = [];
	let remaining = connections;

	/** Resolves once the connection is open or has failed, and records when its bytes are sent. */
	async function open(): Promise<void> {
		const socket = connect({host, port: Number(port)});
		sockets.push(socket);
		// The answer to a refused connection is read, so that the peer can close it.
		socket.resume();
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
					socket.write(bytes, () => {
						resolveSent();
					});
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
