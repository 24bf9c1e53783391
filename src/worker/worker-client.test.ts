import test, {type ExecutionContext} from 'ava';
import {createWorkerStandIn, type WorkerStandIn, type WorkerStandInOptions} from '../../stand-ins/worker-stand-in.js';
import {type StartTaskRequest, type WorkerTask} from './worker-api.js';
import {createWorkerClient, type WorkerClient} from './worker-client.js';

const limit = {processorsMilli: 1000, memoryMb: 100, accelerators: 0};

function startRequest(changes: Partial<StartTaskRequest> = {}): StartTaskRequest {
	return {
		attempt: 1,
		limit,
		payload: JSON.stringify({kind: 'stress-run'}),
		checkpoint: '',
		latencyCritical: false,
		leaseDeadlineMonotonicMs: 3_600_000,
		...changes,
	};
}

async function setUp(t: ExecutionContext, options: WorkerStandInOptions = {}): Promise<{worker: WorkerStandIn; client: WorkerClient; setNowMs: (nowMs: number) => void}> {
	let nowMs = 0;
	const worker = await createWorkerStandIn({...options, nowMs: () => nowMs});
	const client = createWorkerClient({baseUrl: worker.url});
	t.teardown(async () => {
		await client.close();
		await worker.close();
	});
	return {
		worker,
		client,
		setNowMs(value) {
			nowMs = value;
		},
	};
}

async function taskOf(client: WorkerClient, taskId: string): Promise<WorkerTask | undefined> {
	const answer = await client.listTasks();
	return answer.unwrapOr(undefined)?.tasks.find(task => task.taskId === taskId);
}

test('a repeated start of an attempt is answered like the first time and runs once', async t => {
	const {worker, client} = await setUp(t);
	const first = await client.startTask('a:1', startRequest());
	t.deepEqual(await client.startTask('a:1', startRequest()), first);
	t.is(worker.journal().runs.length, 1);
	t.deepEqual(first.unwrapOr(undefined), {
		taskId: 'a:1', attempt: 1, phase: 'running', limit, latencyCritical: false, checkpoint: '', reason: '',
	});
});

test('a checkpoint resumes the work in the next attempt instead of repeating it', async t => {
	const {worker, client, setNowMs} = await setUp(t);
	const payload = JSON.stringify({kind: 'stress-run', workMs: 1000});
	await client.startTask('a', startRequest({payload}));
	setNowMs(400);
	const stopped = await client.checkpointTask('a');
	const checkpoint = stopped.unwrapOr(undefined)?.checkpoint ?? '';
	await client.startTask('a', startRequest({attempt: 2, payload, checkpoint}));
	setNowMs(999);
	t.like(await taskOf(client, 'a'), {phase: 'running', attempt: 2});
	setNowMs(1000);
	t.like(await taskOf(client, 'a'), {phase: 'finished', attempt: 2});
	t.deepEqual(worker.journal().runs.map(run => [run.workFromMs, run.workToMs]), [[0, 400], [400, 1000]]);
});

test('a task that loses speed through interference finishes later', async t => {
	const {client, setNowMs} = await setUp(t, {
		capacity: {processorsMilli: 2000, memoryMb: 1000, accelerators: 0}, interferenceTable: {'*': {'*': 2000}},
	});
	const payload = JSON.stringify({kind: 'stress-run', workMs: 1000});
	await client.startTask('a', startRequest({payload}));
	await client.startTask('b', startRequest());
	setNowMs(1999);
	t.like(await taskOf(client, 'a'), {phase: 'running'});
	setNowMs(2000);
	t.like(await taskOf(client, 'a'), {phase: 'finished'});
});

test('a task whose lease deadline passed is checkpointed at the deadline even when the worker was paused', async t => {
	const {worker, client, setNowMs} = await setUp(t, {interferenceTable: {}});
	await client.startTask('run-once', startRequest({leaseDeadlineMonotonicMs: 30}));
	await client.startTask('replica', startRequest({latencyCritical: true, leaseDeadlineMonotonicMs: 30}));
	setNowMs(5000);
	const renewed = await client.setLease(9000);
	t.true(renewed.isOk);
	t.like(await taskOf(client, 'run-once'), {phase: 'checkpointed', reason: 'lease-expired'});
	t.like(await taskOf(client, 'replica'), {phase: 'running'});
	t.like(worker.journal().runs[0], {endedAtMonotonicMs: 30, workToMs: 30});
});

