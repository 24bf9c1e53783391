import test from 'ava';
import fc from 'fast-check';
import {Map as immutableMap} from 'immutable';
import {
	imagesToMove, planFillingShares, initialFillingThrottle, fillingShareMilliOf, updateFillingThrottle, type FillingThrottle,
} from './filling-throttle.js';
import {mergeLatencyImpacts} from './latency-impact-estimates.js';

/** Time between two measures, and the processors that the filling tasks of one image use at full pace. */
const measureMs = 500;
const processors = 4;
const vmProcessors = 16;

/** How often the tail of a serving task without load and neighbours fits into its target. */
const quietSlack = 4.5;

/** Largest slack that the worker's measures show apart: below it the queue grows without bound. */
const leastSlack = 0.05;

type Moment = Readonly<{pace: FillingThrottle; targetRatio: number; atMs: number}>;

type Simulated = Readonly<{
	/** Share by which a processor of each filling image makes the requests of the serving task longer. */
	pressAt: (atMs: number) => Readonly<Record<string, number>>;
	forMs: number;
	/** Part of its processors that the serving task uses. */
	loadAt?: (atMs: number) => number;
	start?: FillingThrottle;
}>;

/** Load that swings as that of the users' serving tasks does. */
const swinging = (atMs: number): number => 0.42 + (0.21 * Math.sin(atMs / 10_000 * 2 * Math.PI));

/** Plays a serving task that is a queue: filling work makes its requests longer, so that its tail grows faster the higher its load. */
function simulate({pressAt, forMs, loadAt = () => 0.42, start = initialFillingThrottle}: Simulated): readonly Moment[] {
	const history: Moment[] = [];
	let pace = start;
	for (let atMs = 0; atMs <= forMs; atMs += measureMs) {
		const press = Object.entries(pressAt(atMs));
		const tasks = {serving: [{taskId: 's1', image: 'lookup'}], demandCoresByImage: new Map(press.map(([image]) => [image, processors])), vmProcessors};
		pace = planFillingShares(pace, tasks, {mayRise: false});
		const current = pace;
		const filling = press.map(([image]) => {
			const used = processors * fillingShareMilliOf(current, image) / 1000;
			return {
				image, processors: used, wanted: used, isSettled: true,
			};
		});
		const longer = 1 + press.reduce((sum, [image, each]) => sum + (each * processors * fillingShareMilliOf(current, image) / 1000), 0);
		const targetRatio = Math.max(leastSlack, quietSlack * ((1 / longer) - loadAt(atMs)));
		pace = updateFillingThrottle(pace, {serving: [{taskId: 's1', image: 'lookup', targetRatio}], filling}, tasks, atMs);
		history.push({pace, targetRatio, atMs});
	}

	return history;
}

/** Longest time on end that the serving task is beyond its target. */
function longestBeyondMs(history: readonly Moment[]): number {
	let longest = 0;
	let current = 0;
	for (const {targetRatio} of history) {
		current = targetRatio < 1 ? current + measureMs : 0;
		longest = Math.max(longest, current);
	}

	return longest;
}

test('a serving task is back within its target in under four seconds, whatever the filling work does to it', t => {
	const press = fc.double({min: 0, max: 2, noNaN: true});
	const checked = fc.check(
		fc.property(press, press, (first, second) => longestBeyondMs(simulate({pressAt: () => ({first, second}), forMs: 30_000, loadAt: swinging})) < 4000),
		{seed: 7, numRuns: 400},
	);
	t.false(checked.failed, `counterexample ${JSON.stringify(checked.counterexample)}`);
});

test('filling work is not stopped for good where it does no harm', t => {
	const history = simulate({pressAt: () => ({stress: 0.005}), forMs: 20_000, loadAt: swinging});
	t.is(fillingShareMilliOf(history.at(-1)!.pace, 'stress'), 1000);
});

test('one image that presses does not keep the others slow', t => {
	const history = simulate({pressAt: () => ({heavy: 0.15, light: 0.002}), forMs: 30_000});
	const later = history.filter(({atMs}) => atMs > 10_000);
	t.true(later.every(({pace}) => fillingShareMilliOf(pace, 'light') >= 500), 'the harmless image is slow');
	t.true(fillingShareMilliOf(later.at(-1)!.pace, 'light') >= 900);
	t.true(later.every(({targetRatio}) => targetRatio >= 1), 'the serving task is beyond its target again and again');
	t.true(later.every(({pace}) => fillingShareMilliOf(pace, 'heavy') >= 40), 'the heavy image makes no progress');
});

