import {err, ok, type Result} from 'true-myth/result';
import type {Resources} from '../cluster/resources.js';
import {boundedText} from '../validation/bounded-text.js';
import {isResourceAmount, isTimeMs, maxResourceAmount} from '../validation/bounds.js';
import {isName} from '../validation/name.js';
import type {WorkerTask, WorkerTasks, WorkerUsage} from '../worker/worker-answers.js';

/** A worker's answer that the agent can use, and what was left out of it. */
export type UsableAnswer<Answer> = Readonly<{answer: Answer; problems: readonly string[]}>;

/** Longest text of a service or label, in characters. */
const maxLabelLength = 128;

/** Most labels of a worker. */
const maxLabels = 64;

/** Longest reason of an end, in characters. */
const maxReasonLength = 500;

/** Largest attempt, which messages carry with 32 bits. */
const maxAttempt = 0xFF_FF_FF_FF;

/** Largest lead of a measurement over the agent's clock. */
const maxLeadMs = 1000;

const hasUsableAmounts = ({processorsMilli, memoryMb, accelerators}: Resources): boolean =>
	isResourceAmount(processorsMilli) && isResourceAmount(memoryMb) && isResourceAmount(accelerators);

const usableAmount = (amount: number): number => isResourceAmount(amount) ? amount : 0;

/** An amount out of range names nothing to use, so that it counts as none. */
const usableAmounts = ({processorsMilli, memoryMb, accelerators}: Resources): Resources => ({
	processorsMilli: usableAmount(processorsMilli), memoryMb: usableAmount(memoryMb), accelerators: usableAmount(accelerators),
});

const isUsableTask = ({taskId, attempt}: WorkerTask): boolean => isName(taskId) && Number.isInteger(attempt) && attempt > 0 && attempt <= maxAttempt;

/**
Returns a worker's list without the values that the agent cannot use or send on. Fails with a reason when the list does not identify its worker.

@example
usableWorkerTasks({workerIncarnation: 'w1', capacity: {processorsMilli: 1e300, memoryMb: 64, accelerators: 0}, tasks: []}).map(({problems}) => problems);
// => Ok(['the capacity is out of range'])
*/
export function usableWorkerTasks(list: WorkerTasks): Result<UsableAnswer<WorkerTasks>, string> {
	const {workerIncarnation, service = '', labels = [], rack = '', startedAtMs = 0, coldLeftMs = 0} = list;
	if (!isName(workerIncarnation) || service.length > maxLabelLength) {
		return err(`workerIncarnation or service of the list is no name: ${boundedText(workerIncarnation)}, ${boundedText(service)}`);
	}

	// The agent starts no task with such an ID or attempt, so that the task is none of its own.
	const tasks = list.tasks.filter(task => isUsableTask(task));
	const hasUsableLabels = labels.length <= maxLabels && labels.every(label => label.length <= maxLabelLength);
	const checks: ReadonlyArray<readonly [isUsable: boolean, problem: string]> = [
		[hasUsableAmounts(list.capacity), 'the capacity is out of range'],
		[tasks.length === list.tasks.length, `${list.tasks.length - tasks.length} tasks have no valid ID or attempt`],
		[tasks.every(({limit}) => hasUsableAmounts(limit)), 'the limit of a task is out of range'],
		[tasks.every(({reason}) => reason.length <= maxReasonLength), 'the reason of an end is too long'],
		[hasUsableLabels, 'the labels are too many or too long'],
		[rack === '' || isName(rack), 'the rack is no name'],
		[isTimeMs(startedAtMs), 'startedAtMs is out of range'],
		[isTimeMs(coldLeftMs), 'coldLeftMs is out of range'],
	];
	const problems = checks.filter(([isUsable]) => !isUsable).map(([, problem]) => problem);
	return ok(problems.length === 0
		? {answer: list, problems}
		: {
			answer: {
				...list,
				capacity: usableAmounts(list.capacity),
				tasks: tasks.map(task => ({...task, limit: usableAmounts(task.limit), reason: boundedText(task.reason, maxReasonLength)})),
				labels: hasUsableLabels ? labels : [],
				rack: isName(rack) ? rack : '',
				startedAtMs: isTimeMs(startedAtMs) ? startedAtMs : 0,
				coldLeftMs: isTimeMs(coldLeftMs) ? coldLeftMs : 0,
			},
			problems,
		});
}

const isUsableMeasure = (value: number): boolean => value >= 0 && value <= maxResourceAmount;

const usableMeasure = (value: number): number => isUsableMeasure(value) ? Math.round(value) : 0;

/**
Returns a worker's measurements; numbers that are out of range count as not measured. Fails with a reason when the time of the measurements is not
known, or lies in the future, since every later measurement would count as older.

@example
usableWorkerUsage({measuredAtMonotonicMs: 1e300, processorsUsedMilli: 0, memoryUsedMb: 0, tasks: []}, 5000).isErr; // => true
*/
export function usableWorkerUsage(usage: WorkerUsage, nowMs: number): Result<UsableAnswer<WorkerUsage>, string> {
	const {measuredAtMonotonicMs} = usage;
	if (!Number.isFinite(measuredAtMonotonicMs) || measuredAtMonotonicMs > nowMs + maxLeadMs) {
		return err(`measuredAtMonotonicMs is out of range: ${measuredAtMonotonicMs}`);
	}

	const named = usage.tasks.filter(({taskId}) => isName(taskId));
	const tasks = named.map(({latencyTailMs, ...task}) => ({
		...task,
		processorsUsedMilli: usableMeasure(task.processorsUsedMilli),
		memoryUsedMb: usableMeasure(task.memoryUsedMb),
		relativeSpeedMilli: usableMeasure(task.relativeSpeedMilli),
		...(latencyTailMs !== undefined && isUsableMeasure(latencyTailMs) && {latencyTailMs}),
	}));
	const numbers = [usage, ...named].flatMap(each => [each.processorsUsedMilli, each.memoryUsedMb, ...('relativeSpeedMilli' in each ? [each.relativeSpeedMilli, each.latencyTailMs ?? 0] : [])]);
	const problems = named.length === usage.tasks.length && numbers.every(value => isUsableMeasure(value)) ? [] : ['a measurement is out of range or has no task'];
	return ok({
		answer: {
			...usage, processorsUsedMilli: usableMeasure(usage.processorsUsedMilli), memoryUsedMb: usableMeasure(usage.memoryUsedMb), tasks,
		},
		problems,
	});
}
