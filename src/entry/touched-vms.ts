import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type LoggedRecord} from '../log/log-envelope.js';

/** Kinds whose effect may reach any VM. */
const fleetWideKinds: ReadonlySet<ClusterRecord['kind']> = new Set(['plan-confirmed', 'job-submitted', 'job-cancelled']);

/** What a page of records may have given the agents to do. */
export type TouchedVms = Readonly<{
	/** VMs of which anything may have changed; undefined means all of them. */
	refreshed: ReadonlySet<string> | undefined;
	/** By VM, the tasks that this entry claimed there without an eviction. */
	claimed: ReadonlyMap<string, readonly string[]>;
}>;

/**
Lists the VMs that a page of records may have given something to do, and what this entry claimed. Starts and ends of attempts
leave an agent only acknowledgements to hear.

@example
touchedVms(records, {before, after}, incarnation); // => {refreshed: new Set(['vm-1']), claimed: new Map([['vm-2', ['task-1']]])}
*/
export function touchedVms(
	records: readonly LoggedRecord[],
	{before, after}: Readonly<{before: ClusterState; after: ClusterState}>,
	incarnation: string,
): TouchedVms {
	const refreshed = new Set<string>();
	const claimed = new Map<string, string[]>();
	for (const {envelope} of records) {
		const {record} = envelope;
		if (fleetWideKinds.has(record.kind)) {
			return {refreshed: undefined, claimed: new Map()};
		}

		if (!isProgress(record)) {
			for (const vmId of vmIdsOf(record, before, after)) {
				refreshed.add(vmId);
			}
		} else if (record.kind === 'task-claimed' && envelope.incarnation === incarnation) {
			claimed.set(record.vmId, [...claimed.get(record.vmId) ?? [], record.taskId]);
		}
	}

	return {refreshed, claimed};
}

/** Tells whether a record changes nothing for agents but the attempt that it names; an eviction or a failed job changes other tasks. */
function isProgress(record: ClusterRecord): boolean {
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
