import {
	Map as immutableMap, OrderedMap as orderedMap, type Map as ImmutableMap, type OrderedMap,
} from 'immutable';
import {type ClusterRecordOf} from '../cluster/cluster-record.js';
import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {type Step} from '../cluster/workflow.js';
import {stepOf} from '../cluster/workflow-progress.js';
import {type LoggedRecord} from '../log/log-envelope.js';

/** A step of a queue's workflow, which names the kind of its tasks. */
export type EstimatedStep = Readonly<{queue: string; stepIndex: number; step: Step}>;

/** Recent ends of one kind of tasks: their observed run times divided by the declared ones, newest last, and the number of all ends. */
type KindHistory = Readonly<{ratios: readonly number[]; ends: number}>;

/** A running task whose start this entry read. */
type RunningTask = Readonly<{attempt: number; startedAtMs: number; kind: string; declaredRunTimeMs: number; resumes: boolean}>;

/** Mean relative errors of the expected and of the declared run times of recent ends, in thousandths of the observed run time. */
export type RunTimeErrors = Readonly<{ends: number; expectedMilli: number; declaredMilli: number}>;

/**
Run times learned from the ends that this entry has read. They are kept by image, or by queue and step where a step has no image. Not persisted:
an entry that has just started expects the declared run times.
*/
export type RunTimeEstimates = Readonly<{
	byKind: OrderedMap<string, KindHistory>;
	running: ImmutableMap<string, RunningTask>;
	errors: RunTimeErrors;
}>;

export const noRunTimeEstimates: RunTimeEstimates = {
	byKind: orderedMap(), running: immutableMap(), errors: {ends: 0, expectedMilli: 0, declaredMilli: 0},
};

/** Ends of a kind that count. More would hide a change of the run times; with 3 stragglers in 100 ends, fewer would rarely contain one. */
const maxRatiosPerKind = 32;
/** Number of ends, as long as declared, that are assumed besides the observed ones. A declared time can be off by a factor of two, which three ends already show. */
const assumedEnds = 3;
/** Kinds and running tasks that are remembered, which bounds the memory; the kinds that ended longest ago are dropped first. */
const maxKinds = 1024;
const maxRunningTasks = 16_384;
/** Largest ratio that is recorded, so that one suspended VM does not decide the mean. Known stragglers take seven times as long as declared. */
const maxRatio = 20;
/** A task that has run longer than every known end is expected to run for this share of its time so far; stragglers end at several times the usual time. */
const stragglerRemainingShare = 0.5;
/** Weight of the newest end in the mean errors. */
const errorWeight = 0.05;

function kindOf({queue, stepIndex, step: {image}}: EstimatedStep): string {
	return image === undefined ? `queue/${queue}/${stepIndex}` : `image/${image}`;
}

/** Returns the step of a task, with its queue; undefined for a task without a workflow and for one that does not end by itself. */
function estimatedStepOf(task: Task, cluster: ClusterState): EstimatedStep | undefined {
	const step = stepOf(cluster, task);
	const queue = cluster.workflows.get(task.jobId)?.workflow.queue;
	return step === undefined || queue === undefined || task.position === undefined || step.longRunning ? undefined : {queue, stepIndex: task.position.stepIndex, step};
}

/**
Learns from the starts and ends of a page of records. Only ends as `finished` of tasks that began without a checkpoint count. A task whose start and
end are on one page was not observed to run. Call it for pages that were read close to the log's tail only: times of old records are not known.

@param cluster State after the page.

@example
const next = recordRunTimes(noRunTimeEstimates, records, cluster, nowMs);
*/
export function recordRunTimes(estimates: RunTimeEstimates, records: readonly LoggedRecord[], cluster: ClusterState, nowMs: number): RunTimeEstimates {
	let next = estimates;
	for (const {envelope: {record}} of records) {
		if (record.kind === 'task-started') {
			next = recordStart(next, record, cluster, nowMs);
		} else if (record.kind === 'task-ended') {
			next = recordEnd(next, record, nowMs);
		}
	}

	return next.running.size > maxRunningTasks ? {...next, running: withoutStopped(next.running, cluster)} : next;
}

function recordStart(estimates: RunTimeEstimates, {taskId, attempt}: ClusterRecordOf<'task-started'>, cluster: ClusterState, nowMs: number): RunTimeEstimates {
	const task = cluster.tasks.get(taskId);
	const estimated = task && estimatedStepOf(task, cluster);
	// Several entries may report one start.
	if (!estimated || task.attempt !== attempt || estimates.running.get(taskId)?.attempt === attempt) {
		return estimates;
	}

	return {
		...estimates, running: estimates.running.set(taskId, {
			attempt, startedAtMs: nowMs, kind: kindOf(estimated), declaredRunTimeMs: Math.max(1, estimated.step.declaredRunTimeMs), resumes: task.checkpoint !== '',
		}),
	};
}

