import {type Map} from 'immutable';
import {type ClusterState, type Vm} from '../cluster/cluster-state.js';
import {type EntrySettings} from '../settings/entry-settings.js';

/** When this entry first saw an agent incarnation, the newest withdrawal and the newest end of an entry that heard it; never is `-Infinity`. */
export type ContactObservation = Readonly<{
	agentIncarnation: string;
	firstSeenAtMs: number;
	withdrawnOffset: number | undefined;
	withdrawnAtMs: number;
	endedOffset: number | undefined;
	endedAtMs: number;
}>;

/** Observations of the contact, by VM. */
export type ContactObservations = Map<string, ContactObservation>;

const nothingObserved = {
	withdrawnOffset: undefined, withdrawnAtMs: Number.NEGATIVE_INFINITY, endedOffset: undefined, endedAtMs: Number.NEGATIVE_INFINITY,
};

/**
Records when this entry first saw how entries stopped hearing a VM's agent. This is never earlier than the fact, also for an entry that has just started.

@example
observeContact(Map(), vm, nowMs).get(vm.vmId)?.withdrawnAtMs; // => nowMs
*/
export function observeContact(observations: ContactObservations, {vmId, agentIncarnation, contact: {withdrawnOffset, endedOffset}}: Vm, nowMs: number): ContactObservations {
	const known = observations.get(vmId);
	const last = known?.agentIncarnation === agentIncarnation ? known : {...nothingObserved, agentIncarnation, firstSeenAtMs: nowMs};
	return known === last && last.withdrawnOffset === withdrawnOffset && last.endedOffset === endedOffset
		? observations
		: observations.set(vmId, {
			...last,
			withdrawnOffset,
			withdrawnAtMs: last.withdrawnOffset === withdrawnOffset ? last.withdrawnAtMs : nowMs,
			endedOffset,
			endedAtMs: last.endedOffset === endedOffset ? last.endedAtMs : nowMs,
		});
}

/** When all leases of a revoked VM have certainly expired, and by which proof. */
export type LeaseExpiry = Readonly<{atMs: number; proof: 'silence' | 'revocation'}>;

/**
Returns when the leases of a revoked VM have certainly expired, on this entry's clock. The proof `revocation`: no lease is granted later than F after the
revocation. The proof `silence`: the agent's lease ends with the last grant or the last contact, whichever is first. Entries that withdrew had received
no message for a known time; those that were declared ended grant for F and answer in contact for F + D at most.

@param revokedAtMs when this entry read the revocation.

@example
leaseExpiry(vm, {observed, revokedAtMs: 5000}, {cluster, timings}).atMs;
*/
export function leaseExpiry(
	{agentIncarnation, contact}: Vm,
	{observed, revokedAtMs}: Readonly<{observed: ContactObservation | undefined; revokedAtMs: number}>,
	{cluster, timings: {logFreshnessMs, leaseDurationMs, leaseMarginMs}}: Readonly<{cluster: ClusterState; timings: EntrySettings['timings']}>,
): LeaseExpiry {
	const byRevocationMs = revokedAtMs + logFreshnessMs + leaseDurationMs;
	const isBounded = contact.isBounded
		// Without a limit below the lease, the lease alone counts.
		&& contact.limitMs !== undefined && contact.limitMs < leaseDurationMs
		&& observed?.agentIncarnation === agentIncarnation
		&& observed.withdrawnOffset === contact.withdrawnOffset
		&& observed.endedOffset === contact.endedOffset
		// Somebody heard the agent when it registered.
		&& (contact.withdrawnOffset !== undefined || contact.endedOffset !== undefined)
		&& cluster.entries.every(({withdrawsAfterMs}) => withdrawsAfterMs !== undefined);
	if (!isBounded) {
		return {atMs: byRevocationMs + leaseMarginMs, proof: 'revocation'};
	}

	// Entries that heard the agent when they read its registration have granted it a lease within F.
	const registeredAtMs = observed.firstSeenAtMs + logFreshnessMs;
	const lastHeardAtMs = Math.max(observed.withdrawnAtMs - (contact.silenceMs ?? 0), registeredAtMs);
	const grantsEndAtMs = Math.max(lastHeardAtMs + leaseDurationMs, observed.endedAtMs + logFreshnessMs + leaseDurationMs);
	const contactEndsAtMs = Math.max(lastHeardAtMs, observed.endedAtMs + logFreshnessMs + leaseDurationMs) + contact.limitMs;
	// The incarnation before, whose tasks the worker may still run, may have had another limit.
	const bySilenceMs = Math.max(Math.min(contactEndsAtMs, grantsEndAtMs), observed.firstSeenAtMs + leaseDurationMs);
	return bySilenceMs < byRevocationMs
		? {atMs: Math.max(bySilenceMs + leaseMarginMs, revokedAtMs), proof: 'silence'}
		: {atMs: byRevocationMs + leaseMarginMs, proof: 'revocation'};
}
