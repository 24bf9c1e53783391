import test from 'ava';
import {createLackLog} from './lack-log.js';

test('a lack is logged once it lasts, seldom while it lasts, and at its end; a short one is not', t => {
	let nowMs = 0;
	const lines: string[] = [];
	const record = (level: string) => (event: string, fields: Readonly<Record<string, unknown>> = {}): void => {
		lines.push(`${nowMs} ${level} ${event} ${JSON.stringify(fields)}`);
	};

	const lack = createLackLog({
		began: {event: 'short'}, ended: {event: 'enough'}, afterMs: 3000, repeatMs: 10_000, nowMs: () => nowMs,
		eventLog: {
			debug: record('debug'), info: record('info'), warn: record('warn'), error: record('error'),
		},
	});
	for (; nowMs <= 2000; nowMs += 1000) {
		lack(true, {});
	}

	t.is(lack(false, {}), 0);
	for (nowMs = 4000; nowMs < 20_000; nowMs += 1000) {
		t.is(lack(true, {count: 1}), nowMs - 4000);
	}

	lack(false, {count: 2});
	t.deepEqual(lines, [
		'7000 warn short {"count":1,"sinceMs":3000}', '17000 warn short {"count":1,"sinceMs":13000}', '20000 info enough {"count":2,"lastedMs":16000}',
	]);
});
