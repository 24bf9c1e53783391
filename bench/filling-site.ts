import {type Step} from '../src/cluster/workflow.js';
import {RandomDraw} from './random-draw.js';
import {defaultTail, type TailParameters} from './serving-tail.js';

type Range = readonly [least: number, most: number];

/** Parameters from which the jobs and interference of a simulated site are drawn. Processors are in whole cores. */
export type FillingSite = Readonly<{
	vmProcessors: readonly number[];
	vmMemoryMb: number;
	tail: TailParameters;
	latencyTargetMs: number;
	serving: Readonly<{
		jobs: number;
		tasksPerJob: Range;
		processors: Range;
		/** Maximum share of all processors that serving tasks commit. */
		maxCommittedShare: number;
		memoryMb: number;
		images: number;
		/** Share of the jobs of which a VM may run one task only. */
		onePerVmShare: number;
		load: number;
		loadAmplitude: number;
		loadPeriodMs: number;
		/** Latency spikes of a serving task that filling work does not cause: mean time between them, their duration, and the factor on the tail latency. */
		spikeIntervalMs: number;
		spikeDurationMs: Range;
		spikeFactor: number;
	}>;
	interference: Readonly<{
		/** Interference that a core of a filling task adds, for most pairs of images and for heavy pairs. */
		light: Range;
		heavy: Range;
		heavyShare: number;
		/** Amplitude of the slow variation around the mean, as a share of the mean. */
		amplitude: number;
		periodMs: Range;
	}>;
	filling: Readonly<{
		jobsPerSecond: number;
		jobsAtStart: number;
		steps: number;
		tasksPerStep: Range;
		processors: Range;
		/** Exponent on a uniform draw between 0 and 1; above 1 most tasks are small. */
		processorsExponent: number;
		runTimeMs: Range;
		memoryMb: number;
		images: number;
		/** Largest error of the declared run times, as a share of them; the error of an image is always the same. */
		runTimeError: number;
		burstFactor: number;
		burstFromMs: number;
		burstMs: number;
	}>;
	/** Short jobs that users wait for; their tasks commit processors. */
	small: Readonly<{
		jobsPerSecond: number;
		steps: number;
		tasksPerStep: Range;
		processors: number;
		runTimeMs: Range;
		memoryMb: number;
	}>;
	arrivalsMs: number;
	durationMs: number;
}>;

const processorsOfVms = (count: number, largeEvery: number): readonly number[] =>
	Array.from({length: count}, (_, index) => index % largeEvery === largeEvery - 1 ? 24 : 16);

const smallSite: FillingSite = {
	vmProcessors: processorsOfVms(11, 4),
	vmMemoryMb: 64_000,
	tail: defaultTail,
	latencyTargetMs: 18,
	serving: {
		jobs: 9,
		tasksPerJob: [3, 9],
		processors: [1.6, 4.8],
		maxCommittedShare: 0.85,
		memoryMb: 6400,
		images: 5,
		onePerVmShare: 0.3,
		load: 0.42,
		loadAmplitude: 0.21,
		loadPeriodMs: 10_000,
		spikeIntervalMs: 30_000,
		spikeDurationMs: [1000, 3000],
		spikeFactor: 2,
	},
	interference: {
		light: [0, 0.01], heavy: [0.1, 0.2], heavyShare: 0.125, amplitude: 0.3, periodMs: [4000, 12_000],
	},
	filling: {
		jobsPerSecond: 0.67,
		jobsAtStart: 3,
		steps: 2,
		tasksPerStep: [4, 12],
		processors: [0.8, 3.3],
		processorsExponent: 1.5,
		runTimeMs: [1800, 6000],
		memoryMb: 3200,
		images: 9,
		runTimeError: 0,
		burstFactor: 2,
		burstFromMs: 10_000,
		burstMs: 6000,
	},
	small: {
		jobsPerSecond: 4, steps: 2, tasksPerStep: [6, 10], processors: 0.3, runTimeMs: [700, 1500], memoryMb: 400,
	},
	arrivalsMs: 34_000,
	durationMs: 48_000,
};

