import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type LoggedRecord} from '../log/log-envelope.js';

/** Kinds of records that may affect any VM. */
const fleetWideKinds: ReadonlySet<ClusterRecord['kind']> = new Set(['plan-confirmed', 'job-submitted', 'job-cancelled', 'failure-domain-evacuation']);

/** Returns whether a record may affect any VM. The cancellation of a job without tasks in the state affects none. */
function isFleetWide(record: ClusterRecord, before: ClusterState, after: ClusterState): boolean {
	return fleetWideKinds.has(record.kind) && !(record.kind === 'job-cancelled' && !before.jobs.has(record.jobId) && !after.jobs.has(record.jobId));
}

/** VMs whose agents may need a message after a page of records. */
export type TouchedVms = Readonly<{
	/** VMs on which anything may have changed; undefined means all VMs. */
	vmIdsToRefresh: ReadonlySet<string> | undefined;
	/** Tasks that this entry claimed without an eviction, by VM. */
	claimedTaskIdsByVm: ReadonlyMap<string, readonly string[]>;
}>;

/**
Returns the VMs whose agents may need a message after a page of records, and the tasks that this entry claimed. Agents need only
acknowledgements of starts, checkpoints and ends of attempts, so these are left out.

@example
touchedVms(records, {before, after}, incarnation); // => {vmIdsToRefresh: new Set(['vm-1']), claimedTaskIdsByVm: new Map([['vm-2', ['task-1']]])}
*/
export function touchedVms(
	records: readonly LoggedRecord[],
	{before, after}: Readonly<{before: ClusterState; after: ClusterState}>,
	incarnation: string,
): TouchedVms {
	const vmIdsToRefresh = new Set<string>();
	const claimedTaskIdsByVm = new Map<string, string[]>();
	for (const {envelope} of records) {
		const {record} = envelope;
		if (isFleetWide(record, before, after)) {
			return {vmIdsToRefresh: undefined, claimedTaskIdsByVm: new Map()};
		}

		if (!changesOnlyItsAttempt(record)) {
			for (const vmId of vmIdsOf(record, before, after)) {
				vmIdsToRefresh.add(vmId);
			}
		} else if (record.kind === 'task-claimed' && envelope.incarnation === incarnation) {
			claimedTaskIdsByVm.set(record.vmId, [...claimedTaskIdsByVm.get(record.vmId) ?? [], record.taskId]);
		}
	}

	return {vmIdsToRefresh, claimedTaskIdsByVm};
}

/** Returns whether a record only advances its own attempt. A claim with evictions and a failed attempt, which may fail its job, affect other tasks. */
function changesOnlyItsAttempt(record: ClusterRecord): boolean {
	return record.kind === 'task-started'
		|| record.kind === 'task-checkpointed'
		|| (record.kind === 'task-claimed' && record.evictTaskIds.length === 0)
		|| (record.kind === 'task-ended' && record.outcome !== 'failed');
}

function vmIdsOf(record: ClusterRecord, before: ClusterState, after: ClusterState): ReadonlySet<string> {
	const vmIds = new Set<string>();
	if ('vmId' in record) {
		vmIds.add(record.vmId);
	}

	for (const taskId of taskIdsOf(record)) {
		for (const state of [before, after]) {
			const vmId = state.tasks.get(taskId)?.claim?.vmId;
			if (vmId !== undefined) {
				vmIds.add(vmId);
			}
		}
	}

	return vmIds;
}

function taskIdsOf(record: ClusterRecord): readonly string[] {
	if ('taskIds' in record) {
		return record.taskIds;
	}

	return 'taskId' in record ? [record.taskId] : [];
}
