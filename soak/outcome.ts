import {type ExecutorEvent} from '../stand-ins/executor-stand-in.js';

/** A period of faults; times are of the monotonic clock. */
export type FaultPeriod = Readonly<{fromMs: number; untilMs: number}>;

/** A time in which the operator's request to evacuate the failure domain of an executor stood. */
export type EvacuationPeriod = FaultPeriod & Readonly<{executorId: string}>;

/** What clients and executors saw in a run. */
export type Observations = Readonly<{
	events: readonly ExecutorEvent[];
	/** Jobs all of whose submissions were refused with 429 or 503. */
	refusedJobs: ReadonlySet<string>;
	/** Tasks that last, with the time at which they were accepted. */
	lastingTasks: ReadonlyMap<string, number>;
	/** Jobs whose cancellation was acknowledged, with the time. */
	cancelledJobs?: ReadonlyMap<string, number>;
	faults: readonly FaultPeriod[];
	evacuations?: readonly EvacuationPeriod[];
	endMs: number;
}>;

/** A task that lasts runs again this long after its last run, when the time before was calm. */
const restartBoundMs = 9000;

/** The last 3 s of the bound and the 4 s before them have to be calm. */
const calmMs = 7000;

const stepMs = 100;

/** After this time in the calm, no task of a cancelled job starts or runs. */
const cancelMs = 3000;

/** A VM that a fault has affected keeps the promises about cancelled jobs again after this time. */
const inTouchMs = 3000;

/** From this time after the request, nothing starts in an evacuated failure domain, and as much later as a process may have been cut off from the store. */
const evacuateMs = 5000;
const cutOffMs = 6000;

type Gap = Readonly<{taskId: string; fromMs: number; untilMs: number}>;

/** Returns the times in which no executor ran a task, from when it was accepted. */
function gapsOf(taskId: string, acceptedAtMs: number, events: readonly ExecutorEvent[], endMs: number): readonly Gap[] {
	const gaps: Gap[] = [];
	let endedAtMs: number | undefined = acceptedAtMs;
	for (const event of events.filter(event => event.taskId === taskId)) {
		if (event.kind === 'ended') {
			endedAtMs = event.atMs;
		} else if (event.kind === 'started' && endedAtMs !== undefined) {
			gaps.push({taskId, fromMs: endedAtMs, untilMs: event.atMs});
			endedAtMs = undefined;
		}
	}

	return endedAtMs === undefined ? gaps : [...gaps, {taskId, fromMs: endedAtMs, untilMs: endMs}];
}

function gapsOfAll({events, lastingTasks, endMs}: Observations): readonly Gap[] {
	return [...lastingTasks].flatMap(([taskId, acceptedAtMs]) => gapsOf(taskId, acceptedAtMs, events, endMs));
}

/**
Returns the longest time for which a task that lasts did not run, in faults or not.

@example
longestWaitMs({events, refusedJobs: new Set(), lastingTasks: new Map([['a.0.0.0', 0]]), faults: [], endMs: 9000}); // => 4210
*/
export function longestWaitMs(observations: Observations): number {
	return Math.max(0, ...gapsOfAll(observations).map(({fromMs, untilMs}) => untilMs - fromMs));
}

function findForbiddenGaps(observations: Observations): readonly string[] {
	// With all failure domains evacuated, no task can run again.
	const disturbances = [...observations.faults, ...observations.evacuations ?? []];
	const isCalm = (atMs: number): boolean => disturbances.every(({fromMs, untilMs}) => untilMs < atMs - calmMs || fromMs > atMs);
	return gapsOfAll(observations).flatMap(({taskId, fromMs, untilMs}) => {
		for (let atMs = fromMs + restartBoundMs; atMs < untilMs; atMs += stepMs) {
			if (isCalm(atMs)) {
				return [`${taskId} lasts and did not run for ${Math.round(untilMs - fromMs)} ms from ${Math.round(fromMs)}, at ${Math.round(atMs)} after a calm of ${calmMs}`];
			}
		}

		return [];
	});
}

type Run = Readonly<Pick<ExecutorEvent, 'taskId' | 'executorId' | 'run'>>;

const keyOf = ({taskId, executorId, run}: Run): string => `${taskId} ${run} ${executorId}`;

