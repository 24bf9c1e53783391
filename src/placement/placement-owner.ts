import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {rankEntries} from '../cluster/rank-entries.js';

/**
Names what one entry places together: everything of a service, so that all of its tasks are weighed against each other, or else
the tasks of a job.

@example
placementSubjectOf(task, cluster); // => 'loaf-orders'
*/
export function placementSubjectOf(task: Task, cluster: ClusterState): string {
	return cluster.workflows.get(task.jobId)?.workflow.service ?? task.jobId;
}

// Keyed by the entries, which change seldom.
const ownersByEntries = new WeakMap<ClusterState['entries'], Map<string, string | undefined>>();

/**
Names the incarnation of the entry that places a subject; undefined without entries.

@example
placementOwnerOf('loaf-orders', cluster); // => 'a81f…'
*/
export function placementOwnerOf(subject: string, {entries}: ClusterState): string | undefined {
	const owners = ownersByEntries.get(entries) ?? new Map<string, string | undefined>();
	ownersByEntries.set(entries, owners);
	if (!owners.has(subject)) {
		owners.set(subject, rankEntries(entries.values(), subject)[0]?.incarnation);
	}

	return owners.get(subject);
}

/**
Tells whether an entry places the tasks of a service that has VMs.

@example
ownsPlacement(cluster, 'a81f…'); // => true
*/
export function ownsPlacement(cluster: ClusterState, incarnation: string): boolean {
	const services = new Set<string>();
	for (const vm of cluster.vms.values()) {
		services.add(vm.service);
	}

	return [...services].some(service => service === '' || placementOwnerOf(service, cluster) === incarnation);
}
