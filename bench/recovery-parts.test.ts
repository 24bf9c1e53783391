import test from 'ava';
import {marksOfLines, timesByPart} from './recovery-parts.js';

const startUnixMs = Date.parse('2026-01-01T00:00:01Z');

test('lines of the life before the power loss, and configurations that agents apply, are no part of the recovery', t => {
	const lines = [
		'level=info time=2026-01-01T00:00:00.900Z process=vm-1 vmId=vm-1 event=agent-started',
		'level=info time=2026-01-01T00:00:01.200Z process=vm-1 vmId=vm-1 event=agent-started',
		'level=info time=2026-01-01T00:00:01.300Z process=vm-1 offset=7 event=configuration-applied',
		'level=info time=2026-01-01T00:00:01.400Z process=entry-1 version=1 offset=7 queues=1 event=configuration-applied',
	];
	t.deepEqual(marksOfLines(lines, startUnixMs), [
		{part: 'agentStart', subject: 'vm-1', atMs: 200},
		{part: 'configuration', subject: 'entry-1', atMs: 400},
	]);
});

test('a subject that passes a part again counts with its first time', t => {
	const marks = [{part: 'stream', subject: 'vm-1', atMs: 700}, {part: 'stream', subject: 'vm-1', atMs: 500}, {part: 'stream', subject: 'vm-2', atMs: 900}];
	t.deepEqual(timesByPart(marks).get('stream'), {
		count: 2, firstMs: 500, medianMs: 900, lastMs: 900,
	});
});
