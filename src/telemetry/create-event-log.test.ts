import {createSocket} from 'node:dgram';
import {mkdtemp, readFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {createEventLog} from './create-event-log.js';
import {createMetrics} from './create-metrics.js';

test('a field with a control character or a reserved name does not break the line of its event', async t => {
	const directory = await mkdtemp(path.join(tmpdir(), 'arbutushinge-'));
	const destination = path.join(directory, 'events.log');
	const eventLog = await createEventLog({process: 'entry-1', level: 'info', destination});
	eventLog.debug('below-the-level');
	eventLog.info('task-claimed', {
		taskId: 'a b', level: 'fake', reason: 'line\nnext\u001B[2J', absent: undefined, count: 3,
	});
	eventLog.warn('log-unreachable');
	await eventLog.close();
	const text = await readFile(destination, 'utf8');
	t.deepEqual(text.trimEnd().split('\n').map(line => line.replace(/time=\S+/v, 'time=T')), [
		String.raw`level=info time=T process=entry-1 taskId="a b" levelField=fake reason="line\\u000anext\\u001b[2J" count=3 event=task-claimed`,
		'level=warn time=T process=entry-1 event=log-unreachable',
	]);
});

test('metrics go to the address as StatsD datagrams with tags', async t => {
	const receiver = createSocket('udp4');
	await new Promise<void>(resolve => {
		receiver.bind(0, '127.0.0.1', resolve);
	});
	const received = new Promise<string>(resolve => {
		receiver.once('message', message => {
			resolve(message.toString());
		});
	});
	const metrics = await createMetrics({statsdAddress: `127.0.0.1:${receiver.address().port}`, prefix: 'test.'});
	metrics.increment('requests', 2, {service: 'loaf-ordering'});
	metrics.gauge('queue', 5);
	metrics.timingMs('answer', 12);
	await metrics.close();
	t.is(await received, 'test.requests:2|c|#service:loaf-ordering\ntest.queue:5|g\ntest.answer:12|ms');
	receiver.close();
});

test('metrics without an address do nothing', async t => {
	const metrics = await createMetrics({prefix: 'test.'});
	metrics.increment('requests');
	await t.notThrowsAsync(metrics.close());
});
