import {once} from 'node:events';
import {type AddressInfo, connect, createServer} from 'node:net';
import test from 'ava';
import {resetConnection} from './reset-connection.js';

test('a reset directly after the end of a connection closes it; an open one would keep the process from ending', async t => {
	t.timeout(10_000);
	const server = createServer({allowHalfOpen: true}, socket => {
		socket.resume();
		socket.on('error', () => {
			// The client resets the connection.
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- A TCP server has an address with a port.
	const client = connect({port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true});
	await once(client, 'connect');
	const errors: string[] = [];
	client.on('error', ({message}) => {
		errors.push(message);
	});
	const closed = once(client, 'close');
	client.end();
	resetConnection(client);
	await closed;
	t.deepEqual(errors, []);
	server.close();
});
