import test from 'ava';
import {Map as immutableMap, Set as immutableSet} from 'immutable';
import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {emptyStateFixture, taskFixture, vmFixture} from '../operator/state-fixture.js';
import {noRestartWaits, trackRestartWaits} from './restart-waits.js';

const clusterOf = (phase: Task['phase'], heardBy: Vm['heardBy']): ClusterState => ({
	...emptyStateFixture,
	tasks: immutableMap([['watch', {
		...taskFixture, workClass: 'latency-critical', phase, attempt: 1, spec: {...taskFixture.spec, taskId: 'watch'},
	}]]),
	vms: immutableMap([['vm-1', {
		...vmFixture, vmId: 'vm-1', heardBy, taskIds: immutableSet(phase === 'queued' ? [] : ['watch']),
	}]]),
});
const heard = immutableSet(['entry-1']);

test('the wait of a restart counts from when its VM was out of reach, not from the expiry of the lease', t => {
	for (const [heardBy, silentVmIds] of [[immutableSet<string>(), immutableSet<string>()], [heard, immutableSet(['vm-1'])]] as const) {
		const outOfReach = trackRestartWaits(noRestartWaits, {cluster: clusterOf('running', heardBy), nowMs: 1000}, silentVmIds);
		const freed = trackRestartWaits(outOfReach, {cluster: clusterOf('queued', heard), nowMs: 7000}, immutableSet());
		t.is(freed.sinceMs.get('watch'), 1000);
		t.true(freed.overdue.has('watch'));
	}
});

test('a wait ends when the task is claimed, or its VM is heard again', t => {
	const queued = trackRestartWaits(noRestartWaits, {cluster: clusterOf('running', immutableSet()), nowMs: 1000}, immutableSet());
	t.true(trackRestartWaits(queued, {cluster: clusterOf('queued', heard), nowMs: 2000}, immutableSet()).sinceMs.has('watch'));
	t.true(trackRestartWaits(queued, {cluster: clusterOf('claimed', heard), nowMs: 9000}, immutableSet()).overdue.isEmpty());
	t.true(trackRestartWaits(queued, {cluster: clusterOf('running', heard), nowMs: 9000}, immutableSet()).sinceMs.isEmpty());
});
