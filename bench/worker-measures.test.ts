import test from 'ava';
import {noResources, type Resources} from '../src/cluster/resources.js';
import {type TaskRun} from '../stand-ins/journal.js';
import {countOvercommitted, workWithin} from './worker-measures.js';

function runOf(taskId: string, startedAtMonotonicMs: number, endedAtMonotonicMs: number): TaskRun {
	return {
		taskId, attempt: 1, startedAtMonotonicMs, endedAtMonotonicMs, phase: 'finished', workFromMs: 0, workToMs: (endedAtMonotonicMs - startedAtMonotonicMs) / 2,
	};
}

test('only the work of a run within the window counts', t => {
	t.is(workWithin([runOf('a', 0, 1000)], {fromMs: 500, toMs: 5000}), 250);
	t.is(workWithin([runOf('a', 0, 1000)], {fromMs: 1000, toMs: 5000}), 0);
});

test('a start beyond the capacity counts as overcommitted, and a start at the end of another run does not', t => {
	const demand: Resources = {processorsMilli: 2000, memoryMb: 0, accelerators: 0};
	const vm = {demandOf: () => demand, reserved: noResources, capacity: {processorsMilli: 4000, memoryMb: 1, accelerators: 0}};
	const runs = [runOf('a', 0, 10), runOf('b', 5, 20), runOf('c', 10, 30)];
	t.is(countOvercommitted({workerId: 'w', runs}, vm), 0);
	t.is(countOvercommitted({workerId: 'w', runs: [...runs, runOf('d', 15, 16)]}, vm), 1);
	t.is(countOvercommitted({workerId: 'w', runs}, {...vm, reserved: demand}), 2);
});
