import {
	addResources, fitsInto, subtractResources, noResources, type Resources,
} from '../src/cluster/resources.js';
import {type TaskRun, type WorkerJournal} from '../stand-ins/journal.js';

/** A time window on the machine's monotonic clock. */
export type TimeWindow = Readonly<{fromMs: number; toMs: number}>;

/**
Computes the work that runs did within a window, in milliseconds of work. The work of a run is assumed to be spread evenly over its time.

@example
workWithin([run], {fromMs: 0, toMs: 500}); // => 500 for a run at full speed over the whole window
*/
export function workWithin(runs: readonly TaskRun[], {fromMs, toMs}: TimeWindow): number {
	let workMs = 0;
	for (const {startedAtMonotonicMs, endedAtMonotonicMs, workFromMs, workToMs} of runs) {
		if (endedAtMonotonicMs !== null && endedAtMonotonicMs > startedAtMonotonicMs) {
			const overlapMs = Math.max(0, Math.min(toMs, endedAtMonotonicMs) - Math.max(fromMs, startedAtMonotonicMs));
			workMs += (workToMs - workFromMs) * overlapMs / (endedAtMonotonicMs - startedAtMonotonicMs);
		}
	}

	return workMs;
}

/**
Counts the task starts after which the running tasks of a worker and the resources that its VM reserves for services exceed its capacity.

@example
countOvercommitted(journal, {demandOf: () => demand, reserved: noResources, capacity}); // => 0
*/
export function countOvercommitted(
	{runs}: WorkerJournal,
	vm: Readonly<{demandOf: (taskId: string) => Resources; reserved: Resources; capacity: Resources}>,
): number {
	// At equal times an end comes first: the worker releases the resources before it starts the next task.
	const changes = runs
		.flatMap(({taskId, startedAtMonotonicMs, endedAtMonotonicMs}) => [
			{atMs: startedAtMonotonicMs, starts: true, demand: vm.demandOf(taskId)},
			...endedAtMonotonicMs === null ? [] : [{atMs: endedAtMonotonicMs, starts: false, demand: vm.demandOf(taskId)}],
		])
		.toSorted((left, right) => left.atMs - right.atMs || Number(left.starts) - Number(right.starts));
	let used = addResources(noResources, vm.reserved);
	let overcommitted = 0;
	for (const {starts, demand} of changes) {
		used = starts ? addResources(used, demand) : subtractResources(used, demand);
		overcommitted += starts && !fitsInto(used, vm.capacity) ? 1 : 0;
	}

	return overcommitted;
}
