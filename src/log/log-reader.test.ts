import test from 'ava';
import fc from 'fast-check';
import {createFakeClock} from './fake-clock.js';
import {createFakeLogService} from './fake-log-service.js';
import {createLogReader, type LogPage, type LogReaderError} from './log-reader.js';

const value = (sequence: number) => JSON.stringify({
	writer: 'entry-1', incarnation: 'w1', sequence, record: {kind: 'entry-alive', appliedOffset: 0},
});

function start() {
	const clock = createFakeClock();
	const log = createFakeLogService(clock);
	const pages: LogPage[] = [];
	const errors: LogReaderError[] = [];
	const reader = createLogReader({
		service: log.service,
		stream: 's',
		fromOffset: 0,
		pageLimit: 3,
		clock,
		random: () => 0.5,
		onPage(page) {
			pages.push(page);
		},
		onError(error) {
			errors.push(error);
		},
		onRetentionPassed: firstRetainedOffset => firstRetainedOffset + 1,
	});
	const offsets = () => pages.flatMap(page => page.records.map(({offset}) => offset));
	const stop = async () => {
		const closed = reader.close();
		await clock.advance(1000);
		await closed;
	};

	return {
		clock, log, pages, errors, reader, offsets, stop,
	};
}

test('each record is delivered once and in order across outages and concurrent reads of the tail', async t => {
	await fc.assert(fc.asyncProperty(fc.array(fc.tuple(fc.nat(7), fc.boolean(), fc.boolean()), {maxLength: 12}), async steps => {
		const {clock, log, reader, offsets, stop} = start();
		let sequence = 0;
		for (const [count, isOutage, confirms] of steps) {
			if (isOutage) {
				log.readFaults.push('unavailable', 'unavailable');
			}

			if (confirms) {
				void reader.confirmTail();
			}

			const first = sequence + 1;
			sequence += count;
			if (count > 0) {
				await log.service.append('s', Array.from({length: count}, (_, index) => value(first + index)));
			}

			await clock.advance(30);
		}

		await clock.advance(60_000);
		t.deepEqual(offsets(), Array.from({length: sequence}, (_, offset) => offset));
		await stop();
	}), {numRuns: 40});
});

test('a tail read is sent after it was requested, is shared by concurrent callers, and delivers all records that it covers', async t => {
	const {clock, log, reader, offsets, stop} = start();
	await clock.advance(100);
	await log.service.append('s', [1, 2, 3, 4, 5].map(sequence => value(sequence)));
	const askedAtMs = clock.nowMs();
	const confirmations = await Promise.all(Array.from({length: 50}, async () => reader.confirmTail()));
	for (const confirmation of confirmations) {
		t.true(confirmation.isOk && confirmation.value.readSentAtMs >= askedAtMs && confirmation.value.tailOffset === 5);
	}

	t.is(offsets().length, 5);
	// Two pages of at most three values cover the five.
	t.true(log.reads.filter(({waitMs}) => waitMs === 0).length <= 2);
	await stop();
});

test('a call while a tail read is open gets a later read, and an outage fails the call', async t => {
	const {clock, log, reader, stop} = start();
	await clock.advance(100);
	const first = reader.confirmTail();
	// The first read is sent in this turn of the event loop; the append below is newer than its answer.
	await Promise.resolve();
	await Promise.resolve();
	await log.service.append('s', [value(1)]);
	const second = await reader.confirmTail();
	const older = await first;
	t.true(older.isOk);
	t.is(second.map(({tailOffset}) => tailOffset).unwrapOr(-1), 1);
	log.readFaults.push('unavailable', 'unavailable');
	const unread = await reader.confirmTail();
	t.true(unread.isErr);
	await stop();
});

test('a value that cannot be parsed is counted and skipped', async t => {
	const {clock, log, pages, errors, reader, offsets, stop} = start();
	await log.service.append('s', ['{', value(1), JSON.stringify({
		writer: 'x', incarnation: 'x', sequence: 1, record: {kind: 'unknown'},
	})]);
	await clock.advance(1);
	t.deepEqual(offsets(), [1]);
	t.is(reader.unreadableCount(), 2);
	t.is(errors[0]?.kind, 'log-record-unreadable');
	t.true(pages.at(-1)?.reachedTail);
	await stop();
});

test('a reader whose position is no longer retained continues where the snapshot ends', async t => {
	const {clock, log, offsets, stop} = start();
	await log.service.append('s', [1, 2, 3, 4, 5].map(sequence => value(sequence)));
	log.retainFrom(2);
	await clock.advance(1000);
	t.deepEqual(offsets(), [3, 4]);
	await stop();
});
