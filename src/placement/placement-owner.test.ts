import test from 'ava';
import {Map as immutableMap} from 'immutable';
import {type ClusterState, type EntryMember} from '../cluster/cluster-state.js';
import {ownerByRendezvous} from '../cluster/rendezvous.js';
import {emptyStateFixture} from '../operator/state-fixture.js';
import {placementRankOf, unfinishedSubjects} from './placement-owner.js';

const clusterOf = (incarnations: readonly string[], lastOffset: number): ClusterState => ({
	...emptyStateFixture,
	entries: immutableMap(incarnations.map((incarnation): [string, EntryMember] => [incarnation, {
		entryId: incarnation, incarnation, failureDomain: 'a', operatorAddress: '', processorsMilli: 1000, lastOffset, appliedOffset: 0,
	}])),
});

const subjects = Array.from({length: 50}, (_, index) => `job-${index}`);

// Ranks are cached while the members stay the same, and must be computed again when they change.
test('the placement owners are those of the current members after entries join, leave or are replaced by as many others', t => {
	const memberships = [['i1', 'i2'], ['i1', 'i2'], ['i1', 'i3'], ['i1', 'i2', 'i3'], ['i3'], [], ['i1', 'i2']];
	for (const [lastOffset, incarnations] of memberships.entries()) {
		const cluster = clusterOf(incarnations, lastOffset);
		t.deepEqual(subjects.map(subject => placementRankOf(subject, cluster)[0]), subjects.map(subject => ownerByRendezvous(incarnations, subject)));
	}
});

test('the placement owners of an earlier state are still those of its members', t => {
	const earlier = clusterOf(['i1', 'i2'], 1);
	const later = clusterOf(['i2', 'i3'], 2);
	for (const [cluster, incarnations] of [[earlier, ['i1', 'i2']], [later, ['i2', 'i3']], [earlier, ['i1', 'i2']]] as const) {
		t.deepEqual(subjects.map(subject => placementRankOf(subject, cluster)[0]), subjects.map(subject => ownerByRendezvous(incarnations, subject)));
	}
});

test('more subjects than the cache holds have the right placement owners', t => {
	const cluster = clusterOf(['i1', 'i2', 'i3'], 1);
	for (let index = 0; index < 5000; index++) {
		placementRankOf(`other-${index}`, cluster);
	}

	t.deepEqual(subjects.map(subject => placementRankOf(subject, cluster)[0]), subjects.map(subject => ownerByRendezvous(['i1', 'i2', 'i3'], subject)));
});

test('a submitted job is among the placement subjects', t => {
	const none = clusterOf(['i1'], 1);
	t.deepEqual([...unfinishedSubjects(none)], []);
	const submitted = {...none, jobs: none.jobs.set('job-1', ['task-1']), unfinishedTasksByJob: none.unfinishedTasksByJob.set('job-1', 1)};
	t.deepEqual([...unfinishedSubjects(submitted)], ['job-1']);
});
