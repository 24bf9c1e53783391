import {once} from 'node:events';
import {IncomingMessage, ServerResponse} from 'node:http';
import {connect, Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import {request} from 'undici';
import {isAddress} from '../validation/address.js';
import {isName} from '../validation/name.js';
import {jsonWithOddField} from '../validation/odd-values.js';
import type {AgentEvent} from './agent-event.js';
import {createBackendServerClient} from './backend-server-client.js';
import {Exchange} from './exchange.js';
import {openRequestServer} from './request-server.js';

const ignore = (): void => undefined;

const silentLog = {
	debug: ignore, info: ignore, warn: ignore, error: ignore,
};

const announcement = {
	backendServerId: 'b1', service: 's', address: '127.0.0.1:5', slots: 2, connections: 4,
};

async function open(events: AgentEvent[]) {
	const nowMs = (): number => performance.now();
	const opened = await openRequestServer({
		requestAddress: '127.0.0.1:0',
		headerBytes: 16_384,
		client: createBackendServerClient({
			keyedAnswerBytes: 1024, nowMs, settle: ignore, eventLog: silentLog,
		}),
		nowMs,
		dispatch(event) {
			events.push(event);
		},
		health: () => ({}),
		timeline: () => [],
	});
	return opened.unwrapOrElse(error => {
		throw new Error(error.message);
	});
}

test('an announcement with odd values is refused, and a good one behind it is used', async t => {
	const events: AgentEvent[] = [];
	const server = await open(events);
	const announce = async (body: string): Promise<number> => {
		const answer = await request(`http://127.0.0.1:${server.port}/announce`, {method: 'POST', body});
		await answer.body.dump();
		return answer.statusCode;
	};

	await fc.assert(fc.asyncProperty(jsonWithOddField(announcement), async body => {
		await announce(body);
	}), {numRuns: 60});
	for (const address of ['127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1', 'x y']) {
		t.is(await announce(JSON.stringify({...announcement, address})), 400, `${address} is accepted`);
	}

	t.is(await announce(JSON.stringify({...announcement, slots: 2 ** 40})), 400);
	for (const event of events) {
		const isUsable = event.kind === 'backend-server-announced'
			&& isName(event.announcement.backendServerId) && isName(event.announcement.service) && isAddress(event.announcement.address)
			&& event.announcement.slots <= 1_000_000 && event.announcement.connections <= 1_000_000;
		t.true(isUsable, `${event.kind} with an odd value`);
	}

	t.is(await announce(JSON.stringify(announcement)), 200);
	await server.close();
});

test('a deadline beyond the range of timers does not end the request at once', async t => {
	const events: AgentEvent[] = [];
	const server = await open(events);
	const socket = connect(server.port, '127.0.0.1');
	socket.on('error', ignore);
	let answered = '';
	socket.on('data', (chunk: unknown) => {
		answered += String(chunk);
	});
	socket.write('GET /requests/s/x HTTP/1.1\r\nhost: a\r\nx-arbutushinge-request-id: r1\r\nx-arbutushinge-backend-server: b1\r\nx-arbutushinge-deadline-ms: 1e12\r\n\r\n');
	for (let waits = 0; waits < 500 && events.length === 0; waits++) {
		await delay(20);
	}

	await delay(50);
	t.is(answered, '');
	t.is(events.at(-1)?.kind, 'request-arrived');
	const closed = once(socket, 'close');
	await server.close();
	await closed;
});

test('a notice that is cut off does not end the agent', async t => {
	const events: AgentEvent[] = [];
	const server = await open(events);
	const socket = connect(server.port, '127.0.0.1');
	socket.on('error', ignore);
	await once(socket, 'connect');
	socket.write('POST /announce HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{');
	await delay(50);
	socket.destroy();
	await delay(50);
	t.deepEqual(events, []);
	await server.close();
});

test('a result that the reducer cannot use is logged, and the caller is answered', async t => {
	const lines: string[] = [];
	const client = createBackendServerClient({
		keyedAnswerBytes: 1024,
		nowMs: () => 0,
		settle() {
			throw new Error('odd');
		},
		eventLog: {
			...silentLog, error(event) {
				lines.push(event);
			},
		},
	});
	const message = new IncomingMessage(new Socket());
	const response = new ServerResponse(message);
	const exchange = new Exchange({
		requestId: 'r1', method: 'GET', path: '/', request: message, response, arrivedAtMs: -2, deadlineMs: -1,
	});
	client.run(exchange, {
		kind: 'run-request', requestId: 'r1', keyed: false, backendServerId: 'b1', address: '127.0.0.1:5', slots: 1, connections: 1,
	});
	while (lines.length === 0) {
		await delay(5);
	}

	t.deepEqual(lines, ['request-result-unusable']);
	t.is(response.statusCode, 504);
	await client.close();
});