/** Returns the tasks that started after the cancellation of their job, or run on, although the time since was calm. */
function findCancelledWork({events, cancelledJobs = new Map(), faults, endMs}: Observations): readonly string[] {
	const isDue = (taskId: string, atMs: number): boolean => {
		const boundMs = (cancelledJobs.get(taskId.split('.')[0]!) ?? Number.POSITIVE_INFINITY) + cancelMs;
		return atMs > boundMs && faults.every(({fromMs, untilMs}) => untilMs < atMs - inTouchMs || fromMs > atMs);
	};

	const running = new Set<string>();
	const broken: string[] = [];
	for (const event of events) {
		if (event.kind === 'started') {
			running.add(keyOf(event));
			if (isDue(event.taskId, event.atMs)) {
				broken.push(`run ${event.run} of ${event.taskId} started on ${event.executorId} at ${Math.round(event.atMs)}, although its job was cancelled`);
			}
		} else if (event.kind === 'ended') {
			running.delete(keyOf(event));
		}
	}

	const runningOn = [...running].filter(key => isDue(key.split(' ')[0]!, endMs));
	return [...broken, ...runningOn.map(key => `${key} runs on, although its job was cancelled`)];
}

/** Returns the starts in failure domains that were evacuated for longer than the bound. It is extended while another fault may have cut a process off. */
function findEvacuatedStarts({events, evacuations = [], faults}: Observations): readonly string[] {
	return events.filter(({kind}) => kind === 'started').flatMap(({taskId, run, executorId, atMs}) => evacuations
		.filter(period => period.executorId === executorId && period.fromMs <= atMs && atMs <= period.untilMs)
		.flatMap(({fromMs}) => {
			const boundMs = evacuateMs + (faults.some(fault => fault.untilMs >= fromMs - cutOffMs && fault.fromMs <= atMs) ? cutOffMs : 0);
			return atMs > fromMs + boundMs
				? [`run ${run} of ${taskId} started on ${executorId} at ${Math.round(atMs)}, ${Math.round(atMs - fromMs)} ms after its failure domain was evacuated, where ${boundMs} ms are allowed`]
				: [];
		}));
}

/** Returns the time of each end as done that was acknowledged, then or later, while the executor's lease lasted, by task. */
function acknowledgedEndsOf(events: readonly ExecutorEvent[]): ReadonlyMap<string, number> {
	const endedAtMs = new Map<string, number>();
	const acknowledged = new Map<string, number>();
	for (const event of events) {
		if (event.kind === 'ended' && event.outcome === 'done') {
			endedAtMs.set(keyOf(event), event.atMs);
		} else if (event.kind === 'noted' && event.outcome === 'done' && !event.hasLapsed) {
			const atMs = endedAtMs.get(keyOf(event)) ?? event.atMs;
			acknowledged.set(event.taskId, Math.min(atMs, acknowledged.get(event.taskId) ?? atMs));
		}
	}

	return acknowledged;
}

/**
Returns the promises that were broken, from what executors saw.

@example
findBrokenPromises({events, refusedJobs: new Set(), lastingTasks: new Map(), faults: [], endMs: performance.now()}); // => []
*/
export function findBrokenPromises(observations: Observations): readonly string[] {
	const {events, refusedJobs} = observations;
	const broken: string[] = [];
	const runningOn = new Map<string, Set<string>>();
	const acknowledgedEnds = acknowledgedEndsOf(events);
	for (const {kind, taskId, executorId, run, atMs} of events) {
		const executorIds = runningOn.get(taskId) ?? new Set();
		if (kind === 'started') {
			if (executorIds.size > 0) {
				broken.push(`run ${run} of ${taskId} started on ${executorId} at ${Math.round(atMs)} while ${[...executorIds].join(', ')} ran it`);
			}

			if (atMs > (acknowledgedEnds.get(taskId) ?? Number.POSITIVE_INFINITY)) {
				broken.push(`run ${run} of ${taskId} started on ${executorId} at ${Math.round(atMs)} after an acknowledged end`);
			}

			if (refusedJobs.has(taskId.split('.')[0]!)) {
				broken.push(`${taskId} started although its job was refused`);
			}

			runningOn.set(taskId, executorIds.add(executorId));
		} else if (kind === 'ended') {
			executorIds.delete(executorId);
		}
	}

	return [...broken, ...findCancelledWork(observations), ...findEvacuatedStarts(observations), ...findForbiddenGaps(observations)];
}
