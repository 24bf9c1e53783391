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

/**
Removes a task from the queue of its priority class.

@example
dequeue(state, task).queued.get('urgent').has(task.spec.taskId); // => false
*/
export function dequeue(state: ClusterState, task: Task): ClusterState {
	return updateQueue(state, task.priority, queue => queue.delete(task.spec.taskId));
}

/**
Stores a task as queued and appends it to the queue of its priority class.

@example
enqueue(state, task).queued.get('urgent').has(task.spec.taskId); // => true
*/
export function enqueue(state: ClusterState, task: Task): ClusterState {
	const {taskId} = task.spec;
	return updateQueue(
		{...state, tasks: state.tasks.set(taskId, {...task, phase: 'queued', claim: undefined})},
		task.priority,
		queue => queue.set(taskId, true),
	);
}
