import test from 'ava';
import {Map as immutableMap, Set as immutableSet} from 'immutable';
import {emptyStateFixture, vmFixture} from '../operator/state-fixture.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {answerHeartbeat} from './lease-grant.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e1', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});

/** What an entry grants that reads the log and hears the agent, while the log knows the named entries. */
function grantedMs(entryIncarnations: readonly string[]): number | undefined {
	const {vmId, agentIncarnation} = vmFixture;
	const [effect] = answerHeartbeat({vmId, agentIncarnation, sequence: 1n}, {
		cluster: {
			...emptyStateFixture,
			entries: immutableMap(entryIncarnations.map(incarnation => [incarnation, {
				entryId: incarnation, incarnation, failureDomain: 'a', operatorAddress: '', processorsMilli: 1000, lastOffset: 1, appliedOffset: 0,
			}])),
			vms: immutableMap([[vmId, {...vmFixture, phase: 'live' as const, heardBy: immutableSet(entryIncarnations)}]]),
		},
		settings, incarnation: 'own', nowMs: 1000, wallTimeMs: 1000, tailConfirmedSentAtMs: 1000, pendingAppends: 0, seed: 1,
	});
	return effect?.kind === 'send-to-agent' && effect.command.case === 'leaseGrant' ? effect.command.value.durationMs : undefined;
}

test('an entry that the log knows grants a lease', t => {
	t.is(grantedMs(['own', 'other']), settings.timings.leaseDurationMs);
});

test('an entry that the others declared ended and that cannot register grants no lease, so that the agent finds one that can report it', t => {
	t.is(grantedMs(['other']), 0);
});
