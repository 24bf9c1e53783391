import test from 'ava';
import {type AnnouncedEntry} from '../membership/entry-role.js';
import {createDeciderMonitor} from './decider-monitor.js';

const entryOf = (entryId: string, role: AnnouncedEntry['role'], age: AnnouncedEntry['age'] = 'fresh'): AnnouncedEntry => ({
	entryId, role, age, failureDomain: 'a', processorsMilli: 1350, relayAddress: '10.1.0.1:7722', offset: 1,
});

test('operators see how many entries decide and serve, since when there are too few, and that the roles are not read', t => {
	let nowMs = 0;
	const gauges = new Map<string, number>();
	const lines: string[] = [];
	const ignore = (): void => undefined;
	const record = (event: string, fields: Readonly<Record<string, unknown>> = {}): void => {
		lines.push(`${event} ${JSON.stringify(fields)}`);
	};

	const monitor = createDeciderMonitor({
		nowMs: () => nowMs,
		eventLog: {
			debug: ignore, info: record, warn: record, error: record,
		},
		metrics: {
			increment: ignore,
			gauge(name, value) {
				gauges.set(name, value);
			},
			timingMs: ignore,
			close: async () => undefined,
		},
	});
	const announced = [entryOf('a', 'decider'), entryOf('b', 'decider'), entryOf('c', 'decider', 'expired'), entryOf('own', 'front')];
	const view = {
		entryId: 'own', deciderCount: 2, announced, isDecider: false,
	};
	monitor.record({...view, unavailableIds: new Set()});
	t.deepEqual(Object.fromEntries(gauges), {'deciders.announced': 2, 'deciders.available': 2, 'deciders.short-time': 0});
	for (; nowMs < 4000; nowMs += 1000) {
		monitor.record({...view, unavailableIds: new Set(['b'])});
	}

	t.deepEqual(Object.fromEntries(gauges), {'deciders.announced': 2, 'deciders.available': 1, 'deciders.short-time': 3000});
	monitor.record({...view, unavailableIds: new Set(['b']), isDecider: true});
	for (; nowMs < 8000; nowMs += 1000) {
		monitor.recordFailedRead('status 503');
	}

	t.deepEqual(lines, [
		'deciders-short {"wanted":2,"available":1,"deciders":"a,b","unavailable":"b","sinceMs":3000}',
		'deciders-enough {"wanted":2,"available":2,"deciders":"a,b,own","unavailable":"b","lastedMs":4000}',
		'roles-not-read {"reason":"status 503","sinceMs":3000}',
	]);
});
