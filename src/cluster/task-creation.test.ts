import test from 'ava';
import {absenceReasonOf} from './task-creation.js';
import {decodeClusterState, encodeClusterState} from './cluster-state-codec.js';
import {MAX_QUEUED_TASKS_OF_LARGE_JOBS, MAX_QUEUED_TASKS_OF_SMALL_JOB, MAX_QUEUED_TASKS_PER_CLASS} from './state-limits.js';
import {queuedTaskCount, WorkflowLog, workflowStep} from './workflow-log-fixture.js';

/** Guards against entries whose heap the tasks of accepted jobs exhaust: one job of 15 KB has up to 256,000 of them. */
test('the state of a job does not grow with the number of its tasks', t => {
	const steps = Array.from({length: 256}, () => workflowStep({count: 1000}));
	const large = new WorkflowLog().submit('large', steps);
	t.true(large.state.tasks.size <= 1000);
	t.is(large.state.unfinishedTasksByJob.get('large'), 256_000);
	const small = new WorkflowLog().submit('small', steps.map(step => ({...step, count: 4})));
	t.true(large.encodedBytes() < 1.1 * small.encodedBytes());
});

/** Guards against the same end by many jobs of ordinary size. */
test('the tasks of many jobs are bounded together, and each job has one in the queue', t => {
	const log = new WorkflowLog();
	const jobIds = Array.from({length: 1500}, (_, index) => `job-${index}`);
	for (const jobId of jobIds) {
		log.submit(jobId, Array.from({length: 5}, () => workflowStep({count: 36})));
	}

	t.true(log.state.tasks.size <= MAX_QUEUED_TASKS_PER_CLASS + jobIds.length);
	t.true(jobIds.every(jobId => log.state.workflows.get(jobId)!.queuedTasks > 0));
	t.is(queuedTaskCount(log.state), log.state.tasks.size);
});

/** Guards against urgent jobs that wait for each of their tasks behind a flood of others, and against small jobs that do behind large ones. */
test('large jobs of a class leave places in the queue to small ones, and to the jobs of another class', t => {
	const log = new WorkflowLog();
	for (let index = 0; index < 100; index++) {
		log.submit(`large-${index}`, Array.from({length: 4}, () => workflowStep({count: 1000})));
	}

	log.submit('small', [workflowStep({count: 6})]).submit('urgent', [workflowStep({count: 36})], {}, 'urgent');
	t.true(queuedTaskCount(log.state) <= MAX_QUEUED_TASKS_OF_LARGE_JOBS + (100 * MAX_QUEUED_TASKS_OF_SMALL_JOB) + 42);
	t.is(log.state.workflows.get('small')!.queuedTasks, 6);
	t.is(log.state.workflows.get('urgent')!.queuedTasks, 36);
});

test('a job whose tasks are created step by step runs each of them once and completes', t => {
	const log = new WorkflowLog().submit('job', [workflowStep({count: 1000}), workflowStep({count: 500}), workflowStep({dependsOn: [0, 1]})]);
	const finished = new Set<string>();
	for (let [taskId] = log.queuedTaskIds(); taskId !== undefined; [taskId] = log.queuedTaskIds()) {
		t.false(finished.has(taskId));
		finished.add(taskId);
		log.claim(taskId).finish(taskId);
		t.true(log.state.tasks.size <= 1000, 'tasks that have ended leave the state');
	}

	t.is(finished.size, 1501);
	t.is(log.state.finishedWorkflows.get('job')?.phase, 'completed');
	t.is(log.state.unfinishedTasksByJob.size, 0);
});

test('a large job that is cancelled ends with the tasks that were never created', t => {
	const log = new WorkflowLog().submit('job', Array.from({length: 3}, () => workflowStep({count: 1000})));
	log.claim('job.0.0.0').append({kind: 'job-cancelled', jobId: 'job'});
	t.is(log.state.unfinishedTasksByJob.get('job'), 1);
	t.is(queuedTaskCount(log.state), 0);
	log.finish('job.0.0.0');
	t.is(log.state.finishedWorkflows.get('job')?.phase, 'cancelled');
	t.is(log.state.tasks.size, 0);
});

