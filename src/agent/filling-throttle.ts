import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';
import {nextFillingRoomMilli, type FillingSupply} from './filling-room.js';
import {fillingSupplyReportOf, type FillingSupplyReport} from './filling-supply-report.js';
import {
	type Estimate, isMeasured, updateLatencyImpacts, noLatencyImpactEstimates, baselineTargetRatioOf, type LatencyImpactEstimates, latencyImpactOf, type ServingSample,
} from './latency-impact-estimates.js';

/** Processor share of an unthrottled task, in thousandths. */
export const fullProcessorShareMilli = 1000;

/** State of the throttling of one VM's filling tasks, which protects the latency targets of its serving tasks. */
export type FillingThrottle = Readonly<{
	/** Processor share of the filling tasks of an image, in thousandths. */
	shareByImage: ImmutableMap<string, number>;
	/** Shares before the newest plan; a measurement window may still cover them. */
	previousShareByImage: ImmutableMap<string, number>;
	latencyImpacts: LatencyImpactEstimates;
	/** Since when a serving task has missed its latency target. */
	targetMissedSinceMs: number | undefined;
	/** When the estimates were last updated from a measurement. */
	updatedAtMs: number;
	/** Processors available to filling tasks, in thousandths; undefined while they were never short of them. */
	fillingRoomMilli: number | undefined;
	/** What the newest measurement says about the supply of the filling tasks; undefined without such tasks. */
	supplyReport: FillingSupplyReport | undefined;
	/** Since when each image has been too slow to finish on this VM. */
	slowSinceMs: ImmutableMap<string, number>;
}>;

/** Every filling task is unthrottled. */
export const initialFillingThrottle: FillingThrottle = {
	shareByImage: immutableMap(),
	previousShareByImage: immutableMap(),
	latencyImpacts: noLatencyImpactEstimates,
	targetMissedSinceMs: undefined,
	updatedAtMs: Number.NEGATIVE_INFINITY,
	fillingRoomMilli: undefined,
	supplyReport: undefined,
	slowSinceMs: immutableMap(),
};

/** A running filling task: the processors that it used in the measurement window, its demand at its processor share, and whether it ran for the whole window. */
export type FillingSample = Readonly<{image: string; processors: number; demandCores: number; coversWholeWindow: boolean}>;

/** One measurement of the worker: the target ratios of serving tasks, and the processors that filling tasks used. */
export type FillingMeasurement = Readonly<{serving: readonly ServingSample[]; filling: readonly FillingSample[]}>;

/** Serving and filling tasks that run on the VM now, measured or not. */
export type ThrottledTasks = Readonly<{
	serving: ReadonlyArray<Readonly<{taskId: string; image: string}>>;
	/** Demand of the filling tasks of each image at full share, in processors. */
	demandCoresByImage: ReadonlyMap<string, number>;
	/** Processors of the VM. */
	vmProcessors: number;
}>;

/** The worker measures over half a second; an earlier report covers mostly the same window. */
const measurementIntervalMs = 450;

/** Target ratio that a serving task retains: above 1, since its load may grow until the next measurement takes effect. */
const requiredTargetRatio = 1.15;

/** Impact budget of a serving task whose target ratio leaves none, so that its own load peaks do not stop harmless images. */
const minImpactBudget = 0.1;

/** After a target was missed for this long, the minimum impact budget is withdrawn: the tail must be within the target again after four seconds. */
const targetMissToleranceMs = 1500;

/** Standard errors that are added to an estimated latency impact as a safety margin. */
const safetyMarginDeviations = 0.5;

/** Tenths of the VM's processors that an image may use at first when it was never measured with one of the serving images. */
const initialUseVmTenths = 0.6;

/** Shares are rounded down to multiples of this. */
const shareStepMilli = 50;

/** Largest growth of a share in one plan: a factor, and an amount for images that are nearly stopped. */
const shareGrowthFactor = 2;
const shareGrowthMilli = 100;

