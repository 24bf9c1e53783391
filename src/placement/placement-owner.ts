import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {rankEntries} from '../cluster/rank-entries.js';

/**
Names what one entry places together: everything of a service, so that all of its tasks are weighed against each other, or else
the tasks of a job.

@example
placementSubjectOf(task, cluster); // => 'loaf-orders'
*/
export function placementSubjectOf(task: Task, cluster: ClusterState): string {
	return subjectOfJob(task.jobId, cluster);
}

function subjectOfJob(jobId: string, cluster: ClusterState): string {
	return cluster.workflows.get(jobId)?.workflow.service ?? jobId;
}

/** Ranks that are remembered; without services every job is a subject of its own. */
const maxRememberedRanks = 4096;

type Ranks = Readonly<{incarnations: ReadonlySet<string>; bySubject: Map<string, readonly string[]>}>;

// Every record replaces the entries, whose members change seldom; ranks depend on the members alone.
const ranksByEntries = new WeakMap<ClusterState['entries'], Ranks>();
let newestRanks: Ranks = {incarnations: new Set(), bySubject: new Map()};

function ranksAmong(entries: ClusterState['entries']): Ranks {
	const known = ranksByEntries.get(entries);
	if (known) {
		return known;
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
Ranks the incarnations of the entries for placing a subject: the first one does, and each other one when those before it are silent.

@example
placementRankOf('loaf-orders', cluster); // => ['a81f…', 'c02e…']
*/
export function placementRankOf(subject: string, {entries}: ClusterState): readonly string[] {
	const {bySubject} = ranksAmong(entries);
	const known = bySubject.get(subject);
	if (known) {
		return known;
	}

	if (bySubject.size >= maxRememberedRanks) {
		bySubject.clear();
	}

	const rank = rankEntries(entries.values(), subject).map(({incarnation}) => incarnation);
	bySubject.set(subject, rank);
	return rank;
}

/**
Names the first of ranked entries that is not behind with the log, or the first one when all of them are.

@example
firstUpToDate(placementRankOf('loaf-orders', cluster), cluster); // => 'a81f…'
*/
export function firstUpToDate(ranked: readonly string[], {entries}: ClusterState): string | undefined {
	return ranked.find(incarnation => !entries.get(incarnation)?.readLag?.isBehind) ?? ranked[0];
}

// Keyed by the jobs, which are replaced when a job comes, goes or gets more tasks.
const subjectsByJobs = new WeakMap<ClusterState['jobs'], ReadonlySet<string>>();

/**
Lists the subjects of all unfinished jobs.

@example
unfinishedSubjects(cluster); // => new Set(['loaf-orders'])
*/
export function unfinishedSubjects(cluster: ClusterState): ReadonlySet<string> {
	const known = subjectsByJobs.get(cluster.jobs);
	if (known) {
		return known;
	}

	const subjects = new Set<string>();
	for (const jobId of cluster.unfinishedTasksByJob.keys()) {
		subjects.add(subjectOfJob(jobId, cluster));
	}

	subjectsByJobs.set(cluster.jobs, subjects);
	return subjects;
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

	return [...services].some(service => service === '' || firstUpToDate(placementRankOf(service, cluster), cluster) === incarnation);
}