/** Guards against two versions that decide differently on a claim: the one before has all tasks of a step in its queue. */
test('a claim of a task that is not created yet counts, and the task is not created again', t => {
	const log = new WorkflowLog().submit('job', [workflowStep({count: 1000}), workflowStep({count: 10}), workflowStep({dependsOn: [0, 1]})]);
	const taskId = 'job.0.1.5';
	t.false(log.state.tasks.has(taskId));
	log.claim(taskId);
	t.is(log.state.tasks.get(taskId)?.phase, 'claimed');
	t.is(absenceReasonOf(log.state, 'job.0.1.6'), 'waits for its turn in the job');
	t.is(absenceReasonOf(log.state, 'job.0.2.0'), 'waits for earlier steps');
	t.is(absenceReasonOf(log.state, 'job.0.2.1'), undefined);
	log.finish(taskId).claim(taskId);
	t.is(absenceReasonOf(log.state, taskId), 'ended');
	t.false(log.state.tasks.has(taskId), 'a task that has ended is not claimed again');
	log.claim('job.0.2.0');
	t.false(log.state.tasks.has('job.0.2.0'), 'a task of a step that waits is not claimed');
	for (let [next] = log.queuedTaskIds(); next !== undefined && next !== 'job.0.2.0'; [next] = log.queuedTaskIds()) {
		t.not(next, taskId);
		log.claim(next).finish(next);
	}

	t.deepEqual(log.queuedTaskIds(), ['job.0.2.0']);
});

test('an entry that starts from a snapshot creates the same tasks as one that read the log', t => {
	const steps = [workflowStep({count: 1000}), workflowStep({count: 3, dependsOn: [0]}), workflowStep({count: 700})];
	const log = new WorkflowLog().submit('job', steps);
	log.claim('job.0.2.400').claim('job.0.0.3').finish('job.0.0.3');
	const decoded = decodeClusterState(structuredClone(encodeClusterState(log.state)));
	t.true(decoded.isOk);
	const loaded = log.copy(decoded.unwrapOr(log.state));
	for (const current of [log, loaded]) {
		for (let index = 4; index < 800; index++) {
			current.claim(`job.0.0.${index}`).finish(`job.0.0.${index}`);
		}
	}

	t.deepEqual(encodeClusterState(loaded.state), encodeClusterState(log.state));
});

/** Guards against a replaced task that its job does not know, so that a cancellation of the job leaves it in the queue. */
test('the replacement of a lost latency-critical task belongs to its workflow', t => {
	const log = new WorkflowLog().append({
		kind: 'job-submitted', job: {
			jobId: 'job', teamId: 'team', workClass: 'latency-critical', priority: 'normal', tasks: [], workflow: {
				queue: 'queue', service: 'loaves', payload: '', steps: [workflowStep({count: 2})], maxFailures: 2,
			},
		},
	});
	log.claim('job.0.0.0').append({kind: 'vm-unreachable', vmId: 'vm-1', agentIncarnation: 'agent-1'}).append({
		kind: 'vm-revoked', vmId: 'vm-1', agentIncarnation: 'agent-1', reason: 'test',
	});
	const {taskIds} = log.state.workflows.get('job')!;
	t.deepEqual([...taskIds].toSorted(), [...log.queuedTaskIds()].toSorted());
	t.is(taskIds.size, 2);
	log.append({kind: 'job-cancelled', jobId: 'job'});
	t.is(log.state.tasks.size, 0);
	t.is(log.state.finishedWorkflows.get('job')?.phase, 'cancelled');
});

