import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';

/** Number of heartbeats whose sending time is recorded; a grant for an older one is ignored. */
const maxRecordedHeartbeats = 64;

/**
Longest lease that an agent accepts. Entries count a lease as expired after their own setting, far below it; an agent that held one for longer would run
tasks that were placed again elsewhere.
*/
export const maxLeaseMs = 600_000;

/** The lease of one agent incarnation. Times are on the VM's monotonic clock. */
export type Lease = Readonly<{
	/** Sending time of each recent heartbeat by sequence. */
	sentAtMs: ImmutableMap<number, number>;
	/** Undefined until the first grant. */
	deadlineMs: number | undefined;
}>;

/** The lease of a new incarnation: nothing granted, no heartbeat sent. */
export const noLease: Lease = {sentAtMs: immutableMap(), deadlineMs: undefined};

/**
Records when a heartbeat was sent.

@example
recordHeartbeatSent(noLease, 1, 5000);
*/
export function recordHeartbeatSent(lease: Lease, sequence: number, nowMs: number): Lease {
	return {...lease, sentAtMs: lease.sentAtMs.set(sequence, nowMs).delete(sequence - maxRecordedHeartbeats)};
}

/**
Returns whether the lease is granted and not expired, so that run-once tasks may be started.

@example
isLeaseLive(noLease, 5000); // => false
*/
export function isLeaseLive(lease: Lease, nowMs: number): boolean {
	return lease.deadlineMs !== undefined && nowMs < lease.deadlineMs;
}

/**
Returns whether a granted lease has expired.

@example
isLeaseExpired(noLease, 5000); // => false
*/
export function isLeaseExpired(lease: Lease, nowMs: number): boolean {
	return lease.deadlineMs !== undefined && nowMs >= lease.deadlineMs;
}

/**
Extends the lease to `durationMs` after the sending of the heartbeat that the grant echoes. The deadline never
moves back, an expired lease stays expired, and a grant for a heartbeat of another incarnation changes nothing.

@example
grantLease(recordHeartbeatSent(noLease, 1, 5000), {sequence: 1, durationMs: 15_000}, 5003).deadlineMs; // => 20000
*/
export function grantLease(lease: Lease, grant: Readonly<{sequence: number; durationMs: number}>, nowMs: number): Lease {
	const sentAtMs = lease.sentAtMs.get(grant.sequence);
	if (sentAtMs === undefined || isLeaseExpired(lease, nowMs)) {
		return lease;
	}

	const deadlineMs = sentAtMs + grant.durationMs;
	return deadlineMs <= nowMs || deadlineMs <= (lease.deadlineMs ?? 0) ? lease : {...lease, deadlineMs};
}
