import test from 'ava';
import {type ClusterState} from '../cluster/cluster-state.js';
import {applyRecord, emptyClusterState} from '../cluster/reduce-cluster.js';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type Step} from '../cluster/workflow.js';
import {trackForbiddenWaits, type ForbiddenWait, noForbiddenWaits} from './forbidden-waits.js';

const demand = {processorsMilli: 4000, memoryMb: 1, accelerators: 0};
const longRunningStep: Step = {
	count: 1, demand, declaredRunTimeMs: 1000, longRunning: true,
};

/** Two VMs of 10 processors with one job. */
function clusterOf(step: Step, {label}: Readonly<{label?: string}> = {}): ClusterState {
	const records: readonly ClusterRecord[] = [
		{
			kind: 'entry-registered', entryId: 'e', failureDomain: 'a', operatorAddress: '',
		},
		...['vm-1', 'vm-2'].map((vmId): ClusterRecord => ({
			kind: 'vm-registered', vmId, agentIncarnation: vmId, workerIncarnation: vmId, failureDomain: 'a', rack: 'r', requestAddress: '',
			capacity: {processorsMilli: 10_000, memoryMb: 100, accelerators: 0}, runningTasks: [], service: 's', labels: label === undefined ? [] : [label],
		})),
		...['job', 'other'].map((jobId): ClusterRecord => ({
			kind: 'job-submitted', job: {
				jobId, teamId: 't', workClass: 'batch', priority: 'urgent', tasks: [], workflow: {
					queue: 'q', service: 's', payload: '', steps: [jobId === 'job' ? step : {...longRunningStep, count: 4, longRunning: false}], maxFailures: 2,
				},
			},
		})),
	];
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

type Simulation = Readonly<{toMs: number; runningAt?: (nowMs: number) => Readonly<Record<string, readonly string[]>>; unimpairedSinceMs?: number; isAfterTraffic?: boolean}>;

const idle = {'vm-1': [], 'vm-2': []};

function simulate(cluster: ClusterState, {toMs, runningAt = () => idle, unimpairedSinceMs = 0, isAfterTraffic = false}: Simulation): readonly ForbiddenWait[] {
	let state = noForbiddenWaits;
	const found: ForbiddenWait[] = [];
	for (let nowMs = 0; nowMs <= toMs; nowMs += 100) {
		const transition = trackForbiddenWaits(state, {
			cluster, runningByVm: new Map(Object.entries(runningAt(nowMs))), nowMs, unimpairedSinceMs, isAfterTraffic,
		});
		state = transition.state;
		found.push(...transition.forbidden);
	}

	return found;
}

const timesOf = (waits: readonly ForbiddenWait[]) => waits.map(({rule, capacity, atMs}) => `${rule} ${capacity} ${atMs}`);

test('a long-running task may wait for 6 s after its last run, and then for 3 s with capacity', t => {
	const runningAt = (nowMs: number) => nowMs < 1000 ? {'vm-1': ['job.0.0.0'], 'vm-2': []} : idle;
	t.deepEqual(timesOf(simulate(clusterOf(longRunningStep), {toMs: 30_000, runningAt})), ['lasting-in-calm on-vms 9900', 'lasting-in-calm in-pieces 9900']);
	t.deepEqual(simulate(clusterOf({...longRunningStep, longRunning: false}), {toMs: 30_000}), []);
});

test('a wait is not forbidden by capacity that is there for less than 3 s without interruption, or on VMs without the required label', t => {
	const full = {'vm-1': ['other.0.0.0', 'other.0.0.1'], 'vm-2': ['other.0.0.2', 'other.0.0.3']};
	const runningAt = (nowMs: number) => nowMs % 2500 < 100 ? full : idle;
	t.deepEqual(simulate(clusterOf(longRunningStep), {toMs: 30_000, runningAt}), []);
	t.deepEqual(simulate(clusterOf({...longRunningStep, requiredLabel: 'oven'}), {toMs: 30_000}), []);
	t.is(simulate(clusterOf({...longRunningStep, requiredLabel: 'oven'}, {label: 'oven'}), {toMs: 30_000}).length, 2);
});

test('free resources that no single VM has are reported apart from those of one VM', t => {
	const runningAt = () => ({'vm-1': ['other.0.0.0', 'other.0.0.1'], 'vm-2': ['other.0.0.2']});
	t.deepEqual(timesOf(simulate(clusterOf(longRunningStep), {toMs: 12_000, runningAt})), ['lasting-in-calm in-pieces 9000']);
});

test('an impairment allows a wait until 7 s after it, and after the traffic only while half of the service is in use', t => {
	t.deepEqual(timesOf(simulate(clusterOf(longRunningStep), {toMs: 30_000, unimpairedSinceMs: 12_000})), ['lasting-in-calm on-vms 19000', 'lasting-in-calm in-pieces 19000']);
	const waits = simulate(clusterOf(longRunningStep), {toMs: 10_000, unimpairedSinceMs: 8000, isAfterTraffic: true});
	t.deepEqual(timesOf(waits.filter(({taskId, capacity}) => taskId === 'job.0.0.0' && capacity === 'on-vms')), ['idle-job-after-traffic on-vms 3000', 'lasting-after-traffic on-vms 9000']);
	const runningAt = () => ({'vm-1': ['other.0.0.0', 'other.0.0.1'], 'vm-2': ['other.0.0.2']});
	t.deepEqual(simulate(clusterOf(longRunningStep), {
		toMs: 10_000, unimpairedSinceMs: 8000, isAfterTraffic: true, runningAt,
	}), []);
});

test('a job with a running task is not reported as idle after the traffic', t => {
	const waits = simulate(clusterOf(longRunningStep), {toMs: 5000, isAfterTraffic: true, runningAt: () => ({'vm-1': ['other.0.0.0'], 'vm-2': ['job.0.0.0']})});
	t.deepEqual(waits, []);
});
