import test from 'ava';
import {type ExecutorEvent} from '../stand-ins/executor-stand-in.js';
import {findBrokenPromises, type Observations} from './outcome.js';

const taskId = 'a.0.0.0';
const started = (atMs: number, executorId = 'i-1'): ExecutorEvent => ({
	kind: 'started', atMs, executorId, taskId, run: 1, payload: '',
});
const ended = (atMs: number, kind: 'ended' | 'noted' = 'ended'): ExecutorEvent => ({
	kind, atMs, executorId: 'i-1', taskId, run: 1, outcome: 'done',
});
const countBroken = (events: readonly ExecutorEvent[], fields: Partial<Observations> = {}): number => findBrokenPromises({
	events, refusedJobs: new Set(), lastingTasks: new Set(), faults: [], endMs: 20_000, ...fields,
}).length;

test('a task that runs twice at a time, or again after its acknowledged end, breaks a promise', t => {
	t.is(countBroken([started(0), started(10, 'i-2')]), 1);
	t.is(countBroken([started(0), ended(10), ended(20, 'noted'), started(30)]), 1);
	t.is(countBroken([started(0), ended(10), started(30)]), 0);
	t.is(countBroken([started(0)], {refusedJobs: new Set(['a'])}), 1);
});

test('a task that lasts and waits for over 9 s breaks a promise unless faults were near', t => {
	const lastingTasks = new Set([taskId]);
	t.is(countBroken([started(0), ended(1000)], {lastingTasks}), 1);
	t.is(countBroken([started(0), ended(1000), started(9900)], {lastingTasks}), 0);
	t.is(countBroken([started(0), ended(1000), started(11_000)], {lastingTasks, faults: [{fromMs: 3500, untilMs: 4500}]}), 0);
	t.is(countBroken([started(0), ended(1000), started(11_700)], {lastingTasks, faults: [{fromMs: 3500, untilMs: 4500}]}), 1);
});
