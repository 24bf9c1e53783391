import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {ok} from 'true-myth/result';
import {jsonWithOddField, oddBytes, oddJson} from '../validation/odd-values.js';
import {systemClock, type Clock} from './clock.js';
import {createFakeClock} from './fake-clock.js';
import {createFakeLogService} from './fake-log-service.js';
import {
	createLogReader, type LogPage, type LogReaderError, type LogReaderOptions,
} from './log-reader.js';
import {type LogService, type StreamPage, type StreamValue} from './log-service.js';

const value = (sequence: number) => JSON.stringify({
	writer: 'entry-1', incarnation: 'w1', sequence, record: {kind: 'entry-alive', appliedOffset: 0},
});

/** Replaces parts of the reader's options, for instance by ones that throw. */
type Changes = Readonly<{
	service?: (service: LogService) => LogService;
	readerClock?: (clock: Clock) => Clock;
	onRetentionPassed?: LogReaderOptions['onRetentionPassed'];
	onPage?: (page: LogPage) => void;
	pauseMs?: () => number;
}>;

function start({
	service = original => original,
	readerClock = original => original,
	onPage = () => undefined,
	onRetentionPassed = firstRetainedOffset => firstRetainedOffset + 1,
	pauseMs,
}: Changes = {}) {
	const clock = createFakeClock();
	const log = createFakeLogService(clock);
	const pages: LogPage[] = [];
	const errors: LogReaderError[] = [];
	const reader = createLogReader({
		service: service(log.service),
		stream: 's',
		fromOffset: 0,
		pageLimit: 3,
		pauseMs,
		clock: readerClock(clock),
		random: () => 0.5,
		onPage(page) {
			pages.push(page);
			onPage(page);
		},
		onError(error) {
			errors.push(error);
		},
		onRetentionPassed,
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

test('the good records behind odd values are delivered, whatever the odd values are', async t => {
	const stored: unknown = JSON.parse(value(1));
	const odd = fc.oneof(oddJson(), jsonWithOddField(stored), oddBytes().map(bytes => Buffer.from(bytes).toString()));
	await fc.assert(fc.asyncProperty(fc.array(odd, {minLength: 1, maxLength: 7}), async values => {
		const {clock, log, pages, reader, stop} = start();
		await log.service.append('s', [...values, value(1000)]);
		await clock.advance(100);
		const last = pages.flatMap(page => page.records).at(-1);
		t.deepEqual([last?.offset, last?.envelope.sequence, reader.nextOffset()], [values.length, 1000, values.length + 1]);
		await stop();
	}), {numRuns: 60});
});

test('a page whose handler throws does not end the reads: the records behind it are delivered, and the tail is confirmed', async t => {
	const {clock, log, errors, reader, offsets, stop} = start({
		onPage({records}) {
			if (records.some(({offset}) => offset === 0)) {
				throw new RangeError('out of range');
			}
		},
	});
	await log.service.append('s', [1, 2, 3, 4, 5].map(sequence => value(sequence)));
	await clock.advance(1000);
	await log.service.append('s', [value(6)]);
	await clock.advance(1000);
	const confirmation = await reader.confirmTail();
	t.true(confirmation.isOk);
	t.deepEqual(offsets(), [0, 1, 2, 3, 4, 5]);
	t.deepEqual(errors.map(({kind}) => kind), ['log-page-failed']);
	await stop();
});

test('a read that throws is tried again, and fails a call that waits for the tail', async t => {
	let failures = 2;
	const {clock, log, errors, reader, offsets, stop} = start({
		service: original => ({
			...original,
			async read(...parameters) {
				if (failures > 0) {
					failures--;
					throw new TypeError('Invalid URL');
				}

				return original.read(...parameters);
			},
		}),
	});
	const confirmation = await reader.confirmTail();
	t.true(confirmation.isErr);
	await log.service.append('s', [value(1)]);
	await clock.advance(5000);
	t.deepEqual(offsets(), [0]);
	t.true(errors.length > 0 && errors.every(({kind}) => kind === 'log-protocol'));
	await stop();
});

test('a value that cannot even be looked at is skipped, and the records behind it are delivered', async t => {
	const unusable: StreamValue = {
		offset: 0,
		get value(): string {
			throw new RangeError('Invalid string length');
		},
	};
	const {clock, log, errors, reader, offsets, stop} = start({
		service: original => ({
			...original,
			async read(...parameters) {
				const read = await original.read(...parameters);
				return read.map(page => ({...page, values: page.values.map(item => item.offset === 0 ? unusable : item)}));
			},
		}),
	});
	await log.service.append('s', [1, 2].map(sequence => value(sequence)));
	await clock.advance(1000);
	const confirmation = await reader.confirmTail();
	t.true(confirmation.isOk);
	t.deepEqual(offsets(), [1]);
	t.is(reader.unreadableCount(), 1);
	t.deepEqual(errors.map(({kind}) => kind), ['log-record-unreadable']);
	await stop();
});

test('a pause whose length or clock throws does not end the reads', async t => {
	let pauseFailures = 2;
	let sleepFailures = 3;
	const {clock, log, errors, offsets, stop} = start({
		pauseMs() {
			if (pauseFailures-- > 0) {
				throw new RangeError('out of range');
			}

			return 10;
		},
		readerClock: original => ({
			...original,
			async sleep(...parameters) {
				if (sleepFailures-- > 0) {
					throw new TypeError('Invalid time');
				}

				return original.sleep(...parameters);
			},
		}),
	});
	for (const sequence of [1, 2, 3, 4]) {
		await log.service.append('s', [value(sequence)]);
		for (let tries = 0; tries < 500 && offsets().length < sequence; tries++) {
			await clock.advance(100);
			await systemClock.sleep(5);
		}
	}

	t.deepEqual(offsets(), [0, 1, 2, 3]);
	t.true(errors.length > 0 && errors.every(({kind}) => kind === 'log-page-failed'));
	await stop();
});

test('a call that waits for the tail is answered with an error when its read throws, and the next call with the tail', async t => {
	let failures = 0;
	const {clock, log, reader, stop} = start({
		readerClock: original => ({
			...original,
			nowMs() {
				if (failures-- > 0) {
					throw new TypeError('Invalid time');
				}

				return original.nowMs();
			},
		}),
	});
	await clock.advance(1);
	failures = 1;
	const failed = await Promise.race([reader.confirmTail(), systemClock.sleep(5000)]);
	t.is(failed?.isErr && failed.error.kind, 'log-page-failed');
	await log.service.append('s', [value(1)]);
	const confirmation = await Promise.race([reader.confirmTail(), systemClock.sleep(5000)]);
	t.is(confirmation?.isOk && confirmation.value.tailOffset, 1);
	await stop();
});

test('a snapshot that cannot be loaded after a loss of records is tried again', async t => {
	let failures = 2;
	const {clock, log, offsets, stop} = start({
		async onRetentionPassed(firstRetainedOffset) {
			failures--;
			if (failures === 1) {
				throw new RangeError('out of range');
			}

			return failures === 0 ? Number.NaN : firstRetainedOffset;
		},
	});
	await log.service.append('s', [1, 2, 3].map(sequence => value(sequence)));
	log.retainFrom(1);
	await clock.advance(10_000);
	t.deepEqual(offsets(), [1, 2]);
	await stop();
});

const oddOffsets = [Number.POSITIVE_INFINITY, Number.NaN, 1e300, 2 ** 53, -1, 0.5, 1_000_000];

for (const name of ['nextOffset', 'tailOffset', 'firstRetainedOffset', 'offset'] as const) {
	test(`a page with an odd ${name} moves the reader past no record`, async t => {
		for (const odd of oddOffsets) {
			let isOdd = true;
			const {clock, log, reader, offsets, stop} = start({
				service: original => ({
					...original,
					async read(...parameters) {
						const read = await original.read(...parameters);
						if (!isOdd) {
							return read;
						}

						isOdd = false;
						const page: StreamPage = {
							values: [], nextOffset: 0, tailOffset: 2, firstRetainedOffset: 0,
						};
						return ok(name === 'offset' ? {...page, values: [{offset: odd, value: value(9)}], nextOffset: 1} : {...page, [name]: odd});
					},
				}),
				onRetentionPassed: () => 0,
			});
			await log.service.append('s', [1, 2].map(sequence => value(sequence)));
			await clock.advance(10_000);
			// A value that only names an odd offset takes the place of the one that the page leaves out.
			t.deepEqual(offsets(), name === 'offset' ? [1] : [0, 1], `${name} ${odd}`);
			t.is(reader.nextOffset(), 2);
			await stop();
		}
	});
}

test('a reader whose pages take long to handle leaves time for other work, and pauses for a bounded time only', async t => {
	for (const [handlingMs, expectedPauseMs] of [[1, 20], [30, 60], [5000, 150]] as const) {
		const pauses: number[] = [];
		let skippedMs = 0;
		const {clock, log, stop} = start({
			pauseMs: () => 20,
			readerClock: original => ({
				nowMs: () => original.nowMs() + skippedMs,
				async sleep(durationMs, signal) {
					pauses.push(durationMs);
					return original.sleep(durationMs, signal);
				},
			}),
			onPage({records}) {
				skippedMs += records.length > 0 ? handlingMs : 0;
			},
		});
		await log.service.append('s', [value(1)]);
		for (let tries = 0; tries < 500 && pauses.length === 0; tries++) {
			await clock.advance(100);
			await systemClock.sleep(5);
		}

		t.is(pauses[0], expectedPauseMs);
		await stop();
	}
});
