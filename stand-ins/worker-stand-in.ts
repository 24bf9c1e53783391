import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {addResources, fitsInto, type Resources} from '../src/cluster/resources.js';
import {monotonicMs} from '../src/worker/monotonic-clock.js';
import {
	leaseRequestSchema, startTaskRequestSchema, throttleRequestSchema, type WorkerTask, type WorkerUsage,
} from '../src/worker/worker-api.js';
import {defaultHarmTable, type HarmTable} from './interference.js';
import {type TaskRun, type WorkerJournal} from './journal.js';
import {startJsonServer, type JsonAnswer, type JsonHandler} from './json-server.js';
import {decodeCheckpoint, parsePayload} from './task-payload.js';
import {TaskRunner, type RunnerTask} from './task-runner.js';

/** Faults of a worker; they can be changed at any time. */
export const workerFaultsSchema = z.strictObject({
	/** Every task that is started ends as failed at once. */
	failEverything: z.boolean(),
	/** The end of a task shows in the task list this much later. */
	reportDelayMs: z.int().min(0),
	/** The end of a task never shows in the task list, and usage is never measured. */
	reportNever: z.boolean(),
	/** Every call is answered this much later. */
	answerDelayMs: z.int().min(0),
	/** Speed of all tasks in thousandths of the normal speed. */
	speedMilli: z.int().min(1).max(1000),
	/** How old the newest usage report is. */
	usageLagMs: z.int().min(0),
});

export type WorkerFaults = z.infer<typeof workerFaultsSchema>;

export type WorkerStandInOptions = Readonly<{
	port?: number;
	workerId?: string;
	capacity?: Resources;
	harmTable?: HarmTable;
	usageLagMs?: number;
	/** Time between two measurements. */
	sampleMs?: number;
	/** Called at the start and the end of each attempt, so that a journal outlives the process. */
	onRun?: (run: TaskRun) => void;
	/** The machine's monotonic clock; tests pass their own. */
	nowMs?: () => number;
}>;

/** A running stand-in of a worker. */
export type WorkerStandIn = Readonly<{
	url: string;
	faults: Readonly<WorkerFaults>;
	setFaults: (faults: Partial<WorkerFaults>) => void;
	journal: () => WorkerJournal;
	/** Takes a measurement outside the interval. */
	sampleNow: () => void;
	close: () => Promise<void>;
}>;

const unknownTask: JsonAnswer = {status: 404, body: {error: 'unknown task'}};

function conflict(error: string): JsonAnswer {
	return {status: 409, body: {error}};
}

/**
Starts a stand-in of the platform's worker. It checks capacity, attempts and lease deadlines by itself, so that a fault of the
agent shows as a refused call or in the journal.

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
		capacity, harmTable: options.harmTable ?? defaultHarmTable, onRun: options.onRun ?? (() => undefined), nowMs,
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

	/** What the worker reports of a task; reports may lag behind the truth. */
	function reported(task: RunnerTask): WorkerTask {
		const hidden = task.endedAtMs !== undefined
			&& (faults.reportNever || nowMs() < task.endedAtMs + faults.reportDelayMs);
		return {
			taskId: task.taskId,
			attempt: task.request.attempt,
			phase: hidden ? 'running' : task.phase,
			limit: task.request.limit,
			latencyCritical: task.request.latencyCritical,
			checkpoint: hidden ? '' : task.checkpoint,
			reason: hidden ? '' : task.reason,
		};
	}

	/** What the worker answers to a call about one task: the truth. */
	function actual(task: RunnerTask): WorkerTask {
		return {
			...reported(task), phase: task.phase, checkpoint: task.checkpoint, reason: task.reason,
		};
	}

	function startTask(taskId: string, body: unknown): JsonAnswer {
		const request = startTaskRequestSchema.parse(body);
		const known = runner.tasks.get(taskId);
		if (known?.request.attempt === request.attempt) {
			return {status: 200, body: actual(known)};
		}

		if (known && (known.phase === 'running' || known.request.attempt > request.attempt)) {
			return conflict(`attempt ${known.request.attempt} is ${known.phase}`);
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

		return {status: 200, body: actual(task)};
	}

	function withTask(change: (task: RunnerTask, body: unknown) => JsonAnswer): JsonHandler {
		return (request, body) => {
			const task = runner.tasks.get(request.params.taskId ?? '');
			return task ? change(task, body) : unknownTask;
		};
	}

	/** Settles first: a call that arrives after a pause must not overtake the end of a lease. */
	function worker(handle: JsonHandler): JsonHandler {
		return async (request, body) => {
			if (faults.answerDelayMs > 0) {
				await delay(faults.answerDelayMs);
			}

			runner.settle();
			return handle(request, body);
		};
	}

	function setFaults(changes: Partial<WorkerFaults>): void {
		Object.assign(faults, workerFaultsSchema.partial().parse(changes));
		runner.setSpeed(faults.speedMilli);
	}

	function journal(): WorkerJournal {
		runner.settle();
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
		{method: 'GET', path: '/pressure/:kind', handle: request => ({status: 200, body: {relativeSpeedMilli: runner.speedBesideTasksMilli(request.params.kind ?? '')}})},
		{method: 'GET', path: '/usage', handle: worker(() => ({status: 200, body: usage()}))},
		{method: 'GET', path: '/tasks', handle: worker(() => ({status: 200, body: {workerIncarnation, capacity, tasks: [...runner.tasks.values()].map(task => reported(task))}}))},
		{method: 'PUT', path: '/tasks/:taskId', handle: worker((request, body) => startTask(request.params.taskId ?? '', body))},
		{
			method: 'DELETE', path: '/tasks/:taskId', handle: worker(request => {
				const task = runner.tasks.get(request.params.taskId ?? '');
				if (task?.phase === 'running') {
					return conflict('the task is running');
				}

				runner.tasks.delete(request.params.taskId ?? '');
				return {status: 204};
			}),
		},
		{
			method: 'PUT', path: '/lease', handle: worker((_request, body) => {
				const {leaseDeadlineMonotonicMs} = leaseRequestSchema.parse(body);
				if (leaseDeadlineMonotonicMs <= nowMs()) {
					return conflict('the lease deadline has passed');
				}

				runner.renewLease(leaseDeadlineMonotonicMs);
				return {status: 204};
			}),
		},
		{
			method: 'POST', path: '/tasks/:taskId/checkpoint', handle: worker(withTask(task => {
				runner.end(task, 'checkpointed', 'requested');
				return {status: 200, body: actual(task)};
			})),
		},
		{
			method: 'POST', path: '/tasks/:taskId/stop', handle: worker(withTask(task => {
				runner.end(task, 'stopped', 'requested');
				return {status: 200, body: actual(task)};
			})),
		},
		{
			method: 'POST', path: '/tasks/:taskId/throttle', handle: worker(withTask((task, body) => {
				runner.throttle(task, throttleRequestSchema.parse(body).processorsShareMilli);
				return {status: 200, body: actual(task)};
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
