import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** A TCP proxy in front of the store, whose answers can be made late. */
export type SlowLink = Readonly<{
	/** Delays each answer by a time in milliseconds; 0 ends it. */
	setDelay: (delayMs: number) => void;
	/** Calls `action` once, when the store has answered the next request whose first line matches; the answer has not arrived at the caller then. */
	onceAnswered: (pattern: RegExp, action: () => void) => void;
	close: () => void;
}>;

/**
Starts the proxy.

@example
const link = await createSlowLink({address: '127.0.0.1:20001', targetAddress: store.address});
link.setDelay(240);
*/
export async function createSlowLink({address, targetAddress}: Readonly<{address: string; targetAddress: string}>): Promise<SlowLink> {
	const sockets = new Set<Socket>();
	let delayMs = 0;
	let awaited: Readonly<{pattern: RegExp; action: () => void}> | undefined;

	const server = createServer(client => {
		const [targetHost, targetPort] = targetAddress.split(':');
		const target = connect({host: targetHost, port: Number(targetPort)});
		let answers = Promise.resolve();
		let onAnswer: (() => void) | undefined;
		sockets.add(client).add(target);
		client.on('data', (chunk: Uint8Array) => {
			if (awaited?.pattern.test(new TextDecoder('latin1').decode(chunk).split('\r\n', 1)[0]!)) {
				onAnswer = awaited.action;
				awaited = undefined;
			}

			target.write(chunk);
		});
		target.on('data', (chunk: Uint8Array) => {
			onAnswer?.();
			onAnswer = undefined;
			const dueMs = performance.now() + delayMs;
			answers = answers.then(async () => {
				await delay(Math.max(0, dueMs - performance.now()));
				client.write(chunk);
			});
		});
		for (const [from, to] of [[client, target], [target, client]] as const) {
			from.on('error', () => {
				to.destroy();
			});
			from.on('close', () => {
				sockets.delete(from);
				to.destroy();
			});
		}
	});
	const [host, port] = address.split(':');
	server.listen(Number(port), host);
	await once(server, 'listening');
	return {
		setDelay(next) {
			delayMs = next;
		},
		onceAnswered(pattern, action) {
			awaited = {pattern, action};
		},
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
