import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {rankEntries} from '../cluster/rank-entries.js';

/**
Returns the key of the tasks that one entry places together: the service, so that all of its tasks are compared with each other, or else the
job.

@example
placementSubjectOf(task, cluster); // => 'loaf-orders'
*/
export function placementSubjectOf(task: Task, cluster: ClusterState): string {
	return subjectOfJob(task.jobId, cluster);
}

function subjectOfJob(jobId: string, cluster: ClusterState): string {
	return cluster.workflows.get(jobId)?.workflow.service ?? jobId;
}

/** Limit of cached ranks, which is needed because every job without a service is a subject of its own. */
const maxCachedRanks = 4096;

type Ranks = Readonly<{incarnations: ReadonlySet<string>; bySubject: Map<string, readonly string[]>}>;

// Every record replaces the map of entries, but its members seldom change; ranks depend on the members alone.
const ranksByEntries = new WeakMap<ClusterState['entries'], Ranks>();
let newestRanks: Ranks = {incarnations: new Set(), bySubject: new Map()};

function ranksAmong(entries: ClusterState['entries']): Ranks {
	const cached = ranksByEntries.get(entries);
	if (cached) {
		return cached;
	}

	const {incarnations} = newestRanks;
	const hasSameMembers = incarnations.size === entries.size && [...incarnations].every(incarnation => entries.has(incarnation));
	if (!hasSameMembers) {
		newestRanks = {incarnations: new Set(entries.keys()), bySubject: new Map()};
	}

	ranksByEntries.set(entries, newestRanks);
	return newestRanks;
}

/**
Returns the incarnations of the entries, ranked for the placement of a subject. Each one takes over when those before it write no records.

@example
placementRankOf('loaf-orders', cluster); // => ['a81f…', 'c02e…']
*/
export function placementRankOf(subject: string, {entries}: ClusterState): readonly string[] {
	const {bySubject} = ranksAmong(entries);
	const cached = bySubject.get(subject);
	if (cached) {
		return cached;
	}

	if (bySubject.size >= maxCachedRanks) {
		bySubject.clear();
	}

	const rank = rankEntries(entries.values(), subject).map(({incarnation}) => incarnation);
	bySubject.set(subject, rank);
	return rank;
}

/**
Returns the first of the ranked entries that is not behind with the log, or the first one when all of them are.

@example
firstUpToDate(placementRankOf('loaf-orders', cluster), cluster); // => 'a81f…'
*/
export function firstUpToDate(ranked: readonly string[], {entries}: ClusterState): string | undefined {
	return ranked.find(incarnation => !entries.get(incarnation)?.readLag?.isBehind) ?? ranked[0];
}

// Keyed by the map of jobs, which is replaced when a job is added or removed or gets more tasks.
const subjectsByJobs = new WeakMap<ClusterState['jobs'], ReadonlySet<string>>();

/**
Returns the placement subjects of all unfinished jobs.

@example
unfinishedSubjects(cluster); // => new Set(['loaf-orders'])
*/
export function unfinishedSubjects(cluster: ClusterState): ReadonlySet<string> {
	const cached = subjectsByJobs.get(cluster.jobs);
	if (cached) {
		return cached;
	}

	const subjects = new Set<string>();
	for (const jobId of cluster.unfinishedTasksByJob.keys()) {
		subjects.add(subjectOfJob(jobId, cluster));
	}

	subjectsByJobs.set(cluster.jobs, subjects);
	return subjects;
}

/**
Returns whether an entry is the placement owner of any service that has VMs.

@example
ownsPlacement(cluster, 'a81f…'); // => true
*/
export function ownsPlacement(cluster: ClusterState, incarnation: string): boolean {
	const services = new Set<string>();
	for (const vm of cluster.vms.values()) {
		services.add(vm.service);
	}

	return [...services].some(service => service === '' || firstUpToDate(placementRankOf(service, cluster), cluster) === incarnation);
}
