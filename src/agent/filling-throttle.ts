import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';
import {nextFillingRoomMilli, type FillingSupply} from './filling-room.js';
import {
	type Estimate, isMeasured, updateLatencyImpacts, noLatencyImpactEstimates, baselineTargetRatioOf, type LatencyImpactEstimates, latencyImpactOf, type ServingSample,
} from './latency-impact-estimates.js';

/** Share of its processors of a task that is not slowed. */
export const fullProcessorShareMilli = 1000;

/** How the tasks that fill idle processors are slowed for the tasks that serve users on the VM. */
export type FillingThrottle = Readonly<{
	/** Share at which the filling tasks of an image work, in thousandths. */
	shareByImage: ImmutableMap<string, number>;
	/** The shares before the newest plan, which may still show in a measure. */
	formerShareByImage: ImmutableMap<string, number>;
	press: LatencyImpactEstimates;
	/** Since when a serving task has been beyond its target. */
	beyondSinceMs: number | undefined;
	/** When the newest measure was learned from. */
	learnedAtMs: number;
	/** Processors that filling work can get, in thousandths; undefined while it was never short of them. */
	fillingRoomMilli: number | undefined;
	/** Since when each image has been too slow to finish here. */
	slowSinceMs: ImmutableMap<string, number>;
}>;

/** Nothing is slowed. */
export const initialFillingThrottle: FillingThrottle = {
	shareByImage: immutableMap(),
	formerShareByImage: immutableMap(),
	press: noLatencyImpactEstimates,
	beyondSinceMs: undefined,
	learnedAtMs: Number.NEGATIVE_INFINITY,
	fillingRoomMilli: undefined,
	slowSinceMs: immutableMap(),
};

/** A filling task that runs, with the processors that it used of late, those that it may use at the share that it was told, and whether it ran for the whole window of the measure. */
export type FillingSample = Readonly<{image: string; processors: number; wanted: number; isSettled: boolean}>;

/** What the worker measured: the slack of serving tasks, and the processors that filling tasks use. */
export type FillingMeasurement = Readonly<{serving: readonly ServingSample[]; filling: readonly FillingSample[]}>;

/** What runs on the VM now, measured or not. */
export type ThrottledTasks = Readonly<{
	serving: ReadonlyArray<Readonly<{taskId: string; image: string}>>;
	/** Processors that the filling tasks of each image may use at full pace. */
	demandCoresByImage: ReadonlyMap<string, number>;
	/** Processors of the VM. */
	vmProcessors: number;
}>;

/** The worker measures over half a second; a sooner look shows mostly the same. */
const measureIntervalMs = 450;

/** Slack that a serving task keeps: its target, and what its load may grow by until the next measure acts. */
const keptSlack = 1.15;

/** Slack that filling work may take of a task that has none to spare, so that harmless images are not stopped by its own peaks. */
const toleratedSlack = 0.1;

/** A serving task that has been beyond its target for this long gets all its slack back: its tail must be back in four seconds. */
const tolerantForMs = 1500;

/** Standard errors by which a press is taken to be larger than estimated. */
const cautionDeviations = 0.5;

/** Tenths of the VM's processors that an image starts with beside a serving image with which it was never measured. */
const probeTenths = 0.6;

/** Shares are told in steps of this size. */
const shareStepMilli = 50;

/** Largest step up: a factor, and an amount for images that are nearly stopped. */
const increase = 2;
const increaseMilli = 100;

/** Images below this share for this long should run on another VM. */
const tooSlowShareMilli = 300;
const tooSlowAfterMs = 1500;

/** Attempts after which a task stays where it is: no VM may be better. */
export const maxRelocatedAttempts = 3;

/**
Tells the share at which the filling tasks of an image work, in thousandths.

@example
fillingShareMilliOf(initialFillingThrottle, 'stress-run'); // => 1000
*/
export function fillingShareMilliOf({shareByImage}: FillingThrottle, image: string): number {
	return shareByImage.get(image) ?? fullProcessorShareMilli;
}

/**
Learns from a measure and plans the shares anew; a look that comes too early for a new measure changes nothing.

@example
const next = updateFillingThrottle(initialFillingThrottle, measure, {serving: [{taskId: 't1', image: 'order-lookup'}], demandCoresByImage: new Map([['stress-run', 3.6]]), vmProcessors: 16}, 5000);
fillingShareMilliOf(next, 'stress-run'); // => 100
*/
export function updateFillingThrottle(pace: FillingThrottle, measure: FillingMeasurement, tasks: ThrottledTasks, nowMs: number): FillingThrottle {
	if (nowMs - pace.learnedAtMs < measureIntervalMs) {
		return pace;
	}

	const use = new Map<string, number>();
	for (const {image, processors} of measure.filling) {
		use.set(image, (use.get(image) ?? 0) + tenthsOf(processors, tasks));
	}

	const isBeyond = measure.serving.some(({targetRatio}) => targetRatio < 1);
	const learned: FillingThrottle = {
		...pace,
		beyondSinceMs: isBeyond ? pace.beyondSinceMs ?? nowMs : undefined,
		press: updateLatencyImpacts(pace.press, measure.serving, use),
		learnedAtMs: nowMs,
		fillingRoomMilli: nextFillingRoomMilli(pace.fillingRoomMilli, supplyOf(pace, measure.filling)),
		formerShareByImage: pace.shareByImage,
	};
	return noteSlowImages(planFillingShares(learned, tasks, {mayRise: true}), tasks, nowMs);
}

