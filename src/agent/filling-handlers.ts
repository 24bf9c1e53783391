import type {AgentEffect} from './agent-effect.js';
import type {AgentEventOf} from './agent-event.js';
import type {AgentState, AgentTask} from './agent-state.js';
import {
	fullProcessorShareMilli, planFillingShares, fillingShareMilliOf, type FillingSample, type ThrottledTasks, type FillingMeasurement,
} from './filling-throttle.js';
import type {ServingSample} from './latency-impact-estimates.js';
import {chain, transition, type Transition} from './transition.js';

/** Time after its start from which a task uses all that it can get for the whole window of a measure. */
const settleMs = 1000;

/** Differs from every pace, so that the worker is told the one in force. */
const unknownPaceMilli = -1;

const isServing = (task: AgentTask): boolean => task.phase === 'running' && task.latencyTargetMs > 0;

const isFilling = (task: AgentTask): boolean => task.phase === 'running' && task.fillsIdle;

/**
Lists the tasks between which processors are shared out.

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
Reads what a usage report says of serving and filling tasks.

@example
fillingMeasurementOf(state, {kind: 'worker-usage', nowMs, usage}).serving; // => [{taskId: 't1', image: 'order-lookup', slack: 2.2}]
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
				wanted: task.fillingMilli * Math.max(0, task.paceMilli) / 1000 / fullProcessorShareMilli,
				isSettled: nowMs - task.changedAtMs >= settleMs,
			});
		} else if (task && isServing(task) && latencyTailMs !== undefined && latencyTailMs > 0) {
			serving.push({taskId, image: task.image, targetRatio: task.latencyTargetMs / latencyTailMs});
		}
	}

	return {serving, filling};
}

/**
Tells the worker the pace of the filling tasks that do not have it yet; a task starts at full pace.

@example
applyFillingShares(state).effects; // => [{kind: 'throttle-task', taskId: 't1', shareMilli: 400}]
*/
export function applyFillingShares(state: AgentState): Transition {
	const paced = [...state.tasks.values()]
		.filter(task => isFilling(task))
		.map(task => ({task, shareMilli: fillingShareMilliOf(state.pace, task.image)}))
		.filter(({task, shareMilli}) => task.paceMilli !== shareMilli);
	return transition(
		{
			...state, tasks: state.tasks.withMutations(tasks => {
				for (const {task, shareMilli} of paced) {
					tasks.set(task.taskId, {...task, paceMilli: shareMilli});
				}
			}),
		},
		...paced.map(({task: {taskId}, shareMilli}): AgentEffect => ({kind: 'throttle-task', taskId, shareMilli})),
	);
}

/**
Forgets the pace of a filling task that the worker may not have, so that it is told again with the next measure.

@example
throttleFailed(state, {kind: 'throttle-failed', nowMs, taskId: 't1'});
*/
export function throttleFailed(state: AgentState, {taskId}: AgentEventOf<'throttle-failed'>): Transition {
	const task = state.tasks.get(taskId);
	return transition(task?.fillsIdle ? {...state, tasks: state.tasks.set(taskId, {...task, paceMilli: unknownPaceMilli})} : state);
}

/**
Plans the pace for the tasks that run now, before a measure shows what they do to each other, and tells it to the worker.

@example
chain(state, applyPlannedFillingShares);
*/
export function applyPlannedFillingShares(state: AgentState): Transition {
	return applyFillingShares({...state, pace: planFillingShares(state.pace, throttledTasksOf(state), {mayRise: false})});
}

/**
Takes over the traits of the tasks that the agent found running when it started.

@example
applyTraits(state, [{taskId: 't1', latencyTargetMs: 18, fillsIdle: false, fillingMilli: 0, image: 'order-lookup'}]);
*/
export function applyTraits(state: AgentState, claims: ReadonlyArray<Pick<AgentTask, 'taskId' | 'latencyTargetMs' | 'fillsIdle' | 'fillingMilli' | 'image'>>): Transition {
	return applyPlannedFillingShares({
		...state, tasks: state.tasks.withMutations(tasks => {
			for (const {taskId, latencyTargetMs, fillsIdle, fillingMilli, image} of claims) {
				const task = tasks.get(taskId);
				if (task) {
					// The pace that an earlier agent told the worker is not known, so that it is told anew.
					tasks.set(taskId, {
						...task, latencyTargetMs, fillsIdle, fillingMilli, image, paceMilli: fillsIdle ? unknownPaceMilli : task.paceMilli,
					});
				}
			}
		}),
	});
}