test('a renewed lease lets a task run past its first deadline', async t => {
	const {client, setNowMs} = await setUp(t);
	await client.startTask('a', startRequest({leaseDeadlineMonotonicMs: 30}));
	const renewed = await client.setLease(9000);
	t.true(renewed.isOk);
	setNowMs(5000);
	t.like(await taskOf(client, 'a'), {phase: 'running'});
});

test('a deadline that has passed is refused', async t => {
	const {client, setNowMs} = await setUp(t);
	setNowMs(1000);
	const lease = await client.setLease(1000);
	t.is(lease.isErr && lease.error.kind, 'worker-refused');
	const start = await client.startTask('a', startRequest({leaseDeadlineMonotonicMs: 1000}));
	t.is(start.isErr && start.error.kind, 'worker-refused');
});

test('the worker refuses an earlier attempt, a second running attempt and an excess of its capacity', async t => {
	const {client} = await setUp(t, {capacity: {processorsMilli: 1500, memoryMb: 1000, accelerators: 0}});
	await client.startTask('a', startRequest({attempt: 2}));
	for (const [taskId, attempt] of [['a', 1], ['a', 3], ['b', 1]] as const) {
		const answer = await client.startTask(taskId, startRequest({attempt}));
		t.is(answer.isErr && answer.error.kind, 'worker-refused', `${taskId} attempt ${attempt}`);
	}
});

test('an ended task stays listed until it is deleted and a running one cannot be deleted', async t => {
	const {client} = await setUp(t);
	await client.startTask('a', startRequest());
	const early = await client.deleteTask('a');
	t.is(early.isErr && early.error.kind, 'worker-refused');
	const stopped = await client.stopTask('a');
	t.is(stopped.unwrapOr(undefined)?.phase, 'stopped');
	const deleted = await client.deleteTask('a');
	t.true(deleted.isOk);
	const unknown = await client.throttleTask('a', 300);
	t.is(unknown.isErr && unknown.error.kind, 'worker-unknown-task');
});

test('a worker that fails everything reports each task as failed', async t => {
	const {worker, client} = await setUp(t);
	worker.setFaults({failEverything: true});
	const answer = await client.startTask('a', startRequest());
	t.is(answer.unwrapOr(undefined)?.phase, 'failed');
});

test('a delayed report lists an ended task as running until it arrives', async t => {
	const {worker, client, setNowMs} = await setUp(t);
	await client.startTask('a', startRequest());
	worker.setFaults({reportDelayMs: 500});
	await client.stopTask('a');
	t.like(await taskOf(client, 'a'), {phase: 'running'});
	setNowMs(500);
	t.like(await taskOf(client, 'a'), {phase: 'stopped'});
});

test('usage is no newer than the reporting lag and reflects the share of a throttled task', async t => {
	const {client, worker, setNowMs} = await setUp(t, {usageLagMs: 5000, sampleMs: 3_600_000});
	await client.startTask('a', startRequest());
	await client.throttleTask('a', 300);
	const early = await client.readUsage();
	t.deepEqual(early.unwrapOr(undefined)?.tasks, []);
	worker.sampleNow();
	setNowMs(5000);
	const late = await client.readUsage();
	t.deepEqual(late.unwrapOr(undefined), {
		measuredAtMonotonicMs: 0,
		processorsUsedMilli: 300,
		memoryUsedMb: 100,
		tasks: [{
			taskId: 'a', processorsUsedMilli: 300, memoryUsedMb: 100, relativeSpeedMilli: 1000,
		}],
	});
});

test('a refused connection is returned as worker-gone instead of being thrown', async t => {
	const {worker, client} = await setUp(t);
	await worker.close();
	const answer = await client.listTasks();
	t.is(answer.isErr && answer.error.kind, 'worker-gone');
});
