import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type LoggedRecord} from '../log/log-envelope.js';

/** Kinds whose effect may reach any VM. */
const fleetWideKinds: ReadonlySet<ClusterRecord['kind']> = new Set(['plan-confirmed', 'job-submitted', 'job-cancelled']);

/**
Lists the VMs that a page of records may have given something to do; undefined means all of them.

@example
touchedVmIds(records, before, after); // => new Set(['vm-1'])
*/
export function touchedVmIds(
	records: readonly LoggedRecord[],
	before: ClusterState,
	after: ClusterState,
): ReadonlySet<string> | undefined {
	const vmIds = new Set<string>();
	for (const {envelope: {record}} of records) {
		if (fleetWideKinds.has(record.kind)) {
			return undefined;
		}

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
	}

	return vmIds;
}

function taskIdsOf(record: ClusterRecord): readonly string[] {
	if ('taskIds' in record) {
		return record.taskIds;
	}

	return 'taskId' in record ? [record.taskId] : [];
}
