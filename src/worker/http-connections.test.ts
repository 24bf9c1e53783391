import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import {createHttpConnections, isConnectFailure, type HttpConnections} from './http-connections.js';

async function connectTo(t: ExecutionContext, listener: RequestListener): Promise<HttpConnections> {
	const server = createServer(listener);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	const connections = createHttpConnections({address: `127.0.0.1:${typeof bound === 'object' && bound ? bound.port : 0}`, connections: 2});
	t.teardown(() => {
		connections.destroy();
		server.closeAllConnections();
		server.close();
	});
	return connections;
}

const call = {
	method: 'POST', path: '/hold', headers: {}, timeoutMs: 300,
} as const;

test('an answer arrives whole, whatever its characters and chunks', async t => {
	const text = 'räck '.repeat(1000);
	const connections = await connectTo(t, (request, response) => {
		request.resume();
		const bytes = new TextEncoder().encode(text);
		response.statusCode = 409;
		response.write(bytes.subarray(0, 2));
		setTimeout(() => {
			response.end(bytes.subarray(2));
		}, 20);
	});
	t.deepEqual(await connections.exchange({...call, body: '{}'}), {status: 409, text});
});

test('an answer that is missing or incomplete fails the exchange after its timeout', async t => {
	const connections = await connectTo(t, (request, response) => {
		request.resume();
		if (request.url === '/half') {
			response.write('half');
		}
	});
	await t.throwsAsync(connections.exchange(call), {message: 'no answer within 300 ms'});
	await t.throwsAsync(connections.exchange({...call, path: '/half'}));
});

test('a connection that is reset in the middle of the answer fails the exchange', async t => {
	const connections = await connectTo(t, (request, response) => {
		response.write('half', () => {
			request.socket.destroy();
		});
	});
	await t.throwsAsync(connections.exchange({...call, timeoutMs: 5000}));
});

test('an exchange whose connection is refused fails as one that was never sent', async t => {
	const connections = createHttpConnections({address: '127.0.0.1:9', connections: 1});
	const error = await t.throwsAsync(connections.exchange(call));
	t.true(isConnectFailure(error));
	connections.destroy();
});
