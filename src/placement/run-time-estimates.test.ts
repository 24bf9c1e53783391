import test from 'ava';
import {Map as immutableMap} from 'immutable';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {createdTasksFixture} from '../cluster/workflow-run-fixture.js';
import {emptyStateFixture, taskFixture} from '../operator/state-fixture.js';
import {type Step} from '../cluster/workflow.js';
import {
	expectedRemainingMs, expectedRunTimeMs, noRunTimeEstimates, recordRunTimes, type RunTimeEstimates, sampleCountOf,
} from './run-time-estimates.js';

const step: Step = {
	count: 1, demand: {processorsMilli: 100, memoryMb: 1, accelerators: 0}, declaredRunTimeMs: 1000, image: 'bake',
};
const estimated = {queue: 'q', stepIndex: 0, step};
const taskId = 'j.0.0.0';

function clusterAt(attempt: number, checkpoint = ''): ClusterState {
	return {
		...emptyStateFixture,
		workflows: immutableMap([['j', {
			workflow: {
				queue: 'q', service: 's', payload: '', maxFailures: 1, steps: [step],
			}, owner: {
				jobId: 'j', teamId: 't', workClass: 'batch' as const, priority: 'normal' as const,
			}, phase: 'running' as const, unfinishedByStep: immutableMap([['0.0', 1]]), madeOccurrences: 1, ...createdTasksFixture(),
		}]]),
		tasks: immutableMap([[taskId, {
			...taskFixture, jobId: 'j', position: {occurrence: 0, stepIndex: 0}, attempt, checkpoint, spec: {...taskFixture.spec, taskId},
		}]]),
	};
}

function read(estimates: RunTimeEstimates, record: ClusterRecord, cluster: ClusterState, nowMs: number): RunTimeEstimates {
	return recordRunTimes(estimates, [{
		offset: 1, envelope: {
			writer: 'e', incarnation: 'i', sequence: 1, record,
		},
	}], cluster, nowMs);
}

type Outcome = Readonly<{checkpoint?: string; outcome?: 'finished' | 'failed'}>;

function run(estimates: RunTimeEstimates, attempt: number, runMs: number, {checkpoint = '', outcome = 'finished'}: Outcome = {}): RunTimeEstimates {
	const cluster = clusterAt(attempt, checkpoint);
	const started = read(estimates, {
		kind: 'task-started', taskId, attempt, agentIncarnation: 'a',
	}, cluster, attempt * 100_000);
	return read(started, {
		kind: 'task-ended', taskId, attempt, agentIncarnation: 'a', outcome, reason: '',
	}, {...cluster, tasks: immutableMap()}, (attempt * 100_000) + runMs);
}

function runs(times: readonly number[]): RunTimeEstimates {
	let estimates = noRunTimeEstimates;
	for (const [index, runMs] of times.entries()) {
		estimates = run(estimates, index + 1, runMs);
	}

	return estimates;
}

test('the expected run time moves from the declared to the observed one, of which the task may be gone at its end', t => {
	t.is(expectedRunTimeMs(noRunTimeEstimates, estimated), 1000);
	t.is(expectedRunTimeMs(runs([1900, 1900, 1900]), estimated), 1450);
	const learned = runs(Array.from({length: 60}, () => 1900));
	t.true(Math.abs(expectedRunTimeMs(learned, estimated) - 1900) < 100);
	t.is(sampleCountOf(learned, estimated), 60);
	t.true(learned.errors.expectedMilli < learned.errors.declaredMilli / 3);
});

test('ends of failed and resumed tasks, and of tasks whose start was read with their end, teach nothing', t => {
	for (const estimates of [run(noRunTimeEstimates, 1, 10, {outcome: 'failed'}), run(noRunTimeEstimates, 1, 10, {checkpoint: 'c'}), run(noRunTimeEstimates, 1, 0)]) {
		t.is(sampleCountOf(estimates, estimated), 0);
		t.is(estimates.running.size, 0);
	}
});

/** Guards against a task past its expected time that is expected to end at once, for which a plan would hold capacity again and again. */
test('a task past its expected time is expected to end when known stragglers did, and past these in proportion to its run time', t => {
	const learned = runs([...Array.from({length: 20}, () => 1000), 7000]);
	const cluster = clusterAt(30);
	const started = read(learned, {
		kind: 'task-started', taskId, attempt: 30, agentIncarnation: 'a',
	}, cluster, 0);
	const task = cluster.tasks.get(taskId)!;
	t.true(expectedRemainingMs(started, task, cluster, 0) < 1300);
	t.is(expectedRemainingMs(started, task, cluster, 2000), 5000);
	t.is(expectedRemainingMs(started, task, cluster, 10_000), 5000);
});
