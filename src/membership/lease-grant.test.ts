import test from 'ava';
import {Map as immutableMap, Set as immutableSet} from 'immutable';
import {emptyStateFixture, vmFixture} from '../operator/state-fixture.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {answerHeartbeat} from './lease-grant.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e1', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});

/** Returns the lease time that the entry `own` grants when its reads of the log are fresh and the given entries are registered. */
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

test('an entry that is registered in the log grants a lease', t => {
	t.is(grantedMs(['own', 'other']), settings.timings.leaseDurationMs);
});

test('an entry that was declared ended and cannot register again grants no lease, so that the agent moves to an entry that can report it as reachable', t => {
	t.is(grantedMs(['other']), 0);
});
