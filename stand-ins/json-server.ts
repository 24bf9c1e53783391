import {Buffer} from 'node:buffer';
import {createServer, type Server} from 'node:http';
import {type Socket} from 'node:net';
import polka from 'polka';
import {ZodError} from 'zod';

/** Answer of a handler; `cut` closes the connection without an answer. */
export type JsonAnswer = Readonly<{status: number; body?: unknown}> | 'cut';

/** Handles one request; `body` is the parsed JSON body, or undefined when there is none. */
export type JsonHandler = (request: JsonRequest, body: unknown) => JsonAnswer | Promise<JsonAnswer>;

/** Parts of a request that are passed to a handler. */
export type JsonRequest = Readonly<{
	params: Readonly<Record<string, string>>;
	query: Readonly<Record<string, unknown>>;
	socket: Socket;
}>;

/** A handler with its method and its path, such as `/tasks/:taskId`. */
export type JsonRoute = Readonly<{method: 'GET' | 'PUT' | 'POST' | 'DELETE'; path: string; handle: JsonHandler}>;

/** A server on 127.0.0.1; `close` also closes the connections that are still open. */
export type LocalServer = Readonly<{url: string; address: string; server: Server; close: () => Promise<void>}>;

const maxBodyBytes = 64 * 1024 * 1024;

async function readBody(request: AsyncIterable<Uint8Array>): Promise<unknown> {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	for await (const chunk of request) {
		bytes += chunk.length;
		if (bytes > maxBodyBytes) {
			throw new SyntaxError(`the body is longer than ${maxBodyBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return bytes === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

async function runHandler(handle: JsonHandler, request: JsonRequest, stream: AsyncIterable<Uint8Array>): Promise<JsonAnswer> {
	try {
		return await handle(request, await readBody(stream));
	} catch (error) {
		if (error instanceof ZodError || error instanceof SyntaxError) {
			return {status: 400, body: {error: error.message}};
		}

		return 'cut';
	}
}

/** Starts listening on 127.0.0.1; port 0 selects a free port. */
export async function listenLocally(server: Server, port: number): Promise<LocalServer> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	const bound = server.address();
	const address = `127.0.0.1:${typeof bound === 'object' && bound ? bound.port : port}`;
	return {
		url: `http://${address}`,
		address,
		server,
		async close() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeAllConnections();
			});
		},
	};
}

/** Starts a JSON server on 127.0.0.1. Invalid JSON and input that a handler's schema rejects are answered with status 400. */
export async function startJsonServer(routes: readonly JsonRoute[], port: number): Promise<LocalServer> {
	const server = createServer();
	const app = polka({server});
	for (const {method, path, handle} of routes) {
		app.add(method, path, async (request, response) => {
			const parameters = Object.fromEntries(Object.entries(request.params).map(([name, value]) => [name, decodeURIComponent(String(value))]));
			const answer = await runHandler(handle, {params: parameters, query: request.query, socket: request.socket}, request);
			if (answer === 'cut') {
				request.socket.destroy();
			} else if (!response.destroyed) {
				response.writeHead(answer.status, {'content-type': 'application/json'});
				response.end(answer.body === undefined ? '' : JSON.stringify(answer.body));
			}
		});
	}

	server.on('request', app.handler);
	return listenLocally(server, port);
}
