import test from 'ava';
import {Map as immutableMap} from 'immutable';
import {removeEndedHearer, type VmContact} from '../cluster/vm-contact.js';
import {emptyStateFixture, vmFixture} from '../operator/state-fixture.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {leaseExpiry, observeContact, type ContactObservations} from './lease-expiry.js';

const {timings} = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e1', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
	timings: {leaseDurationMs: 9000, logFreshnessMs: 1500, leaseMarginMs: 500},
});

const withdrawn: VmContact = {
	isBounded: true, limitMs: 7500, silenceMs: 3000, withdrawnOffset: 7,
};

/** Returns when and by which proof the tasks of a VM are free that was seen to register at 0 s, to be withdrawn from at 23 s and to be revoked at 25 s. */
function expiryOf(contact: VmContact, {endedAtMs = 23_000, entryBoundsContact = true, registeredAtMs = 0} = {}) {
	const vm = {...vmFixture, contact, phase: 'revoked' as const};
	const registered = {...vm, contact: {isBounded: true}};
	const ended = {...vm, contact: {isBounded: true, endedOffset: contact.endedOffset}};
	let observed: ContactObservations = observeContact(immutableMap(), registered, registeredAtMs);
	observed = observeContact(observed, ended, endedAtMs);
	observed = observeContact(observed, vm, 23_000);
	const entries = immutableMap([['e', {
		entryId: 'e', incarnation: 'e', failureDomain: 'a', operatorAddress: '', processorsMilli: 1000, lastOffset: 1, appliedOffset: 0, ...(entryBoundsContact && {withdrawsAfterMs: 3000}),
	}]]);
	return leaseExpiry(vm, {observed: observeContact(observed, vm, 30_000).get(vm.vmId), revokedAtMs: 25_000}, {cluster: {...emptyStateFixture, entries}, timings});
}

test('the tasks of a VM that nobody hears are free when its agent has certainly stopped them, not when the newest possible grant has expired', t => {
	t.deepEqual(expiryOf(withdrawn), {atMs: 28_000, proof: 'silence'});
});

test('an agent whose limit is none, or not below its lease, is not freed before it has had the time of the revocation to report checkpoints', t => {
	t.deepEqual(expiryOf({...withdrawn, limitMs: undefined}), {atMs: 36_000, proof: 'revocation'});
	t.deepEqual(expiryOf({...withdrawn, limitMs: 9000}), {atMs: 36_000, proof: 'revocation'});
});

test('an entry that was declared ended may be alive, and may have granted a lease or kept another one alive', t => {
	t.deepEqual(expiryOf({...withdrawn, endedOffset: 6}, {endedAtMs: 22_000}), {atMs: 33_000, proof: 'silence'});
	t.deepEqual(expiryOf({...withdrawn, endedOffset: 6}, {endedAtMs: 17_000}), {atMs: 29_500, proof: 'silence'});
	t.deepEqual(expiryOf({...withdrawn, endedOffset: 6}, {endedAtMs: 2000}), {atMs: 28_000, proof: 'silence'});
	t.deepEqual(expiryOf({isBounded: true, limitMs: 7500, endedOffset: 6}, {endedAtMs: 23_000}), {atMs: 34_000, proof: 'silence'});
});

test('an entry of an earlier version, or a VM whose entries did not withdraw, leaves the bound of the revocation', t => {
	t.deepEqual(expiryOf(withdrawn, {entryBoundsContact: false}), {atMs: 36_000, proof: 'revocation'});
	t.deepEqual(expiryOf({...withdrawn, isBounded: false}), {atMs: 36_000, proof: 'revocation'});
	t.deepEqual(expiryOf({isBounded: true, limitMs: 7500}), {atMs: 36_000, proof: 'revocation'});
});

test('entries that read the registration may have granted a lease then without being listed as hearing the agent', t => {
	t.deepEqual(expiryOf({...withdrawn, limitMs: 8900}, {registeredAtMs: 19_000}), {atMs: 29_900, proof: 'silence'});
});

test('the worker may run tasks for the agent before, which may have had another limit', t => {
	t.deepEqual(expiryOf({...withdrawn, limitMs: 5000}, {registeredAtMs: 19_500}), {atMs: 29_000, proof: 'silence'});
});

test('nothing is free before its revocation', t => {
	t.deepEqual(expiryOf({...withdrawn, limitMs: 2000}), {atMs: 25_000, proof: 'silence'});
});

test('the end of an entry of an earlier version, which may have granted unlisted, does not lift the bound of a VM that is revoked already', t => {
	const revoked = {...vmFixture, contact: withdrawn, phase: 'revoked' as const};
	t.is(expiryOf(removeEndedHearer(revoked, {incarnation: 'old'}, 9).contact).proof, 'revocation');
	t.is(expiryOf(removeEndedHearer(revoked, {incarnation: 'new', withdrawsAfterMs: 3000}, 9).contact).proof, 'silence');
});
