import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type Socket} from 'node:net';
import test from 'ava';
import {createDefaultIntake} from './default-intake.js';
import {guardConnections} from './guard-connections.js';

const request = 'GET / HTTP/1.1\r\nhost: 127.0.0.1\r\n\r\n';

test('pipelined requests of closed connections no longer count', async t => {
	let requests = 0;
	const server = createServer(() => {
		requests++;
	});
	guardConnections(server, {intake: createDefaultIntake('entry'), group: 'callers'});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' && address ? address.port : 0;

	/** Sends requests, none of which is answered, and waits until the server has read them. */
	async function pipeline(count: number): Promise<Socket> {
		const expected = requests + count;
		const read = new Promise<void>(resolve => {
			server.on('request', () => {
				if (requests === expected) {
					resolve();
				}
			});
		});
		const socket = connect(port, '127.0.0.1');
		socket.write(request.repeat(count));
		await read;
		return socket;
	}

	for (let connection = 0; connection < 20; connection++) {
		const socket = await pipeline(32);
		socket.destroy();
		await once(socket, 'close');
	}

	const last = await pipeline(2);
	t.is(requests, 642);
	last.destroy();
	server.close();
	server.closeAllConnections();
});
