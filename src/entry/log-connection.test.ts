import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {encodeClusterState} from '../cluster/cluster-state-codec.js';
import {emptyClusterState} from '../cluster/reduce-cluster.js';
import {createFakeLogService} from '../log/fake-log-service.js';
import {type LogService} from '../log/log-service.js';
import {systemClock} from '../log/clock.js';
import {createSnapshotStore, type SnapshotStore} from '../log/snapshot-store.js';
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
function setUp(t: ExecutionContext, changes: Partial<SnapshotStore> = {}, serviceChanges: Partial<LogService> = {}) {
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
		logService: {...log.service, ...serviceChanges},
		snapshots: {...snapshots, ...changes},
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
	while (!events.some(event => event.kind === 'log-page' && event.records.length > 0)) {
		await delay(5);
	}

	t.deepEqual(events.filter(({kind}) => kind === 'log-failed'), []);
	t.deepEqual(events.flatMap(event => event.kind === 'log-page' ? event.records.map(({offset}) => offset) : []), [100]);
	t.is(counts.get('log.values.skipped'), 100);
	t.is(lines.filter(({event}) => event === 'log-record-skipped').length, 5);
});

test('a snapshot whose state cannot be used is passed over for the next older one', async t => {
	const {log, snapshots, events, lines, connection} = setUp(t);
	await log.service.append(settings.logStream, Array.from({length: 50}, (_, index) => heartbeat(index + 1)));
	const stateAt = (offset: number) => encodeClusterState({...emptyClusterState, offset});
	const values = [[10, stateAt(10)], [40, {version: 0}], [41, stateAt(45)], [50, stateAt(50)], [30, stateAt(30)]] as const;
	for (const [coversOffset, value] of values) {
		await snapshots.write({snapshotId: `s${coversOffset}`, coversOffset, value});
	}

	await connection.start('own');
	t.deepEqual(events.flatMap(event => event.kind === 'snapshot-loaded' ? [event.cluster.offset] : []), [30]);
	t.deepEqual(lines.filter(({event}) => event === 'snapshot-invalid').map(({fields}) => fields?.coversOffset), [50, 41]);
});

test('a snapshot that is written while the entry starts is used, also when the log has grown since', async t => {
	const stateAt = (offset: number) => encodeClusterState({...emptyClusterState, offset});
	const {log, snapshots, events, lines, connection} = setUp(t, {
		async loadNewestUsable(options) {
			// Another entry appends and writes a snapshot after this one has begun to load.
			await log.service.append(settings.logStream, Array.from({length: 30}, (_, index) => heartbeat(index + 21)));
			await snapshots.write({snapshotId: 's45', coversOffset: 45, value: stateAt(45)});
			return snapshots.loadNewestUsable(options);
		},
	});
	await log.service.append(settings.logStream, Array.from({length: 20}, (_, index) => heartbeat(index + 1)));
	await snapshots.write({snapshotId: 's10', coversOffset: 10, value: stateAt(10)});
	await connection.start('own');
	t.deepEqual(events.flatMap(event => event.kind === 'snapshot-loaded' ? [event.cluster.offset] : []), [45]);
	t.deepEqual(lines.filter(({event}) => event === 'snapshot-invalid'), []);
});

test('a snapshot that cannot be written is reported, so that the next one is written', async t => {
	const {events, lines, connection} = setUp(t, {
		async write() {
			throw new RangeError('Invalid string length');
		},
	});
	connection.writeSnapshot();
	while (events.length === 0) {
		await delay(5);
	}

	t.deepEqual(events, [{kind: 'snapshot-written', coversOffset: -1}]);
	t.is(lines.at(-1)?.fields?.reason, 'RangeError: Invalid string length');
});

test('a record that the log does not take is logged once with its size, and the one behind it is written', async t => {
	const {log, lines, connection} = setUp(t, {}, {limits: {recordBytes: 1000, appendBytes: 1000}});
	await connection.start('own');
	connection.append({kind: 'tasks-cancelled', taskIds: Array.from({length: 100}, () => 'x'.repeat(100))});
	connection.append({kind: 'entry-alive', appliedOffset: 7});
	while (connection.pendingAppends() > 0) {
		await delay(5);
	}

	t.deepEqual(log.values(settings.logStream).map(({value}) => JSON.parse(value) as unknown), [{
		writer: 'entry-1', incarnation: 'own', sequence: 1, record: {kind: 'entry-alive', appliedOffset: 7},
	}]);
	const refused = lines.filter(({event}) => event === 'log-record-refused');
	t.is(refused.length, 1);
	t.is(refused[0]?.fields?.record, 'tasks-cancelled');
	t.regex(String(refused[0]?.fields?.reason), /has 10\d{3} bytes; the log takes 1000$/v);
});
