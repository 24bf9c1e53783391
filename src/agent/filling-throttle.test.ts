import test from 'ava';
import fc from 'fast-check';
import {Map as immutableMap} from 'immutable';
import {
	imagesToMove, planFillingShares, initialFillingThrottle, fillingShareMilliOf, updateFillingThrottle, type FillingThrottle,
} from './filling-throttle.js';
import {mergeLatencyImpacts} from './latency-impact-estimates.js';

/** Time between two measurements, processors that the unthrottled filling tasks of one image use, and processors of the VM. */
const measurementMs = 500;
const processors = 4;
const vmProcessors = 16;

/** Target ratio of a serving task without load and neighbours. */
const unloadedTargetRatio = 4.5;

/** Smallest target ratio that the simulated worker measures: below it, the queue grows without bound. */
const minTargetRatio = 0.05;

type Moment = Readonly<{throttle: FillingThrottle; targetRatio: number; atMs: number}>;

type Simulated = Readonly<{
	/** Share by which each processor that the tasks of a filling image use prolongs the requests of the serving task, by image. */
	impactAt: (atMs: number) => Readonly<Record<string, number>>;
	forMs: number;
	/** Share of its processors that the serving task uses. */
	loadAt?: (atMs: number) => number;
	start?: FillingThrottle;
}>;

/** Load that varies as that of the users' serving tasks does. */
const varyingLoad = (atMs: number): number => 0.42 + (0.21 * Math.sin(atMs / 10_000 * 2 * Math.PI));

/** Simulates a serving task as a queue: filling work prolongs its requests, so its tail latency grows faster the higher its load is. */
function simulate({impactAt, forMs, loadAt = () => 0.42, start = initialFillingThrottle}: Simulated): readonly Moment[] {
	const history: Moment[] = [];
	let throttle = start;
	for (let atMs = 0; atMs <= forMs; atMs += measurementMs) {
		const impacts = Object.entries(impactAt(atMs));
		const tasks = {serving: [{taskId: 's1', image: 'lookup'}], demandCoresByImage: new Map(impacts.map(([image]) => [image, processors])), vmProcessors};
		throttle = planFillingShares(throttle, tasks, {mayRise: false});
		const current = throttle;
		const filling = impacts.map(([image]) => {
			const used = processors * fillingShareMilliOf(current, image) / 1000;
			return {
				image, processors: used, demandCores: used, coversWholeWindow: true,
			};
		});
		const prolongation = 1 + impacts.reduce((sum, [image, each]) => sum + (each * processors * fillingShareMilliOf(current, image) / 1000), 0);
		const targetRatio = Math.max(minTargetRatio, unloadedTargetRatio * ((1 / prolongation) - loadAt(atMs)));
		throttle = updateFillingThrottle(throttle, {serving: [{taskId: 's1', image: 'lookup', targetRatio}], filling}, tasks, atMs);
		history.push({throttle, targetRatio, atMs});
	}

	return history;
}

/** Returns the longest uninterrupted time for which the serving task misses its target. */
function longestBeyondMs(history: readonly Moment[]): number {
	let longest = 0;
	let current = 0;
	for (const {targetRatio} of history) {
		current = targetRatio < 1 ? current + measurementMs : 0;
		longest = Math.max(longest, current);
	}

	return longest;
}

test('a serving task is within its target again in under four seconds, whatever the latency impact of the filling work', t => {
	const impact = fc.double({min: 0, max: 2, noNaN: true});
	const checked = fc.check(
		fc.property(impact, impact, (first, second) => longestBeyondMs(simulate({impactAt: () => ({first, second}), forMs: 30_000, loadAt: varyingLoad})) < 4000),
		{seed: 7, numRuns: 400},
	);
	t.false(checked.failed, `counterexample ${JSON.stringify(checked.counterexample)}`);
});

test('filling work without latency impact is not throttled for good', t => {
	const history = simulate({impactAt: () => ({stress: 0.005}), forMs: 20_000, loadAt: varyingLoad});
	t.is(fillingShareMilliOf(history.at(-1)!.throttle, 'stress'), 1000);
});

test('an image with a high latency impact does not keep the others throttled', t => {
	const history = simulate({impactAt: () => ({heavy: 0.15, light: 0.002}), forMs: 30_000});
	const later = history.filter(({atMs}) => atMs > 10_000);
	t.true(later.every(({throttle}) => fillingShareMilliOf(throttle, 'light') >= 500), 'the image without impact is throttled');
	t.true(fillingShareMilliOf(later.at(-1)!.throttle, 'light') >= 900);
	t.true(later.every(({targetRatio}) => targetRatio >= 1), 'the serving task misses its target repeatedly');
	t.true(later.every(({throttle}) => fillingShareMilliOf(throttle, 'heavy') >= 40), 'the heavy image makes no progress');
});

