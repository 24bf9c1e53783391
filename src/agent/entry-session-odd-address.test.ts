import {once} from 'node:events';
import {createServer} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {openEntrySession} from './entry-session.js';

/** One line of a log. */
type Line = Readonly<{event: string; fields: unknown}>;

function createRecordingLog(lines: Line[]) {
	const record = (event: string, fields?: unknown): void => {
		lines.push({event, fields});
	};

	return {
		debug: record, info: record, warn: record, error: record,
	};
}

const nothing = (): void => undefined;

test('an entry with an address that is no URL does not end the agent', async t => {
	const lines: Line[] = [];
	const session = openEntrySession('10.1.0.13:99999', {connected: nothing, disconnected: nothing, message: nothing}, {random: () => 0, heartbeatMs: 20, eventLog: createRecordingLog(lines)});
	await delay(300);
	await t.notThrowsAsync(session.close());
	t.deepEqual(lines.map(({event}) => event), ['entry-stream-failed']);
});

test('a handler that throws does not end the stream\'s loop', async t => {
	const lines: Line[] = [];
	const server = createServer(nothing);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' && address ? address.port : 0;
	let disconnections = 0;
	await new Promise<void>(resolve => {
		const session = openEntrySession(`127.0.0.1:${port}`, {
			connected() {
				throw new Error('odd');
			},
			disconnected() {
				disconnections++;
				if (disconnections === 2) {
					void session.close().then(resolve);
				}

				throw new Error('odd');
			},
			message: nothing,
		}, {random: () => 0, heartbeatMs: 20, eventLog: createRecordingLog(lines)});
	});
	server.close();
	t.is(disconnections, 2);
	t.is(lines.filter(({event}) => event === 'entry-event-unusable').length, 4);
});
