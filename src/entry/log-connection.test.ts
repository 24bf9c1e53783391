import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createFakeLogService} from '../log/fake-log-service.js';
import {systemClock} from '../log/clock.js';
import {createSnapshotStore} from '../log/snapshot-store.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {type EventFields, type EventLog} from '../telemetry/event-log.js';
import {type EntryEvent} from './entry-event.js';
import {initialEntryState} from './entry-state.js';
import {createLogConnection} from './log-connection.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'entry-1', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3', operatorTokenFile: 'token', logServiceUrl: 'http://127.0.0.1:4',
});

const heartbeat = (sequence: number): string => JSON.stringify({
	writer: 'entry-2', incarnation: 'e2', sequence, record: {kind: 'entry-alive', appliedOffset: 0},
});

/** Creates a connection to an in-memory log, with the events and the lines of the log that it causes. */
function setUp(t: ExecutionContext) {
	const log = createFakeLogService(systemClock);
	const snapshots = createSnapshotStore({service: log.service, stream: `${settings.logStream}-snapshots`});
	const events: EntryEvent[] = [];
	const lines: Array<Readonly<{event: string; fields?: EventFields}>> = [];
	const write = (event: string, fields?: EventFields): void => {
		lines.push({event, fields});
	};

	const eventLog: EventLog = {
		debug: write, info: write, warn: write, error: write,
	};
	const counts = new Map<string, number>();
	const connection = createLogConnection({
		settings,
		token: undefined,
		logService: log.service,
		snapshots,
		eventLog,
		metrics: {
			increment(name, count = 1) {
				counts.set(name, (counts.get(name) ?? 0) + count);
			},
			gauge: () => undefined,
			timingMs: () => undefined,
			close: async () => undefined,
		},
		dispatch(event) {
			events.push(event);
		},
		state: () => initialEntryState('own'),
		recordPage: () => undefined,
	});
	t.teardown(async () => connection.close());
	return {
		log, snapshots, events, lines, counts, connection,
	};
}

test('a value that is no record is logged and counted, and does not pass for an outage of the log', async t => {
	const {log, events, lines, counts, connection} = setUp(t);
	await log.service.append(settings.logStream, [...Array.from({length: 100}, () => '[['), heartbeat(1)]);
	await connection.start('own');
	await delay(100);
	t.deepEqual(events.filter(({kind}) => kind === 'log-failed'), []);
	t.deepEqual(events.flatMap(event => event.kind === 'log-page' ? event.records.map(({offset}) => offset) : []), [100]);
	t.is(counts.get('log.values.skipped'), 100);
	t.is(lines.filter(({event}) => event === 'log-record-skipped').length, 5);
});
