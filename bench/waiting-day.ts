import {type PriorityClass} from '../src/cluster/intent.js';
import {type Step} from '../src/cluster/workflow.js';
import {RandomDraw} from './random-draw.js';

/** VMs of a simulated run, in racks. All VMs of a rack can be lost at once. */
export const rackCount = 6;
export const vmsPerRack = 2;
export const vmProcessorsMilli = 24_000;
export const vmMemoryMb = 65_536;

/** No job is submitted after this time; the simulation goes on until the submitted ones have had time to finish. */
export const trafficMs = 45_000;

/** A job with the time at which it is submitted. */
export type WaitingJob = Readonly<{jobId: string; submittedAtMs: number; priority: PriorityClass; steps: readonly Step[]}>;

/** A period of overload, with more short jobs than the VMs can run. */
export type Flood = Readonly<{fromMs: number; toMs: number}>;

/** A loss or restart; `backAfterMs` is undefined for a worker or VM that never returns. */
export type SiteEvent = Readonly<{atMs: number}> & (
	| Readonly<{kind: 'worker-gone'; vm: number; noticedAfterMs: number; backAfterMs: number | undefined}>
	| Readonly<{kind: 'vm-leaves'; vm: number; backAfterMs: number | undefined}>
	| Readonly<{kind: 'rack-lost'; rack: number; backAfterMs: number | undefined}>
	| Readonly<{kind: 'owner-restarts'; backAfterMs: number}>
);

/** Randomly drawn input of a simulated run: long-running jobs that commit most of the processors, short jobs on the same VMs, periods of overload, losses and restarts. */
export type WaitingDay = Readonly<{
	jobs: readonly WaitingJob[];
	floods: readonly Flood[];
	events: readonly SiteEvent[];
	/** Mean time after which a long-running task ends by itself. */
	meanRunMs: number;
}>;

const streams = {
	longRunning: 0, short: 1, floods: 2, events: 3, large: 4,
} as const;

const capacityMilli = rackCount * vmsPerRack * vmProcessorsMilli;

/** Parts to leave out, to find what a forbidden wait depends on; jobs with tasks of 2,750 millicores besides the others; and the setting `planning.enabled`. */
export type WaitingDayOptions = Readonly<{withoutFloods?: boolean; withoutEvents?: boolean; withLargeJobs?: boolean; planning?: boolean}>;

/** Minimum and maximum share of the processors that long-running tasks commit. */
const longRunningShareRange = [0.5, 0.89] as const;

/**
Draws the jobs, periods of overload and losses of one simulated run.

@example
drawWaitingDay(7).floods; // => [{fromMs: 12_310, toMs: 20_114}]
*/
export function drawWaitingDay(seed: number, {withoutFloods = false, withoutEvents = false, withLargeJobs = false}: WaitingDayOptions = {}): WaitingDay {
	const longRunningDraw = new RandomDraw(seed, streams.longRunning);
	const longRunningMilli = capacityMilli * longRunningDraw.between(...longRunningShareRange);
	const drawnFloods = drawFloods(new RandomDraw(seed, streams.floods));
	const floods = withoutFloods ? [] : drawnFloods;
	return {
		jobs: [
			...drawLongRunningJobs(longRunningDraw, longRunningMilli),
			...drawShortJobs(new RandomDraw(seed, streams.short), floods, capacityMilli - longRunningMilli),
			...(withLargeJobs ? drawLargeJobs(new RandomDraw(seed, streams.large)) : []),
		].toSorted((left, right) => left.submittedAtMs - right.submittedAtMs),
		floods,
		events: withoutEvents ? [] : drawEvents(new RandomDraw(seed, streams.events), drawnFloods),
		meanRunMs: longRunningDraw.between(20_000, 60_000),
	};
}

function drawLongRunningJobs(draw: RandomDraw, longRunningMilli: number): readonly WaitingJob[] {
	const jobs: WaitingJob[] = [];
	let remainingMilli = longRunningMilli;
	while (remainingMilli > 0) {
		const processorsMilli = 100 * Math.round(draw.between(8, 80));
		const count = 2 + draw.index(8);
		const isSpread = draw.happens(0.3);
		remainingMilli -= count * processorsMilli;
		jobs.push({
			jobId: `lasting-${jobs.length}`,
			submittedAtMs: Math.round(draw.between(0, 2000)),
			priority: draw.happens(0.7) ? 'urgent' : 'normal',
			steps: [{
				count, demand: {processorsMilli, memoryMb: 512, accelerators: 0}, declaredRunTimeMs: 1000, longRunning: true, checkpoints: true, ...(isSpread && {maxTasksPerVm: 1 + draw.index(2)}),
			}],
		});
	}

	return jobs;
}

