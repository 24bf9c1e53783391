import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {addResources, fitsInto, type Resources} from '../src/cluster/resources.js';
import {monotonicMs} from '../src/worker/monotonic-clock.js';
import {
	leaseRequestSchema, startTaskRequestSchema, throttleRequestSchema, type WorkerTask, type WorkerUsage,
} from '../src/worker/worker-api.js';
import {defaultInterferenceTable, type InterferenceTable} from './interference.js';
import {type TaskRun, type WorkerJournal} from './journal.js';
import {startJsonServer, type JsonAnswer, type JsonHandler} from './json-server.js';
import {decodeCheckpoint, parsePayload} from './task-payload.js';
import {TaskRunner, type RunnerTask} from './task-runner.js';

/** Faults that the worker injects; they can be changed at any time. */
export const workerFaultsSchema = z.strictObject({
	/** Every task fails as soon as it is started. */
	failEverything: z.boolean(),
	/** Delay until the end of a task appears in the task list. */
	reportDelayMs: z.int().min(0),
	/** The end of a task never appears in the task list, and no usage is reported. */
	reportNever: z.boolean(),
	/** Delay of the answer to every call of the worker API. */
	answerDelayMs: z.int().min(0),
	/** Speed of all tasks in thousandths of the normal speed. */
	speedMilli: z.int().min(1).max(1000),
	/** Age of the newest usage report. */
	usageLagMs: z.int().min(0),
});

export type WorkerFaults = z.infer<typeof workerFaultsSchema>;

export type WorkerStandInOptions = Readonly<{
	port?: number;
	workerId?: string;
	capacity?: Resources;
	interferenceTable?: InterferenceTable;
	usageLagMs?: number;
	/** Time between two measurements. */
	sampleMs?: number;
	/** Called at the start and at the end of each attempt, so that runs can be recorded outside a process that may be killed. */
	onRun?: (run: TaskRun) => void;
	/** Clock; by default the machine's monotonic clock. */
	nowMs?: () => number;
}>;

/** A running stand-in of a worker. */
export type WorkerStandIn = Readonly<{
	url: string;
	faults: Readonly<WorkerFaults>;
	setFaults: (faults: Partial<WorkerFaults>) => void;
	journal: () => WorkerJournal;
	/** Takes a measurement immediately, in addition to the periodic ones. */
	sampleNow: () => void;
	close: () => Promise<void>;
}>;

const unknownTask: JsonAnswer = {status: 404, body: {error: 'unknown task'}};

function conflict(error: string): JsonAnswer {
	return {status: 409, body: {error}};
}

