import {OrderedMap as orderedMap, type OrderedMap} from 'immutable';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type LoggedRecord} from '../log/log-envelope.js';

/** Number of finished tasks that this entry has read, by queue; the queue that was counted first is first. */
export type MeasuredEnds = OrderedMap<string, number>;

export const noMeasuredEnds: MeasuredEnds = orderedMap();

/** Ends are counted up to this number; more of them would not change a decision. */
const maxCountedEnds = 64;

/** Bounds the memory; a deployment has tens of queues. */
const maxQueues = 256;

/**
Counts the finished tasks among the records of a page.

@param before state without the records, which still holds the tasks of jobs that they end.

@example
recordMeasuredEnds(noMeasuredEnds, page.records, cluster);
*/
export function recordMeasuredEnds(ends: MeasuredEnds, records: readonly LoggedRecord[], before: ClusterState): MeasuredEnds {
	return ends.withMutations(counts => {
		for (const {envelope: {record}} of records) {
			if (record.kind !== 'task-ended' || record.outcome !== 'finished') {
				continue;
			}

			const queue = before.workflows.get(before.tasks.get(record.taskId)?.jobId ?? '')?.workflow.queue;
			const count = queue === undefined ? maxCountedEnds : counts.get(queue, 0);
			if (queue !== undefined && count < maxCountedEnds) {
				counts.set(queue, count + 1);
			}
		}

		const oldest = counts.size > maxQueues ? counts.keySeq().first() : undefined;
		if (oldest !== undefined) {
			counts.delete(oldest);
		}
	});
}

/**
Returns the counted ends of a queue.

@example
measuredEndsOf(noMeasuredEnds, 'a.example/q/'); // => 0
*/
export function measuredEndsOf(ends: MeasuredEnds, queue: string): number {
	return ends.get(queue, 0);
}
