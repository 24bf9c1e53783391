import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type LoggedRecord} from '../log/log-envelope.js';
import {type ControlEffect} from './control-effect.js';

/** Records that are left out of the timeline, because they are frequent and of no use to operators. */
const omittedKinds: ReadonlySet<ClusterRecord['kind']> = new Set(['entry-alive', 'key-claimed', 'key-released', 'keys-expired']);

/** Counter by kind of record. Only the entry that appended a record counts it, so that the sum over all entries is correct. */
const metricByKind: Readonly<Partial<Record<ClusterRecord['kind'], string>>> = {
	'task-claimed': 'claims.tasks',
	'key-claimed': 'claims.keys',
	'task-checkpointed': 'evictions',
	'vm-quarantined': 'quarantines',
	'vm-lease-expired': 'leases.expired',
	'plan-confirmed': 'plans.confirmed',
};

/**
Returns the timeline events, log lines and counts of this entry's own records when they are read back. Over all entries each record
appears once. Records of a task have the task as their cause, which orders them after its claim; the claim itself has no cause.

@example
recordTimeline(records, before, after, incarnation);
*/
export function recordTimeline(
	records: readonly LoggedRecord[],
	before: ClusterState,
	after: ClusterState,
	incarnation: string,
): readonly ControlEffect[] {
	const ownRecords = records.filter(({envelope}) => envelope.incarnation === incarnation);
	const counts = ownRecords.flatMap(({envelope}): readonly ControlEffect[] => {
		const name = metricByKind[envelope.record.kind];
		return name === undefined ? [] : [{kind: 'count-metric', name, count: 1}];
	});
	const events = ownRecords
		.filter(({envelope}) => !omittedKinds.has(envelope.record.kind))
		.flatMap(({offset, envelope: {record}}) => {
			const taskId = 'taskId' in record ? record.taskId : undefined;
			const vmId = 'vmId' in record ? record.vmId : vmOfTask(taskId, before, after);
			const detail = 'reason' in record ? record.reason : undefined;
			return [
				{
					kind: 'record-timeline',
					entry: {
						event: record.kind, offset, taskId, vmId, detail, cause: record.kind === 'task-claimed' ? undefined : taskId,
					},
				},
				{
					kind: 'log-event', level: 'info', event: record.kind, fields: {
						offset, jobId: jobIdOf(record), taskId, vmId, reason: detail,
					},
				},
			] satisfies ControlEffect[];
		});
	return [...counts, ...events];
}

/** Returns the ID of the record's job, if it contains one: callers identify their jobs by it, also where the record has no task. */
function jobIdOf(record: ClusterRecord): string | undefined {
	if ('jobId' in record) {
		return record.jobId;
	}

	return record.kind === 'job-submitted' ? record.job.jobId : undefined;
}

/** Returns the VM of the task's claim; the record may have ended the claim, so the state before it is used as well. */
function vmOfTask(taskId: string | undefined, before: ClusterState, after: ClusterState): string | undefined {
	if (taskId === undefined) {
		return undefined;
	}

	const claim = after.tasks.get(taskId)?.claim ?? before.tasks.get(taskId)?.claim;
	return claim?.vmId;
}
