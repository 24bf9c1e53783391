import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {Result} from 'true-myth';
import type {AgentEvent} from './agent-event.js';
import {createWorkerDriver} from './worker-driver.js';
import type {Worker} from './worker.js';

const done = async () => Result.ok(undefined);

const emptyList = async () => Result.ok({
	workerIncarnation: 'w1', capacity: {processorsMilli: 1, memoryMb: 1, accelerators: 0}, tasks: [], listedEnds: 'all' as const,
});

const idleWorker: Worker = {
	startTask: done,
	deleteTask: done,
	setLease: done,
	checkpointTask: done,
	throttleTask: done,
	stopTask: done,
	listTasks: emptyList,
	readUsage: async () => Result.ok({
		measuredAtMonotonicMs: 0, processorsUsedMilli: 0, memoryUsedMb: 0, tasks: [],
	}),
};

async function never(): Promise<never> {
	return new Promise(() => {
		// Without an end.
	});
}

async function fail(): Promise<never> {
	throw new Error('odd');
}

function createDriver(worker: Partial<Worker>, onEvent?: (event: AgentEvent) => void) {
	const events: AgentEvent[] = [];
	const lines: string[] = [];
	const record = (event: string): void => {
		lines.push(event);
	};

	const driver = createWorkerDriver({
		worker: {...idleWorker, ...worker},
		eventLog: {
			debug: record, info: record, warn: record, error: record,
		},
		nowMs: () => 0,
		callTimeoutMs: 50,
		dispatch(event) {
			events.push(event);
			onEvent?.(event);
		},
	});
	return {
		driver, events, lines, kinds: () => events.map(({kind}) => kind),
	};
}

const request = {
	attempt: 1, limit: {processorsMilli: 1, memoryMb: 1, accelerators: 0}, payload: '', checkpoint: '', latencyCritical: false, leaseDeadlineMonotonicMs: 1000,
};

test('a poll that throws counts as failed, and the next one goes on', async t => {
	let polls = 0;
	const {driver, kinds, lines} = createDriver({
		async listTasks() {
			polls++;
			return polls === 1 ? fail() : emptyList();
		},
	});
	await t.notThrowsAsync(driver.poll());
	await driver.poll();
	t.deepEqual(kinds(), ['worker-look-failed', 'worker-tasks', 'worker-usage']);
	t.deepEqual(lines, ['worker-call-failed', 'worker-regained']);
});

test('a list that the reducer cannot use counts as a failed poll, and the next one goes on', async t => {
	let lists = 0;
	let polls = 0;
	const {driver, kinds, lines} = createDriver({
		usesLongPolling: true,
		async listTasks() {
			polls++;
			return polls > 2 ? never() : emptyList();
		},
	}, event => {
		lists += event.kind === 'worker-tasks' ? 1 : 0;
		if (event.kind === 'worker-tasks' && lists === 1) {
			throw new RangeError('Maximum call stack size exceeded');
		}
	});
	await t.notThrowsAsync(driver.poll());
	void driver.poll();
	while (kinds().length < 4) {
		await delay(5);
	}

	t.deepEqual(kinds(), ['worker-tasks', 'worker-look-failed', 'worker-tasks', 'worker-usage']);
	t.deepEqual(lines, ['worker-answer-unusable']);
});

test('a poll without an end counts as failed, and the next one goes on', async t => {
	let polls = 0;
	const {driver, kinds} = createDriver({
		async listTasks() {
			polls++;
			return polls === 1 ? never() : emptyList();
		},
	});
	await driver.poll();
	await driver.poll();
	t.deepEqual(kinds(), ['worker-look-failed', 'worker-tasks', 'worker-usage']);
});

for (const [name, outcome] of Object.entries({throws: fail, 'has no end': never})) {
	test(`a call that ${name} does not block the next ones of its task`, async t => {
		const deleted: string[] = [];
		const {driver, events, lines} = createDriver({
			startTask: outcome,
			stopTask: outcome,
			checkpointTask: outcome,
			throttleTask: outcome,
			setLease: outcome,
			async deleteTask(taskId) {
				deleted.push(taskId);
				return Result.ok(undefined);
			},
		});
		driver.execute({
			kind: 'start-task', taskId: 't1', request, workerIncarnation: 'w1',
		});
		driver.execute({kind: 'stop-task', taskId: 't1'});
		driver.execute({kind: 'checkpoint-task', taskId: 't1'});
		driver.execute({kind: 'throttle-task', taskId: 't1', shareMilli: 500});
		driver.execute({kind: 'set-lease', deadlineMonotonicMs: 1});
		driver.execute({kind: 'delete-task', taskId: 't1'});
		while (deleted.length === 0) {
			await delay(5);
		}

		t.deepEqual(deleted, ['t1']);
		t.like(events.find(({kind}) => kind === 'start-answered'), {taskId: 't1', attempt: 1, result: 'unknown'});
		t.true(events.some(({kind}) => kind === 'throttle-failed'));
		t.is(lines.filter(line => line === 'worker-call-failed').length, 5);
	});
}
