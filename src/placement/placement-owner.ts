import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {ownerByRendezvous} from '../cluster/rendezvous.js';

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

/** Owners that are remembered; without services every job is a subject of its own. */
const maxRememberedOwners = 4096;

type Owners = Readonly<{incarnations: ReadonlySet<string>; bySubject: Map<string, string | undefined>}>;

// Every record replaces the entries, whose members change seldom; owners depend on the members alone.
const ownersByEntries = new WeakMap<ClusterState['entries'], Owners>();
let newestOwners: Owners = {incarnations: new Set(), bySubject: new Map()};

function ownersAmong(entries: ClusterState['entries']): Owners {
	const known = ownersByEntries.get(entries);
	if (known) {
		return known;
	}

	const {incarnations} = newestOwners;
	const hasSameMembers = incarnations.size === entries.size && [...incarnations].every(incarnation => entries.has(incarnation));
	if (!hasSameMembers) {
		newestOwners = {incarnations: new Set(entries.keys()), bySubject: new Map()};
	}

	ownersByEntries.set(entries, newestOwners);
	return newestOwners;
}

/**
Names the incarnation of the entry that places a subject; undefined without entries.

@example
placementOwnerOf('loaf-orders', cluster); // => 'a81f…'
*/
export function placementOwnerOf(subject: string, {entries}: ClusterState): string | undefined {
	const {bySubject} = ownersAmong(entries);
	if (!bySubject.has(subject)) {
		if (bySubject.size >= maxRememberedOwners) {
			bySubject.clear();
		}

		bySubject.set(subject, ownerByRendezvous(entries.keys(), subject));
	}

	return bySubject.get(subject);
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

	return [...services].some(service => service === '' || placementOwnerOf(service, cluster) === incarnation);
}
