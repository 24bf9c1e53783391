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
	/** When the newest heartbeat was sent that an entry granted a lease for: that entry had read the log's tail lately. */
	grantedForMs: number | undefined;
	/** End of the longest grant; undefined until the first one. */
	grantedUntilMs: number | undefined;
	/** Time until which the entries count on the agent being in contact; undefined until the first answer in contact. */
	contactUntilMs: number | undefined;
	/** The earlier of both, when leased tasks stop; undefined until the first grant. */
	deadlineMs: number | undefined;
}>;

/** The lease of a new incarnation: nothing granted, no heartbeat sent. */
export const noLease: Lease = {
	sentAtMs: immutableMap(), grantedForMs: undefined, grantedUntilMs: undefined, contactUntilMs: undefined, deadlineMs: undefined,
};

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
Time since the sending of the newest heartbeat that was answered with a lease, after which an agent sends no start of its own accord. An entry that grants
a lease has read the log's tail, and has sent the evacuations in it before; two heartbeats may be lost.
*/
const maxGrantAgeMs = 2500;

/**
Returns whether an entry that reads the log has granted a lease lately, so that the agent would know of an evacuation of its failure domain. The lease
itself lasts longer than a start may go on being repeated after a request that the agent's entries have not read.

@example
isGrantRecent(noLease, 5000); // => false
*/
export function isGrantRecent({grantedForMs}: Lease, nowMs: number): boolean {
	return grantedForMs !== undefined && nowMs - grantedForMs <= maxGrantAgeMs;
}

/**
Returns whether a granted lease has expired.

@example
isLeaseExpired(noLease, 5000); // => false
*/
export function isLeaseExpired(lease: Lease, nowMs: number): boolean {
	return lease.deadlineMs !== undefined && nowMs >= lease.deadlineMs;
}

/** An entry's answer to a heartbeat. Without `inContact`, it is in contact when it grants a lease. */
export type HeartbeatAnswer = Readonly<{sequence: number; durationMs: number; inContact?: boolean | undefined}>;

/**
Extends the grant to `durationMs` and the contact to `contactLimitMs` after the sending of the heartbeat that the answer echoes. The deadline
never moves back, an expired lease stays expired, and an answer that is not in contact, or for a heartbeat of another incarnation, changes nothing.

@example
extendLease(recordHeartbeatSent(noLease, 1, 5000), {sequence: 1, durationMs: 15_000}, {nowMs: 5003, contactLimitMs: 12_500}).deadlineMs; // => 17500
*/
export function extendLease(
	lease: Lease,
	{sequence, durationMs, inContact = durationMs > 0}: HeartbeatAnswer,
	{nowMs, contactLimitMs}: Readonly<{nowMs: number; contactLimitMs: number}>,
): Lease {
	const sentAtMs = lease.sentAtMs.get(sequence);
	if (sentAtMs === undefined || !inContact || sentAtMs + contactLimitMs <= nowMs || isLeaseExpired(lease, nowMs)) {
		return lease;
	}

	const contactUntilMs = Math.max(sentAtMs + contactLimitMs, lease.contactUntilMs ?? 0);
	const grantedUntilMs = sentAtMs + durationMs > nowMs ? Math.max(sentAtMs + durationMs, lease.grantedUntilMs ?? 0) : lease.grantedUntilMs;
	const grantedForMs = durationMs > 0 ? Math.max(sentAtMs, lease.grantedForMs ?? Number.NEGATIVE_INFINITY) : lease.grantedForMs;
	return contactUntilMs === lease.contactUntilMs && grantedUntilMs === lease.grantedUntilMs && grantedForMs === lease.grantedForMs
		? lease
		: {
			...lease, contactUntilMs, grantedForMs, grantedUntilMs, deadlineMs: grantedUntilMs === undefined ? undefined : Math.min(grantedUntilMs, contactUntilMs),
		};
}

/**
Moves a lease back by the time in which the VM was suspended. The VM's monotonic clock does not count it, and the clocks of the entries do.

@param suspendedMs length of the suspension in milliseconds.

@example
shortenLease(lease, 4000).deadlineMs; // => 4000 ms earlier than before
*/
export function shortenLease({sentAtMs, grantedForMs, grantedUntilMs, contactUntilMs, deadlineMs}: Lease, suspendedMs: number): Lease {
	const earlier = (atMs: number | undefined): number | undefined => atMs === undefined ? undefined : atMs - suspendedMs;
	return {
		sentAtMs: sentAtMs.map(atMs => atMs - suspendedMs), grantedForMs: earlier(grantedForMs), grantedUntilMs: earlier(grantedUntilMs), contactUntilMs: earlier(contactUntilMs), deadlineMs: earlier(deadlineMs),
	};
}
