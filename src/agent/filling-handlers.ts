import type {AgentEffect} from './agent-effect.js';
import type {AgentEventOf} from './agent-event.js';
import type {AgentState, AgentTask} from './agent-state.js';
import {
	fullProcessorShareMilli, planFillingShares, fillingShareMilliOf, type FillingSample, type ThrottledTasks, type FillingMeasurement,
} from './filling-throttle.js';
import type {ServingSample} from './latency-impact-estimates.js';
import {chain, transition, type Transition} from './transition.js';

/** Time that a task must have run before a usage report covers a whole measurement window of it. */
const fullWindowAfterMs = 1000;

/** Stands for a share that the agent does not know. It differs from every valid share, so that the current share is sent to the worker. */
const unknownShareMilli = -1;

const isServing = (task: AgentTask): boolean => task.phase === 'running' && task.latencyTargetMs > 0;

const isFilling = (task: AgentTask): boolean => task.phase === 'running' && task.fillsIdle;

/**
Returns the running serving tasks, the demand of the running filling tasks by image, and the VM's processors.

@example
throttledTasksOf(state).demandCoresByImage; // => new Map([['stress-run', 3.6]])
*/
export function throttledTasksOf({tasks, ledger}: AgentState): ThrottledTasks {
	const serving: Array<Readonly<{taskId: string; image: string}>> = [];
	const demandCoresByImage = new Map<string, number>();
	for (const task of tasks.values()) {
		if (isServing(task)) {
			serving.push({taskId: task.taskId, image: task.image});
		} else if (isFilling(task)) {
			demandCoresByImage.set(task.image, (demandCoresByImage.get(task.image) ?? 0) + (task.fillingMilli / 1000));
		}
	}

	return {serving, demandCoresByImage, vmProcessors: ledger.capacity.processorsMilli / 1000};
}

/**
Returns the measurement of the serving and filling tasks in a usage report.

@example
fillingMeasurementOf(state, {kind: 'worker-usage', nowMs, usage}).serving; // => [{taskId: 't1', image: 'order-lookup', targetRatio: 2.2}]
*/
export function fillingMeasurementOf(state: AgentState, {usage, nowMs}: AgentEventOf<'worker-usage'>): FillingMeasurement {
	const serving: ServingSample[] = [];
	const filling: FillingSample[] = [];
	for (const {taskId, latencyTailMs, processorsUsedMilli} of usage.tasks) {
		const task = state.tasks.get(taskId);
		if (task && isFilling(task)) {
			filling.push({
				image: task.image,
				processors: processorsUsedMilli / 1000,
				demandCores: task.fillingMilli * Math.max(0, task.sentShareMilli) / 1000 / fullProcessorShareMilli,
				coversWholeWindow: nowMs - task.changedAtMs >= fullWindowAfterMs,
			});
		} else if (task && isServing(task) && latencyTailMs !== undefined && latencyTailMs > 0) {
			serving.push({taskId, image: task.image, targetRatio: task.latencyTargetMs / latencyTailMs});
		}
	}

	return {serving, filling};
}

/**
Sends the worker the processor share of each running filling task for which it differs from the last one sent; a task starts unthrottled.

@example
applyFillingShares(state).effects; // => [{kind: 'throttle-task', taskId: 't1', shareMilli: 400}]
*/
export function applyFillingShares(state: AgentState): Transition {
	const changed = [...state.tasks.values()]
		.filter(task => isFilling(task))
		.map(task => ({task, shareMilli: fillingShareMilliOf(state.fillingThrottle, task.image)}))
		.filter(({task, shareMilli}) => task.sentShareMilli !== shareMilli);
	return transition(
		{
			...state, tasks: state.tasks.withMutations(tasks => {
				for (const {task, shareMilli} of changed) {
					tasks.set(task.taskId, {...task, sentShareMilli: shareMilli});
				}
			}),
		},
		...changed.map(({task: {taskId}, shareMilli}): AgentEffect => ({kind: 'throttle-task', taskId, shareMilli})),
	);
}

/**
Marks the share of a filling task as unknown, because the worker may not have applied it. The share is sent again with the next measurement.

@example
throttleFailed(state, {kind: 'throttle-failed', nowMs, taskId: 't1'});
*/
export function throttleFailed(state: AgentState, {taskId}: AgentEventOf<'throttle-failed'>): Transition {
	const task = state.tasks.get(taskId);
	return transition(task?.fillsIdle ? {...state, tasks: state.tasks.set(taskId, {...task, sentShareMilli: unknownShareMilli})} : state);
}

/**
Plans the shares for the tasks that run now, before a measurement shows their latency impact, and sends them to the worker. A share that was planned
before does not rise.

@example
chain(state, applyPlannedFillingShares);
*/
export function applyPlannedFillingShares(state: AgentState): Transition {
	return applyFillingShares({...state, fillingThrottle: planFillingShares(state.fillingThrottle, throttledTasksOf(state), {mayRise: false})});
}

/**
Records the traits that an entry sent for the tasks that the agent found running when it started, and plans the shares.

@example
applyTraits(state, [{taskId: 't1', latencyTargetMs: 18, fillsIdle: false, fillingMilli: 0, image: 'order-lookup'}]);
*/
export function applyTraits(state: AgentState, claims: ReadonlyArray<Pick<AgentTask, 'taskId' | 'latencyTargetMs' | 'fillsIdle' | 'fillingMilli' | 'image'>>): Transition {
	return applyPlannedFillingShares({
		...state, tasks: state.tasks.withMutations(tasks => {
			for (const {taskId, latencyTargetMs, fillsIdle, fillingMilli, image} of claims) {
				const task = tasks.get(taskId);
				if (task) {
					// The share that an earlier agent sent to the worker is not known, so it is sent again.
					tasks.set(taskId, {
						...task, latencyTargetMs, fillsIdle, fillingMilli, image, sentShareMilli: fillsIdle ? unknownShareMilli : task.sentShareMilli,
					});
				}
			}
		}),
	});
}