test('a burst of tail latency does not keep filling work slow for many seconds after it has passed', t => {
	// A serving task that just started shows ten times its target for a second.
	const history = simulate({pressAt: atMs => atMs < 1200 ? {stress: 0.5} : {stress: 0.004}, forMs: 7200});
	t.true(fillingShareMilliOf(history.at(-1)!.pace, 'stress') >= 700, 'filling work is still slow');
});

test('an image that starts after the others is not beyond its target for four seconds', t => {
	const history = simulate({
		pressAt: (atMs): Readonly<Record<string, number>> => atMs < 6000 ? {light: 0.002} : {light: 0.002, heavy: 0.3}, forMs: 20_000, loadAt: swinging,
	});
	t.true(longestBeyondMs(history) < 4000, `${longestBeyondMs(history)} ms`);
});

test('no step is taken before the last one can show in the measures', t => {
	const tasks = {serving: [{taskId: 's1', image: 'lookup'}], demandCoresByImage: new Map([['stress', processors]]), vmProcessors};
	const sample = {
		image: 'stress', processors, wanted: processors, isSettled: true,
	};
	const measure = {serving: [{taskId: 's1', image: 'lookup', targetRatio: 0.3}], filling: [sample]};
	const first = updateFillingThrottle(initialFillingThrottle, measure, tasks, 1000);
	t.true(fillingShareMilliOf(first, 'stress') < 1000);
	t.is(updateFillingThrottle(first, measure, tasks, 1100), first);
});

test('a pair that is known to press starts slowed, before any measure on this VM', t => {
	const tasks = {serving: [{taskId: 's1', image: 'lookup'}], demandCoresByImage: new Map([['stress', processors]]), vmProcessors};
	const told = {
		...initialFillingThrottle, press: mergeLatencyImpacts(initialFillingThrottle.press, [{
			servingImage: 'lookup', fillingImage: 'stress', press: 0.7, variance: 0.01,
		}]),
	};
	t.true(fillingShareMilliOf(planFillingShares(told, tasks, {mayRise: false}), 'stress') <= 400);
});

test('a spell of high load alone does not stop work that is known to be harmless', t => {
	const history = simulate({
		pressAt: (atMs): Readonly<Record<string, number>> => atMs % 6000 < 2000 ? {} : {light: 0.001}, forMs: 30_000, loadAt: atMs => atMs > 15_000 && atMs < 18_000 ? 0.74 : 0.42,
	});
	const during = history.filter(({atMs}) => atMs > 15_500 && atMs < 18_000);
	t.true(during.every(({pace}) => fillingShareMilliOf(pace, 'light') >= 300), `shares ${during.map(({pace}) => fillingShareMilliOf(pace, 'light')).join(' ')}`);
});

test('work that can hardly proceed beside the serving tasks of a VM is moved, and work that can is not', t => {
	const heavy = simulate({pressAt: () => ({stress: 1}), forMs: 12_000});
	t.deepEqual(imagesToMove(heavy.at(-1)!.pace, 12_000), ['stress']);
	const light = simulate({pressAt: () => ({stress: 0.005}), forMs: 12_000});
	t.deepEqual(imagesToMove(light.at(-1)!.pace, 12_000), []);
});

test('a task that has just started and a share that has just risen are not taken for a shortage of processors', t => {
	const tasks = {serving: [], demandCoresByImage: new Map([['stress', processors]]), vmProcessors};
	const sample = {image: 'stress', processors: 1, wanted: processors};
	const started = updateFillingThrottle(initialFillingThrottle, {serving: [], filling: [{...sample, isSettled: false}]}, tasks, 1000);
	t.is(started.fillingRoomMilli, undefined);
	const risen = {...initialFillingThrottle, shareByImage: immutableMap({stress: 1000}), formerShareByImage: immutableMap({stress: 250})};
	t.is(updateFillingThrottle(risen, {serving: [], filling: [{...sample, isSettled: true}]}, tasks, 1000).fillingRoomMilli, undefined);
	t.is(updateFillingThrottle(initialFillingThrottle, {serving: [], filling: [{...sample, isSettled: true}]}, tasks, 1000).fillingRoomMilli, 1000);
});