/**
Starts a stand-in of the platform's worker. It checks capacity, attempts and lease deadlines itself, so that a fault of the agent
appears as a refused call or in the journal.

@example
const worker = await createWorkerStandIn({capacity: {processorsMilli: 4000, memoryMb: 8192, accelerators: 0}});
await worker.close();
*/
export async function createWorkerStandIn(options: WorkerStandInOptions = {}): Promise<WorkerStandIn> {
	const nowMs = options.nowMs ?? monotonicMs;
	const workerId = options.workerId ?? 'worker';
	const workerIncarnation = randomUUID();
	const capacity = options.capacity ?? {processorsMilli: 16_000, memoryMb: 60_000, accelerators: 0};
	const sampleMs = options.sampleMs ?? 500;
	const faults: WorkerFaults = {
		failEverything: false, reportDelayMs: 0, reportNever: false, answerDelayMs: 0, speedMilli: 1000, usageLagMs: options.usageLagMs ?? 5000,
	};
	const runner = new TaskRunner({
		capacity, interferenceTable: options.interferenceTable ?? defaultInterferenceTable, onRun: options.onRun ?? (() => undefined), nowMs,
	});
	let samples: readonly WorkerUsage[] = [];

	function sampleNow(): void {
		const measuredAtMs = nowMs();
		const tasks = runner.sample();
		let processorsUsedMilli = 0;
		let memoryUsedMb = 0;
		for (const task of tasks) {
			processorsUsedMilli += task.processorsUsedMilli;
			memoryUsedMb += task.memoryUsedMb;
		}

		const usage: WorkerUsage = {
			measuredAtMonotonicMs: measuredAtMs, processorsUsedMilli, memoryUsedMb, tasks,
		};
		samples = [...samples.filter(sample => sample.measuredAtMonotonicMs >= measuredAtMs - faults.usageLagMs - (2 * sampleMs)), usage];
	}

	const sampler = setInterval(sampleNow, sampleMs);

	/** Returns the task as the task list reports it; `reportDelayMs` and `reportNever` hide its end. */
	function reportedTask(task: RunnerTask): WorkerTask {
		const isEndHidden = task.endedAtMs !== undefined
			&& (faults.reportNever || nowMs() < task.endedAtMs + faults.reportDelayMs);
		return {
			taskId: task.taskId,
			attempt: task.request.attempt,
			phase: isEndHidden ? 'running' : task.phase,
			limit: task.request.limit,
			latencyCritical: task.request.latencyCritical,
			checkpoint: isEndHidden ? '' : task.checkpoint,
			reason: isEndHidden ? '' : task.reason,
		};
	}

	/** Returns the current state of the task, as calls for a single task are answered. */
	function actualTask(task: RunnerTask): WorkerTask {
		return {
			...reportedTask(task), phase: task.phase, checkpoint: task.checkpoint, reason: task.reason,
		};
	}

	function startTask(taskId: string, body: unknown): JsonAnswer {
		const request = startTaskRequestSchema.parse(body);
		const recorded = runner.tasks.get(taskId);
		if (recorded?.request.attempt === request.attempt) {
			return {status: 200, body: actualTask(recorded)};
		}

		if (recorded && (recorded.phase === 'running' || recorded.request.attempt > request.attempt)) {
			return conflict(`attempt ${recorded.request.attempt} is ${recorded.phase}`);
		}

		const payload = parsePayload(request.payload);
		const workDoneMs = decodeCheckpoint(request.checkpoint);
		if (!payload || workDoneMs === undefined) {
			return {status: 400, body: {error: 'the payload or the checkpoint cannot be read'}};
		}

		if (!request.latencyCritical && request.leaseDeadlineMonotonicMs <= nowMs()) {
			return conflict('the lease deadline has passed');
		}

		let committed = request.limit;
		for (const task of runner.running) {
			committed = addResources(committed, task.request.limit);
		}

		if (!fitsInto(committed, capacity)) {
			return conflict('the capacity would be exceeded');
		}

		const task = runner.start(taskId, request, payload, workDoneMs);
		if (faults.failEverything) {
			runner.end(task, 'failed', 'the worker fails everything');
		}

		return {status: 200, body: actualTask(task)};
	}

	function withTask(change: (task: RunnerTask, body: unknown) => JsonAnswer): JsonHandler {
		return (request, body) => {
			const task = runner.tasks.get(request.params.taskId ?? '');
			return task ? change(task, body) : unknownTask;
		};
	}

	/** Wraps a handler to advance the tasks first: a call that arrives after a pause of the process must not take effect before the leases that expired during the pause end. */
	function handleWorkerCall(handle: JsonHandler): JsonHandler {
		return async (request, body) => {
			if (faults.answerDelayMs > 0) {
				await delay(faults.answerDelayMs);
			}

			runner.advanceToNow();
			return handle(request, body);
		};
	}

	function setFaults(changes: Partial<WorkerFaults>): void {
		Object.assign(faults, workerFaultsSchema.partial().parse(changes));
		runner.setSpeed(faults.speedMilli);
	}

	function journal(): WorkerJournal {
		runner.advanceToNow();
		return {workerId, runs: runner.runs};
	}

	function usage(): WorkerUsage {
		const newestMs = nowMs() - faults.usageLagMs;
		const sample = faults.reportNever ? undefined : samples.findLast(({measuredAtMonotonicMs}) => measuredAtMonotonicMs <= newestMs);
		return sample ?? {
			measuredAtMonotonicMs: 0, processorsUsedMilli: 0, memoryUsedMb: 0, tasks: [],
		};
	}

	const server = await startJsonServer([
		{method: 'GET', path: '/faults', handle: () => ({status: 200, body: faults})},
		{
			method: 'PUT', path: '/faults', handle(_request, body) {
				setFaults(workerFaultsSchema.partial().parse(body));
				return {status: 200, body: faults};
			},
		},
		{method: 'GET', path: '/journal', handle: () => ({status: 200, body: journal()})},
		{method: 'GET', path: '/pressure/:kind', handle: request => ({status: 200, body: {relativeSpeedMilli: runner.relativeSpeedOfKindMilli(request.params.kind ?? '')}})},
		{method: 'GET', path: '/usage', handle: handleWorkerCall(() => ({status: 200, body: usage()}))},
		{method: 'GET', path: '/tasks', handle: handleWorkerCall(() => ({status: 200, body: {workerIncarnation, capacity, tasks: [...runner.tasks.values()].map(task => reportedTask(task))}}))},
		{method: 'PUT', path: '/tasks/:taskId', handle: handleWorkerCall((request, body) => startTask(request.params.taskId ?? '', body))},
		{
			method: 'DELETE', path: '/tasks/:taskId', handle: handleWorkerCall(request => {
				const task = runner.tasks.get(request.params.taskId ?? '');
				if (task?.phase === 'running') {
					return conflict('the task is running');
				}

				runner.tasks.delete(request.params.taskId ?? '');
				return {status: 204};
			}),
		},
		{
			method: 'PUT', path: '/lease', handle: handleWorkerCall((_request, body) => {
				const {leaseDeadlineMonotonicMs} = leaseRequestSchema.parse(body);
				if (leaseDeadlineMonotonicMs <= nowMs()) {
					return conflict('the lease deadline has passed');
				}

				runner.renewLease(leaseDeadlineMonotonicMs);
				return {status: 204};
			}),
		},
		{
			method: 'POST', path: '/tasks/:taskId/checkpoint', handle: handleWorkerCall(withTask(task => {
				runner.end(task, 'checkpointed', 'requested');
				return {status: 200, body: actualTask(task)};
			})),
		},
		{
			method: 'POST', path: '/tasks/:taskId/stop', handle: handleWorkerCall(withTask(task => {
				runner.end(task, 'stopped', 'requested');
				return {status: 200, body: actualTask(task)};
			})),
		},
		{
			method: 'POST', path: '/tasks/:taskId/throttle', handle: handleWorkerCall(withTask((task, body) => {
				runner.throttle(task, throttleRequestSchema.parse(body).processorsShareMilli);
				return {status: 200, body: actualTask(task)};
			})),
		},
	], options.port ?? 0);

	return {
		url: server.url,
		faults,
		setFaults,
		journal,
		sampleNow,
		async close() {
			clearInterval(sampler);
			runner.close();
			await server.close();
		},
	};
}
