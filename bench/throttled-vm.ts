import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';
import {
	type FillingSample, fullProcessorShareMilli, maxRelocatedAttempts, imagesToMove, type FillingThrottle, type ThrottledTasks, planFillingShares, initialFillingThrottle, fillingShareMilliOf, updateFillingThrottle,
} from '../src/agent/filling-throttle.js';
import {
	changedLatencyImpacts, mergeLatencyImpacts, type PressReport, type ServingSample,
} from '../src/agent/latency-impact-estimates.js';
import {type JobKind} from './filling-site.js';

/** A task that runs on a VM. */
export type RunningTask = {
	readonly taskId: string;
	readonly jobId: string;
	readonly attempt: number;
	readonly kind: JobKind;
	readonly image: string;
	/** What it commits, or wants at full pace, in whole processors. */
	readonly processors: number;
	readonly runTimeMs: number;
	readonly startedAtMs: number;
	/** Work done in milliseconds at full speed. */
	doneMs: number;
	paceMilli: number;
	/** Processors that it uses now, and the sum of processors and milliseconds since the last measure. */
	usedProcessors: number;
	windowProcessorMs: number;
};

/** The agent's part of a VM: it learns from measures, paces filling tasks and reports what it learned. */
export class ThrottledVm {
	public readonly tasks = new Map<string, RunningTask>();
	private pace: FillingThrottle = initialFillingThrottle;
	private reported: ImmutableMap<string, number> = immutableMap();

	private readonly vmProcessors: number;

	public constructor(vmProcessors: number) {
		this.vmProcessors = vmProcessors;
	}

	/** Takes a task on, with what the entry knows of the pairs of images that it makes with its neighbours. */
	public start(task: RunningTask, presses: readonly PressReport[]): void {
		this.tasks.set(task.taskId, task);
		this.pace = {...this.pace, press: mergeLatencyImpacts(this.pace.press, presses)};
		this.pace = planFillingShares(this.pace, this.pacedTasks(), {mayRise: false});
		this.applyPace();
	}

	/** Learns from a measure of the last window and returns the task that should run elsewhere. */
	public measure(serving: readonly ServingSample[], {nowMs, windowMs}: Readonly<{nowMs: number; windowMs: number}>): RunningTask | undefined {
		const filling = [...this.tasks.values()].filter(({kind}) => kind === 'filling');
		const used = filling.map(({image, processors, paceMilli, windowProcessorMs, startedAtMs}): FillingSample => ({
			image, processors: windowProcessorMs / windowMs, wanted: processors * paceMilli / fullProcessorShareMilli, isSettled: nowMs - startedAtMs >= 2 * windowMs,
		}));
		this.pace = updateFillingThrottle(this.pace, {serving, filling: used}, this.pacedTasks(), nowMs);
		this.applyPace();
		const stalled = new Set(imagesToMove(this.pace, nowMs));
		return filling.find(({image, attempt}) => stalled.has(image) && attempt <= maxRelocatedAttempts);
	}

	/** Reports what changed in the estimates since the last heartbeat, and the room for filling work. */
	public heartbeat(): Readonly<{presses: readonly PressReport[]; fillingRoomMilli: number | undefined}> {
		const {reports, reported} = changedLatencyImpacts(this.pace.press, this.reported);
		this.reported = reported;
		return {presses: reports, fillingRoomMilli: this.pace.fillingRoomMilli};
	}

	private pacedTasks(): ThrottledTasks {
		const demandCoresByImage = new Map<string, number>();
		const serving: Array<ThrottledTasks['serving'][number]> = [];
		for (const {kind, taskId, image, processors} of this.tasks.values()) {
			if (kind === 'serving') {
				serving.push({taskId, image});
			} else if (kind === 'filling') {
				demandCoresByImage.set(image, (demandCoresByImage.get(image) ?? 0) + processors);
			}
		}

		return {serving, demandCoresByImage, vmProcessors: this.vmProcessors};
	}

	private applyPace(): void {
		for (const task of this.tasks.values()) {
			task.paceMilli = task.kind === 'filling' ? fillingShareMilliOf(this.pace, task.image) : fullProcessorShareMilli;
		}
	}
}
