import test from 'ava';
import {
	isSilent, isWorkerLeaseExpired, nextWorkerLeaseDeadlineMs, initialWorkerView, reasonForLoss,
} from './worker-view.js';

const timings = {workerHoldMs: 8000, workerTimeoutMs: 2500};
const seen = {...initialWorkerView, lastSeenAtMs: 10_000};

test('a worker lease never ends after the lease of the agent', t => {
	t.is(nextWorkerLeaseDeadlineMs(seen, {leaseDeadlineMs: 12_000, nowMs: 10_000, ...timings}), 12_000);
	t.is(nextWorkerLeaseDeadlineMs(seen, {leaseDeadlineMs: undefined, nowMs: 10_000, ...timings}), undefined);
});

test('the lease of a silent worker is not renewed, so that its tasks certainly stop', t => {
	t.is(nextWorkerLeaseDeadlineMs(seen, {leaseDeadlineMs: 30_000, nowMs: 10_000, ...timings}), 18_000);
	t.is(nextWorkerLeaseDeadlineMs(seen, {leaseDeadlineMs: 30_000, nowMs: 12_400, ...timings}), 18_000);
	t.is(nextWorkerLeaseDeadlineMs(seen, {leaseDeadlineMs: 30_000, nowMs: 12_600, ...timings}), undefined);
});

test('tasks of a worker with a slow clock do not run on after they count as stopped', t => {
	const worker = {...seen, workerLeaseDeadlineMs: 18_000};
	t.false(isWorkerLeaseExpired(worker, {nowMs: 18_100, ...timings}));
	t.true(isWorkerLeaseExpired(worker, {nowMs: 18_161, ...timings}));
});

test('the grants of several entries for one heartbeat renew the worker lease once, not once each', t => {
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

test('the lease of a worker that refuses connections is not renewed, although its last list is recent', t => {
	const refusing = {...seen, connectionRefused: {sinceMs: 10_100, untilMs: 10_200}};
	t.is(nextWorkerLeaseDeadlineMs(refusing, {leaseDeadlineMs: 30_000, nowMs: 10_300, ...timings}), undefined);
	t.is(nextWorkerLeaseDeadlineMs({...seen, lost: true}, {leaseDeadlineMs: 30_000, nowMs: 10_300, ...timings}), undefined);
});

test('a worker that cannot be connected to for a moment is not lost, although no lease of it runs', t => {
	const worker = {
		...initialWorkerView, lastSeenAtMs: 11_900, workerLeaseDeadlineMs: 1000, isUnreached: true,
	};
	t.true(isSilent(worker, {nowMs: 12_000, ...timings}));
	t.is(reasonForLoss(worker, {nowMs: 12_000, ...timings}), undefined);
});
