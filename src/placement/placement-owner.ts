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
const ranksByEntries = new WeakMap<ClusterState['entries'], Map<string, readonly string[]>>();

/**
Ranks the incarnations of the entries for placing a subject: the first one does, and each other one when those before it are silent.

@example
placementRankOf('loaf-orders', cluster); // => ['a81f…', 'c02e…']
*/
export function placementRankOf(subject: string, {entries}: ClusterState): readonly string[] {
	const ranks = ranksByEntries.get(entries) ?? new Map<string, readonly string[]>();
	ranksByEntries.set(entries, ranks);
	const known = ranks.get(subject);
	if (known) {
		return known;
	}

	const rank = rankEntries(entries.values(), subject).map(({incarnation}) => incarnation);
	ranks.set(subject, rank);
	return rank;
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

	return [...services].some(service => service === '' || placementRankOf(service, cluster)[0] === incarnation);
}
