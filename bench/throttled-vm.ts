import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';
import {
	type FillingSample, fullProcessorShareMilli, maxRelocatedAttempts, imagesToMove, type FillingThrottle, type ThrottledTasks,
	planFillingShares, initialFillingThrottle, fillingShareMilliOf, updateFillingThrottle,
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
	/** Cores that it commits, or its demand when unthrottled if it is a filling task. */
	readonly processors: number;
	readonly runTimeMs: number;
	readonly startedAtMs: number;
	/** Work done, in milliseconds at full speed. */
	doneMs: number;
	shareMilli: number;
	/** Cores that it uses now, and its use since the last measurement in core-milliseconds. */
	usedProcessors: number;
	windowProcessorMs: number;
};

/** The part of an agent that throttles filling tasks: updates the latency impacts from measurements and reports them. */
export class ThrottledVm {
	public readonly tasks = new Map<string, RunningTask>();
	private throttle: FillingThrottle = initialFillingThrottle;
	private reported: ImmutableMap<string, number> = immutableMap();

	private readonly vmProcessors: number;

	public constructor(vmProcessors: number) {
		this.vmProcessors = vmProcessors;
	}

	/** Starts a task, with the latency impacts that the entry has recorded for its image and the images of its neighbours. */
	public start(task: RunningTask, latencyImpacts: readonly PressReport[]): void {
		this.tasks.set(task.taskId, task);
		this.throttle = {...this.throttle, latencyImpacts: mergeLatencyImpacts(this.throttle.latencyImpacts, latencyImpacts)};
		this.throttle = planFillingShares(this.throttle, this.throttledTasks(), {mayRise: false});
		this.applyShares();
	}

	/** Updates the estimates from the measurement of the last window and returns the filling task that should move to another VM, if any. */
	public measure(serving: readonly ServingSample[], {nowMs, windowMs}: Readonly<{nowMs: number; windowMs: number}>): RunningTask | undefined {
		const filling = [...this.tasks.values()].filter(({kind}) => kind === 'filling');
		const used = filling.map(({image, processors, shareMilli, windowProcessorMs, startedAtMs}): FillingSample => ({
			image, processors: windowProcessorMs / windowMs, demandCores: processors * shareMilli / fullProcessorShareMilli, coversWholeWindow: nowMs - startedAtMs >= 2 * windowMs,
		}));
		this.throttle = updateFillingThrottle(this.throttle, {serving, filling: used}, this.throttledTasks(), nowMs);
		this.applyShares();
		const movableImages = new Set(imagesToMove(this.throttle, nowMs));
		return filling.find(({image, attempt}) => movableImages.has(image) && attempt <= maxRelocatedAttempts);
	}

	/** Returns the estimates that changed since the last heartbeat, and the processors available to filling tasks, in millicores. */
	public heartbeat(): Readonly<{changedImpacts: readonly PressReport[]; fillingRoomMilli: number | undefined; supplyReport: FillingThrottle['supplyReport']}> {
		const {reports, reported} = changedLatencyImpacts(this.throttle.latencyImpacts, this.reported);
		this.reported = reported;
		const {fillingRoomMilli, supplyReport} = this.throttle;
		return {changedImpacts: reports, fillingRoomMilli, supplyReport};
	}

	private throttledTasks(): ThrottledTasks {
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

	private applyShares(): void {
		for (const task of this.tasks.values()) {
			task.shareMilli = task.kind === 'filling' ? fillingShareMilliOf(this.throttle, task.image) : fullProcessorShareMilli;
		}
	}
}
