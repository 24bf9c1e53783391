import test from 'ava';
import {Map as immutableMap, Set as immutableSet} from 'immutable';
import {emptyStateFixture, vmFixture} from '../operator/state-fixture.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {answerHeartbeat} from './lease-grant.js';
import {initialVmLiveness} from './vm-liveness.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e1', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});

/** Returns the answer of the entry `own`, which read the log's tail `tailAgeMs` ago, when the given entries are registered and listed as hearing the agent. */
function answerOf(entryIncarnations: readonly string[], {vmLiveness = initialVmLiveness, heardBy = entryIncarnations, tailAgeMs = 0} = {}) {
	const {vmId, agentIncarnation} = vmFixture;
	const [effect] = answerHeartbeat({vmId, agentIncarnation, sequence: 1n}, {
		vmLiveness,
		context: {
			cluster: {
				...emptyStateFixture,
				entries: immutableMap(entryIncarnations.map(incarnation => [incarnation, {
					entryId: incarnation, incarnation, failureDomain: 'a', operatorAddress: '', processorsMilli: 1000, lastOffset: 1, appliedOffset: 0,
				}])),
				vms: immutableMap([[vmId, {...vmFixture, phase: 'live' as const, heardBy: immutableSet(heardBy)}]]),
			},
			settings, incarnation: 'own', nowMs: 100_000, wallTimeMs: 1000, tailConfirmedSentAtMs: 100_000 - tailAgeMs, pendingAppends: 0, seed: 1,
		},
	});
	const value = effect?.kind === 'send-to-agent' && effect.command.case === 'leaseGrant' ? effect.command.value : undefined;
	return {durationMs: value?.durationMs, inContact: value?.inContact};
}

const grantedMs = (entryIncarnations: readonly string[]): number | undefined => answerOf(entryIncarnations).durationMs;

test('an entry that is registered in the log grants a lease', t => {
	t.is(grantedMs(['own', 'other']), settings.timings.leaseDurationMs);
});

test('an entry that was declared ended and cannot register again grants no lease, so that the agent moves to an entry that can report it as reachable', t => {
	t.is(grantedMs(['other']), 0);
});

test('an entry that the log does not list as hearing the agent grants nothing, since the VM may be revoked without a record of it', t => {
	t.deepEqual(answerOf(['own', 'other'], {heardBy: ['other']}), {durationMs: 0, inContact: false});
});

test('an entry that has withdrawn grants nothing before its withdrawal is read back, since others count from it', t => {
	const vmLiveness = {...initialVmLiveness, withdrawn: initialVmLiveness.withdrawn.set(vmFixture.vmId, vmFixture.agentIncarnation)};
	t.deepEqual(answerOf(['own'], {vmLiveness}), {durationMs: 0, inContact: false});
});

test('in an outage of the log an entry keeps the agent in contact until no lease can be left, and not for ever', t => {
	const {logFreshnessMs, leaseDurationMs} = settings.timings;
	t.deepEqual(answerOf(['own'], {tailAgeMs: logFreshnessMs + 1}), {durationMs: 0, inContact: true});
	t.deepEqual(answerOf(['own'], {tailAgeMs: logFreshnessMs + leaseDurationMs}), {durationMs: 0, inContact: true});
	t.deepEqual(answerOf(['own'], {tailAgeMs: logFreshnessMs + leaseDurationMs + 1}), {durationMs: 0, inContact: false});
});
