import {type OrderedMap} from 'immutable';
import {type ClusterState, type Task} from './cluster-state.js';
import {type PriorityClass} from './intent.js';

function updateQueue(
	state: ClusterState,
	priority: PriorityClass,
	update: (queue: OrderedMap<string, true>) => OrderedMap<string, true>,
): ClusterState {
	const queue = state.queued.get(priority);
	return queue ? {...state, queued: state.queued.set(priority, update(queue))} : state;
}

/** Counts the queued tasks of a workflow, which bound how many more of its tasks are created. */
function countQueued(state: ClusterState, {jobId, position}: Task, change: number): ClusterState {
	const run = position && state.workflows.get(jobId);
	return run ? {...state, workflows: state.workflows.set(jobId, {...run, queuedTasks: run.queuedTasks + change})} : state;
}

/**
Removes a task from the queue of its priority class.

@example
dequeue(state, task).queued.get('urgent').has(task.spec.taskId); // => false
*/
export function dequeue(state: ClusterState, task: Task): ClusterState {
	const {taskId} = task.spec;
	return state.queued.get(task.priority)?.has(taskId)
		? countQueued(updateQueue(state, task.priority, queue => queue.delete(taskId)), task, -1)
		: state;
}

/**
Stores a task as queued and appends it to the queue of its priority class.

@example
enqueue(state, task).queued.get('urgent').has(task.spec.taskId); // => true
*/
export function enqueue(state: ClusterState, task: Task): ClusterState {
	const {taskId} = task.spec;
	const queued = updateQueue(
		{...state, tasks: state.tasks.set(taskId, {...task, phase: 'queued', claim: undefined})},
		task.priority,
		queue => queue.set(taskId, true),
	);
	return state.queued.get(task.priority)?.has(taskId) ? queued : countQueued(queued, task, 1);
}
