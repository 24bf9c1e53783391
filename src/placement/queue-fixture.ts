import {Map as immutableMap, OrderedMap as orderedMap} from 'immutable';
import {type ClusterState, type EntryMember} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {ownerByRendezvous} from '../cluster/rendezvous.js';
import {type EntryContext} from '../entry/entry-context.js';
import {emptyStateFixture, taskFixture, vmFixture} from '../operator/state-fixture.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e1', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});

const {taskId} = taskFixture.spec;
/** The placement owner of the queued task. */
export const owner = ownerByRendezvous(['i1', 'i2'], taskFixture.jobId)!;
/** The entry whose placement passes are tested. */
export const other = owner === 'i1' ? 'i2' : 'i1';

/** For tests: returns the context of `other`, with a live VM, one queued task and two entries, of which the owner wrote its last record at `ownerOffset`. */
export function contextAt(nowMs: number, ownerOffset: number): EntryContext {
	const member = (incarnation: string, lastOffset: number): [string, EntryMember] => [incarnation, {
		entryId: incarnation, incarnation, failureDomain: 'a', operatorAddress: '', processorsMilli: 1000, lastOffset, appliedOffset: 0,
	}];
	const cluster: ClusterState = {
		...emptyStateFixture,
		entries: immutableMap([member(owner, ownerOffset), member(other, 1)]),
		vms: emptyStateFixture.vms.set(vmFixture.vmId, {
			...vmFixture, phase: 'live', draining: false, quarantined: false,
		}),
		tasks: immutableMap([[taskId, {...taskFixture, phase: 'queued' as const, claim: undefined}]]),
		queued: immutableMap<PriorityClass, ReturnType<typeof orderedMap<string, true>>>([[taskFixture.priority, orderedMap([[taskId, true as const]])]]),
	};
	return {
		cluster, settings, incarnation: other, nowMs, wallTimeMs: nowMs, tailConfirmedSentAtMs: nowMs, pendingAppends: 0, seed: 999,
	};
}
