import {
	type BackendServerJournal, type CallerJournal, type TaskRun, type WorkerJournal,
} from '../stand-ins/journal.js';

export type Journals = Readonly<{
	callers: readonly CallerJournal[];
	backendServers: readonly BackendServerJournal[];
	workers: readonly WorkerJournal[];
	/** IDs of the submitted tasks. */
	taskIds: readonly string[];
}>;

/** Totals from the journals of the stand-ins, with a line in `findings` for each loss, each doubled run and some of the failed requests. */
export type Outcome = Readonly<{
	requests: number;
	answered: number;
	refused: number;
	lost: number;
	doubled: number;
	tasks: number;
	finished: number;
	evictions: number;
	p99Ms: number;
	findings: readonly string[];
}>;

/** Difference in milliseconds of work that two journals may have because of rounding. */
const workToleranceMs = 0.01;

/** Returns the number of runs of each request on all backend servers. */
function runsById(journals: readonly BackendServerJournal[]): ReadonlyMap<string, number> {
	const sums = new Map<string, number>();
	for (const journal of journals) {
		for (const [requestId, runs] of Object.entries(journal.runsByRequestId)) {
			sums.set(requestId, (sums.get(requestId) ?? 0) + runs);
		}
	}

	return sums;
}

/** Returns the runs of each task on all workers, in the order of their start. */
function runsByTask(journals: readonly WorkerJournal[]): ReadonlyMap<string, readonly TaskRun[]> {
	const runs = journals.flatMap(journal => journal.runs).toSorted((left, right) => left.startedAtMonotonicMs - right.startedAtMonotonicMs);
	const byTask = new Map<string, TaskRun[]>();
	for (const run of runs) {
		byTask.set(run.taskId, [...byTask.get(run.taskId) ?? [], run]);
	}

	return byTask;
}

/** Describes the work that was lost or done twice between consecutive runs of a task. */
function checkTaskRuns(taskId: string, runs: readonly TaskRun[]): Readonly<{lost: string[]; doubled: string[]}> {
	const lost: string[] = [];
	const doubled: string[] = [];
	for (const [index, run] of runs.entries()) {
		const previous = runs[index - 1];
		if (!previous) {
			continue;
		}

		if (previous.phase === 'finished') {
			doubled.push(`task ${taskId} attempt ${run.attempt} ran after attempt ${previous.attempt} had finished`);
		}

		if (previous.endedAtMonotonicMs === null || previous.endedAtMonotonicMs > run.startedAtMonotonicMs) {
			doubled.push(`task ${taskId} attempts ${previous.attempt} and ${run.attempt} ran at the same time`);
		} else if (previous.phase === 'checkpointed' && run.workFromMs < previous.workToMs - workToleranceMs) {
			doubled.push(`task ${taskId} attempt ${run.attempt} repeated work of attempt ${previous.attempt}`);
		} else if (run.workFromMs > previous.workToMs + workToleranceMs) {
			lost.push(`task ${taskId} attempt ${run.attempt} skipped work after attempt ${previous.attempt}`);
		}
	}

	return {lost, doubled};
}

/**
Computes the outcome from the journals of the stand-ins alone. Only keyed orders and tasks count as doubled, since lookups and
documents are idempotent and may run more than once.

@example
computeOutcome({callers: [], backendServers: [], workers: [], taskIds: []}).lost;
// => 0
*/
export function computeOutcome(journals: Journals): Outcome {
	const lost: string[] = [];
	const doubled: string[] = [];
	const totals = {
		requests: 0, answered: 0, refused: 0, lostRequests: 0, p99Ms: 0,
	};
	const runs = runsById(journals.backendServers);

	for (const caller of journals.callers) {
		totals.requests += caller.requests;
		totals.answered += caller.answered;
		totals.refused += caller.refused;
		totals.lostRequests += caller.unknown + caller.failed + caller.wrong;
		// The journals contain no histograms to merge, so the largest p99 of a caller is reported for all callers.
		totals.p99Ms = Math.max(totals.p99Ms, caller.p99Ms);
		lost.push(...caller.ordersAnswered.filter(orderId => !runs.has(orderId)).map(orderId => `order ${orderId} was answered and did not run`));
		doubled.push(
			...caller.ordersRefused.filter(orderId => runs.has(orderId)).map(orderId => `order ${orderId} was refused as not run and did run`),
			...caller.ordersAnswered.filter(orderId => (runs.get(orderId) ?? 0) > 1).map(orderId => `order ${orderId} ran ${runs.get(orderId)} times`),
		);
	}

	for (const {backendServerId, cutByOwnStop} of journals.backendServers) {
		lost.push(...Array.from({length: cutByOwnStop}, () => `the stop of ${backendServerId} cut a request in flight`));
	}

	const taskRuns = runsByTask(journals.workers);
	let finished = 0;
	for (const taskId of journals.taskIds) {
		const runsOfTask = taskRuns.get(taskId) ?? [];
		const problems = checkTaskRuns(taskId, runsOfTask);
		lost.push(...problems.lost);
		doubled.push(...problems.doubled);
		finished += runsOfTask.some(run => run.phase === 'finished') ? 1 : 0;
	}

	return {
		requests: totals.requests,
		answered: totals.answered,
		refused: totals.refused,
		lost: lost.length + totals.lostRequests,
		doubled: doubled.length,
		tasks: journals.taskIds.length,
		finished,
		evictions: [...taskRuns.values()].flat().filter(run => run.phase === 'checkpointed').length,
		p99Ms: totals.p99Ms,
		findings: [...lost, ...doubled, ...journals.callers.flatMap(caller => caller.examples)],
	};
}

/** Returns the summary that the demo prints as its last line. */
export function formatOutcome(outcome: Outcome): string {
	const {requests, answered, refused, lost, doubled, tasks, finished, evictions, p99Ms} = outcome;
	return `requests=${requests} answered=${answered} refused=${refused} lost=${lost} doubled=${doubled} tasks=${tasks} finished=${finished} evictions=${evictions} p99_ms=${p99Ms.toFixed(1)}`;
}
