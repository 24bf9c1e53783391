import test from 'ava';
import {Result} from 'true-myth';
import type {EventLog} from '../telemetry/event-log.js';
import type {AgentEvent} from './agent-event.js';
import {createWorkerDriver} from './worker-driver.js';
import type {Worker} from './worker.js';

const ignore = (): void => undefined;

const silentLog: EventLog = {
	debug: ignore, info: ignore, warn: ignore, error: ignore,
};

test('a start that was accepted for one worker process is not sent to the next one at its address', async t => {
	const started: string[] = [];
	const events: AgentEvent[] = [];
	const done = async () => Result.ok(undefined);
	const worker: Worker = {
		isCurrent: workerIncarnation => workerIncarnation === 'w2',
		async startTask(taskId) {
			started.push(taskId);
			return Result.ok(undefined);
		},
		deleteTask: done,
		setLease: done,
		checkpointTask: done,
		throttleTask: done,
		stopTask: done,
		listTasks: async () => Result.ok({
			workerIncarnation: 'w2', capacity: {processorsMilli: 1, memoryMb: 1, accelerators: 0}, tasks: [], listedEnds: 'all',
		}),
		readUsage: async () => Result.ok({
			measuredAtMonotonicMs: 0, processorsUsedMilli: 0, memoryUsedMb: 0, tasks: [],
		}),
	};
	const driver = createWorkerDriver({
		worker, eventLog: silentLog, nowMs: () => 0, dispatch(event) {
			events.push(event);
		},
	});
	const request = {
		attempt: 1, limit: {processorsMilli: 1, memoryMb: 1, accelerators: 0}, payload: '', checkpoint: '', latencyCritical: false, leaseDeadlineMonotonicMs: 1000,
	};
	for (const workerIncarnation of ['w1', 'w2']) {
		driver.execute({
			kind: 'start-task', taskId: `for-${workerIncarnation}`, request, workerIncarnation,
		});
	}

	await driver.poll();
	t.deepEqual(started, ['for-w2']);
	t.like(events.find(event => event.kind === 'start-answered' && event.taskId === 'for-w1'), {result: 'unknown'});
});

test('a processor share that the worker did not apply is reported to the reducer', async t => {
	const events: AgentEvent[] = [];
	const done = async () => Result.ok(undefined);
	const worker: Worker = {
		startTask: done,
		deleteTask: done,
		setLease: done,
		checkpointTask: done,
		throttleTask: async () => Result.err({kind: 'worker-unavailable', message: 'no answer', remedy: 'none'}),
		stopTask: done,
		listTasks: async () => Result.ok({
			workerIncarnation: 'w1', capacity: {processorsMilli: 1, memoryMb: 1, accelerators: 0}, tasks: [], listedEnds: 'all',
		}),
		readUsage: async () => Result.ok({
			measuredAtMonotonicMs: 0, processorsUsedMilli: 0, memoryUsedMb: 0, tasks: [],
		}),
	};
	const driver = createWorkerDriver({
		worker, eventLog: silentLog, nowMs: () => 0, dispatch(event) {
			events.push(event);
		},
	});
	driver.execute({kind: 'throttle-task', taskId: 't1', shareMilli: 0});
	await driver.poll();
	t.deepEqual(events.filter(({kind}) => kind === 'throttle-failed'), [{kind: 'throttle-failed', nowMs: 0, taskId: 't1'}]);
});

test('a start that never reached the worker is distinguished from one without an answer, which may have run', async t => {
	const events: AgentEvent[] = [];
	const done = async () => Result.ok(undefined);
	const kinds = {unreached: 'worker-unreached', gone: 'worker-gone', unavailable: 'worker-unavailable'} as const;
	const isKnown = (taskId: string): taskId is keyof typeof kinds => Object.hasOwn(kinds, taskId);
	const worker: Worker = {
		startTask: async taskId => isKnown(taskId) ? Result.err({kind: kinds[taskId], message: 'no answer', remedy: 'none'}) : Result.ok(undefined),
		deleteTask: done,
		setLease: done,
		checkpointTask: done,
		throttleTask: done,
		stopTask: done,
		listTasks: async () => Result.err({kind: 'worker-gone', message: 'no answer', remedy: 'none'}),
		readUsage: async () => Result.err({kind: 'worker-gone', message: 'no answer', remedy: 'none'}),
	};
	const driver = createWorkerDriver({
		worker, eventLog: silentLog, nowMs: () => 0, dispatch(event) {
			events.push(event);
		},
	});
	const request = {
		attempt: 1, limit: {processorsMilli: 1, memoryMb: 1, accelerators: 0}, payload: '', checkpoint: '', latencyCritical: false, leaseDeadlineMonotonicMs: 1000,
	};
	for (const taskId of Object.keys(kinds)) {
		driver.execute({
			kind: 'start-task', taskId, request, workerIncarnation: 'w1',
		});
	}

	await driver.poll();
	const results = events.flatMap(event => event.kind === 'start-answered' ? [[event.taskId, event.result]] : []);
	t.deepEqual(results, [['unreached', 'unsent'], ['gone', 'unsent'], ['unavailable', 'unknown']]);
	t.like(events.find(({kind}) => kind === 'worker-look-failed'), {isConnectionRefused: true});
});

test('a poll for which no connection was made is told from one without an answer', async t => {
	const events: AgentEvent[] = [];
	for (const kind of ['worker-unreached', 'worker-unavailable'] as const) {
		const failed = async () => Result.err({kind, message: 'no answer', remedy: 'none'});
		const worker: Worker = {
			startTask: failed, deleteTask: failed, setLease: failed, checkpointTask: failed, throttleTask: failed, stopTask: failed, listTasks: failed, readUsage: failed,
		};
		const driver = createWorkerDriver({
			worker, eventLog: silentLog, nowMs: () => 0, dispatch(event) {
				events.push(event);
			},
		});
		await driver.poll();
	}

	t.like(events, [{isConnectionRefused: false, isUnreached: true}, {isConnectionRefused: false, isUnreached: false}]);
});
