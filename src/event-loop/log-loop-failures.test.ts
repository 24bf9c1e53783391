import test from 'ava';
import {type EventFields, type EventLog} from '../telemetry/event-log.js';
import {logLoopFailures} from './log-loop-failures.js';

test('a failure that repeats with every event does not fill the log, and no line is long', t => {
	const lines: Array<Readonly<{event: string; fields?: EventFields}>> = [];
	let count = 0;
	let nowMs = 0;
	const write = (event: string, fields?: EventFields) => {
		lines.push({event, fields});
	};

	const eventLog: EventLog = {
		debug: write, info: write, warn: write, error: write,
	};
	const report = logLoopFailures({
		eventLog,
		metrics: {
			increment() {
				count++;
			},
			gauge: () => undefined,
			timingMs: () => undefined,
			close: async () => undefined,
		},
		nowMs: () => nowMs,
	});
	const error = new RangeError('x'.repeat(100_000));
	for (let index = 0; index < 100; index++) {
		report({part: 'event', failed: {kind: 'tick'}, error});
	}

	nowMs = 1000;
	report({part: 'effect', failed: {kind: 'send'}, error});
	t.is(count, 101);
	t.deepEqual(lines.map(({event, fields}) => [event, fields?.kind, fields?.omitted]), [
		...Array.from({length: 5}, () => ['event-failed', 'tick', 0]), ['effect-failed', 'send', 95],
	]);
	t.true(lines.every(({fields}) => JSON.stringify(fields).length < 600));
});