/** An image whose allowed share is below the first value for the time of the second one should run on another VM. */
const minUsefulShareMilli = 300;
const relocationDelayMs = 1500;

/** A task is not relocated after more attempts than this: there may be no better VM. */
export const maxRelocatedAttempts = 3;

/**
Returns the processor share of the filling tasks of an image, in thousandths.

@example
fillingShareMilliOf(initialFillingThrottle, 'stress-run'); // => 1000
*/
export function fillingShareMilliOf({shareByImage}: FillingThrottle, image: string): number {
	return shareByImage.get(image) ?? fullProcessorShareMilli;
}

/**
Updates the estimates from a measurement and plans new shares. A measurement that comes too early after the one before changes nothing.

@example
const next = updateFillingThrottle(initialFillingThrottle, measurement, {serving: [{taskId: 't1', image: 'order-lookup'}], demandCoresByImage: new Map([['stress-run', 3.6]]), vmProcessors: 16}, 5000);
fillingShareMilliOf(next, 'stress-run'); // => 100
*/
export function updateFillingThrottle(throttle: FillingThrottle, measurement: FillingMeasurement, tasks: ThrottledTasks, nowMs: number): FillingThrottle {
	if (nowMs - throttle.updatedAtMs < measurementIntervalMs) {
		return throttle;
	}

	const use = new Map<string, number>();
	for (const {image, processors} of measurement.filling) {
		use.set(image, (use.get(image) ?? 0) + vmTenthsOf(processors, tasks));
	}

	const isTargetMissed = measurement.serving.some(({targetRatio}) => targetRatio < 1);
	const updated: FillingThrottle = {
		...throttle,
		targetMissedSinceMs: isTargetMissed ? throttle.targetMissedSinceMs ?? nowMs : undefined,
		latencyImpacts: updateLatencyImpacts(throttle.latencyImpacts, measurement.serving, use),
		updatedAtMs: nowMs,
		fillingRoomMilli: nextFillingRoomMilli(throttle.fillingRoomMilli, fillingSupplyOf(throttle, measurement.filling)),
		previousShareByImage: throttle.shareByImage,
	};
	const planned = planFillingShares(updated, tasks, {mayRise: true});
	const supplyReport = fillingSupplyReportOf({
		supply: fillingSupplyOf(throttle, measurement.filling),
		serving: measurement.serving,
		demandCoresByImage: tasks.demandCoresByImage,
		shareMilliOf: image => fillingShareMilliOf(planned, image),
		baselineTargetRatioOf: taskId => baselineTargetRatioOf(planned.latencyImpacts, taskId),
	});
	return recordSlowImages({...planned, supplyReport}, tasks, nowMs);
}

/**
Plans the shares for the tasks that run now. The images with the least latency impact get their share first, up to the impact budgets
of the serving tasks; the other images get what is left of the budgets.

@param options `mayRise` allows higher shares than before; it is set when the plan follows a new measurement.

@example
const next = planFillingShares(throttle, {serving: [{taskId: 't1', image: 'order-lookup'}], demandCoresByImage: new Map([['stress-run', 3.6]]), vmProcessors: 16}, {mayRise: false});
*/
export function planFillingShares(throttle: FillingThrottle, tasks: ThrottledTasks, {mayRise}: Readonly<{mayRise: boolean}>): FillingThrottle {
	const shares = allowedShares(throttle, tasks, safetyMarginDeviations).map(([image, allowedMilli]): [string, number] => {
		const before = throttle.shareByImage.get(image);
		const growthLimitMilli = before === undefined ? firstShareMilli(throttle, tasks, image) : (mayRise ? (shareGrowthFactor * before) + shareGrowthMilli : before);
		return [image, Math.floor(Math.min(allowedMilli, growthLimitMilli) / shareStepMilli) * shareStepMilli];
	});
	return {...throttle, shareByImage: immutableMap(shares)};
}