/** The sites that can be simulated. */
export const fillingSites = {
	small: smallSite,
	grown: {
		...smallSite,
		vmProcessors: processorsOfVms(58, Number.POSITIVE_INFINITY),
		serving: {
			...smallSite.serving, jobs: 19, tasksPerJob: [10, 18], images: 10,
		},
		filling: {
			...smallSite.filling, jobsPerSecond: 1.4, jobsAtStart: 5, tasksPerStep: [12, 28], images: 18,
		},
		// Fewer tasks with three times the processors each, so that the simulation runs faster.
		small: {
			...smallSite.small, jobsPerSecond: 3, processors: 0.9, memoryMb: 1200,
		},
	},
	/** Filling jobs that demand three quarters of what VMs offer in the mean, and 2.2 times that in a burst, with wrong declared run times. */
	heavy: {
		...smallSite,
		vmProcessors: Array.from({length: 75}, (_, index) => [16, 32, 48][index % 3]!),
		vmMemoryMb: 192_000,
		// The VMs have twice the processors and serving tasks of the small site's: a core is half as much of a VM, and half as many pairs as heavy leave as many VMs without one.
		interference: {
			...smallSite.interference, light: [0, 0.005], heavy: [0.05, 0.1], heavyShare: 0.06,
		},
		serving: {
			...smallSite.serving, jobs: 42, tasksPerJob: [10, 18], processors: [2, 6], maxCommittedShare: 0.88, images: 10,
		},
		filling: {
			...smallSite.filling, jobsPerSecond: 2.3, jobsAtStart: 0, tasksPerStep: [10, 30], processors: [1.5, 5.5], processorsExponent: 1, runTimeMs: [2100, 4100], images: 18, runTimeError: 0.9, burstFactor: 2.2, burstMs: 5000,
		},
		small: {
			...smallSite.small, jobsPerSecond: 3, processors: 0.9, memoryMb: 1200,
		},
	},
} as const satisfies Readonly<Record<string, FillingSite>>;

/** A job with the time at which it is submitted. */
export type DrawnJob = Readonly<{jobId: string; kind: JobKind; submittedAtMs: number; steps: readonly Step[]}>;

export type JobKind = 'serving' | 'small' | 'filling';

/** Variation of the interference of a pair of images over time. */
type PairInterference = Readonly<{mean: number; periodMs: number; phase: number}>;

type LatencySpike = Readonly<{fromMs: number; toMs: number}>;

/** Everything that depends on the seed, drawn before the first task is placed, so that two versions of the code run on the same input. */
export type FillingDay = Readonly<{
	jobs: readonly DrawnJob[];
	/** Interference that one core of a filling task of an image adds to serving tasks of an image. */
	interferenceAt: (servingImage: string, fillingImage: string, nowMs: number) => number;
	/** Share of its processors that a serving task of a job uses. */
	loadAt: (jobId: string, nowMs: number) => number;
	/** Run time of a task of a filling image divided by the declared one. */
	runTimeFactorOf: (image: string) => number;
	/** Factor on the tail latency of a serving task, above 1 during a latency spike. */
	tailFactorAt: (taskId: string, nowMs: number) => number;
}>;

const streams = {
	serving: 0, interference: 1, filling: 2, small: 3, phases: 4, spikes: 5, runTimes: 6,
} as const;

const toMilli = (amount: number): number => Math.round(1000 * amount);

const sumOf = (amounts: readonly number[]): number => amounts.reduce((sum, amount) => sum + amount, 0);

const fullCircleRadians = 2 * Math.PI;

/**
Draws the jobs, the interference and the load of one simulated run.

@example
drawFillingDay(fillingSites.small, 1).jobs.length; // => 170
*/
export function drawFillingDay(site: FillingSite, seed: number): FillingDay {
	const jobs = [...drawServingJobs(site, seed), ...drawSmallJobs(site, seed), ...drawFillingJobs(site, seed)]
		.toSorted((left, right) => left.submittedAtMs - right.submittedAtMs);
	const interferenceByPair = drawPairInterference(site, seed);
	const phases = new RandomDraw(seed, streams.phases);
	const phaseByJob = new Map(jobs.filter(({kind}) => kind === 'serving').map(({jobId}) => [jobId, phases.between(0, fullCircleRadians)]));
	const spikes = drawLatencySpikes(site, seed, jobs);
	const runTimes = new RandomDraw(seed, streams.runTimes);
	const {images, runTimeError} = site.filling;
	const runTimeFactors = new Map(Array.from({length: images}, (_, image) => [`fill-${image}`, 1 + (runTimeError * runTimes.between(-1, 1))]));
	const {load, loadAmplitude, loadPeriodMs, spikeFactor} = site.serving;
	return {
		jobs,
		interferenceAt(servingImage, fillingImage, nowMs) {
			const {mean, periodMs: pairPeriodMs, phase} = interferenceByPair.get(`${servingImage}/${fillingImage}`)!;
			return mean * (1 + (site.interference.amplitude * Math.sin((fullCircleRadians * nowMs / pairPeriodMs) + phase)));
		},
		loadAt: (jobId, nowMs) => load + (loadAmplitude * Math.sin((fullCircleRadians * nowMs / loadPeriodMs) + phaseByJob.get(jobId)!)),
		runTimeFactorOf: image => runTimeFactors.get(image) ?? 1,
		tailFactorAt: (taskId, nowMs) => spikes.get(taskId)?.some(({fromMs, toMs}) => nowMs >= fromMs && nowMs < toMs) ? spikeFactor : 1,
	};
}

const drawCount = (draw: RandomDraw, [least, most]: Range): number => least + draw.index(most - least + 1);

