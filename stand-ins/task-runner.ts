import {type StartTaskRequest, type WorkerTask} from '../src/worker/worker-api.js';
import {type Resources} from '../src/cluster/resources.js';
import {relativeSpeed, type InterferenceTable} from './interference.js';
import {type TaskRun} from './journal.js';
import {encodeCheckpoint, type TaskPayload} from './task-payload.js';

type EndedPhase = Exclude<WorkerTask['phase'], 'running'>;

/** A task and its progress; work is in milliseconds of run time alone on the VM at full speed. */
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

/** One task's resource usage and relative speed at the time of a sample. */
export type TaskSample = Readonly<{taskId: string; processorsUsedMilli: number; memoryUsedMb: number; relativeSpeedMilli: number}>;

export type TaskRunnerOptions = Readonly<{
	capacity: Resources;
	interferenceTable: InterferenceTable;
	/** Called at the start and at the end of each attempt. */
	onRun: (run: TaskRun) => void;
	nowMs: () => number;
}>;

/**
Simulates tasks with timers. The speed at which a task's work advances depends on its neighbours, its throttle and the speed of the VM.
A task that is not latency-critical does no work past its lease deadline, even when this process was paused and its timer fires late.
*/
export class TaskRunner {
	public readonly tasks = new Map<string, RunnerTask>();
	public readonly runs: TaskRun[] = [];
	/** Speed of the whole VM in thousandths of its normal speed; the `speedMilli` fault lowers it. */
	private speedMilli = 1000;
	/** Time up to which all tasks' work has been computed. */
	private advancedToMs: number;
	private timer: NodeJS.Timeout | undefined;
	private readonly capacity: Resources;
	private readonly interferenceTable: InterferenceTable;
	private readonly onRun: (run: TaskRun) => void;
	private readonly nowMs: () => number;

	public constructor(options: TaskRunnerOptions) {
		this.capacity = options.capacity;
		this.interferenceTable = options.interferenceTable;
		this.onRun = options.onRun;
		this.nowMs = options.nowMs;
		this.advancedToMs = options.nowMs();
	}

	public get running(): readonly RunnerTask[] {
		return [...this.tasks.values()].filter(task => task.phase === 'running');
	}

	public start(taskId: string, request: StartTaskRequest, payload: TaskPayload, workDoneMs: number): RunnerTask {
		this.advanceToNow();
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

	/** Ends a running task; has no effect on a task that has ended. */
	public end(task: RunnerTask, phase: EndedPhase, reason: string): void {
		this.advanceToNow();
		this.recordEnd(task, phase, reason, this.nowMs());
		this.schedule();
	}

	public throttle(task: RunnerTask, processorsShareMilli: number): void {
		this.advanceToNow();
		task.processorsShareMilli = processorsShareMilli;
		this.schedule();
	}

	public setSpeed(speedMilli: number): void {
		this.advanceToNow();
		this.speedMilli = speedMilli;
		this.schedule();
	}

	/** Extends the lease deadline of all running tasks that are not latency-critical; never shortens one. */
	public renewLease(leaseDeadlineMs: number): void {
		this.advanceToNow();
		for (const task of this.running) {
			if (!task.request.latencyCritical) {
				task.leaseDeadlineMs = Math.max(task.leaseDeadlineMs, leaseDeadlineMs);
			}
		}

		this.schedule();
	}

	/** Advances every task's work to the present; ends the tasks that have finished or failed, or whose lease has expired, in the meantime. */
	public advanceToNow(): void {
		const nowMs = this.nowMs();
		// Each iteration advances to the next end of a task, because that end changes the speed of its neighbours.
		for (;;) {
			const next = this.nextEnd();
			const untilMs = Math.min(nowMs, next?.atMs ?? nowMs);
			this.advance(untilMs);
			if (!next || next.atMs > nowMs) {
				return;
			}

			this.recordEnd(next.task, next.phase, next.reason, untilMs);
		}
	}

	/** Returns the speed, in thousandths of its speed alone, of work that shares the VM without being a task, such as a backend server. */
	public relativeSpeedOfKindMilli(kind: string): number {
		this.advanceToNow();
		const tasks = this.running.map(task => ({kind: task.payload.kind, processorsMilli: this.processorsOf(task)}));
		return Math.round(1000 * relativeSpeed(this.interferenceTable, kind, tasks, this.capacity.processorsMilli));
	}

	public sample(): readonly TaskSample[] {
		this.advanceToNow();
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
		return relativeSpeed(this.interferenceTable, task.payload.kind, neighbours, this.capacity.processorsMilli);
	}

	private speedOf(task: RunnerTask): number {
		return this.relativeSpeedOf(task) * task.processorsShareMilli * this.speedMilli / 1_000_000;
	}

	private nextEnd(): {task: RunnerTask; atMs: number; phase: EndedPhase; reason: string} | undefined {
		let next: {task: RunnerTask; atMs: number; phase: EndedPhase; reason: string} | undefined;
		for (const task of this.running) {
			const {workMs, failure} = task.payload;
			const targetWorkMs = workMs === undefined ? Number.POSITIVE_INFINITY : (failure === undefined ? workMs : workMs / 2);
			const doneAtMs = this.advancedToMs + (Math.max(0, targetWorkMs - task.workDoneMs) / this.speedOf(task));
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
		const elapsedMs = Math.max(0, untilMs - this.advancedToMs);
		// All speeds are computed before any work is added, since each depends on the other running tasks.
		const progress = this.running.map(task => ({task, workMs: elapsedMs * this.speedOf(task)}));
		for (const {task, workMs} of progress) {
			task.workDoneMs = Math.min(task.payload.workMs ?? Number.POSITIVE_INFINITY, task.workDoneMs + workMs);
		}

		this.advancedToMs = Math.max(this.advancedToMs, untilMs);
	}

	private recordEnd(task: RunnerTask, phase: EndedPhase, reason: string, atMs: number): void {
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
				this.advanceToNow();
				this.schedule();
			}, Math.min(2_147_483_647, Math.max(0, Math.ceil(next.atMs - this.nowMs()))));
		}
	}
}