function recordEnd(estimates: RunTimeEstimates, {taskId, attempt, outcome}: ClusterRecordOf<'task-ended'>, nowMs: number): RunTimeEstimates {
	const started = estimates.running.get(taskId);
	if (started?.attempt !== attempt) {
		return estimates;
	}

	const running = estimates.running.delete(taskId);
	const observedMs = nowMs - started.startedAtMs;
	if (outcome !== 'finished' || started.resumes || observedMs <= 0) {
		return {...estimates, running};
	}

	const {kind, declaredRunTimeMs} = started;
	const history = estimates.byKind.get(kind);
	const ratio = Math.min(maxRatio, observedMs / declaredRunTimeMs);
	const byKind = estimates.byKind.delete(kind).set(kind, {ratios: [...(history?.ratios ?? []).slice(1 - maxRatiosPerKind), ratio], ends: (history?.ends ?? 0) + 1});
	return {
		byKind: byKind.size > maxKinds ? byKind.skip(byKind.size - maxKinds) : byKind,
		running,
		errors: withEnd(estimates.errors, {observedMs, expectedMs: declaredRunTimeMs * meanRatioOf(history), declaredMs: declaredRunTimeMs}),
	};
}

function withEnd({ends, expectedMilli, declaredMilli}: RunTimeErrors, {observedMs, expectedMs, declaredMs}: Readonly<{observedMs: number; expectedMs: number; declaredMs: number}>): RunTimeErrors {
	const weight = Math.max(errorWeight, 1 / (ends + 1));
	const mean = (before: number, valueMs: number): number => before + (weight * ((1000 * Math.abs(valueMs - observedMs) / observedMs) - before));
	return {ends: ends + 1, expectedMilli: mean(expectedMilli, expectedMs), declaredMilli: mean(declaredMilli, declaredMs)};
}

function withoutStopped(running: RunTimeEstimates['running'], cluster: ClusterState): RunTimeEstimates['running'] {
	return running.filter(({attempt}, taskId) => {
		const task = cluster.tasks.get(taskId);
		return task?.claim !== undefined && task.attempt === attempt;
	}).take(maxRunningTasks);
}

/**
Returns the estimates without the tasks that run, for an entry whose steady clock has not counted all the time since their starts.

@example
forgetRunningTasks(estimates).running.size; // => 0
*/
export function forgetRunningTasks(estimates: RunTimeEstimates): RunTimeEstimates {
	return {...estimates, running: estimates.running.clear()};
}

/** Returns the mean ratio of the observed to the declared run time, with the assumed ends. */
function meanRatioOf(history: KindHistory | undefined): number {
	const ratios = history?.ratios ?? [];
	return (ratios.reduce((sum, ratio) => sum + ratio, 0) + assumedEnds) / (ratios.length + assumedEnds);
}

/**
Returns the expected run time of a task of a step, in milliseconds: the declared one, times the mean ratio of recent ends of its kind.

@example
expectedRunTimeMs(estimates, {queue: 'bake', stepIndex: 0, step}); // => 1840
*/
export function expectedRunTimeMs({byKind}: RunTimeEstimates, estimated: EstimatedStep): number {
	return estimated.step.declaredRunTimeMs * meanRatioOf(byKind.get(kindOf(estimated)));
}

/**
Returns the standard deviation of the ratios of observed to declared run times of recent ends; 0 with fewer than two.

@example
runTimeSpreadOf(estimates, {queue: 'bake', stepIndex: 0, step}); // => 0.35
*/
export function runTimeSpreadOf({byKind}: RunTimeEstimates, estimated: EstimatedStep): number {
	const ratios = byKind.get(kindOf(estimated))?.ratios ?? [];
	if (ratios.length < 2) {
		return 0;
	}

	const mean = ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length;
	return Math.sqrt(ratios.reduce((sum, ratio) => sum + ((ratio - mean) ** 2), 0) / (ratios.length - 1));
}

/**
Returns the expected remaining time of a task in milliseconds: the mean over the known ends of its kind that come after the time for which the task
has run. A task past all of them is a straggler, which is estimated from its time so far. A task that has not started, or whose start this entry has
not read, is expected to run for its whole time; one that does not end by itself, forever.

@example
expectedRemainingMs(estimates, task, cluster, nowMs); // => 640
*/
export function expectedRemainingMs(estimates: RunTimeEstimates, task: Task, cluster: ClusterState, nowMs: number): number {
	const estimated = estimatedStepOf(task, cluster);
	if (!estimated) {
		return task.position === undefined ? task.spec.declaredRunTimeMs : Number.POSITIVE_INFINITY;
	}

	const {running, byKind} = estimates;
	const started = running.get(task.spec.taskId);
	if (started?.attempt !== task.attempt) {
		return expectedRunTimeMs(estimates, estimated);
	}

	const elapsedMs = Math.max(0, nowMs - started.startedAtMs);
	let weight = 0;
	let remainingMs = 0;
	const addEnd = (ratio: number, ends: number): void => {
		const leftMs = (ratio * started.declaredRunTimeMs) - elapsedMs;
		if (leftMs > 0) {
			weight += ends;
			remainingMs += ends * leftMs;
		}
	};

	addEnd(1, assumedEnds);
	for (const ratio of byKind.get(started.kind)?.ratios ?? []) {
		addEnd(ratio, 1);
	}

	return weight === 0 ? stragglerRemainingShare * elapsedMs : remainingMs / weight;
}

/**
Returns the number of ends that an estimate is based on.

@example
sampleCountOf(estimates, {queue: 'bake', stepIndex: 0, step}); // => 12
*/
export function sampleCountOf({byKind}: RunTimeEstimates, estimated: EstimatedStep): number {
	return byKind.get(kindOf(estimated))?.ends ?? 0;
}