function drawFloods(draw: RandomDraw): readonly Flood[] {
	return Array.from({length: 1 + draw.index(3)}, () => {
		const fromMs = draw.between(4000, trafficMs - 15_000);
		return {fromMs, toMs: fromMs + draw.between(5000, 20_000)};
	});
}

/** Draws short jobs that demand a part of the processors that long-running jobs leave free, and more than all of them in a flood. */
function drawShortJobs(draw: RandomDraw, floods: readonly Flood[], freeProcessorsMilli: number): readonly WaitingJob[] {
	const normalLoadShare = draw.between(0.1, 0.5);
	const floodLoadShare = draw.between(1.2, 2.5);
	const largestMilli = draw.between(600, 2000);
	const jobs: WaitingJob[] = [];
	let atMs = 2000;
	while (atMs < trafficMs) {
		const step: Step = {
			count: 1 + draw.index(6), demand: {processorsMilli: Math.round(draw.between(200, largestMilli)), memoryMb: 64, accelerators: 0}, declaredRunTimeMs: Math.round(draw.between(300, 1700)),
		};
		jobs.push({
			jobId: `short-${jobs.length}`, submittedAtMs: Math.round(atMs), priority: 'urgent', steps: draw.happens(0.3) ? [step, {...step, dependsOn: [0]}] : [step],
		});
		const isFlood = isDuringFlood(atMs, floods);
		const workMilliMs = jobs.at(-1)!.steps.length * step.count * step.demand.processorsMilli * step.declaredRunTimeMs;
		atMs += workMilliMs / (freeProcessorsMilli * (isFlood ? floodLoadShare : normalLoadShare));
	}

	return jobs;
}

/** Draws short jobs whose tasks demand 2,750 millicores, more than any other short task, about one every 3 s. */
function drawLargeJobs(draw: RandomDraw): readonly WaitingJob[] {
	const jobs: WaitingJob[] = [];
	for (let atMs = 3000; atMs < trafficMs; atMs += draw.between(2000, 4000)) {
		jobs.push({
			jobId: `large-${jobs.length}`, submittedAtMs: Math.round(atMs), priority: 'urgent', steps: [{
				count: 1 + draw.index(2), demand: {processorsMilli: 2750, memoryMb: 64, accelerators: 0}, declaredRunTimeMs: Math.round(draw.between(500, 1500)),
			}],
		});
	}

	return jobs;
}

function isDuringFlood(atMs: number, floods: readonly Flood[]): boolean {
	return floods.some(({fromMs, toMs}) => atMs >= fromMs && atMs < toMs);
}

function drawEvents(draw: RandomDraw, floods: readonly Flood[]): readonly SiteEvent[] {
	const events: SiteEvent[] = [];
	const drawBackAfterMs = () => draw.happens(0.5) ? draw.between(5000, 20_000) : undefined;
	// On average half of the losses happen during a flood.
	const drawTimeMs = () => {
		const {fromMs, toMs} = draw.happens(0.5) ? floods[draw.index(floods.length)]! : {fromMs: 4000, toMs: trafficMs - 12_000};
		return Math.round(draw.between(fromMs, toMs));
	};

	for (let count = draw.index(3); count > 0; count--) {
		events.push({
			kind: 'worker-gone', atMs: drawTimeMs(), vm: draw.index(rackCount * vmsPerRack), noticedAfterMs: draw.between(300, 1500), backAfterMs: drawBackAfterMs(),
		});
	}

	for (let count = draw.index(2); count > 0; count--) {
		events.push({
			kind: 'vm-leaves', atMs: drawTimeMs(), vm: draw.index(rackCount * vmsPerRack), backAfterMs: drawBackAfterMs(),
		});
	}

	for (let count = draw.index(2); count > 0; count--) {
		events.push({
			kind: 'rack-lost', atMs: drawTimeMs(), rack: draw.index(rackCount), backAfterMs: drawBackAfterMs(),
		});
	}

	for (let count = draw.index(3); count > 0; count--) {
		events.push({kind: 'owner-restarts', atMs: drawTimeMs(), backAfterMs: draw.between(500, 2000)});
	}

	return events.toSorted((left, right) => left.atMs - right.atMs);
}
