import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';
import {
	type FillingUse, learnPress, noPressEstimates, type PressEstimates, pressOf, type ServingSample,
} from './press-estimates.js';

/** Share of its processors of a task that is not slowed. */
export const fullPaceMilli = 1000;

/** How the tasks that fill idle processors are slowed for the tasks that serve users on the VM. */
export type PaceControl = Readonly<{
	/** Share at which the filling tasks of an image work, in thousandths. */
	shareByImage: ImmutableMap<string, number>;
	/** Share of an image that has none of its own. */
	defaultShareMilli: number;
	press: PressEstimates;
	/** Since when a serving task has been close to its target or beyond it. */
	beyondSinceMs: number | undefined;
	/** No step before this time: the measures do not show the effect of the last one yet. */
	waitUntilMs: number;
}>;

/** Nothing is slowed. */
export const restingPace: PaceControl = {
	shareByImage: immutableMap(), defaultShareMilli: fullPaceMilli, press: noPressEstimates, beyondSinceMs: undefined, waitUntilMs: 0,
};

/** Pace of an agent that finds tasks running: full pace beside serving tasks that it has not measured would harm them. */
export const cautiousPace: PaceControl = {...restingPace, defaultShareMilli: 300};

/** What the worker measured: serving tasks, and the processors that the filling tasks of each image use. */
export type PaceMeasure = Readonly<{serving: readonly ServingSample[]; filling: FillingUse}>;

/** The measure covers half a second, and a new pace takes a tenth of one to act. */
const settleMs = 600;

/** Part of the target above which the tail is too close to it. */
const highTailShare = 0.9;

/** Part of the target that a step down aims at. */
const aimedTailShare = 0.7;

/** Part of the target up to which images that are known to press little are given more. */
const fullTailShare = 0.85;

/** Part of the target below which every image is given more, so that an estimate that is too high is corrected. */
const lowTailShare = 0.7;

/** Factors of the weakest and the strongest step down of an image that is blamed. */
const gentleDecrease = 0.7;
const strongestDecrease = 0.1;

/** Factor of the strongest step down of all images, when the estimates do not explain the tail. */
const strongestCommonDecrease = 0.25;

/** Time that the estimates get to bring a tail back; then everything is slowed. The tail must be back in four seconds. */
const blameMs = 1300;

/** Factor and least amount of a step up, and of one that only tries an image that is known to press. */
const increase = 2;
const leastIncreaseMilli = 40;
const trialIncrease = 1.15;
const leastTrialIncreaseMilli = 10;

/** Shares below this stop the filling work: it would cost memory and bring nothing. */
const leastShareMilli = 20;

/**
Tells the share at which the filling tasks of an image work, in thousandths.

@example
shareOf(restingPace, 'stress-run'); // => 1000
*/
export function shareOf({shareByImage, defaultShareMilli}: PaceControl, image: string): number {
	return shareByImage.get(image) ?? defaultShareMilli;
}

/**
Learns from a measure and takes one step. While a serving task is close to its target, the images that press most on it are
slowed until the estimates say that it is well within; what the estimates do not explain, or do not mend soon, slows all. While
there is room, the images that press least get their share back first.

@example
const next = stepPace(restingPace, {serving: [{taskId: 't1', image: 'order-lookup', tailShare: 2.2}], filling: new Map([['stress-run', 4]])}, 5000);
shareOf(next, 'stress-run'); // => 100
*/
export function stepPace(pace: PaceControl, measure: PaceMeasure, nowMs: number): PaceControl {
	const learned: PaceControl = {...pace, press: learnPress(pace.press, measure.serving, measure.filling)};
	if (nowMs < pace.waitUntilMs) {
		return learned;
	}

	const worstShare = Math.max(0, ...measure.serving.map(({tailShare}) => tailShare));
	if (worstShare <= highTailShare) {
		return speedUp({...learned, beyondSinceMs: undefined}, measure, {worstShare, nowMs});
	}

	const beyondSinceMs = pace.beyondSinceMs ?? nowMs;
	return slowDown({...learned, beyondSinceMs}, measure, {worstShare, nowMs, mayBlame: nowMs - beyondSinceMs < blameMs});
}

