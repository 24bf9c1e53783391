import {type StartTaskRequest, type WorkerTask} from '../src/worker/worker-api.js';
import {type Resources} from '../src/cluster/resources.js';
import {relativeSpeed, type HarmTable} from './interference.js';
import {type TaskRun} from './journal.js';
import {encodeCheckpoint, type TaskPayload} from './task-payload.js';

type EndedPhase = Exclude<WorkerTask['phase'], 'running'>;

/** A task with the work that it has done. */
export type RunnerTask = {
	readonly taskId: string;
	readonly request: StartTaskRequest;
	readonly payload: TaskPayload;
	readonly run: TaskRun;
	leaseDeadlineMs: number;
	workDoneMs: number;
	processorsShareMilli: number;
	phase: WorkerTask['phase'];
	checkpoint: string;
	reason: string;
	endedAtMs: number | undefined;
};

/** One task's use of the VM at the time of a sample. */
export type TaskSample = Readonly<{taskId: string; processorsUsedMilli: number; memoryUsedMb: number; relativeSpeedMilli: number}>;

export type TaskRunnerOptions = Readonly<{
	capacity: Resources;
	harmTable: HarmTable;
	/** Called at the start and at the end of each attempt. */
	onRun: (run: TaskRun) => void;
	nowMs: () => number;
}>;

/**
Runs tasks as timers. Work advances with the speed that the neighbours and the throttle leave. Run-once tasks do no work past
their lease deadline, even when this process was paused and its timer fires late.
*/
export class TaskRunner {
	public readonly tasks = new Map<string, RunnerTask>();
	public readonly runs: TaskRun[] = [];
	/** Speed of the whole VM in thousandths; the `slow` fault lowers it. */
	private speedMilli = 1000;
	private settledAtMs: number;
	private timer: NodeJS.Timeout | undefined;
	private readonly capacity: Resources;
	private readonly harmTable: HarmTable;
	private readonly onRun: (run: TaskRun) => void;
	private readonly nowMs: () => number;

	public constructor(options: TaskRunnerOptions) {
		this.capacity = options.capacity;
		this.harmTable = options.harmTable;
		this.onRun = options.onRun;
		this.nowMs = options.nowMs;
		this.settledAtMs = options.nowMs();
	}

	public get running(): readonly RunnerTask[] {
		return [...this.tasks.values()].filter(task => task.phase === 'running');
	}

	public start(taskId: string, request: StartTaskRequest, payload: TaskPayload, workDoneMs: number): RunnerTask {
		this.settle();
		const run: TaskRun = {
			taskId,
			attempt: request.attempt,
			startedAtMonotonicMs: this.nowMs(),
			endedAtMonotonicMs: null,
			phase: 'running',
			workFromMs: workDoneMs,
			workToMs: workDoneMs,
		};
		const task: RunnerTask = {
			taskId,
			request,
			payload,
			run,
			leaseDeadlineMs: request.latencyCritical ? Number.POSITIVE_INFINITY : request.leaseDeadlineMonotonicMs,
			workDoneMs,
			processorsShareMilli: 1000,
			phase: 'running',
			checkpoint: '',
			reason: '',
			endedAtMs: undefined,
		};
		this.tasks.set(taskId, task);
		this.runs.push(run);
		this.onRun(run);
		this.schedule();
		return task;
	}

	/** Ends a running task; an ended one stays as it is. */
	public end(task: RunnerTask, phase: EndedPhase, reason: string): void {
		this.settle();
		this.finishRun(task, phase, reason, this.nowMs());
		this.schedule();
	}

	public throttle(task: RunnerTask, processorsShareMilli: number): void {
		this.settle();
		task.processorsShareMilli = processorsShareMilli;
		this.schedule();
	}

	public setSpeed(speedMilli: number): void {
		this.settle();
		this.speedMilli = speedMilli;
		this.schedule();
	}

	/** Moves the deadline of all running run-once tasks. */
	public renewLease(leaseDeadlineMs: number): void {
		this.settle();
		for (const task of this.running) {
			if (!task.request.latencyCritical) {
				task.leaseDeadlineMs = Math.max(task.leaseDeadlineMs, leaseDeadlineMs);
			}
		}

		this.schedule();
	}

