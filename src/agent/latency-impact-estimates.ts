import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';

/**
A serving task with its newest target ratio: its latency target divided by its measured tail latency. Below 1, the target is missed.
*/
export type ServingSample = Readonly<{taskId: string; image: string; targetRatio: number}>;

/** Tenths of the VM's processors that the filling tasks of each image used in the measurement window. */
export type FillingUse = ReadonlyMap<string, number>;

/** An estimated quantity with its variance. */
export type Estimate = Readonly<{mean: number; variance: number}>;

/**
Estimates of the latency impact of filling images on serving images, from the measurements of one VM and the reports of other processes.

Under queueing, the inverse of the tail latency decreases linearly with the task's own load and with the processors that its neighbours
use, while the tail latency itself grows without bound. A target ratio is therefore modelled as the task's baseline less a latency
impact for each tenth of the VM's processors that a filling image uses. The latency impact varies between pairs of images by more
than a factor of 50.
*/
export type LatencyImpactEstimates = Readonly<{
	/** Target ratio of each serving task without neighbours, by task ID. */
	baselineTargetRatios: ImmutableMap<string, number>;
	/** Decrease of a serving image's target ratio for each tenth of the VM's processors that a filling image uses. */
	latencyImpactByPair: ImmutableMap<string, Estimate>;
	/** The previous measurement: target ratios by serving task, use by filling image. */
	previousTargetRatios: ReadonlyMap<string, number>;
	previousFillingUse: FillingUse;
}>;

export const noLatencyImpactEstimates: LatencyImpactEstimates = {
	baselineTargetRatios: immutableMap(), latencyImpactByPair: immutableMap(), previousTargetRatios: new Map(), previousFillingUse: new Map(),
};

/** Latency impact of a pair of images that was never measured. */
const unmeasuredLatencyImpact: Estimate = {mean: 0.1, variance: 0.15};

/** Baseline target ratio of a serving task before its first sample. */
const unmeasuredBaselineTargetRatio = 1.8;

/** Weight of the newest sample in a task's baseline target ratio. */
const baselineWeight = 0.8;

/** Variance of the change of a baseline target ratio between two measurements: a task's load varies within seconds. */
const baselineChangeVariance = 0.05;

/** Growth of the variance of a latency impact between two measurements, and its upper bound. */
const varianceGrowth = 0.001;
const maxImpactVariance = 0.15;

/** Smallest standard deviation of a latency impact, as a share of its mean: the impact varies within seconds, and decreases with the processors used. */
const minDeviationShare = 0.4;

/** Variance of a measured target ratio, and its growth with the ratio's fourth power: tail latencies are whole milliseconds, so short ones are rounded coarsely. */
const targetRatioVariance = 0.005;
const roundingVariance = 0.002;

/** Below this target ratio, the tail also includes requests that were queued earlier. Such a measurement is only a lower bound of the latency impact: it may only raise an estimate. */
const queueFreeTargetRatio = 0.9;

/** Target ratios are capped here; higher ones carry no further information. */
const maxTargetRatio = 6;

/** A pair counts as measured once its variance is at most this share of an unmeasured pair's, or not above the minimum from `minDeviationShare`. */
const measuredVarianceShare = 0.5;

/** Changes of an image's use below this many tenths of the VM are noise. */
const minUseChangeVmTenths = 0.12;

/** Limit of recorded pairs; above it, all are discarded. Images come and go with jobs. */
const maxPairs = 2000;

/**
Returns the expected decrease of a serving image's target ratio for each tenth of the VM's processors that a filling image uses.

@example
latencyImpactOf(estimates, 'order-lookup', 'stress-run'); // => {mean: 0.6, variance: 0.01}
*/
export function latencyImpactOf({latencyImpactByPair}: LatencyImpactEstimates, servingImage: string, fillingImage: string): Estimate {
	return latencyImpactByPair.get(pairKey(servingImage, fillingImage)) ?? unmeasuredLatencyImpact;
}

/**
Returns whether the estimate of a pair rests on measurements, of this process or of others.

@example
isMeasured({mean: 0.6, variance: 0.01}); // => true
*/
export function isMeasured({mean, variance}: Estimate): boolean {
	return variance <= Math.max(measuredVarianceShare * unmeasuredLatencyImpact.variance, (minDeviationShare * mean) ** 2);
}

