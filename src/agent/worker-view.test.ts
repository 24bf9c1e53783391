import test from 'ava';
import {isWorkerLeaseExpired, nextWorkerLeaseDeadlineMs, initialWorkerView} from './worker-view.js';

const timings = {workerHoldMs: 8000, workerTimeoutMs: 2500};
const heard = {...initialWorkerView, lastSeenAtMs: 10_000};

test('a worker is never told to run tasks beyond the lease', t => {
	t.is(nextWorkerLeaseDeadlineMs(heard, {leaseDeadlineMs: 12_000, nowMs: 10_000, ...timings}), 12_000);
	t.is(nextWorkerLeaseDeadlineMs(heard, {leaseDeadlineMs: undefined, nowMs: 10_000, ...timings}), undefined);
});

test('the tasks of a silent worker are held no longer, so that they are known to have stopped', t => {
	t.is(nextWorkerLeaseDeadlineMs(heard, {leaseDeadlineMs: 30_000, nowMs: 10_000, ...timings}), 18_000);
	t.is(nextWorkerLeaseDeadlineMs(heard, {leaseDeadlineMs: 30_000, nowMs: 12_400, ...timings}), 18_000);
	t.is(nextWorkerLeaseDeadlineMs(heard, {leaseDeadlineMs: 30_000, nowMs: 12_600, ...timings}), undefined);
});

test('a slow clock of the worker does not let its tasks run on after they count as stopped', t => {
	const worker = {...heard, workerLeaseDeadlineMs: 18_000};
	t.false(isWorkerLeaseExpired(worker, {nowMs: 18_100, ...timings}));
	t.true(isWorkerLeaseExpired(worker, {nowMs: 18_161, ...timings}));
});

test('the grants of several entries for one heartbeat renew the hold of the worker once, not once each', t => {
	let worker = {...initialWorkerView, lastSeenAtMs: 0};
	let renewals = 0;
	for (let nowMs = 0; nowMs < 10_000; nowMs += 1000) {
		for (let entry = 0; entry < 10; entry++) {
			const grantedMs = nowMs + (4 * entry);
			const deadlineMs = nextWorkerLeaseDeadlineMs({...worker, lastSeenAtMs: grantedMs}, {leaseDeadlineMs: nowMs + 30_000, nowMs: grantedMs, ...timings});
			if (deadlineMs !== undefined) {
				worker = {...worker, workerLeaseDeadlineMs: deadlineMs};
				renewals++;
			}
		}
	}

	t.is(renewals, 10);
});
