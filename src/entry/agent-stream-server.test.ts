import {once} from 'node:events';
import {connect as connectSession} from 'node:http2';
import {connect} from 'node:net';
import {create} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createGrpcTransport} from '@connectrpc/connect-node';
import test from 'ava';
import fc from 'fast-check';
import {AgentMessageSchema, AgentSession} from '../generated/arbutushinge/v1/agent_pb.js';
import {createAgentStreamServer} from './agent-stream-server.js';
import {type EntryEvent} from './entry-event.js';

const ignore = (): void => undefined;

const names = {
	vmId: 'vm-1', failureDomain: 'a', rack: 'r', requestAddress: '127.0.0.1:9',
};

test('garbage at the agents\' port is not dispatched as a message and does not stop the server', async t => {
	const events: EntryEvent[] = [];
	const address = `127.0.0.1:${await freePort()}`;
	const server = createAgentStreamServer({
		address,
		dispatch(event) {
			events.push(event);
		},
		eventLog: {
			debug: ignore, info: ignore, warn: ignore, error: ignore,
		},
	});
	await server.listen();
	const port = Number(address.split(':')[1]);
	await fc.assert(fc.asyncProperty(fc.uint8Array({minLength: 1, maxLength: 300}), async bytes => {
		const socket = connect(port, '127.0.0.1');
		socket.on('error', ignore);
		const closed = once(socket, 'close');
		socket.resume();
		socket.end(bytes);
		await closed;
	}), {numRuns: 30});
	// Well-formed HTTP/2 with a body that is no message.
	await fc.assert(fc.asyncProperty(fc.uint8Array({maxLength: 200}), async bytes => {
		const session = connectSession(`http://${address}`);
		session.on('error', ignore);
		const stream = session.request({
			':method': 'POST', ':path': '/arbutushinge.v1.AgentSession/Connect', 'content-type': 'application/connect+proto', 'connect-protocol-version': '1',
		});
		stream.on('error', ignore);
		const closed = once(stream, 'close');
		stream.resume();
		stream.end(bytes);
		await closed;
		session.close();
	}), {numRuns: 30});
	t.deepEqual(events.filter(({kind}) => kind !== 'agent-session-closed'), []);
	const alive = connect(port, '127.0.0.1');
	await once(alive, 'connect');
	alive.destroy();
	await server.close();
});

test('a second hello, of a new incarnation, does not close the agent\'s stream', async t => {
	const port = await freePort();
	let hellos = 0;
	const server = createAgentStreamServer({
		address: `127.0.0.1:${port}`,
		dispatch({kind}) {
			hellos += kind === 'agent-hello' ? 1 : 0;
			if (hellos === 2) {
				server.send('vm-1', {case: 'leaseGrant', value: {durationMs: 7}});
			}
		},
		eventLog: {
			debug: ignore, info: ignore, warn: ignore, error: ignore,
		},
	});
	await server.listen();
	const stop = new AbortController();
	async function * messages() {
		yield create(AgentMessageSchema, {message: {case: 'hello', value: {...names, agentIncarnation: 'a1'}}});
		yield create(AgentMessageSchema, {message: {case: 'hello', value: {...names, agentIncarnation: 'a2'}}});
		await once(stop.signal, 'abort');
	}

	const client = createClient(AgentSession, createGrpcTransport({baseUrl: `http://127.0.0.1:${port}`}));
	const answers = client.connect(messages(), {signal: stop.signal})[Symbol.asyncIterator]();
	const answer = await answers.next();
	t.false(answer.done);
	t.is(answer.done ? undefined : answer.value.message.case, 'leaseGrant');
	stop.abort();
	await server.close();
});

test('a hello that cannot be registered ends its stream with a line, and a message that the reducer cannot use does not', async t => {
	const port = await freePort();
	const lines: string[] = [];
	const record = (event: string): void => {
		lines.push(event);
	};

	const server = createAgentStreamServer({
		address: `127.0.0.1:${port}`,
		dispatch({kind}) {
			if (kind === 'agent-hello') {
				throw new Error('odd');
			}

			if (kind === 'agent-heartbeat') {
				server.send('vm-1', {case: 'leaseGrant', value: {durationMs: 7}});
			}
		},
		eventLog: {
			debug: ignore, info: ignore, warn: record, error: record,
		},
	});
	await server.listen();
	const stop = new AbortController();
	async function * messages(vmId: string) {
		yield create(AgentMessageSchema, {message: {case: 'hello', value: {...names, vmId, agentIncarnation: 'a1'}}});
		yield create(AgentMessageSchema, {message: {case: 'heartbeat', value: {}}});
		await once(stop.signal, 'abort');
	}

	const client = createClient(AgentSession, createGrpcTransport({baseUrl: `http://127.0.0.1:${port}`}));
	const refused = await client.connect(messages('x'.repeat(200_000)), {signal: stop.signal})[Symbol.asyncIterator]().next();
	t.true(refused.done);
	const answer = await client.connect(messages('vm-1'), {signal: stop.signal})[Symbol.asyncIterator]().next();
	t.is(answer.done ? undefined : answer.value.message.case, 'leaseGrant');
	t.deepEqual(lines, ['agent-message-refused', 'agent-message-unusable']);
	stop.abort();
	await server.close();
});

async function freePort(): Promise<number> {
	const {createServer} = await import('node:net');
	const probe = createServer();
	probe.listen(0, '127.0.0.1');
	await once(probe, 'listening');
	const bound = probe.address();
	const port = typeof bound === 'object' && bound ? bound.port : 0;
	probe.close();
	await once(probe, 'close');
	return port;
}