function withShares(pace: PaceControl, shares: ReadonlyMap<string, number>, nowMs: number): PaceControl {
	// An image that no task runs any more starts anew with the share that is left to unknown ones.
	return {...pace, shareByImage: immutableMap(shares), waitUntilMs: nowMs + settleMs};
}

function slowDown(
	pace: PaceControl,
	{serving, filling}: PaceMeasure,
	{worstShare, nowMs, mayBlame}: Readonly<{worstShare: number; nowMs: number; mayBlame: boolean}>,
): PaceControl {
	const factors = new Map<string, number>();
	let commonFactor = mayBlame ? 1 : strongestCommonDecrease;
	for (const sample of serving.filter(({tailShare}) => mayBlame && tailShare > highTailShare)) {
		let excess = sample.tailShare - aimedTailShare;
		const parts = [...filling]
			.map(([image, processors]) => ({image, part: processors * pressOf(pace.press, sample.image, image)}))
			.toSorted((left, right) => right.part - left.part);
		for (const {image, part} of parts) {
			if (excess <= 0 || part <= 0) {
				break;
			}

			const kept = Math.max(strongestDecrease, Math.min(gentleDecrease, 1 - (excess / part)));
			factors.set(image, Math.min(factors.get(image) ?? 1, kept));
			excess -= part * (1 - kept);
		}

		if (excess > 0) {
			commonFactor = Math.min(commonFactor, Math.max(strongestCommonDecrease, Math.min(gentleDecrease, aimedTailShare / worstShare)));
		}
	}

	const shares = new Map([...filling.keys()].map(image => {
		const shareMilli = Math.floor(shareOf(pace, image) * Math.min(commonFactor, factors.get(image) ?? 1));
		return [image, shareMilli < leastShareMilli ? 0 : shareMilli];
	}));
	return withShares({...pace, defaultShareMilli: Math.max(leastShareMilli, Math.floor(pace.defaultShareMilli * commonFactor))}, shares, nowMs);
}

function speedUp(
	pace: PaceControl,
	{serving, filling}: PaceMeasure,
	{worstShare, nowMs}: Readonly<{worstShare: number; nowMs: number}>,
): PaceControl {
	const room = new Map(serving.map(({taskId, tailShare}) => [taskId, fullTailShare - tailShare]));
	const pressing = [...filling]
		.map(([image, processors]) => ({image, processors, press: Math.max(0, ...serving.map(sample => pressOf(pace.press, sample.image, image)))}))
		.toSorted((left, right) => left.press - right.press);
	const shares = new Map<string, number>();
	let isChanged = false;
	for (const {image, processors} of pressing) {
		const shareMilli = shareOf(pace, image);
		const wanted = Math.min(fullPaceMilli, (increase * shareMilli) + leastIncreaseMilli);
		// At a share of 0 nothing is measured; one processor is what a task uses at least.
		const perMilli = shareMilli === 0 ? 1 / fullPaceMilli : processors / shareMilli;
		const allowed = Math.min(...serving.map(({taskId, image: servingImage}) =>
			shareMilli + (Math.max(0, room.get(taskId)!) / Math.max(1e-6, perMilli * pressOf(pace.press, servingImage, image)))));
		const tried = worstShare < lowTailShare ? Math.min(fullPaceMilli, (trialIncrease * shareMilli) + leastTrialIncreaseMilli) : shareMilli;
		const nextMilli = Math.floor(Math.max(tried, Math.min(wanted, allowed)));
		for (const {taskId, image: servingImage} of serving) {
			room.set(taskId, room.get(taskId)! - ((nextMilli - shareMilli) * perMilli * pressOf(pace.press, servingImage, image)));
		}

		isChanged ||= nextMilli !== shareMilli;
		shares.set(image, nextMilli);
	}

	const defaultShareMilli = worstShare < lowTailShare
		? Math.min(fullPaceMilli, Math.floor((increase * pace.defaultShareMilli) + leastIncreaseMilli))
		: pace.defaultShareMilli;
	return isChanged ? withShares({...pace, defaultShareMilli}, shares, nowMs) : {...pace, defaultShareMilli};
}
