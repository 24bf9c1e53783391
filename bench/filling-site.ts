import {type Step} from '../src/cluster/workflow.js';
import {RandomDraw} from './random-draw.js';
import {defaultTail, type TailParameters} from './serving-tail.js';

type Range = readonly [least: number, most: number];

/** Everything that a played site is drawn from. Times are in milliseconds, processors in whole ones. */
export type FillingSite = Readonly<{
	vmProcessors: readonly number[];
	vmMemoryMb: number;
	tail: TailParameters;
	latencyTargetMs: number;
	serving: Readonly<{
		jobs: number;
		tasksPerJob: Range;
		processors: Range;
		/** Part of all processors that serving tasks commit at most. */
		filledShare: number;
		memoryMb: number;
		images: number;
		/** Part of the jobs of which a VM may run one task only. */
		apartShare: number;
		load: number;
		loadSwing: number;
		swingMs: number;
		/** A task's own excursions: time between them, how long they last, and the factor on its tail. */
		excursionEveryMs: number;
		excursionMs: Range;
		excursionFactor: number;
	}>;
	press: Readonly<{
		/** Interference that a processor adds for most pairs and for heavy ones. */
		light: Range;
		heavy: Range;
		heavyShare: number;
		/** Slow variation around the mean, as a part of it. */
		swing: number;
		swingMs: Range;
	}>;
	filling: Readonly<{
		jobsPerSecond: number;
		jobsAtStart: number;
		steps: number;
		tasksPerStep: Range;
		processors: Range;
		/** Draws are bent towards the least processors by this power. */
		processorsBend: number;
		runTimeMs: Range;
		memoryMb: number;
		images: number;
		burstFactor: number;
		burstFromMs: number;
		burstMs: number;
	}>;
	/** Small jobs that users wait for; their tasks commit processors. */
	small: Readonly<{
		jobsPerSecond: number;
		steps: number;
		tasksPerStep: Range;
		processors: number;
		runTimeMs: Range;
		memoryMb: number;
	}>;
	arrivalsMs: number;
	lengthMs: number;
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
		filledShare: 0.85,
		memoryMb: 6400,
		images: 5,
		apartShare: 0.3,
		load: 0.42,
		loadSwing: 0.21,
		swingMs: 10_000,
		excursionEveryMs: 30_000,
		excursionMs: [1000, 3000],
		excursionFactor: 2,
	},
	press: {
		light: [0, 0.01], heavy: [0.1, 0.2], heavyShare: 0.125, swing: 0.3, swingMs: [4000, 12_000],
	},
	filling: {
		jobsPerSecond: 0.67,
		jobsAtStart: 3,
		steps: 2,
		tasksPerStep: [4, 12],
		processors: [0.8, 3.3],
		processorsBend: 1.5,
		runTimeMs: [1800, 6000],
		memoryMb: 3200,
		images: 9,
		burstFactor: 2,
		burstFromMs: 10_000,
		burstMs: 6000,
	},
	small: {
		jobsPerSecond: 4, steps: 2, tasksPerStep: [6, 10], processors: 0.3, runTimeMs: [700, 1500], memoryMb: 400,
	},
	arrivalsMs: 34_000,
	lengthMs: 48_000,
};

/** The two sizes that are played. */
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
		// Three tasks in one, with the same processors in all, so that a day plays faster.
		small: {
			...smallSite.small, jobsPerSecond: 3, processors: 0.9, memoryMb: 1200,
		},
	},
} as const satisfies Readonly<Record<string, FillingSite>>;

/** A job with the time at which it is handed in. */
export type DrawnJob = Readonly<{jobId: string; kind: JobKind; submittedAtMs: number; steps: readonly Step[]}>;

export type JobKind = 'serving' | 'small' | 'filling';

/** How the interference of a pair of images moves. */
type PairPress = Readonly<{mean: number; swingMs: number; phase: number}>;

type Excursion = Readonly<{fromMs: number; toMs: number}>;

/** What a seed decides before the first task is placed, so that two versions of the code play the same day. */
export type FillingDay = Readonly<{
	jobs: readonly DrawnJob[];
	/** Interference that one processor of a filling image adds to a serving image. */
	pressAt: (servingImage: string, fillingImage: string, nowMs: number) => number;
	/** Share of its processors that a serving task of a job uses. */
	loadAt: (jobId: string, nowMs: number) => number;
	/** Factor on the tail of a serving task. */
	factorAt: (taskId: string, nowMs: number) => number;
}>;

const streams = {
	serving: 0, press: 1, filling: 2, small: 3, phases: 4, excursions: 5,
} as const;

const milli = (amount: number): number => Math.round(1000 * amount);

const sumOf = (amounts: readonly number[]): number => amounts.reduce((sum, amount) => sum + amount, 0);

