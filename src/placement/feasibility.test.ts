import test from 'ava';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {applyRecord, emptyClusterState} from '../cluster/reduce-cluster.js';
import {describeMissingCapacity} from './feasibility.js';

const vm = (vmId: string, incarnation: string, labels: readonly string[]): ClusterRecord => ({
	kind: 'vm-registered', vmId, agentIncarnation: incarnation, workerIncarnation: incarnation, failureDomain: 'a', rack: 'r', requestAddress: '', capacity: {processorsMilli: 8000, memoryMb: 100, accelerators: 0}, runningTasks: [], service: 's', labels,
});

const start: readonly ClusterRecord[] = [
	{
		kind: 'entry-registered', entryId: 'e', failureDomain: 'a', operatorAddress: '',
	},
	vm('plain', 'p1', []),
];

/** One task that needs an oven. */
const job: ClusterRecord = {
	kind: 'job-submitted', job: {
		jobId: 'job', teamId: 't', workClass: 'batch', priority: 'normal', tasks: [], workflow: {
			queue: 'q', service: 's', payload: '', maxFailures: 2, steps: [{
				count: 1, demand: {processorsMilli: 1000, memoryMb: 1, accelerators: 0}, declaredRunTimeMs: 100, requiredLabel: 'oven',
			}],
		},
	},
};

function stateAfter(records: readonly ClusterRecord[]): ClusterState {
	let state = emptyClusterState;
	for (const [offset, record] of records.entries()) {
		state = applyRecord(state, {
			offset, envelope: {
				writer: 'e', incarnation: 'i', sequence: offset + 1, record,
			},
		});
	}

	return state;
}

const missingOf = (cluster: ClusterState) => describeMissingCapacity(cluster.tasks.get('job.0.0.0')!, cluster);

test('a job that needs a label that no VM ever had is refused', t => {
	t.is(missingOf(stateAfter([...start, job])), 'needs label oven, which no VM has');
});

test('a job that needs a label is not refused after the loss of all VMs with it', t => {
	const lost = ['oven-1', 'oven-2'].flatMap((vmId): readonly ClusterRecord[] => [
		{kind: 'vm-unreachable', vmId, agentIncarnation: vmId},
		{
			kind: 'vm-revoked', vmId, agentIncarnation: vmId, reason: 'no entry hears it',
		},
		{kind: 'vm-lease-expired', vmId, agentIncarnation: vmId},
	]);
	const cluster = stateAfter([...start, vm('oven-1', 'oven-1', ['oven']), vm('oven-2', 'oven-2', ['oven']), ...lost, job]);
	t.is(cluster.expiredVmIds.size, 2);
	t.is(missingOf(cluster), undefined);
});

test.failing('a VM that registers again with another worker refuses no job that needs what the one before had', t => {
	t.is(missingOf(stateAfter([...start, vm('oven-1', 'o1', ['oven']), vm('oven-1', 'o2', []), job])), undefined);
});
