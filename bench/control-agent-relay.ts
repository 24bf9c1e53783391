import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';

/** Payload bytes of TCP since the start, without the headers of TCP and IP. */
export type RelayedBytes = Readonly<{toEntry: number; toAgent: number}>;

/** Forwards connections to a loopback address and counts their bytes. */
export type ByteCountingRelay = Readonly<{
	address: string;
	bytes: () => RelayedBytes;
	close: () => Promise<void>;
}>;

/**
Opens a relay on a free port of 127.0.0.1.

@example
const relay = await openRelay('127.0.0.1:7002');
relay.bytes().toEntry; // => 0
await relay.close();
*/
export async function openRelay(targetAddress: string): Promise<ByteCountingRelay> {
	const [targetHost, targetPort] = targetAddress.split(':');
	const sockets = new Set<Socket>();
	let toEntry = 0;
	let toAgent = 0;

	const server = createServer(agentSide => {
		const entrySide = connect(Number(targetPort), targetHost);
		for (const socket of [agentSide, entrySide]) {
			sockets.add(socket);
			socket.setNoDelay(true);
			socket.on('error', () => {
				socket.destroy();
			});
			socket.on('close', () => {
				sockets.delete(socket);
				agentSide.destroy();
				entrySide.destroy();
			});
		}

		agentSide.on('data', chunk => {
			toEntry += chunk.length;
		});
		entrySide.on('data', chunk => {
			toAgent += chunk.length;
		});
		agentSide.pipe(entrySide);
		entrySide.pipe(agentSide);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	return {
		address: `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`,
		bytes: () => ({toEntry, toAgent}),
		async close() {
			const closed = once(server, 'close');
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}

			await closed;
		},
	};
}
