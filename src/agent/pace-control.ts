/** Share of its processors of a task that is not slowed. */
export const fullPaceMilli = 1000;

/** How the tasks that fill idle processors are slowed for the tasks that serve users on the VM. */
export type PaceControl = Readonly<{
	/** Share at which every filling task works, in thousandths. */
	shareMilli: number;
	/** No step before this time: the measures do not show the effect of the last one yet. */
	waitUntilMs: number;
}>;

/** Nothing is slowed. */
export const restingPace: PaceControl = {shareMilli: fullPaceMilli, waitUntilMs: 0};

/** Pace of an agent that finds tasks running: full pace beside serving tasks that it has not measured would harm them. */
export const cautiousPace: PaceControl = {shareMilli: 300, waitUntilMs: 0};

/** A serving task with the newest measure of the tail of its response times. */
export type ServingMeasure = Readonly<{latencyTailMs: number; latencyTargetMs: number}>;

/** The measure covers half a second, and a new pace takes a tenth of one to act. */
const settleMs = 600;

/** Part of the target above which the tail is too close to it. */
const highTailShare = 0.9;

/** Part of the target below which there is room for more filling work. */
const lowTailShare = 0.7;

/** Factor of the slowest step down; a tail far beyond its target takes a stronger one. */
const gentleDecrease = 0.7;

/** Factor of the strongest step down. The tail must be back within its target in four seconds, which are six steps. */
const strongestDecrease = 0.25;

/** Factor and least amount of a step up. */
const increase = 1.5;
const leastIncreaseMilli = 40;

/** Shares below this stop the filling work: it would cost memory and bring nothing. */
const leastShareMilli = 20;

/**
Takes one step: slows filling work in proportion to how far the worst serving task is beyond its target, and lets it recover
slowly once all of them are well within.

@example
stepPace(restingPace, [{latencyTailMs: 40, latencyTargetMs: 18}], 5000).shareMilli; // => 405
*/
export function stepPace(pace: PaceControl, serving: readonly ServingMeasure[], nowMs: number): PaceControl {
	if (nowMs < pace.waitUntilMs) {
		return pace;
	}

	const worstShare = Math.max(0, ...serving.map(({latencyTailMs, latencyTargetMs}) => latencyTailMs / latencyTargetMs));
	if (worstShare > highTailShare) {
		const factor = Math.max(strongestDecrease, Math.min(gentleDecrease, highTailShare / worstShare));
		const shareMilli = Math.floor(pace.shareMilli * factor);
		return {shareMilli: shareMilli < leastShareMilli ? 0 : shareMilli, waitUntilMs: nowMs + settleMs};
	}

	if (worstShare < lowTailShare && pace.shareMilli < fullPaceMilli) {
		return {
			shareMilli: Math.min(fullPaceMilli, Math.max(pace.shareMilli + leastIncreaseMilli, Math.floor(pace.shareMilli * increase))),
			waitUntilMs: nowMs + settleMs,
		};
	}

	return pace;
}
