import {type Task} from '../cluster/cluster-state.js';
import {stepKeyOf} from '../cluster/workflow.js';

/**
Returns the key of a task's step in its occurrence of the workflow; undefined for a task without a workflow.

@example
stepOccurrenceKeyOf(task); // => 'bake-1/0.1'
*/
export function stepOccurrenceKeyOf({jobId, position}: Pick<Task, 'jobId' | 'position'>): string | undefined {
	return position && `${jobId}/${stepKeyOf(position)}`;
}