	/** Brings every task's work up to now; ends what has finished or whose lease has expired in the meantime. */
	public settle(): void {
		const nowMs = this.nowMs();
		// Each round ends at the next end of a task, because that end changes the speed of its neighbours.
		for (;;) {
			const next = this.nextEnd();
			const untilMs = Math.min(nowMs, next?.atMs ?? nowMs);
			this.advance(untilMs);
			if (!next || next.atMs > nowMs) {
				return;
			}

			this.finishRun(next.task, next.phase, next.reason, untilMs);
		}
	}

	/** Speed, in thousandths of its speed alone, of work of a kind that shares the VM but is no task, such as a service. */
	public speedBesideTasksMilli(kind: string): number {
		this.settle();
		const tasks = this.running.map(task => ({kind: task.payload.kind, processorsMilli: this.processorsOf(task)}));
		return Math.round(1000 * relativeSpeed(this.harmTable, kind, tasks, this.capacity.processorsMilli));
	}

	public sample(): readonly TaskSample[] {
		this.settle();
		return this.running.map(task => ({
			taskId: task.taskId,
			processorsUsedMilli: Math.round(this.processorsOf(task)),
			memoryUsedMb: Math.round(task.request.limit.memoryMb * task.payload.usedMilli / 1000),
			relativeSpeedMilli: Math.round(this.relativeSpeedOf(task) * 1000),
		}));
	}

	public close(): void {
		clearTimeout(this.timer);
	}

	private processorsOf(task: RunnerTask): number {
		return task.request.limit.processorsMilli * Math.min(1000, task.payload.usedMilli) * task.processorsShareMilli / 1_000_000;
	}

	private relativeSpeedOf(task: RunnerTask): number {
		const neighbours = this.running
			.filter(other => other !== task)
			.map(other => ({kind: other.payload.kind, processorsMilli: this.processorsOf(other)}));
		return relativeSpeed(this.harmTable, task.payload.kind, neighbours, this.capacity.processorsMilli);
	}

	private speedOf(task: RunnerTask): number {
		return this.relativeSpeedOf(task) * task.processorsShareMilli * this.speedMilli / 1_000_000;
	}

	private nextEnd(): {task: RunnerTask; atMs: number; phase: EndedPhase; reason: string} | undefined {
		let next: {task: RunnerTask; atMs: number; phase: EndedPhase; reason: string} | undefined;
		for (const task of this.running) {
			const {workMs, failure} = task.payload;
			const goalMs = workMs === undefined ? Number.POSITIVE_INFINITY : (failure === undefined ? workMs : workMs / 2);
			const doneAtMs = this.settledAtMs + (Math.max(0, goalMs - task.workDoneMs) / this.speedOf(task));
			const candidate = task.leaseDeadlineMs < doneAtMs
				? {
					task, atMs: task.leaseDeadlineMs, phase: 'checkpointed' as const, reason: 'lease-expired',
				}
				: {
					task, atMs: doneAtMs, phase: failure === undefined ? 'finished' as const : 'failed' as const, reason: failure ?? '',
				};
			if (!next || candidate.atMs < next.atMs) {
				next = candidate;
			}
		}

		return next && Number.isFinite(next.atMs) ? next : undefined;
	}

	private advance(untilMs: number): void {
		const elapsedMs = Math.max(0, untilMs - this.settledAtMs);
		// All speeds are taken before any work is added: they depend only on which tasks run.
		const steps = this.running.map(task => ({task, workMs: elapsedMs * this.speedOf(task)}));
		for (const {task, workMs} of steps) {
			task.workDoneMs = Math.min(task.payload.workMs ?? Number.POSITIVE_INFINITY, task.workDoneMs + workMs);
		}

		this.settledAtMs = Math.max(this.settledAtMs, untilMs);
	}

	private finishRun(task: RunnerTask, phase: EndedPhase, reason: string, atMs: number): void {
		if (task.phase !== 'running') {
			return;
		}

		if (phase === 'finished') {
			task.workDoneMs = task.payload.workMs ?? task.workDoneMs;
		}

		task.phase = phase;
		task.reason = reason;
		task.endedAtMs = atMs;
		task.checkpoint = phase === 'checkpointed' ? encodeCheckpoint(task.workDoneMs) : '';
		Object.assign(task.run, {phase, endedAtMonotonicMs: atMs, workToMs: task.workDoneMs});
		this.onRun(task.run);
	}

	private schedule(): void {
		clearTimeout(this.timer);
		const next = this.nextEnd();
		if (next) {
			this.timer = setTimeout(() => {
				this.settle();
				this.schedule();
			}, Math.min(2_147_483_647, Math.max(0, Math.ceil(next.atMs - this.nowMs()))));
		}
	}
}