test('a burst of tail latency does not keep filling work throttled for many seconds after it has passed', t => {
	// The tail latency of a serving task that just started is ten times its target for a second.
	const history = simulate({impactAt: atMs => atMs < 1200 ? {stress: 0.5} : {stress: 0.004}, forMs: 7200});
	t.true(fillingShareMilliOf(history.at(-1)!.throttle, 'stress') >= 700, 'filling work is still throttled');
});

test('an image that starts after the others does not keep the serving task beyond its target for four seconds', t => {
	const history = simulate({
		impactAt: (atMs): Readonly<Record<string, number>> => atMs < 6000 ? {light: 0.002} : {light: 0.002, heavy: 0.3}, forMs: 20_000, loadAt: varyingLoad,
	});
	t.true(longestBeyondMs(history) < 4000, `${longestBeyondMs(history)} ms`);
});

test('shares do not change again before a measurement can show the effect of the last change', t => {
	const tasks = {serving: [{taskId: 's1', image: 'lookup'}], demandCoresByImage: new Map([['stress', processors]]), vmProcessors};
	const sample = {
		image: 'stress', processors, demandCores: processors, coversWholeWindow: true,
	};
	const measurement = {serving: [{taskId: 's1', image: 'lookup', targetRatio: 0.3}], filling: [sample]};
	const first = updateFillingThrottle(initialFillingThrottle, measurement, tasks, 1000);
	t.true(fillingShareMilliOf(first, 'stress') < 1000);
	t.is(updateFillingThrottle(first, measurement, tasks, 1100), first);
});

test('a filling image with a known latency impact starts throttled, before any measurement on this VM', t => {
	const tasks = {serving: [{taskId: 's1', image: 'lookup'}], demandCoresByImage: new Map([['stress', processors]]), vmProcessors};
	const reported = {
		...initialFillingThrottle, latencyImpacts: mergeLatencyImpacts(initialFillingThrottle.latencyImpacts, [{
			servingImage: 'lookup', fillingImage: 'stress', press: 0.7, variance: 0.01,
		}]),
	};
	t.true(fillingShareMilliOf(planFillingShares(reported, tasks, {mayRise: false}), 'stress') <= 400);
});

test('a period of high load alone does not stop work that is known to have no latency impact', t => {
	const history = simulate({
		impactAt: (atMs): Readonly<Record<string, number>> => atMs % 6000 < 2000 ? {} : {light: 0.001}, forMs: 30_000, loadAt: atMs => atMs > 15_000 && atMs < 18_000 ? 0.74 : 0.42,
	});
	const during = history.filter(({atMs}) => atMs > 15_500 && atMs < 18_000);
	t.true(during.every(({throttle}) => fillingShareMilliOf(throttle, 'light') >= 300), `shares ${during.map(({throttle}) => fillingShareMilliOf(throttle, 'light')).join(' ')}`);
});

test('only filling work that the serving tasks of a VM nearly stop is relocated', t => {
	const heavy = simulate({impactAt: () => ({stress: 1}), forMs: 12_000});
	t.deepEqual(imagesToMove(heavy.at(-1)!.throttle, 12_000), ['stress']);
	const light = simulate({impactAt: () => ({stress: 0.005}), forMs: 12_000});
	t.deepEqual(imagesToMove(light.at(-1)!.throttle, 12_000), []);
});

test('a task that has just started and a share that has just risen are not treated as a shortage of processors', t => {
	const tasks = {serving: [], demandCoresByImage: new Map([['stress', processors]]), vmProcessors};
	const sample = {image: 'stress', processors: 1, demandCores: processors};
	const started = updateFillingThrottle(initialFillingThrottle, {serving: [], filling: [{...sample, coversWholeWindow: false}]}, tasks, 1000);
	t.is(started.fillingRoomMilli, undefined);
	const risen = {...initialFillingThrottle, shareByImage: immutableMap({stress: 1000}), previousShareByImage: immutableMap({stress: 250})};
	t.is(updateFillingThrottle(risen, {serving: [], filling: [{...sample, coversWholeWindow: true}]}, tasks, 1000).fillingRoomMilli, undefined);
	t.is(updateFillingThrottle(initialFillingThrottle, {serving: [], filling: [{...sample, coversWholeWindow: true}]}, tasks, 1000).fillingRoomMilli, 1000);
});
