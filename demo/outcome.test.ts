import test from 'ava';
import {type BackendServerJournal, type CallerJournal, type TaskRun} from '../stand-ins/journal.js';
import {computeOutcome, formatOutcome, type Journals} from './outcome.js';

const caller: CallerJournal = {
	requests: 3, answered: 2, refused: 1, unknown: 0, failed: 0, wrong: 0, retries: 0, p50Ms: 1, p99Ms: 2, maxMs: 3, ordersAnswered: ['o1'], ordersRefused: ['o2'], examples: [],
};
const backendServer: BackendServerJournal = {
	backendServerId: 'b1', started: 2, answered: 2, cutByOwnStop: 0, cutByAgent: 0, mostConcurrent: 1, runsByRequestId: {o1: 1, l1: 1}, runsByKey: {},
};
const first: TaskRun = {
	taskId: 't', attempt: 1, startedAtMonotonicMs: 0, endedAtMonotonicMs: 10, phase: 'checkpointed', workFromMs: 0, workToMs: 10,
};
const second: TaskRun = {
	taskId: 't', attempt: 2, startedAtMonotonicMs: 20, endedAtMonotonicMs: 30, phase: 'finished', workFromMs: 10, workToMs: 20,
};

function journals(changes: Readonly<{caller?: Partial<CallerJournal>; backendServer?: Partial<BackendServerJournal>; runs?: readonly TaskRun[]}> = {}): Journals {
	const [onFirst = first, ...onSecond] = changes.runs ?? [first, second];
	return {
		callers: [{...caller, ...changes.caller}],
		backendServers: [{...backendServer, ...changes.backendServer}],
		workers: [{workerId: 'w1', runs: [onFirst]}, {workerId: 'w2', runs: onSecond}],
		taskIds: ['t'],
	};
}

test('journals of a run without faults are reported without losses and doubled runs', t => {
	t.is(
		formatOutcome(computeOutcome(journals())),
		'requests=3 answered=2 refused=1 lost=0 doubled=0 tasks=1 finished=1 evictions=1 p99_ms=2.0',
	);
});

test('an order that ran twice, or ran although it was refused, is counted as doubled', t => {
	t.is(computeOutcome(journals({backendServer: {runsByRequestId: {o1: 2}}})).doubled, 1);
	t.is(computeOutcome(journals({backendServer: {runsByRequestId: {o1: 1, o2: 1}}})).doubled, 1);
});

test('an answered order that did not run, a request without a correct answer and a request cut by a stop are counted as lost', t => {
	t.is(computeOutcome(journals({backendServer: {runsByRequestId: {}}})).lost, 1);
	t.is(computeOutcome(journals({caller: {unknown: 1, failed: 1, wrong: 1}})).lost, 3);
	t.is(computeOutcome(journals({backendServer: {cutByOwnStop: 2}})).lost, 2);
});

test('a task that runs twice at the same time, runs after its end or repeats work is counted as doubled', t => {
	t.is(computeOutcome(journals({runs: [first, {...second, startedAtMonotonicMs: 5}]})).doubled, 1);
	t.is(computeOutcome(journals({runs: [{...first, endedAtMonotonicMs: null, phase: 'running'}, second]})).doubled, 1);
	t.is(computeOutcome(journals({runs: [{...first, phase: 'finished'}, second]})).doubled, 1);
	t.is(computeOutcome(journals({runs: [first, {...second, workFromMs: 0}]})).doubled, 1);
});

test('work that a resumed task skips is counted as lost, and a task that never finished is not counted as finished', t => {
	t.is(computeOutcome(journals({runs: [first, {...second, workFromMs: 15}]})).lost, 1);
	t.is(computeOutcome(journals({runs: [first]})).finished, 0);
});
