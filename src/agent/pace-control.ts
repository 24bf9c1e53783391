import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';
import {nextFillingRoomMilli, type FillingSupply} from './filling-room.js';
import {
	learnPress, noPressEstimates, ownSlackOf, type PressEstimates, pressOf, type ServingSample,
} from './press-estimates.js';

/** Share of its processors of a task that is not slowed. */
export const fullPaceMilli = 1000;

/** How the tasks that fill idle processors are slowed for the tasks that serve users on the VM. */
export type PaceControl = Readonly<{
	/** Share at which the filling tasks of an image work, in thousandths. */
	shareByImage: ImmutableMap<string, number>;
	press: PressEstimates;
	/** Processors that one task of an image uses at full pace. */
	useByImage: ImmutableMap<string, number>;
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
export const restingPace: PaceControl = {
	shareByImage: immutableMap(), press: noPressEstimates, useByImage: immutableMap(), beyondSinceMs: undefined, learnedAtMs: Number.NEGATIVE_INFINITY, slowSinceMs: immutableMap(), fillingRoomMilli: undefined,
};

/** A filling task that runs, with the share it was told, the processors that it used of late, and those that it may use at that share. */
export type FillingSample = Readonly<{image: string; paceMilli: number; processors: number; wanted: number}>;

/** What the worker measured: the slack of serving tasks, and the processors that filling tasks use. */
export type PaceMeasure = Readonly<{serving: readonly ServingSample[]; filling: readonly FillingSample[]}>;

/** What runs on the VM now, measured or not. */
export type PacedTasks = Readonly<{
	serving: ReadonlyArray<Readonly<{taskId: string; image: string}>>;
	/** Number of filling tasks by image. */
	fillingCounts: ReadonlyMap<string, number>;
}>;

/** The worker measures over half a second; a sooner look shows mostly the same. */
const measureIntervalMs = 450;

/** Slack that a serving task keeps: its target, and what its load may grow by until the next measure acts. */
const keptSlack = 1.25;

/** Slack that filling work may take of a task that has none to spare, so that harmless images are not stopped by its own peaks. */
const toleratedSlack = 0.1;

/** A serving task that has been beyond its target for this long gets all its slack back: its tail must be back in four seconds. */
const tolerantForMs = 1500;

/** Standard errors by which a press is taken to be larger than estimated. */
const cautionDeviations = 0.75;

/** Processors that a task uses at full pace, before its image was measured. */
const unknownUse = 2;

/** Weight of the newest measure of an image's use. */
const useWeight = 0.3;

/** Shares below this say nothing about the use at full pace. */
const leastMeasuredShareMilli = 200;

/** Shares are told in steps of this size. */
const shareStepMilli = 50;

/** Largest step up: a factor, and an amount for images that are nearly stopped. */
const increase = 2;
const increaseMilli = 100;

/** Images below this share for this long should run on another VM. */
const tooSlowShareMilli = 300;
const tooSlowAfterMs = 1500;

/**
Tells the share at which the filling tasks of an image work, in thousandths.

@example
shareOf(restingPace, 'stress-run'); // => 1000
*/
export function shareOf({shareByImage}: PaceControl, image: string): number {
	return shareByImage.get(image) ?? fullPaceMilli;
}

/**
Learns from a measure and plans the shares anew; a look that comes too early for a new measure changes nothing.

@example
const next = stepPace(restingPace, measure, {serving: [{taskId: 't1', image: 'order-lookup'}], fillingCounts: new Map([['stress-run', 2]])}, 5000);
shareOf(next, 'stress-run'); // => 100
*/
export function stepPace(pace: PaceControl, measure: PaceMeasure, tasks: PacedTasks, nowMs: number): PaceControl {
	if (nowMs - pace.learnedAtMs < measureIntervalMs) {
		return pace;
	}

	const use = new Map<string, number>();
	for (const {image, processors} of measure.filling) {
		use.set(image, (use.get(image) ?? 0) + processors);
	}

	const isBeyond = measure.serving.some(({slack}) => slack < 1);
	const learned: PaceControl = {
		...pace,
		beyondSinceMs: isBeyond ? pace.beyondSinceMs ?? nowMs : undefined,
		press: learnPress(pace.press, measure.serving, use),
		useByImage: learnUse(pace.useByImage, measure.filling),
		learnedAtMs: nowMs,
		fillingRoomMilli: nextFillingRoomMilli(pace.fillingRoomMilli, supplyOf(measure.filling)),
	};
	return noteSlowImages(planShares(learned, tasks, {mayRise: true}), tasks, nowMs);
}

/**
Plans the shares for the tasks that run now. The images that press least on the serving tasks get their share first, up to the slack
that these can spare; the others share what is left of it.

@example
const next = planShares(pace, {serving: [{taskId: 't1', image: 'order-lookup'}], fillingCounts: new Map([['stress-run', 3]])}, {mayRise: false});
*/
export function planShares(
	pace: PaceControl,
	{serving, fillingCounts}: PacedTasks,
	{mayRise}: Readonly<{mayRise: boolean}>,
): PaceControl {
	const tolerated = pace.beyondSinceMs !== undefined && pace.learnedAtMs - pace.beyondSinceMs >= tolerantForMs ? 0 : toleratedSlack;
	const slacks = new Map(serving.map(({taskId}) => [taskId, tolerated + Math.max(0, ownSlackOf(pace.press, taskId) - keptSlack)]));
	const pressing = [...fillingCounts].map(([image, count]) => {
		const processors = count * (pace.useByImage.get(image) ?? unknownUse);
		const losses = serving.map(task => ({taskId: task.taskId, loss: processors * cautiousPressOf(pace.press, task.image, image)}));
		return {image, losses, worstLoss: Math.max(0, ...losses.map(({loss}) => loss))};
	}).toSorted((left, right) => left.worstLoss - right.worstLoss);
	const shares = new Map<string, number>();
	for (const {image, losses} of pressing) {
		const before = pace.shareByImage.get(image);
		const allowed = Math.min(fullPaceMilli, ...losses.map(({taskId, loss}) => fullPaceMilli * slacks.get(taskId)! / Math.max(1e-6, loss)));
		const reachable = before === undefined ? fullPaceMilli : (mayRise ? (increase * before) + increaseMilli : before);
		const shareMilli = Math.floor(Math.min(allowed, reachable) / shareStepMilli) * shareStepMilli;
		for (const {taskId, loss} of losses) {
			slacks.set(taskId, Math.max(0, slacks.get(taskId)! - (loss * shareMilli / fullPaceMilli)));
		}

		shares.set(image, shareMilli);
	}

	return {...pace, shareByImage: immutableMap(shares)};
}

/**
Lists the images that have been too slow for too long to finish on this VM.

@example
hopelessImages(pace, nowMs); // => ['stress-run']
*/
export function hopelessImages({slowSinceMs}: PaceControl, nowMs: number): readonly string[] {
	return [...slowSinceMs].filter(([, sinceMs]) => nowMs - sinceMs >= tooSlowAfterMs).map(([image]) => image);
}

function cautiousPressOf(press: PressEstimates, servingImage: string, fillingImage: string): number {
	const {mean, variance} = pressOf(press, servingImage, fillingImage);
	return mean + (cautionDeviations * Math.sqrt(variance));
}

function learnUse(useByImage: PaceControl['useByImage'], filling: readonly FillingSample[]): PaceControl['useByImage'] {
	return useByImage.withMutations(uses => {
		for (const {image, paceMilli, processors} of filling) {
			if (paceMilli >= leastMeasuredShareMilli && processors > 0) {
				const atFullPace = processors * fullPaceMilli / paceMilli;
				const before = uses.get(image) ?? unknownUse;
				uses.set(image, before + (useWeight * (atFullPace - before)));
			}
		}
	});
}

function supplyOf(filling: readonly FillingSample[]): FillingSupply {
	let used = 0;
	let wanted = 0;
	// A task that has just started uses nothing yet.
	for (const sample of filling.filter(({processors}) => processors > 0)) {
		used += sample.processors;
		wanted += sample.wanted;
	}

	return {used, wanted};
}

function noteSlowImages(pace: PaceControl, {fillingCounts}: PacedTasks, nowMs: number): PaceControl {
	const slow = [...fillingCounts.keys()].filter(image => shareOf(pace, image) < tooSlowShareMilli);
	return {...pace, slowSinceMs: immutableMap(slow.map(image => [image, pace.slowSinceMs.get(image) ?? nowMs]))};
}
