import {once} from 'node:events';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {resetConnection} from './reset-connection.js';

/** Faults of a link. Bytes that are held arrive when the fault ends, as with a network that drops packets for a while. */
export type LinkFault
	= | Readonly<{kind: 'none'}>
		| Readonly<{kind: 'delay'; delayMs: number}>
	/** Holds what the connecting side sends. */
		| Readonly<{kind: 'cut-to-target'}>
	/** Holds what the target sends. */
		| Readonly<{kind: 'cut-from-target'}>
		| Readonly<{kind: 'silence'}>
	/** Resets the open connections and each new one. */
		| Readonly<{kind: 'reset'}>;

/** A TCP proxy between two processes. */
export type FaultProxy = Readonly<{setFault: (fault: LinkFault) => void; close: () => Promise<void>}>;

type Pair = Readonly<{client: Socket; target: Socket}>;

const isHeld: Readonly<Record<'to-target' | 'from-target', ReadonlySet<LinkFault['kind']>>> = {
	'to-target': new Set(['cut-to-target', 'silence']),
	'from-target': new Set(['cut-from-target', 'silence']),
};

/** Interval at which a held direction checks whether it may send again. */
const holdCheckMs = 20;

/**
Starts a proxy that listens at one address and connects to another for each connection.

@example
const proxy = await createFaultProxy({address: '127.0.0.2:7720', targetAddress: '127.0.0.1:20001'});
proxy.setFault({kind: 'delay', delayMs: 300});
await proxy.close();
*/
export async function createFaultProxy({address, targetAddress}: Readonly<{address: string; targetAddress: string}>): Promise<FaultProxy> {
	const pairs = new Set<Pair>();
	let fault: LinkFault = {kind: 'none'};

	/** Passes on chunks in their order, each after the delay and the end of a hold. */
	function forward(from: Socket, to: Socket, direction: 'to-target' | 'from-target'): void {
		let previous = Promise.resolve();
		const inOrder = (action: () => void): void => {
			const dueMs = performance.now() + (fault.kind === 'delay' ? fault.delayMs : 0);
			previous = previous.then(async () => {
				while (!to.destroyed && (isHeld[direction].has(fault.kind) || performance.now() < dueMs)) {
					await new Promise<void>(resolve => {
						setTimeout(resolve, holdCheckMs);
					});
				}

				action();
			});
		};

		from.on('data', (chunk: Uint8Array) => {
			inOrder(() => {
				to.write(chunk);
			});
		});
		from.on('end', () => {
			inOrder(() => {
				to.end();
			});
		});
		from.on('close', hadError => {
			inOrder(() => {
				if (hadError) {
					resetConnection(to);
				} else {
					to.destroySoon();
				}
			});
		});
		from.on('error', () => {
			// `close` follows and passes the end on.
		});
	}

	const server: Server = createServer({allowHalfOpen: true}, client => {
		if (fault.kind === 'reset') {
			client.on('error', () => {
				// The peer may reset the connection as well.
			});
			resetConnection(client);
			return;
		}

		const [host, port] = targetAddress.split(':');
		const target = connect({host, port: Number(port), allowHalfOpen: true});
		const pair: Pair = {client, target};
		pairs.add(pair);
		forward(client, target, 'to-target');
		forward(target, client, 'from-target');
		target.once('close', () => {
			pairs.delete(pair);
		});
	});
	const [host, port] = address.split(':');
	server.listen(Number(port), host);
	await once(server, 'listening');

	function resetAll(): void {
		for (const {client, target} of pairs) {
			resetConnection(client);
			resetConnection(target);
		}
	}

	return {
		setFault(next) {
			fault = next;
			if (next.kind === 'reset') {
				resetAll();
			}
		},
		async close() {
			fault = {kind: 'none'};
			resetAll();
			server.close();
			await once(server, 'close');
		},
	};
}
