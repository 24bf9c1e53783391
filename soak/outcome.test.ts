import test from 'ava';
import {type ExecutorEvent} from '../stand-ins/executor-stand-in.js';
import {findBrokenPromises, longestWaitMs, type Observations} from './outcome.js';

const taskId = 'a.0.0.0';
const started = (atMs: number, executorId = 'i-1'): ExecutorEvent => ({
	kind: 'started', atMs, executorId, taskId, run: 1, payload: '',
});
const ended = (atMs: number, executorId = 'i-1'): ExecutorEvent => ({
	kind: 'ended', atMs, executorId, taskId, run: 1, outcome: 'done',
});
const noted = (atMs: number, hasLapsed = false): ExecutorEvent => ({
	kind: 'noted', atMs, executorId: 'i-1', taskId, run: 1, outcome: 'done', hasLapsed,
});
const countBroken = (events: readonly ExecutorEvent[], fields: Partial<Observations> = {}): number => findBrokenPromises({
	events, refusedJobs: new Set(), lastingTasks: new Map(), faults: [], endMs: 20_000, ...fields,
}).length;

test('a task that runs twice at a time, or again after its acknowledged end, breaks a promise', t => {
	t.is(countBroken([started(0), started(10, 'i-2')]), 1);
	t.is(countBroken([started(0), ended(10), noted(20), started(30)]), 1);
	t.is(countBroken([started(0), ended(10), started(30)]), 0);
	t.is(countBroken([started(0), ended(10), started(30, 'i-2'), noted(40)]), 1);
	t.is(countBroken([started(0), ended(10), started(30, 'i-2'), noted(40, true)]), 0);
	t.is(countBroken([started(0), started(10, 'i-2'), ended(20, 'i-2'), started(30, 'i-3')]), 2);
	t.is(countBroken([started(0)], {refusedJobs: new Set(['a'])}), 1);
});

/** Guards against jobs that run after their cancellation was acknowledged. */
test('a task that starts or runs on over 3 s after the cancellation of its job breaks a promise unless faults were near', t => {
	const cancelledJobs = new Map([['a', 1000]]);
	t.is(countBroken([started(3900), ended(4500)], {cancelledJobs}), 0);
	t.is(countBroken([started(4100), ended(4500)], {cancelledJobs}), 1);
	t.is(countBroken([started(4100), ended(4500)], {cancelledJobs, faults: [{fromMs: 0, untilMs: 2000}]}), 0);
	t.is(countBroken([started(5100), ended(5500)], {cancelledJobs, faults: [{fromMs: 0, untilMs: 2000}]}), 1);
	t.is(countBroken([started(900)], {cancelledJobs}), 1);
});

/** Guards against starts in an evacuated failure domain, and against a check that sees none. */
test('a start over 5 s after the evacuation of the executor\'s failure domain breaks a promise, over 11 s while faults were near', t => {
	const evacuations = [{executorId: 'i-1', fromMs: 1000, untilMs: 15_000}];
	t.is(countBroken([started(5900)], {evacuations}), 0);
	t.is(countBroken([started(6100)], {evacuations}), 1);
	t.is(countBroken([started(6100, 'i-2')], {evacuations}), 0);
	t.is(countBroken([started(15_100)], {evacuations}), 0);
	const faults = [{fromMs: 4000, untilMs: 4500}];
	t.is(countBroken([started(11_900)], {evacuations, faults}), 0);
	t.is(countBroken([started(12_100)], {evacuations, faults}), 1);
});

test('a task that lasts and waits for over 9 s breaks a promise unless faults were near', t => {
	const lastingTasks = new Map([[taskId, 0]]);
	t.is(countBroken([started(0), ended(1000)], {lastingTasks}), 1);
	t.is(countBroken([started(0), ended(1000), started(9900)], {lastingTasks}), 0);
	t.is(countBroken([started(0), ended(1000), started(11_000)], {lastingTasks, faults: [{fromMs: 3500, untilMs: 4500}]}), 0);
	t.is(countBroken([started(0), ended(1000), started(11_700)], {lastingTasks, faults: [{fromMs: 3500, untilMs: 4500}]}), 1);
});

test('a task that lasts and waits for over 9 s after its acceptance, or to the end of the run, breaks a promise', t => {
	const lastingTasks = new Map([[taskId, 1000]]);
	t.is(countBroken([started(10_300)], {lastingTasks}), 1);
	t.is(countBroken([started(9900)], {lastingTasks}), 0);
	t.is(countBroken([], {lastingTasks}), 1);
	t.is(countBroken([started(500), ended(12_000)], {lastingTasks}), 0);
	t.is(countBroken([started(500), ended(9900)], {lastingTasks}), 1);
});

test('the calm before a wait of over 9 s begins with the end of the last fault, and a loss lasts no longer than the moment of it', t => {
	const lastingTasks = new Map([[taskId, 0]]);
	const loss = {fromMs: 1000, untilMs: 1000};
	t.is(countBroken([started(0), ended(1000), started(10_200)], {lastingTasks, faults: [loss]}), 1);
	t.is(countBroken([started(0), ended(1000), started(10_200)], {lastingTasks, faults: [loss, {fromMs: 2000, untilMs: 3400}]}), 0);
	t.is(countBroken([started(0), ended(1000)], {lastingTasks, faults: [loss, {fromMs: 9000, untilMs: Number.POSITIVE_INFINITY}]}), 0);
});

test('the longest wait counts in faults too', t => {
	const observations: Observations = {
		events: [started(100), ended(1000), started(3500), ended(19_000)], refusedJobs: new Set(), lastingTasks: new Map([[taskId, 0]]), faults: [{fromMs: 0, untilMs: 9000}], endMs: 20_000,
	};
	t.is(longestWaitMs(observations), 2500);
});
