import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {jsonWithOddField, oddJson} from '../validation/odd-values.js';
import {createHttpLogService} from './http-log-service.js';

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

async function start(t: ExecutionContext, handler: Handler, timeoutMs = 5000) {
	const server = createServer((request, response) => {
		request.resume();
		request.on('end', () => {
			handler(request, response);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' ? address?.port : undefined;
	const service = createHttpLogService({baseUrl: `http://127.0.0.1:${port}`, timeoutMs});
	t.teardown(async () => {
		await service.close();
		server.closeAllConnections();
		server.close();
	});
	return service;
}

test('answers of the log service are decoded in full', async t => {
	const answers: Readonly<Record<string, unknown>> = {
		'POST /streams/s/records': {firstOffset: 7},
		'GET /streams/s/records?from=2&limit=3&waitMs=4': {
			records: [{offset: 2, value: 'v'}], nextOffset: 3, firstRetainedOffset: 1, tailOffset: 9,
		},
		'GET /streams/s': {firstRetainedOffset: 1, nextOffset: 9},
	};
	const service = await start(t, (request, response) => {
		response.end(JSON.stringify(answers[`${request.method} ${request.url}`]));
	});
	const appended = await service.append('s', ['v']);
	t.is(appended.unwrapOr(-1), 7);
	const page = await service.read('s', 2, {limit: 3, waitMs: 4});
	t.deepEqual(page.map(({values, tailOffset}) => [values, tailOffset]).unwrapOr([]), [[{offset: 2, value: 'v'}], 9]);
	const bounds = await service.bounds('s');
	t.is(bounds.map(({tailOffset}) => tailOffset).unwrapOr(-1), 9);
});

test('an append whose answer is lost, cut or garbled may have been applied; a refused one was not', async t => {
	const kinds: string[] = [];
	const handlers: readonly Handler[] = [
		(request, _response) => {
			request.socket.destroy();
		},
		(_request, response) => {
			response.end('{');
		},
		(_request, response) => {
			response.writeHead(500).end();
		},
		(_request, response) => {
			response.writeHead(503).end();
		},
		(_request, response) => {
			response.writeHead(429).end();
		},
	];
	let call = 0;
	const service = await start(t, (request, response) => {
		handlers[call++]!(request, response);
	});
	for (const _ of handlers) {
		const result = await service.append('s', ['v']);
		kinds.push(result.isErr ? result.error.kind : 'ok');
	}

	t.deepEqual(kinds, ['log-maybe-applied', 'log-maybe-applied', 'log-maybe-applied', 'log-unavailable', 'log-rate-limited']);
});

test('an append that gets no answer in time may have been applied', async t => {
	const service = await start(t, () => undefined, 50);
	const result = await service.append('s', ['v']);
	t.true(result.isErr && result.error.kind === 'log-maybe-applied');
});

test('an append to a log service that cannot be reached is not reported as maybe applied', async t => {
	const service = await start(t, () => undefined);
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' ? address?.port : undefined;
	server.close();
	await once(server, 'close');
	await service.close();
	const unreachable = createHttpLogService({baseUrl: `http://127.0.0.1:${port}`, timeoutMs: 1000});
	const result = await unreachable.append('s', ['v']);
	t.true(result.isErr && result.error.kind === 'log-unavailable');
	await unreachable.close();
});

test('no answer throws, and no offset that is used is out of range', async t => {
	let answer = '';
	const service = await start(t, (_request, response) => {
		response.end(answer);
	});
	const page = {
		records: [{offset: 2, value: 'v'}], nextOffset: 3, firstRetainedOffset: 1, tailOffset: 9, firstOffset: 7,
	};
	await fc.assert(fc.asyncProperty(fc.oneof({weight: 4, arbitrary: jsonWithOddField(page)}, oddJson()), async odd => {
		answer = odd;
		const read = await service.read('s', 2, {limit: 3, waitMs: 0});
		const appended = await service.append('s', ['v']);
		const bounds = await service.bounds('s');
		const offsets = [
			...(read.isOk ? [read.value.nextOffset, read.value.tailOffset, read.value.firstRetainedOffset, ...read.value.values.map(({offset}) => offset)] : []),
			...(appended.isOk ? [appended.value] : []),
			...(bounds.isOk ? [bounds.value.tailOffset, bounds.value.firstRetainedOffset] : []),
		];
		t.true(offsets.every(offset => Number.isSafeInteger(offset) && offset >= 0));
		t.true([read, appended, bounds].every(result => result.isOk || result.error.message.length < 500));
	}), {numRuns: 60});
});