const fullTurn = 2 * Math.PI;

/**
Draws the jobs, the interference and the load of one day.

@example
drawFillingDay(fillingSites.small, 1).jobs.length; // => 170
*/
export function drawFillingDay(site: FillingSite, seed: number): FillingDay {
	const jobs = [...drawServingJobs(site, seed), ...drawSmallJobs(site, seed), ...drawFillingJobs(site, seed)]
		.toSorted((left, right) => left.submittedAtMs - right.submittedAtMs);
	const pairs = drawPairs(site, seed);
	const phases = new RandomDraw(seed, streams.phases);
	const phaseByJob = new Map(jobs.filter(({kind}) => kind === 'serving').map(({jobId}) => [jobId, phases.between(0, fullTurn)]));
	const excursions = drawExcursions(site, seed, jobs);
	const {load, loadSwing, swingMs, excursionFactor} = site.serving;
	return {
		jobs,
		pressAt(servingImage, fillingImage, nowMs) {
			const {mean, swingMs: pairSwingMs, phase} = pairs.get(`${servingImage}/${fillingImage}`)!;
			return mean * (1 + (site.press.swing * Math.sin((fullTurn * nowMs / pairSwingMs) + phase)));
		},
		loadAt: (jobId, nowMs) => load + (loadSwing * Math.sin((fullTurn * nowMs / swingMs) + phaseByJob.get(jobId)!)),
		factorAt: (taskId, nowMs) => excursions.get(taskId)?.some(({fromMs, toMs}) => nowMs >= fromMs && nowMs < toMs) ? excursionFactor : 1,
	};
}

const countBetween = (draw: RandomDraw, [least, most]: Range): number => least + draw.index(most - least + 1);

function drawServingJobs({vmProcessors, serving, latencyTargetMs}: FillingSite, seed: number): readonly DrawnJob[] {
	const draw = new RandomDraw(seed, streams.serving);
	const sizes = Array.from({length: serving.jobs}, () => ({count: countBetween(draw, serving.tasksPerJob), processors: draw.between(...serving.processors)}));
	const demanded = sizes.reduce((sum, {count, processors}) => sum + (count * processors), 0);
	const scale = Math.min(1, serving.filledShare * sumOf(vmProcessors) / demanded);
	return sizes.map(({count, processors}, index): DrawnJob => ({
		jobId: `serving-${index}`, kind: 'serving', submittedAtMs: 0, steps: [{
			count,
			demand: {processorsMilli: milli(scale * processors), memoryMb: serving.memoryMb, accelerators: 0},
			declaredRunTimeMs: 1,
			longRunning: true,
			latencyTargetMs,
			image: `serve-${draw.index(serving.images)}`,
			...(draw.happens(serving.apartShare) && {maxTasksPerVm: 1}),
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
				count: countBetween(draw, filling.tasksPerStep),
				demand: {
					processorsMilli: milli(least + ((most - least) * (draw.between(0, 1) ** filling.processorsBend))), memoryMb: filling.memoryMb, accelerators: 0,
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
			count: countBetween(draw, small.tasksPerStep),
			demand: {processorsMilli: milli(small.processors), memoryMb: small.memoryMb, accelerators: 0},
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

function drawPairs({serving, filling, press}: FillingSite, seed: number): ReadonlyMap<string, PairPress> {
	const draw = new RandomDraw(seed, streams.press);
	const pairs = new Map<string, PairPress>();
	for (let servingImage = 0; servingImage < serving.images; servingImage++) {
		for (let fillingImage = 0; fillingImage < filling.images; fillingImage++) {
			pairs.set(`serve-${servingImage}/fill-${fillingImage}`, {
				mean: draw.between(...(draw.happens(press.heavyShare) ? press.heavy : press.light)),
				swingMs: draw.between(...press.swingMs),
				phase: draw.between(0, fullTurn),
			});
		}
	}

	return pairs;
}

function drawExcursions({serving, lengthMs}: FillingSite, seed: number, jobs: readonly DrawnJob[]): ReadonlyMap<string, readonly Excursion[]> {
	const draw = new RandomDraw(seed, streams.excursions);
	const byTask = new Map<string, readonly Excursion[]>();
	for (const {jobId, steps} of jobs.filter(({kind}) => kind === 'serving')) {
		for (let index = 0; index < steps[0]!.count; index++) {
			const excursions: Excursion[] = [];
			let nowMs = draw.waitMs(serving.excursionEveryMs);
			while (nowMs < lengthMs) {
				const toMs = nowMs + draw.between(...serving.excursionMs);
				excursions.push({fromMs: nowMs, toMs});
				nowMs = toMs + draw.waitMs(serving.excursionEveryMs);
			}

			byTask.set(`${jobId}.0.0.${index}`, excursions);
		}
	}

	return byTask;
}
