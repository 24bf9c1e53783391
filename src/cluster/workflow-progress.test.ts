import test from 'ava';
import {type ClusterRecord} from './cluster-record.js';
import {type ClusterState} from './cluster-state.js';
import {decodeClusterState, encodeClusterState} from './cluster-state-codec.js';
import {absenceReasonOf} from './task-creation.js';
import {type Step, type Workflow} from './workflow.js';
import {applyRecord, emptyClusterState} from './reduce-cluster.js';

const decision = {
	policy: 'test', seed: 1, stateOffset: 0, candidates: [], consideredVms: 1, reason: 'test',
};

const step = (changes: Partial<Step> = {}): Step => ({
	count: 1, demand: {processorsMilli: 1000, memoryMb: 100, accelerators: 0}, declaredRunTimeMs: 1000, ...changes,
});

/** Builds a log as a single entry would write it, and applies each record to the cluster state. */
class Log {
	state: ClusterState = emptyClusterState;
	#sequence = 0;

	constructor() {
		this.append({
			kind: 'entry-registered', entryId: 'e', failureDomain: 'a', operatorAddress: '127.0.0.1:1',
		});
		this.registerVm('vm-1', 'w1', 1000);
	}

	append(record: ClusterRecord): this {
		this.#sequence++;
		this.state = applyRecord(this.state, {
			offset: this.state.offset + 1,
			envelope: {
				writer: 'e', incarnation: 'i', sequence: this.#sequence, record,
			},
		});
		return this;
	}

	registerVm(vmId: string, workerIncarnation: string, workerStartedAtMs: number, runningTasks: ReadonlyArray<Readonly<{taskId: string; attempt: number}>> = []): this {
		return this.append({
			kind: 'vm-registered',
			vmId,
			agentIncarnation: `${vmId}-${workerIncarnation}`,
			workerIncarnation,
			failureDomain: 'a',
			rack: 'r1',
			requestAddress: '127.0.0.1:2',
			capacity: {processorsMilli: 8000, memoryMb: 8000, accelerators: 0},
			runningTasks,
			service: 'loaves',
			labels: ['a', 'r1'],
			workerStartedAtMs,
		});
	}

	submit(steps: readonly Step[], changes: Partial<Workflow> = {}): this {
		return this.append({
			kind: 'job-submitted',
			job: {
				jobId: 'job',
				teamId: 'team',
				workClass: 'batch',
				priority: 'normal',
				tasks: [],
				workflow: {
					queue: 'queue', service: 'loaves', payload: 'spec', steps, maxFailures: 2, ...changes,
				},
			},
		});
	}

	claim(taskId: string, vmId = 'vm-1'): this {
		const task = this.state.tasks.get(taskId);
		return this.append({
			kind: 'task-claimed',
			taskId,
			attempt: (task?.attempt ?? 0) + 1,
			vmId,
			agentIncarnation: this.state.vms.get(vmId)!.agentIncarnation,
			committed: task?.spec.demand ?? step().demand,
			evictTaskIds: [],
			decision,
		});
	}

	end(taskId: string, outcome: 'finished' | 'failed' | 'refused-not-run'): this {
		const task = this.state.tasks.get(taskId)!;
		return this.append({
			kind: 'task-ended', taskId, attempt: task.attempt, agentIncarnation: task.claim!.agentIncarnation, outcome, reason: 'test',
		});
	}

	phaseOf(taskId: string): string | undefined {
		return this.state.tasks.get(taskId)?.phase;
	}
}

test('a step does not start before every task of the steps that it depends on has finished', t => {
	const log = new Log().submit([step({count: 2}), step({dependsOn: [0]})]);
	log.claim('job.0.0.0').end('job.0.0.0', 'finished');
	t.is(log.phaseOf('job.0.1.0'), undefined);
	log.claim('job.0.1.0');
	t.is(log.phaseOf('job.0.1.0'), undefined, 'a claim of a task that waits for earlier steps is ignored');
	t.is(absenceReasonOf(log.state, 'job.0.1.0'), 'waits for earlier steps');
	t.true(log.state.vms.get('vm-1')?.taskIds.isEmpty());
	log.claim('job.0.0.1').end('job.0.0.1', 'finished');
	t.is(log.phaseOf('job.0.1.0'), 'queued');
	log.claim('job.0.1.0').end('job.0.1.0', 'finished');
	t.is(log.state.finishedWorkflows.get('job')?.phase, 'completed');
	t.is(log.state.tasks.size, 0, 'a finished job leaves no tasks behind');
	t.is(log.state.vms.get('vm-1')?.committed.processorsMilli, 0);
});

test('a job fails after the allowed attempts of one task, and its other tasks do not start', t => {
	const log = new Log().submit([step({count: 2})]);
	log.claim('job.0.0.0').end('job.0.0.0', 'failed');
	t.is(log.phaseOf('job.0.0.0'), 'queued');
	log.claim('job.0.0.0').end('job.0.0.0', 'failed');
	t.is(log.state.finishedWorkflows.get('job')?.phase, 'failed');
	t.true([...log.state.queued.values()].every(queue => queue.isEmpty()));
});

test('a refused start does not count as a failure of the task', t => {
	const log = new Log().submit([step()]);
	for (let index = 0; index < 5; index++) {
		log.claim('job.0.0.0').end('job.0.0.0', 'refused-not-run');
	}

	t.is(log.phaseOf('job.0.0.0'), 'queued');
	t.is(log.state.tasks.get('job.0.0.0')?.failures, 0);
});