/**
Plans the shares for the tasks that run now. The images that press least on the serving tasks get their share first, up to the slack
that these can spare; the others share what is left of it.

@example
const next = planFillingShares(pace, {serving: [{taskId: 't1', image: 'order-lookup'}], demandCoresByImage: new Map([['stress-run', 3.6]]), vmProcessors: 16}, {mayRise: false});
*/
export function planFillingShares(pace: FillingThrottle, tasks: ThrottledTasks, {mayRise}: Readonly<{mayRise: boolean}>): FillingThrottle {
	const shares = allowedShares(pace, tasks, cautionDeviations).map(([image, allowedMilli]): [string, number] => {
		const before = pace.shareByImage.get(image);
		const reachableMilli = before === undefined ? firstShareMilli(pace, tasks, image) : (mayRise ? (increase * before) + increaseMilli : before);
		return [image, Math.floor(Math.min(allowedMilli, reachableMilli) / shareStepMilli) * shareStepMilli];
	});
	return {...pace, shareByImage: immutableMap(shares)};
}

/** The shares that the serving tasks can bear, the images first that press least, when each press is `deviations` standard errors larger than estimated. */
function allowedShares(pace: FillingThrottle, tasks: ThrottledTasks, deviations: number): ReadonlyArray<readonly [string, number]> {
	const tolerated = pace.beyondSinceMs !== undefined && pace.learnedAtMs - pace.beyondSinceMs >= tolerantForMs ? 0 : toleratedSlack;
	const slacks = new Map(tasks.serving.map(({taskId}) => [taskId, tolerated + Math.max(0, baselineTargetRatioOf(pace.press, taskId) - keptSlack)]));
	const pressing = [...tasks.demandCoresByImage].map(([image, processors]) => {
		const losses = tasks.serving.map(task => ({taskId: task.taskId, loss: tenthsOf(processors, tasks) * cautiousPressOf(latencyImpactOf(pace.press, task.image, image), deviations)}));
		return {image, losses, worstLoss: Math.max(0, ...losses.map(({loss}) => loss))};
	}).toSorted((left, right) => left.worstLoss - right.worstLoss);
	return pressing.map(({image, losses}) => {
		const allowedMilli = Math.min(fullProcessorShareMilli, ...losses.map(({taskId, loss}) => fullProcessorShareMilli * slacks.get(taskId)! / Math.max(1e-6, loss)));
		for (const {taskId, loss} of losses) {
			slacks.set(taskId, Math.max(0, slacks.get(taskId)! - (loss * allowedMilli / fullProcessorShareMilli)));
		}

		return [image, allowedMilli];
	});
}

/**
Lists the images that have been too slow for too long to finish on this VM.

@example
imagesToMove(pace, nowMs); // => ['stress-run']
*/
export function imagesToMove({slowSinceMs}: FillingThrottle, nowMs: number): readonly string[] {
	return [...slowSinceMs].filter(([, sinceMs]) => nowMs - sinceMs >= tooSlowAfterMs).map(([image]) => image);
}

/** The share at which an image starts: low beside serving images with which it was never measured, since a tail that has grown takes a second or two to fall. */
function firstShareMilli({press}: FillingThrottle, tasks: ThrottledTasks, image: string): number {
	const isKnown = tasks.serving.every(serving => isMeasured(latencyImpactOf(press, serving.image, image)));
	return isKnown ? fullProcessorShareMilli : fullProcessorShareMilli * probeTenths / tenthsOf(tasks.demandCoresByImage.get(image) ?? 0, tasks);
}

function cautiousPressOf({mean, variance}: Estimate, deviations: number): number {
	return mean + (deviations * Math.sqrt(variance));
}

function tenthsOf(processors: number, {vmProcessors}: ThrottledTasks): number {
	return 10 * processors / Math.max(1, vmProcessors);
}

function supplyOf(pace: FillingThrottle, filling: readonly FillingSample[]): FillingSupply {
	let used = 0;
	let wanted = 0;
	for (const sample of filling.filter(({isSettled}) => isSettled)) {
		const shareMilli = fillingShareMilliOf(pace, sample.image);
		const formerMilli = pace.formerShareByImage.get(sample.image) ?? shareMilli;
		used += sample.processors;
		wanted += sample.wanted * (formerMilli < shareMilli ? formerMilli / shareMilli : 1);
	}

	return {used, wanted};
}

/** Notes which images the serving tasks would keep too slow even if every press were as estimated: caution with unknown pairs passes. */
function noteSlowImages(pace: FillingThrottle, tasks: ThrottledTasks, nowMs: number): FillingThrottle {
	const slow = allowedShares(pace, tasks, 0).filter(([, allowedMilli]) => allowedMilli < tooSlowShareMilli);
	return {...pace, slowSinceMs: immutableMap(slow.map(([image]) => [image, pace.slowSinceMs.get(image) ?? nowMs]))};
}
