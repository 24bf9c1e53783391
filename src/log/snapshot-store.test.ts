import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import test from 'ava';
import fc from 'fast-check';
import {err, ok} from 'true-myth/result';
import {jsonWithOddField, oddBytes, oddJson} from '../validation/odd-values.js';
import {createFakeClock} from './fake-clock.js';
import {createFakeLogService} from './fake-log-service.js';
import {createSnapshotStore} from './snapshot-store.js';

// Fixed text that hardly compresses, so that it takes several chunks.
const text = Array.from({length: 40_000}, (_, index) => Math.imul(index, 2_654_435_761).toString(36)).join('');

test('the complete snapshot that covers the most records is loaded, even when others are damaged or no longer retained in full', async t => {
	const log = createFakeLogService(createFakeClock());
	const store = createSnapshotStore({service: log.service, stream: 's'});
	const none = await store.loadNewest();
	t.true(none.isOk && none.value === undefined);
	for (const [snapshotId, coversOffset] of [['s1', 10], ['s2', 30], ['s3', 20]] as const) {
		const written = await store.write({snapshotId, coversOffset, value: {text, coversOffset}});
		t.true(written.isOk);
	}

	t.true(log.values('s').length > 3);
	const chunk = {
		snapshotId: 's4', coversOffset: 99, index: 0, count: 2, data: '',
	};
	await log.service.append('s', [JSON.stringify(chunk), 'not a chunk', JSON.stringify({...chunk, snapshotId: 's5', count: 1})]);
	const newest = await store.loadNewest();
	t.deepEqual(newest.unwrapOr(undefined), {coversOffset: 30, value: {text, coversOffset: 30}});
	log.retainFrom(Math.floor(log.values('s').length / 2));
	const retained = await store.loadNewest();
	t.is(retained.map(snapshot => snapshot?.coversOffset).unwrapOr(undefined), 20);
});

test('loading reads little more than one snapshot, however many are stored, so that an entry on a slow link can start', async t => {
	const log = createFakeLogService(createFakeClock());
	let readCharacters = 0;
	const store = createSnapshotStore({
		service: {
			...log.service,
			async read(stream, fromOffset, options) {
				const page = await log.service.read(stream, fromOffset, options);
				readCharacters += page.unwrapOr(undefined)!.values.reduce((sum, {value}) => sum + value.length, 0);
				return page;
			},
		},
		stream: 's',
	});
	for (let coversOffset = 1; coversOffset <= 30; coversOffset++) {
		await store.write({snapshotId: `s${coversOffset}`, coversOffset, value: {text, coversOffset}});
	}

	const newest = await store.loadNewest();
	t.deepEqual(newest.unwrapOr(undefined), {coversOffset: 30, value: {text, coversOffset: 30}});
	const snapshotCharacters = log.values('s').reduce((sum, {value}) => sum + value.length, 0) / 30;
	t.true(readCharacters <= 3 * snapshotCharacters, `${readCharacters} characters for a snapshot of ${snapshotCharacters}`);
});

test('a snapshot beyond the limit is rejected and not written in part', async t => {
	const log = createFakeLogService(createFakeClock());
	const store = createSnapshotStore({service: log.service, stream: 's'});
	const refused = await store.write({snapshotId: 's1', coversOffset: 1, value: randomBytes(7_000_000).toString('base64')});
	t.true(refused.isErr && refused.error.kind === 'snapshot-too-large');
	t.is(log.values('s').length, 0);
});

test('snapshots that cannot be used are passed over for the next older one, however many they are', async t => {
	const log = createFakeLogService(createFakeClock());
	const store = createSnapshotStore({service: log.service, stream: 's'});
	for (const [snapshotId, coversOffset] of [['s1', 10], ['s2', 20], ['s3', 90], ['s4', 1000], ['s5', 9_007_199_254_740_991], ['s6', -1]] as const) {
		await store.write({snapshotId, coversOffset, value: coversOffset});
	}

	const passedOver: number[] = [];
	const newest = await store.loadNewestUsable({
		use({value}) {
			if (value === 1000) {
				throw new RangeError('out of range');
			}

			return value === 20 || value === 10 ? ok(value) : err('odd');
		},
		onPassedOver({coversOffset}) {
			passedOver.push(coversOffset);
		},
	});
	t.is(newest.unwrapOr(undefined), 20);
	t.deepEqual(passedOver, [9_007_199_254_740_991, 1000, -1, 90]);
});

test('a good snapshot is loaded, whatever odd values are behind it', async t => {
	const chunk = {
		snapshotId: 's2', coversOffset: 30, index: 0, count: 1, data: 'eJyrVkpUslKqBQAISQIX',
	};
	const odd = fc.oneof({weight: 4, arbitrary: jsonWithOddField(chunk)}, oddJson(), oddBytes().map(bytes => Buffer.from(bytes).toString()));
	await fc.assert(fc.asyncProperty(fc.array(odd, {minLength: 1, maxLength: 6}), async values => {
		const log = createFakeLogService(createFakeClock());
		const store = createSnapshotStore({service: log.service, stream: 's'});
		await store.write({snapshotId: 's1', coversOffset: 20, value: {good: true}});
		await log.service.append('s', values);
		const newest = await store.loadNewestUsable({
			use: ({value}) => JSON.stringify(value) === '{"good":true}' ? ok(value) : err('odd'),
			onPassedOver: () => undefined,
		});
		t.deepEqual(newest.unwrapOr(undefined), {good: true});
	}), {numRuns: 150});
});

test('bounds that cannot be true fail a load instead of keeping it busy for good', async t => {
	const {service} = createFakeLogService(createFakeClock());
	for (const tailOffset of [1e300, Number.POSITIVE_INFINITY, Number.NaN, 2 ** 53]) {
		const store = createSnapshotStore({service: {...service, bounds: async () => ok({firstRetainedOffset: 0, tailOffset})}, stream: 's'});
		const newest = await store.loadNewest();
		t.true(newest.isErr);
	}
});