function drawServingJobs({vmProcessors, serving, latencyTargetMs}: FillingSite, seed: number): readonly DrawnJob[] {
	const draw = new RandomDraw(seed, streams.serving);
	const sizes = Array.from({length: serving.jobs}, () => ({count: drawCount(draw, serving.tasksPerJob), processors: draw.between(...serving.processors)}));
	const demanded = sizes.reduce((sum, {count, processors}) => sum + (count * processors), 0);
	const scale = Math.min(1, serving.maxCommittedShare * sumOf(vmProcessors) / demanded);
	return sizes.map(({count, processors}, index): DrawnJob => ({
		jobId: `serving-${index}`, kind: 'serving', submittedAtMs: 0, steps: [{
			count,
			demand: {processorsMilli: toMilli(scale * processors), memoryMb: serving.memoryMb, accelerators: 0},
			declaredRunTimeMs: 1,
			longRunning: true,
			latencyTargetMs,
			image: `serve-${draw.index(serving.images)}`,
			...(draw.happens(serving.onePerVmShare) && {maxTasksPerVm: 1}),
		}],
	}));
}

function drawFillingJobs({filling, arrivalsMs}: FillingSite, seed: number): readonly DrawnJob[] {
	const draw = new RandomDraw(seed, streams.filling);
	const isBurst = (nowMs: number): boolean => nowMs >= filling.burstFromMs && nowMs < filling.burstFromMs + filling.burstMs;
	const times = [
		...Array.from({length: filling.jobsAtStart}, () => 0),
		...drawArrivals(draw, arrivalsMs, nowMs => filling.jobsPerSecond * (isBurst(nowMs) ? filling.burstFactor : 1)),
	];
	return times.map((submittedAtMs, index): DrawnJob => ({
		jobId: `filling-${index}`, kind: 'filling', submittedAtMs, steps: Array.from({length: filling.steps}, (_, step): Step => {
			const [least, most] = filling.processors;
			return {
				count: drawCount(draw, filling.tasksPerStep),
				demand: {
					processorsMilli: toMilli(least + ((most - least) * (draw.between(0, 1) ** filling.processorsExponent))), memoryMb: filling.memoryMb, accelerators: 0,
				},
				declaredRunTimeMs: Math.round(draw.between(...filling.runTimeMs)),
				checkpoints: true,
				fillsIdle: true,
				image: `fill-${draw.index(filling.images)}`,
				...(step > 0 && {dependsOn: [step - 1]}),
			};
		}),
	}));
}

function drawSmallJobs({small, arrivalsMs}: FillingSite, seed: number): readonly DrawnJob[] {
	const draw = new RandomDraw(seed, streams.small);
	return drawArrivals(draw, arrivalsMs, () => small.jobsPerSecond).map((submittedAtMs, index): DrawnJob => ({
		jobId: `small-${index}`, kind: 'small', submittedAtMs, steps: Array.from({length: small.steps}, (_, step): Step => ({
			count: drawCount(draw, small.tasksPerStep),
			demand: {processorsMilli: toMilli(small.processors), memoryMb: small.memoryMb, accelerators: 0},
			declaredRunTimeMs: Math.round(draw.between(...small.runTimeMs)),
			image: 'small',
			...(step > 0 && {dependsOn: [step - 1]}),
		})),
	}));
}

function drawArrivals(draw: RandomDraw, untilMs: number, rateAt: (nowMs: number) => number): readonly number[] {
	const times: number[] = [];
	let nowMs = 0;
	for (;;) {
		nowMs += draw.waitMs(1000 / rateAt(nowMs));
		if (nowMs >= untilMs) {
			return times;
		}

		times.push(nowMs);
	}
}

function drawPairInterference({serving, filling, interference}: FillingSite, seed: number): ReadonlyMap<string, PairInterference> {
	const draw = new RandomDraw(seed, streams.interference);
	const interferenceByPair = new Map<string, PairInterference>();
	for (let servingImage = 0; servingImage < serving.images; servingImage++) {
		for (let fillingImage = 0; fillingImage < filling.images; fillingImage++) {
			interferenceByPair.set(`serve-${servingImage}/fill-${fillingImage}`, {
				mean: draw.between(...(draw.happens(interference.heavyShare) ? interference.heavy : interference.light)),
				periodMs: draw.between(...interference.periodMs),
				phase: draw.between(0, fullCircleRadians),
			});
		}
	}

	return interferenceByPair;
}

function drawLatencySpikes({serving, durationMs}: FillingSite, seed: number, jobs: readonly DrawnJob[]): ReadonlyMap<string, readonly LatencySpike[]> {
	const draw = new RandomDraw(seed, streams.spikes);
	const byTask = new Map<string, readonly LatencySpike[]>();
	for (const {jobId, steps} of jobs.filter(({kind}) => kind === 'serving')) {
		for (let index = 0; index < steps[0]!.count; index++) {
			const spikes: LatencySpike[] = [];
			let nowMs = draw.waitMs(serving.spikeIntervalMs);
			while (nowMs < durationMs) {
				const toMs = nowMs + draw.between(...serving.spikeDurationMs);
				spikes.push({fromMs: nowMs, toMs});
				nowMs = toMs + draw.waitMs(serving.spikeIntervalMs);
			}

			byTask.set(`${jobId}.0.0.${index}`, spikes);
		}
	}

	return byTask;
}