/** Guards against a job of a workflow that an operator cancelled and callers see as completed. */
test('a job that an operator\'s plan cancels is not shown as completed', t => {
	const log = new Log().submit([step({count: 2}), step({dependsOn: [0]})]);
	log.append({
		kind: 'plan-confirmed', plan: {
			planId: 'plan-1', baseOffset: log.state.offset, touches: [], intent: {kind: 'cancel-job', jobId: 'job'}, summary: [], createdAtMs: 0, expiresAtMs: 1000,
		},
	});
	t.true(log.state.planDecisions.get('plan-1')?.accepted);
	t.is(log.state.finishedWorkflows.get('job')?.phase, 'cancelled');
});

test('a cancelled job is not shown as completed while an attempt stops, and none of its tasks starts again', t => {
	const log = new Log().submit([step({count: 2})]);
	log.claim('job.0.0.0').append({kind: 'job-cancelled', jobId: 'job'});
	t.is(log.state.workflows.get('job')?.phase, 'cancelled');
	t.is(log.phaseOf('job.0.0.0'), 'cancelling');
	log.end('job.0.0.0', 'refused-not-run');
	t.is(log.state.finishedWorkflows.get('job')?.phase, 'cancelled');
	log.submit([step()]);
	t.false(log.state.workflows.has('job'), 'a late repeat of the submission does not start the job again');
});

test('a long-running task starts again however often it fails', t => {
	const log = new Log().submit([step({longRunning: true})]);
	for (let index = 0; index < 6; index++) {
		log.claim('job.0.0.0').end('job.0.0.0', index % 2 === 0 ? 'failed' : 'finished');
	}

	t.is(log.phaseOf('job.0.0.0'), 'queued');
	t.is(log.state.workflows.get('job')?.phase, 'queued');
});

test('claims of two entries for the same step cannot exceed its limit of tasks on one VM', t => {
	const log = new Log().submit([step({count: 2, maxTasksPerVm: 1})]);
	log.claim('job.0.0.0').claim('job.0.0.1');
	t.is(log.phaseOf('job.0.0.0'), 'claimed');
	t.is(log.phaseOf('job.0.0.1'), 'queued');
});

test('a task is claimed only for a VM of its service and with its label', t => {
	const log = new Log().submit([step({requiredLabel: 'b'})]).claim('job.0.0.0');
	t.is(log.phaseOf('job.0.0.0'), 'queued');
	const other = new Log().submit([step()], {service: 'tanks'}).claim('job.0.0.0');
	t.is(other.phaseOf('job.0.0.0'), 'queued');
});

test('the tasks of a restarted worker are queued again at once, but stay bound when the new worker is not known to have started later', t => {
	const log = new Log().submit([step()]).claim('job.0.0.0').registerVm('vm-1', 'w2', 2000);
	t.is(log.phaseOf('job.0.0.0'), 'queued');
	const unknown = new Log().submit([step()]).claim('job.0.0.0').registerVm('vm-1', 'w0', 0);
	t.is(unknown.phaseOf('job.0.0.0'), 'claimed');
	t.is(unknown.state.vms.get('vm-1')?.phase, 'revoked');
});

test('a VM whose worker is leaving accepts no claims, and its tasks that can resume elsewhere are evicted', t => {
	const log = new Log().submit([step({checkpoints: true}), step()]);
	log.claim('job.0.0.0');
	log.append({kind: 'vm-leaving', vmId: 'vm-1', agentIncarnation: 'vm-1-w1'});
	t.is(log.phaseOf('job.0.0.0'), 'evicting');
	log.claim('job.0.1.0');
	t.is(log.phaseOf('job.0.1.0'), 'queued');
});

test('occurrences of a schedule are created once and in order, and the job ends after the last one', t => {
	const log = new Log().submit([step()], {schedule: {firstAtMs: 0, intervalMs: 1000, times: 2}});
	t.is(log.state.tasks.size, 0);
	log.append({kind: 'occurrence-due', jobId: 'job', occurrence: 1});
	t.is(log.state.tasks.size, 0, 'the second occurrence is not created before the first');
	log.append({kind: 'occurrence-due', jobId: 'job', occurrence: 0}).append({kind: 'occurrence-due', jobId: 'job', occurrence: 0});
	t.is(log.state.tasks.size, 1);
	log.claim('job.0.0.0').end('job.0.0.0', 'finished');
	t.true(log.state.workflows.has('job'));
	log.append({kind: 'occurrence-due', jobId: 'job', occurrence: 1}).claim('job.1.0.0').end('job.1.0.0', 'finished');
	t.is(log.state.finishedWorkflows.get('job')?.phase, 'completed');
});

test('encoding and decoding a snapshot does not change the jobs of workflows', t => {
	const log = new Log().submit([step({count: 2}), step({dependsOn: [0]})]).claim('job.0.0.0').end('job.0.0.0', 'finished');
	const text = JSON.stringify(encodeClusterState(log.state));
	const decoded = decodeClusterState(JSON.parse(text));
	t.deepEqual(decoded.isOk && encodeClusterState(decoded.value), encodeClusterState(log.state));
});

/** Guards against a state that grows with the occurrences of a schedule that overlap, up to 100,000 of them. */
test('an occurrence that is over leaves the state while others are under way', t => {
	const log = new Log().submit([step()], {schedule: {firstAtMs: 0, intervalMs: 1000, times: 100}});
	for (let occurrence = 0; occurrence < 50; occurrence++) {
		log.append({kind: 'occurrence-due', jobId: 'job', occurrence});
		if (occurrence > 0) {
			log.claim(`job.${occurrence}.0.0`).end(`job.${occurrence}.0.0`, 'finished');
		}
	}

	t.deepEqual([...log.state.workflows.get('job')!.unfinishedByStep], [['0.0', 1]]);
	t.deepEqual([...log.state.workflows.get('job')!.createdByStep.keys()], ['0.0']);
});
