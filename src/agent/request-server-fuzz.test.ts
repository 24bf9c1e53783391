import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import test from 'ava';
import fc from 'fast-check';
import {request} from 'undici';
import type {AgentEvent} from './agent-event.js';
import {createBackendServerClient} from './backend-server-client.js';
import {openRequestServer} from './request-server.js';

const ignore = (): void => undefined;

async function send(port: number, bytes: Uint8Array): Promise<string> {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', ignore);
	const chunks: Buffer[] = [];
	socket.on('data', (chunk: Buffer) => {
		chunks.push(chunk);
	});
	const closed = once(socket, 'close');
	socket.end(bytes);
	await closed;
	return Buffer.concat(chunks).toString('latin1');
}

test('malformed input at the agent\'s request port creates no event, and is answered with an error or dropped', async t => {
	const events: AgentEvent[] = [];
	const nowMs = (): number => performance.now();
	const client = createBackendServerClient({
		keyedAnswerBytes: 1024,
		nowMs,
		settle: ignore,
		eventLog: {
			debug: ignore, info: ignore, warn: ignore, error: ignore,
		},
	});
	const opened = await openRequestServer({
		requestAddress: '127.0.0.1:0',
		headerBytes: 16_384,
		client,
		nowMs,
		dispatch(event) {
			events.push(event);
		},
		health: () => ({}),
		timeline: () => [],
	});
	const server = opened.unwrapOrElse(error => {
		throw new Error(error.message);
	});
	await fc.assert(fc.asyncProperty(fc.uint8Array({minLength: 1, maxLength: 400}), async bytes => {
		await send(server.port, bytes);
	}), {numRuns: 50});
	const paths = fc.constantFrom('/announce', '/leaving', '/requests/loaf-ordering/x', '/requests', '/timeline?from=x');
	await fc.assert(fc.asyncProperty(paths, fc.oneof(fc.json(), fc.string({maxLength: 100})), async (path, body) => {
		const content = Buffer.from(body);
		const head = `POST ${path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: ${content.length}\r\n\r\n`;
		const answer = await send(server.port, Buffer.concat([Buffer.from(head), content]));
		return /^HTTP\/1\.1 4\d\d /v.test(answer);
	}), {numRuns: 50});
	t.deepEqual(events, []);
	const alive = await request(`http://127.0.0.1:${server.port}/health`);
	t.is(alive.statusCode, 200);
	await alive.body.dump();
	await server.close();
});
