import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import test from 'ava';
import {openEntrySession} from './entry-session.js';

const ignore = (): void => undefined;

const silentLog = {
	debug: ignore, info: ignore, warn: ignore, error: ignore,
};

/** Guards against an agent that ends, or waits forever, when an entry is frozen while its connection stays open. */
test('a stream whose entry never answers is aborted and opened again', async t => {
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' && address ? address.port : 0;
	const reasons: string[] = [];
	await new Promise<void>(resolve => {
		const session = openEntrySession(`127.0.0.1:${port}`, {
			connected() {
				session.send({case: 'hello', value: {}});
			},
			disconnected(reason) {
				reasons.push(reason);
				if (reasons.length === 2) {
					void session.close().then(resolve);
				}
			},
			message: () => undefined,
		}, {random: () => 0, heartbeatMs: 20, eventLog: silentLog});
	});
	for (const socket of sockets) {
		socket.destroy();
	}

	server.close();
	t.deepEqual(reasons, ['the entry does not answer heartbeats', 'the entry does not answer heartbeats']);
});
