import test from 'ava';
import {hasLapsed, nextHoldDeadline, unknownWorker} from './worker-view.js';

const timings = {workerHoldMs: 8000, workerTimeoutMs: 2500};
const heard = {...unknownWorker, heardAtMs: 10_000};

test('a worker is never told to run tasks beyond the lease', t => {
	t.is(nextHoldDeadline(heard, {leaseDeadlineMs: 12_000, nowMs: 10_000, ...timings}), 12_000);
	t.is(nextHoldDeadline(heard, {leaseDeadlineMs: undefined, nowMs: 10_000, ...timings}), undefined);
});

test('the tasks of a silent worker are held no longer, so that they are known to have stopped', t => {
	t.is(nextHoldDeadline(heard, {leaseDeadlineMs: 30_000, nowMs: 10_000, ...timings}), 18_000);
	t.is(nextHoldDeadline(heard, {leaseDeadlineMs: 30_000, nowMs: 12_600, ...timings}), undefined);
});

test('a slow clock of the worker does not let its tasks run on after they count as stopped', t => {
	const worker = {...heard, holdDeadlineMs: 18_000};
	t.false(hasLapsed(worker, {nowMs: 18_100, ...timings}));
	t.true(hasLapsed(worker, {nowMs: 18_161, ...timings}));
});