/** Guards against jobs that are lost, or run twice, when entries are replaced by ones of this version. */
test('a snapshot of the version that stored all tasks is read, and its jobs go on', t => {
	const log = new WorkflowLog().submit('job', [workflowStep({count: 2}), workflowStep({count: 3, dependsOn: [0]})]);
	log.claim('job.0.0.0').finish('job.0.0.0').claim('job.0.0.1');
	const {workflows, tasks, jobs, ...rest} = encodeClusterState(log.state);
	const former = {
		...rest,
		version: 3,
		workflows: workflows.map(({createdByStep, ...run}) => run),
		tasks: [
			...tasks,
			...[0, 1, 2].map(index => tasks[0]!.with(0, `job.0.1.${index}`).with(9, 'blocked').with(10, 0).with(11, null).with(19, [0, 1])),
			tasks[0]!.with(0, 'job.0.0.0').with(9, 'finished').with(11, null),
		],
		jobs: jobs.map(([jobId]) => [jobId, ['job.0.0.0', 'job.0.0.1', 'job.0.1.0', 'job.0.1.1', 'job.0.1.2']]),
	};
	const decoded = decodeClusterState(structuredClone(former));
	t.true(decoded.isOk);
	const loaded = log.copy(decoded.unwrapOr(log.state));
	t.deepEqual([...loaded.state.tasks.keys()], ['job.0.0.1']);
	loaded.claim('job.0.0.0').finish('job.0.0.1');
	t.deepEqual(loaded.queuedTaskIds(), ['job.0.1.0', 'job.0.1.1', 'job.0.1.2']);
	for (const taskId of loaded.queuedTaskIds()) {
		loaded.claim(taskId).finish(taskId);
	}

	t.is(loaded.state.finishedWorkflows.get('job')?.phase, 'completed');
});

/** Guards against an entry that ends at each start: the version before wrote every waiting task into its snapshot. */
test('a snapshot of the version before holds no more waiting tasks once it is read than the queue takes', t => {
	const log = new WorkflowLog().submit('large', Array.from({length: 100}, () => workflowStep({count: 1000})));
	log.claim('large.0.0.0').claim('large.0.0.1').finish('large.0.0.1');
	const {workflows, tasks, queued, ...rest} = encodeClusterState(log.state);
	const waiting = tasks.find(task => task[0] === 'large.0.0.2')!;
	const allWaiting = Array.from({length: 99}, (_, step) => Array.from({length: 1000}, (__, index) => waiting.with(0, `large.0.${step + 1}.${index}`).with(19, [0, step + 1]))).flat();
	const ended = waiting.with(0, 'large.0.0.1').with(9, 'finished').with(10, 1);
	const former = {
		...rest,
		version: 3,
		workflows: workflows.map(({createdByStep, ...run}) => run),
		tasks: [...tasks, ended, ...allWaiting],
		queued: queued.map(([priority, taskIds]) => [priority, priority === 'normal' ? [...taskIds, ...allWaiting.map(([taskId]) => taskId)] : taskIds]),
	};
	const decoded = decodeClusterState(structuredClone(former));
	t.true(decoded.isOk);
	const loaded = log.copy(decoded.unwrapOr(log.state));
	t.true(loaded.state.tasks.size <= 1000);
	t.is(queuedTaskCount(loaded.state), loaded.state.workflows.get('large')!.queuedTasks);
	t.is(loaded.state.unfinishedTasksByJob.get('large'), 99_999);
	t.is(loaded.state.tasks.get('large.0.0.0')?.phase, 'claimed');
	t.is(absenceReasonOf(loaded.state, 'large.0.0.1'), 'ended');
	t.is(loaded.queuedTaskIds()[0], 'large.0.0.2');
	t.is(loaded.state.tasks.get('large.0.0.2')?.submittedOffset, log.state.tasks.get('large.0.0.2')?.submittedOffset);
	loaded.claim('large.0.99.999');
	t.is(loaded.state.tasks.get('large.0.99.999')?.phase, 'claimed');
});

/** Guards against a task that runs twice after an upgrade: the ID of a replacement does not end with the index of the task that it replaces. */
test('a task that was replaced before a snapshot of the version before is not created again', t => {
	const log = new WorkflowLog().submit('job', [workflowStep({count: 2})]);
	log.claim('job.0.0.0').claim('job.0.0.1');
	const {workflows, tasks, vms, ...rest} = encodeClusterState(log.state);
	const replacementId = 'job.0.0.0.r4';
	const former = {
		...rest,
		version: 3,
		workflows: workflows.map(({createdByStep, ...run}) => run),
		vms: vms.map(vm => ({...vm, taskIds: [replacementId, 'job.0.0.1']})),
		tasks: tasks.map(task => task[0] === 'job.0.0.0' ? task.with(0, replacementId) : task),
	};
	const decoded = decodeClusterState(structuredClone(former));
	t.true(decoded.isOk);
	t.deepEqual([...decoded.unwrapOr(log.state).tasks.keys()].toSorted(), [replacementId, 'job.0.0.1'].toSorted());
});