/** Returns the shares within the impact budgets, images of least impact first, with each impact taken as `deviations` standard errors larger than estimated. */
function allowedShares(throttle: FillingThrottle, tasks: ThrottledTasks, deviations: number): ReadonlyArray<readonly [string, number]> {
	const minBudget = throttle.targetMissedSinceMs !== undefined && throttle.updatedAtMs - throttle.targetMissedSinceMs >= targetMissToleranceMs ? 0 : minImpactBudget;
	const budgets = new Map(tasks.serving.map(({taskId}) => [taskId, minBudget + Math.max(0, baselineTargetRatioOf(throttle.latencyImpacts, taskId) - requiredTargetRatio)]));
	const imagesByWorstImpact = [...tasks.demandCoresByImage].map(([image, processors]) => {
		const impacts = tasks.serving.map(task => ({taskId: task.taskId, impact: vmTenthsOf(processors, tasks) * upperBoundOf(latencyImpactOf(throttle.latencyImpacts, task.image, image), deviations)}));
		return {image, impacts, worstImpact: Math.max(0, ...impacts.map(({impact}) => impact))};
	}).toSorted((left, right) => left.worstImpact - right.worstImpact);
	return imagesByWorstImpact.map(({image, impacts}) => {
		const allowedMilli = Math.min(fullProcessorShareMilli, ...impacts.map(({taskId, impact}) => fullProcessorShareMilli * budgets.get(taskId)! / Math.max(1e-6, impact)));
		for (const {taskId, impact} of impacts) {
			budgets.set(taskId, Math.max(0, budgets.get(taskId)! - (impact * allowedMilli / fullProcessorShareMilli)));
		}

		return [image, allowedMilli];
	});
}

/**
Returns the images that have been too slow for too long to finish on this VM.

@example
imagesToMove(throttle, nowMs); // => ['stress-run']
*/
export function imagesToMove({slowSinceMs}: FillingThrottle, nowMs: number): readonly string[] {
	return [...slowSinceMs].filter(([, sinceMs]) => nowMs - sinceMs >= relocationDelayMs).map(([image]) => image);
}

/** Returns the first share of an image: low when it was never measured with one of the serving images, since a tail that has grown takes a second or two to fall. */
function firstShareMilli({latencyImpacts}: FillingThrottle, tasks: ThrottledTasks, image: string): number {
	const isMeasuredForAll = tasks.serving.every(serving => isMeasured(latencyImpactOf(latencyImpacts, serving.image, image)));
	return isMeasuredForAll ? fullProcessorShareMilli : fullProcessorShareMilli * initialUseVmTenths / vmTenthsOf(tasks.demandCoresByImage.get(image) ?? 0, tasks);
}

function upperBoundOf({mean, variance}: Estimate, deviations: number): number {
	return mean + (deviations * Math.sqrt(variance));
}

function vmTenthsOf(processors: number, {vmProcessors}: ThrottledTasks): number {
	return 10 * processors / Math.max(1, vmProcessors);
}

function fillingSupplyOf(throttle: FillingThrottle, filling: readonly FillingSample[]): FillingSupply {
	let usedCores = 0;
	let demandCores = 0;
	for (const sample of filling.filter(({coversWholeWindow}) => coversWholeWindow)) {
		const shareMilli = fillingShareMilliOf(throttle, sample.image);
		const previousMilli = throttle.previousShareByImage.get(sample.image) ?? shareMilli;
		usedCores += sample.processors;
		demandCores += sample.demandCores * (previousMilli < shareMilli ? previousMilli / shareMilli : 1);
	}

	return {usedCores, demandCores};
}

/** Records which images are too slow without the safety margin: the margin of unmeasured pairs shrinks as they are measured, so it is no reason to relocate. */
function recordSlowImages(throttle: FillingThrottle, tasks: ThrottledTasks, nowMs: number): FillingThrottle {
	const slow = allowedShares(throttle, tasks, 0).filter(([, allowedMilli]) => allowedMilli < minUsefulShareMilli);
	return {...throttle, slowSinceMs: immutableMap(slow.map(([image]) => [image, throttle.slowSinceMs.get(image) ?? nowMs]))};
}