/**
Returns the target ratio that a serving task is expected to have without neighbours.

@example
baselineTargetRatioOf(estimates, 't1'); // => 2.4
*/
export function baselineTargetRatioOf({baselineTargetRatios}: LatencyImpactEstimates, taskId: string): number {
	return baselineTargetRatios.get(taskId) ?? unmeasuredBaselineTargetRatio;
}

/**
Updates the estimates from one measurement of the VM. It uses the change since the previous measurement to separate the latency impact
from the task's own load, which varies slowly. The part of the change that the estimates do not explain is divided among the images
whose use changed, in proportion to the uncertainty of each estimate, as in a Kalman filter without covariances.

@example
const next = updateLatencyImpacts(estimates, [{taskId: 't1', image: 'order-lookup', targetRatio: 0.4}], new Map([['stress-run', 3.4]]));
*/
export function updateLatencyImpacts(estimates: LatencyImpactEstimates, serving: readonly ServingSample[], filling: FillingUse): LatencyImpactEstimates {
	const {previousTargetRatios, previousFillingUse} = estimates;
	const images = new Set([...filling.keys(), ...previousFillingUse.keys()]);
	const changes = [...images]
		.map(image => ({image, change: (filling.get(image) ?? 0) - (previousFillingUse.get(image) ?? 0)}))
		.filter(({change}) => Math.abs(change) >= minUseChangeVmTenths);
	const targetRatios = new Map(serving.map(({taskId, targetRatio}) => [taskId, Math.min(maxTargetRatio, targetRatio)]));
	const recorded = estimates.latencyImpactByPair.size > maxPairs ? immutableMap<string, Estimate>() : estimates.latencyImpactByPair;
	const latencyImpactByPair = recorded.withMutations(pairs => {
		for (const {taskId, image} of serving) {
			const targetRatio = targetRatios.get(taskId)!;
			const before = previousTargetRatios.get(taskId);
			if (before !== undefined && changes.length > 0) {
				updatePairsFromChange(pairs, {image, targetRatio, before}, changes);
			}
		}
	});
	const baselines = new Map(serving.map(({taskId, image}) => {
		const measuredBaseline = targetRatios.get(taskId)! + totalImpactOf(latencyImpactByPair, image, filling);
		const before = estimates.baselineTargetRatios.get(taskId) ?? measuredBaseline;
		return [taskId, before + (baselineWeight * (measuredBaseline - before))];
	}));
	return {
		baselineTargetRatios: immutableMap(baselines), latencyImpactByPair, previousTargetRatios: targetRatios, previousFillingUse: filling,
	};
}

function updatePairsFromChange(
	pairs: ImmutableMap<string, Estimate>,
	{image, targetRatio, before}: Readonly<{image: string; targetRatio: number; before: number}>,
	changes: ReadonlyArray<Readonly<{image: string; change: number}>>,
): void {
	const parts = changes.map(({image: fillingImage, change}) => {
		const key = pairKey(image, fillingImage);
		const {mean, variance} = pairs.get(key) ?? unmeasuredLatencyImpact;
		return {
			key, change, mean, variance: Math.max(Math.min(maxImpactVariance, variance + varianceGrowth), (minDeviationShare * mean) ** 2),
		};
	});
	const expected = before - parts.reduce((sum, {mean, change}) => sum + (mean * change), 0);
	const isQueueFree = targetRatio >= queueFreeTargetRatio && before >= queueFreeTargetRatio;
	const noise = baselineChangeVariance + (2 * targetRatioVariance) + (roundingVariance * ((targetRatio ** 4) + (before ** 4)));
	const uncertainty = parts.reduce((sum, {variance, change}) => sum + (variance * (change ** 2)), noise);
	const correction = (targetRatio - expected) / uncertainty;
	for (const {key, change, mean, variance} of parts) {
		const meanChange = -variance * change * correction;
		if (isQueueFree || meanChange > 0) {
			pairs.set(key, {
				mean: Math.max(0, mean + meanChange),
				variance: variance * (1 - (variance * (change ** 2) / uncertainty)),
			});
		}
	}
}

