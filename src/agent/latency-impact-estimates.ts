import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';

/**
A serving task with the newest measure of its slack: how many times the tail of its response times fits into its target. A task
with a slack below 1 is beyond its target.
*/
export type ServingSample = Readonly<{taskId: string; image: string; targetRatio: number}>;

/** Tenths of the VM's processors that the filling tasks of each image used in the window of the measure. */
export type FillingUse = ReadonlyMap<string, number>;

/** A quantity with the square of its expected error. */
export type Estimate = Readonly<{mean: number; variance: number}>;

/**
What filling work does to serving tasks, learned from measures on one VM. Under queueing, the inverse of a tail falls in proportion
to the task's own load and to the processors that its neighbours use, whereas the tail itself grows without bound. So a slack is
modelled as the task's own part less a press for each tenth of the VM's processors that a neighbour's image uses. Pairs of images differ by more than
a factor of 50.
*/
export type LatencyImpactEstimates = Readonly<{
	/** Slack that a serving task has without neighbours, by task. */
	baselineTargetRatios: ImmutableMap<string, number>;
	/** Slack that a filling image takes from a serving image with each tenth of the VM's processors that it uses. */
	latencyImpactByPair: ImmutableMap<string, Estimate>;
	/** The measure before, by task and by filling image. */
	slackBefore: ReadonlyMap<string, number>;
	fillingBefore: FillingUse;
}>;

export const noLatencyImpactEstimates: LatencyImpactEstimates = {
	baselineTargetRatios: immutableMap(), latencyImpactByPair: immutableMap(), slackBefore: new Map(), fillingBefore: new Map(),
};

/** Press of a pair that was never measured. */
const unknownPress: Estimate = {mean: 0.1, variance: 0.15};

/** Own slack of a serving task before its first sample. */
const unknownOwnSlack = 1.8;

/** Weight of the newest measure of a task's own slack. */
const ownSlackWeight = 0.8;

/** Variance of the change of a task's own slack from one measure to the next: its load moves within seconds. */
const ownChangeVariance = 0.05;

/** Growth of a press's variance from one measure to the next, and the largest one. */
const pressDrift = 0.001;
const largestPressVariance = 0.15;

/** Part of a press by which it may always differ from its estimate: it varies within seconds, and falls with the processors used. */
const pressDeviationShare = 0.4;

/** Variance of a measured slack of 1, and its growth: tails come in whole milliseconds, so that short ones are rounded coarsely. */
const measureVariance = 0.005;
const roundingVariance = 0.002;

/** Below this slack the tail also shows requests that were queued earlier; such a measure only says that the press is at least so large. */
const settledSlack = 0.9;

/** Tails that fit into the target more often than this say no more. */
const largestSlack = 6;

/** A pair counts as measured once its variance is at most this part of that of an unknown pair. */
const measuredVarianceShare = 0.5;

/** Changes of an image's use below this many tenths of the VM are noise. */
const leastUseChange = 0.12;

/** Pairs kept on one VM; images come and go with jobs. */
const maxPairs = 2000;

/**
Tells how much slack a filling image is expected to take from a serving image with each tenth of the VM's processors.

@example
latencyImpactOf(estimates, 'order-lookup', 'stress-run'); // => {mean: 0.6, variance: 0.01}
*/
export function latencyImpactOf({latencyImpactByPair}: LatencyImpactEstimates, servingImage: string, fillingImage: string): Estimate {
	return latencyImpactByPair.get(pairKey(servingImage, fillingImage)) ?? unknownPress;
}

/**
Tells whether a pair's press rests on measures, of this process or of others.

@example
isMeasured({mean: 0.6, variance: 0.01}); // => true
*/
export function isMeasured({mean, variance}: Estimate): boolean {
	return variance <= Math.max(measuredVarianceShare * unknownPress.variance, (pressDeviationShare * mean) ** 2);
}

/**
Tells the slack that a serving task is expected to have without neighbours.

@example
baselineTargetRatioOf(estimates, 't1'); // => 2.4
*/
export function baselineTargetRatioOf({baselineTargetRatios: ownSlacks}: LatencyImpactEstimates, taskId: string): number {
	return ownSlacks.get(taskId) ?? unknownOwnSlack;
}

/**
Learns from one measure of the VM. What changed since the measure before tells the press from the task's own load, which moves
slowly: the change that the estimates do not explain is divided among the images whose use changed, in proportion to how uncertain
each press is, as in a Kalman filter that keeps no covariances.

@example
const next = updateLatencyImpacts(estimates, [{taskId: 't1', image: 'order-lookup', slack: 0.4}], new Map([['stress-run', 3.4]]));
*/
export function updateLatencyImpacts(estimates: LatencyImpactEstimates, serving: readonly ServingSample[], filling: FillingUse): LatencyImpactEstimates {
	const {slackBefore, fillingBefore} = estimates;
	const images = new Set([...filling.keys(), ...fillingBefore.keys()]);
	const changes = [...images]
		.map(image => ({image, change: (filling.get(image) ?? 0) - (fillingBefore.get(image) ?? 0)}))
		.filter(({change}) => Math.abs(change) >= leastUseChange);
	const slacks = new Map(serving.map(({taskId, targetRatio}) => [taskId, Math.min(largestSlack, targetRatio)]));
	const known = estimates.latencyImpactByPair.size > maxPairs ? immutableMap<string, Estimate>() : estimates.latencyImpactByPair;
	const latencyImpactByPair = known.withMutations(pairs => {
		for (const {taskId, image} of serving) {
			const slack = slacks.get(taskId)!;
			const before = slackBefore.get(taskId);
			if (before !== undefined && changes.length > 0) {
				learnFromChange(pairs, {image, slack, before}, changes);
			}
		}
	});
	const ownSlacks = new Map(serving.map(({taskId, image}) => {
		const alone = slacks.get(taskId)! + lossOf(latencyImpactByPair, image, filling);
		const before = estimates.baselineTargetRatios.get(taskId) ?? alone;
		return [taskId, before + (ownSlackWeight * (alone - before))];
	}));
	return {
		baselineTargetRatios: immutableMap(ownSlacks), latencyImpactByPair, slackBefore: slacks, fillingBefore: filling,
	};
}

