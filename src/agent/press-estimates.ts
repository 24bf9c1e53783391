import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';

/**
A serving task with the newest measure of its slack: how many times the tail of its response times fits into its target. A task
with a slack below 1 is beyond its target.
*/
export type ServingSample = Readonly<{taskId: string; image: string; slack: number}>;

/** Processors that the filling tasks of each image used in the window of the measure. */
export type FillingUse = ReadonlyMap<string, number>;

/** A quantity with the square of its expected error. */
export type Estimate = Readonly<{mean: number; variance: number}>;

/**
What filling work does to serving tasks, learned from measures on one VM. Under queueing, the inverse of a tail falls in proportion
to the task's own load and to the processors that its neighbours use, whereas the tail itself grows without bound. So a slack is
modelled as the task's own part less a press for each processor that a neighbour's image uses. Pairs of images differ by more than
a factor of 50.
*/
export type PressEstimates = Readonly<{
	/** Slack that a serving task has without neighbours, by task. */
	ownSlacks: ImmutableMap<string, Estimate>;
	/** Slack that one processor of a filling image takes from a serving image. */
	pressByPair: ImmutableMap<string, Estimate>;
}>;

export const noPressEstimates: PressEstimates = {ownSlacks: immutableMap(), pressByPair: immutableMap()};

/** Press of a pair that was never measured, per processor. */
const unknownPress: Estimate = {mean: 0.06, variance: 0.06};

/** Own slack of a serving task before its first sample. */
const unknownOwnSlack: Estimate = {mean: 1.8, variance: 1};

/** Growth of the variances from one measure to the next: the load of a serving task moves within seconds, a press slowly. */
const ownDrift = 0.08;
const pressDrift = 0.0005;

/** Largest variances, reached when nothing is measured for long. */
const largestOwnVariance = 1;
const largestPressVariance = 0.06;

/** Variance of a measure of 1, and its growth with the slack: tails come in whole milliseconds, and short ones are rounded coarsely. */
const measureVariance = 0.01;
const roundingVariance = 0.002;

/** Below this slack the tail has no bound any more; such a measure only says that the slack is not larger. */
const leastMeasuredSlack = 0.2;

/** Tails that fit into the target more often than this say no more. */
const largestSlack = 6;

/** Pairs kept on one VM; images come and go with jobs. */
const maxPairs = 2000;

/**
Tells how much slack one processor of a filling image is expected to take from a serving image.

@example
pressOf(estimates, 'order-lookup', 'stress-run'); // => {mean: 0.6, variance: 0.01}
*/
export function pressOf({pressByPair}: PressEstimates, servingImage: string, fillingImage: string): Estimate {
	return pressByPair.get(pairKey(servingImage, fillingImage)) ?? unknownPress;
}

/**
Tells the slack that a serving task is expected to have without neighbours.

@example
ownSlackOf(estimates, 't1'); // => {mean: 2.4, variance: 0.1}
*/
export function ownSlackOf({ownSlacks}: PressEstimates, taskId: string): Estimate {
	return ownSlacks.get(taskId) ?? unknownOwnSlack;
}

/**
Learns from one measure of the VM: what the estimates do not explain of each slack is divided among the task itself and its
neighbours in proportion to how uncertain each part is, as in a Kalman filter that keeps no covariances.

@example
const next = learnPress(estimates, [{taskId: 't1', image: 'order-lookup', slack: 0.4}], new Map([['stress-run', 3.4]]));
*/
export function learnPress(estimates: PressEstimates, serving: readonly ServingSample[], filling: FillingUse): PressEstimates {
	const known = estimates.pressByPair.size > maxPairs ? immutableMap<string, Estimate>() : estimates.pressByPair;
	const ownSlacks = new Map<string, Estimate>();
	const pressByPair = known.withMutations(pairs => {
		for (const sample of serving) {
			const parts = [...filling].filter(([, processors]) => processors > 0).map(([fillingImage, processors]) => {
				const key = pairKey(sample.image, fillingImage);
				const {mean, variance} = pairs.get(key) ?? unknownPress;
				return {
					key, processors, mean, variance: Math.min(largestPressVariance, variance + pressDrift),
				};
			});
			const before = ownSlackOf(estimates, sample.taskId);
			const own: Estimate = {mean: before.mean, variance: Math.min(largestOwnVariance, before.variance + ownDrift)};
			const slack = Math.min(largestSlack, sample.slack);
			const expected = own.mean - parts.reduce((sum, {mean, processors}) => sum + (mean * processors), 0);
			if (slack < leastMeasuredSlack && expected < slack) {
				ownSlacks.set(sample.taskId, own);
				continue;
			}

			const noise = measureVariance + (roundingVariance * (slack ** 4));
			const uncertainty = parts.reduce((sum, {variance, processors}) => sum + (variance * (processors ** 2)), own.variance + noise);
			const correction = (slack - expected) / uncertainty;
			ownSlacks.set(sample.taskId, {
				mean: Math.max(0, own.mean + (own.variance * correction)),
				variance: own.variance * (1 - (own.variance / uncertainty)),
			});
			for (const {key, processors, mean, variance} of parts) {
				pairs.set(key, {
					mean: Math.max(0, mean - (variance * processors * correction)),
					variance: variance * (1 - (variance * (processors ** 2) / uncertainty)),
				});
			}
		}
	});
	return {ownSlacks: immutableMap(ownSlacks), pressByPair};
}

/** An estimate as agents and entries report it to each other. */
export type PressReport = Readonly<{servingImage: string; fillingImage: string; press: number; variance: number}>;

/** Step to which reported estimates are rounded, so that noise is not sent with every heartbeat. */
const reportedStep = 0.04;

/** An estimate is reported once its variance is at most this part of that of an unknown pair. */
const reportedVarianceShare = 0.5;

/**
Lists the estimates that rest on measures and differ from those reported before by a step or more, and what is reported with them.

@example
const {reports, reported} = changedPress(estimates, immutableMap());
*/
export function changedPress(
	{pressByPair}: PressEstimates,
	before: ImmutableMap<string, number>,
): Readonly<{reports: readonly PressReport[]; reported: ImmutableMap<string, number>}> {
	const reports: PressReport[] = [];
	const reported = before.withMutations(sent => {
		for (const [key, {mean, variance}] of pressByPair) {
			const rounded = Math.round(mean / reportedStep) * reportedStep;
			if (variance <= reportedVarianceShare * unknownPress.variance && sent.get(key) !== rounded) {
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
const leastMergedVariance = 0.003;

/**
Takes over reports of another process, each weighed against what is known by how certain both are.

@example
const next = mergePress(noPressEstimates, [{servingImage: 'order-lookup', fillingImage: 'stress-run', press: 0.75, variance: 0.01}]);
*/
export function mergePress(estimates: PressEstimates, reports: readonly PressReport[]): PressEstimates {
	if (reports.length === 0) {
		return estimates;
	}

	const known = estimates.pressByPair.size > maxPairs ? immutableMap<string, Estimate>() : estimates.pressByPair;
	return {
		...estimates,
		pressByPair: known.withMutations(pairs => {
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
pressReports(estimates, ['order-lookup'], ['stress-run']); // => [{servingImage: 'order-lookup', fillingImage: 'stress-run', press: 0.6, variance: 0.01}]
*/
export function pressReports({pressByPair}: PressEstimates, servingImages: Iterable<string>, fillingImages: readonly string[]): readonly PressReport[] {
	return [...servingImages].flatMap(servingImage => fillingImages.flatMap(fillingImage => {
		const known = pressByPair.get(pairKey(servingImage, fillingImage));
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