function totalImpactOf(pairs: ImmutableMap<string, Estimate>, servingImage: string, filling: FillingUse): number {
	let impact = 0;
	for (const [fillingImage, tenths] of filling) {
		impact += tenths * (pairs.get(pairKey(servingImage, fillingImage)) ?? unmeasuredLatencyImpact).mean;
	}

	return impact;
}

/** An estimate as agents and entries report it to each other; `press` is the latency impact. */
export type PressReport = Readonly<{servingImage: string; fillingImage: string; press: number; variance: number}>;

/** Step to which reported estimates are rounded, so that noise is not sent with every heartbeat. */
const reportedImpactStep = 0.06;

/**
Returns the measured estimates whose rounded value differs from the one that was reported before, and all reported values including these.

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
			const rounded = Math.round(mean / reportedImpactStep) * reportedImpactStep;
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

/** Smallest variance of a merged estimate: VMs differ, and a latency impact varies within seconds. */
const minMergedVariance = 0.004;

/** Largest latency impact that a report may have; target ratios are capped far below it. */
const maxReportedImpact = 100;

/** Longest name of an image in a report, in characters. */
const maxImageLength = 512;

/**
Returns whether an estimate of another process can be merged. One that is no number would make the estimate of its pair useless for good, at every process
that it is reported to.

@example
isUsablePress({servingImage: 'order-lookup', fillingImage: 'stress-run', press: Number.NaN, variance: 0.01}); // => false
*/
export function isUsablePress({servingImage, fillingImage, press, variance}: PressReport): boolean {
	return press >= 0 && press <= maxReportedImpact
		&& variance >= 0 && variance <= maxReportedImpact
		&& servingImage.length <= maxImageLength && fillingImage.length <= maxImageLength;
}

/**
Merges the reports of another process into the estimates; each report and estimate is weighted by the inverse of its variance.
Reports that cannot be used are left out.

@example
const next = mergeLatencyImpacts(noLatencyImpactEstimates, [{servingImage: 'order-lookup', fillingImage: 'stress-run', press: 0.75, variance: 0.01}]);
*/
export function mergeLatencyImpacts(estimates: LatencyImpactEstimates, reports: readonly PressReport[]): LatencyImpactEstimates {
	if (reports.length === 0) {
		return estimates;
	}

	const recorded = estimates.latencyImpactByPair.size > maxPairs ? immutableMap<string, Estimate>() : estimates.latencyImpactByPair;
	return {
		...estimates,
		latencyImpactByPair: recorded.withMutations(pairs => {
			for (const {servingImage, fillingImage, press, variance} of reports.filter(report => isUsablePress(report))) {
				const key = pairKey(servingImage, fillingImage);
				const before = pairs.get(key) ?? unmeasuredLatencyImpact;
				const weight = before.variance / (before.variance + Math.max(minMergedVariance, variance));
				pairs.set(key, {
					mean: before.mean + (weight * (press - before.mean)),
					variance: Math.max(minMergedVariance, before.variance * (1 - weight)),
				});
			}
		}),
	};
}

/**
Returns the recorded estimates of pairs of images, for the agent on whose VM they will be co-located.

@example
latencyImpactReports(estimates, ['order-lookup'], ['stress-run']); // => [{servingImage: 'order-lookup', fillingImage: 'stress-run', press: 0.6, variance: 0.01}]
*/
export function latencyImpactReports({latencyImpactByPair}: LatencyImpactEstimates, servingImages: Iterable<string>, fillingImages: readonly string[]): readonly PressReport[] {
	return [...servingImages].flatMap(servingImage => fillingImages.flatMap(fillingImage => {
		const estimate = latencyImpactByPair.get(pairKey(servingImage, fillingImage));
		return estimate === undefined
			? []
			: [{
				servingImage, fillingImage, press: estimate.mean, variance: estimate.variance,
			}];
	}));
}

/** Users' image names do not contain this separator. If some did, pairs of them would only share an estimate. */
const pairSeparator = '\n';

function pairKey(servingImage: string, fillingImage: string): string {
	return `${servingImage}${pairSeparator}${fillingImage}`;
}
