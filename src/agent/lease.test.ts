import test from 'ava';
import {
	extendLease, isLeaseExpired, noLease, recordHeartbeatSent, type HeartbeatAnswer, shortenLease,
} from './lease.js';

const contactLimitMs = 7500;

/** Returns the lease after heartbeats that were sent at the given times, each answered after 10 ms. */
function leaseAfter(answers: ReadonlyArray<Readonly<{sentAtMs: number; receivedAtMs?: number}> & Omit<HeartbeatAnswer, 'sequence'>>): typeof noLease {
	let lease = noLease;
	for (const [sequence, {sentAtMs, receivedAtMs = sentAtMs + 10, ...answer}] of answers.entries()) {
		lease = extendLease(recordHeartbeatSent(lease, sequence, sentAtMs), {sequence, ...answer}, {nowMs: receivedAtMs, contactLimitMs});
	}

	return lease;
}

test('the tasks of an agent that no entry answers stop before its grant ends, so that they may run elsewhere sooner', t => {
	const lease = leaseAfter([{sentAtMs: 1000, durationMs: 9000, inContact: true}]);
	t.is(lease.deadlineMs, 8500);
	t.false(isLeaseExpired(lease, 8499));
	t.true(isLeaseExpired(lease, 8500));
});

test('an agent whose entries answer keeps its tasks for the whole grant in an outage of the log', t => {
	const outage = [1, 2, 3, 4, 5, 6, 7].map(second => ({sentAtMs: 1000 + (second * 1000), durationMs: 0, inContact: true}));
	t.is(leaseAfter([{sentAtMs: 1000, durationMs: 9000, inContact: true}, ...outage]).deadlineMs, 10_000);
});

test('an entry that has withdrawn from the agent, or one of an earlier version without a fresh read, does not keep its tasks running', t => {
	for (const inContact of [false, undefined]) {
		t.is(leaseAfter([{sentAtMs: 1000, durationMs: 9000, inContact: true}, {sentAtMs: 4000, durationMs: 0, inContact}]).deadlineMs, 8500);
	}
});

test('an entry of an earlier version that grants a lease keeps the tasks running', t => {
	t.is(leaseAfter([{sentAtMs: 1000, durationMs: 9000}, {sentAtMs: 4000, durationMs: 9000}]).deadlineMs, 11_500);
});

test('an answer that was held on its way extends nothing beyond the time of its heartbeat, and revives nothing', t => {
	t.is(leaseAfter([{sentAtMs: 1000, durationMs: 9000, inContact: true}, {
		sentAtMs: 2000, receivedAtMs: 8000, durationMs: 9000, inContact: true,
	}]).deadlineMs, 9500);
	t.is(leaseAfter([{sentAtMs: 1000, durationMs: 9000, inContact: true}, {
		sentAtMs: 8000, receivedAtMs: 8600, durationMs: 9000, inContact: true,
	}]).deadlineMs, 8500);
	t.is(leaseAfter([{
		sentAtMs: 1000, receivedAtMs: 9000, durationMs: 9000, inContact: true,
	}]).deadlineMs, undefined);
});

test('time in which the VM was suspended counts against its lease, since the entries free its tasks meanwhile', t => {
	const lease = leaseAfter([{sentAtMs: 1000, durationMs: 9000, inContact: true}]);
	const shortened = shortenLease(lease, 4000);
	t.is(shortened.deadlineMs, 4500);
	t.is(extendLease(shortened, {sequence: 1, durationMs: 9000, inContact: true}, {nowMs: 2000, contactLimitMs: 7500}).deadlineMs, 4500);
	t.is(shortenLease(noLease, 4000).deadlineMs, undefined);
});