function learnFromChange(
	pairs: ImmutableMap<string, Estimate>,
	{image, slack, before}: Readonly<{image: string; slack: number; before: number}>,
	changes: ReadonlyArray<Readonly<{image: string; change: number}>>,
): void {
	const parts = changes.map(({image: fillingImage, change}) => {
		const key = pairKey(image, fillingImage);
		const {mean, variance} = pairs.get(key) ?? unknownPress;
		return {
			key, change, mean, variance: Math.max(Math.min(largestPressVariance, variance + pressDrift), (pressDeviationShare * mean) ** 2),
		};
	});
	const expected = before - parts.reduce((sum, {mean, change}) => sum + (mean * change), 0);
	const isBounded = slack >= settledSlack && before >= settledSlack;
	const noise = ownChangeVariance + (2 * measureVariance) + (roundingVariance * ((slack ** 4) + (before ** 4)));
	const uncertainty = parts.reduce((sum, {variance, change}) => sum + (variance * (change ** 2)), noise);
	const correction = (slack - expected) / uncertainty;
	for (const {key, change, mean, variance} of parts) {
		const step = -variance * change * correction;
		if (isBounded || step > 0) {
			pairs.set(key, {
				mean: Math.max(0, mean + step),
				variance: variance * (1 - (variance * (change ** 2) / uncertainty)),
			});
		}
	}
}

function lossOf(pairs: ImmutableMap<string, Estimate>, servingImage: string, filling: FillingUse): number {
	let loss = 0;
	for (const [fillingImage, tenths] of filling) {
		loss += tenths * (pairs.get(pairKey(servingImage, fillingImage)) ?? unknownPress).mean;
	}

	return loss;
}

/** An estimate as agents and entries report it to each other. */
export type PressReport = Readonly<{servingImage: string; fillingImage: string; press: number; variance: number}>;

/** Step to which reported estimates are rounded, so that noise is not sent with every heartbeat. */
const reportedStep = 0.06;

/**
Lists the estimates that rest on measures and differ from those reported before by a step or more, and what is reported with them.

@example
const {reports, reported} = changedLatencyImpacts(estimates, immutableMap());
*/
export function changedLatencyImpacts(
	{latencyImpactByPair}: LatencyImpactEstimates,
	before: ImmutableMap<string, number>,
): Readonly<{reports: readonly PressReport[]; reported: ImmutableMap<string, number>}> {
	const reports: PressReport[] = [];
	const reported = before.withMutations(sent => {
		for (const [key, {mean, variance}] of latencyImpactByPair) {
			const rounded = Math.round(mean / reportedStep) * reportedStep;
			if (isMeasured({mean, variance}) && sent.get(key) !== rounded) {
				sent.set(key, rounded);
				const [servingImage = '', fillingImage = ''] = key.split(pairSeparator);
				reports.push({
					servingImage, fillingImage, press: rounded, variance,
				});
			}
		}
	});
	return {reports, reported};
}

/** Least variance of an estimate that was taken over: VMs differ, and a press changes within seconds. */
const leastMergedVariance = 0.004;

/**
Takes over reports of another process, each weighed against what is known by how certain both are.

@example
const next = mergeLatencyImpacts(noLatencyImpactEstimates, [{servingImage: 'order-lookup', fillingImage: 'stress-run', press: 0.75, variance: 0.01}]);
*/
export function mergeLatencyImpacts(estimates: LatencyImpactEstimates, reports: readonly PressReport[]): LatencyImpactEstimates {
	if (reports.length === 0) {
		return estimates;
	}

	const known = estimates.latencyImpactByPair.size > maxPairs ? immutableMap<string, Estimate>() : estimates.latencyImpactByPair;
	return {
		...estimates,
		latencyImpactByPair: known.withMutations(pairs => {
			for (const {servingImage, fillingImage, press, variance} of reports) {
				const key = pairKey(servingImage, fillingImage);
				const before = pairs.get(key) ?? unknownPress;
				const weight = before.variance / (before.variance + Math.max(leastMergedVariance, variance));
				pairs.set(key, {
					mean: before.mean + (weight * (press - before.mean)),
					variance: Math.max(leastMergedVariance, before.variance * (1 - weight)),
				});
			}
		}),
	};
}

/**
Lists what is known of pairs of images, for the process that is going to run them beside each other.

@example
latencyImpactReports(estimates, ['order-lookup'], ['stress-run']); // => [{servingImage: 'order-lookup', fillingImage: 'stress-run', press: 0.6, variance: 0.01}]
*/
export function latencyImpactReports({latencyImpactByPair}: LatencyImpactEstimates, servingImages: Iterable<string>, fillingImages: readonly string[]): readonly PressReport[] {
	return [...servingImages].flatMap(servingImage => fillingImages.flatMap(fillingImage => {
		const known = latencyImpactByPair.get(pairKey(servingImage, fillingImage));
		return known === undefined
			? []
			: [{
				servingImage, fillingImage, press: known.mean, variance: known.variance,
			}];
	}));
}

/** Cannot be part of an image's name on the wire of any user; a name that holds it only shares its estimates with another one. */
const pairSeparator = '\n';

function pairKey(servingImage: string, fillingImage: string): string {
	return `${servingImage}${pairSeparator}${fillingImage}`;
}
