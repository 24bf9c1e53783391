import test from 'ava';
import fc from 'fast-check';
import {createFakeClock} from './fake-clock.js';
import {createFakeLogService, type Fault} from './fake-log-service.js';
import {logEnvelopeSchema} from './log-envelope.js';
import {type LogService} from './log-service.js';
import {createLogWriter} from './log-writer.js';

const faults = fc.array(fc.constantFrom<Fault>('none', 'unavailable', 'rate-limited', 'lost-answer', 'late'), {maxLength: 20});

function start(maxPendingRecords?: number, changeService = (service: LogService) => service) {
	const clock = createFakeClock();
	const log = createFakeLogService(clock);
	const writer = createLogWriter({
		service: changeService(log.service), stream: 's', writer: 'entry-1', incarnation: 'w1', appendIntervalMs: 20, maxBatchRecords: 5, maxPendingRecords, clock, random: () => 0.5,
	});
	return {clock, log, writer};
}

test('every record takes effect once and in order, even when answers are lost or writes are late', async t => {
	await fc.assert(fc.asyncProperty(faults, fc.array(fc.nat(8), {minLength: 1, maxLength: 12}), async (faultList, bursts) => {
		const {clock, log, writer} = start();
		log.appendFaults.push(...faultList);
		let count = 0;
		for (const burst of bursts) {
			for (let index = 0; index < burst; index++) {
				writer.append({kind: 'tasks-cancelled', taskIds: [`task-${count++}`]});
			}

			await clock.advance(15);
		}

		await clock.advance(120_000);
		t.is(writer.pendingCount(), 0);
		let sequence = 0;
		const applied: string[] = [];
		for (const {value} of log.values('s')) {
			const envelope = logEnvelopeSchema.parse(JSON.parse(value));
			if (envelope.sequence > sequence) {
				sequence = envelope.sequence;
				applied.push(JSON.stringify(envelope.record));
			}
		}

		t.deepEqual(applied, Array.from({length: count}, (_, index) => JSON.stringify({kind: 'tasks-cancelled', taskIds: [`task-${index}`]})));
		for (const [index, append] of log.appends.entries()) {
			t.true(index === 0 || append.atMs - log.appends[index - 1]!.atMs >= 20, 'appends are closer than the interval');
			t.true(append.values.length <= 5, 'a batch exceeds its limit');
		}
	}), {numRuns: 40});
});

test('a batch that failed is sent again unchanged, even when more records are pending', async t => {
	const {clock, log, writer} = start();
	log.appendFaults.push('lost-answer', 'unavailable');
	writer.append({kind: 'entry-alive', appliedOffset: 0});
	await clock.advance(1);
	writer.append({kind: 'entry-alive', appliedOffset: 0});
	await clock.advance(1000);
	const [first, second, third, fourth] = log.appends;
	t.deepEqual(second?.values, first?.values);
	t.deepEqual(third?.values, first?.values);
	t.is(fourth?.values.length, 1);
});

test('only records that were never sent can be dropped', async t => {
	const {clock, log, writer} = start();
	log.appendFaults.push('unavailable');
	writer.append({kind: 'entry-alive', appliedOffset: 0});
	await clock.advance(1);
	writer.append({kind: 'entry-alive', appliedOffset: 0});
	t.is(writer.drop(() => true), 1);
	await clock.advance(1000);
	t.is(log.values('s').length, 1);
});

test('a full writer refuses records instead of growing without bound, and a closed one stops after its timeout', async t => {
	const {clock, log, writer} = start(2);
	log.appendFaults.push(...Array.from({length: 100}, () => 'unavailable' as const));
	t.true(writer.append({kind: 'entry-alive', appliedOffset: 0}).isOk);
	t.true(writer.append({kind: 'entry-alive', appliedOffset: 0}).isOk);
	const refused = writer.append({kind: 'entry-alive', appliedOffset: 0});
	t.true(refused.isErr && refused.error.kind === 'log-writer-full');
	const closed = writer.close();
	await clock.advance(5000);
	await closed;
	t.true(writer.append({kind: 'entry-alive', appliedOffset: 0}).isErr);
});

test('an append that throws is tried again, and a record that cannot be encoded drops no other one', async t => {
	let failures = 2;
	const {clock, log, writer} = start(undefined, service => ({
		...service,
		async append(stream, values) {
			failures--;
			if (failures >= 0) {
				throw new TypeError('Invalid URL');
			}

			return service.append(stream, values);
		},
	}));
	writer.append({kind: 'entry-alive', appliedOffset: 0});
	t.throws(() => {
		// @ts-expect-error -- An offset of another type stands for any value that cannot be encoded.
		writer.append({kind: 'entry-alive', appliedOffset: 1n});
	}, {instanceOf: TypeError});
	writer.append({kind: 'entry-alive', appliedOffset: 2});
	await clock.advance(10_000);
	t.is(writer.pendingCount(), 0);
	t.deepEqual(log.values('s').map(({value}) => logEnvelopeSchema.parse(JSON.parse(value))).map(({sequence, record}) => [sequence, record]), [
		[1, {kind: 'entry-alive', appliedOffset: 0}], [2, {kind: 'entry-alive', appliedOffset: 2}],
	]);
});
