import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type LoggedRecord} from '../log/log-envelope.js';
import {type ControlEffect} from './control-effect.js';

/** Records that would fill the timeline without telling an operator anything. */
const quietKinds: ReadonlySet<ClusterRecord['kind']> = new Set(['entry-alive', 'key-claimed', 'key-released', 'keys-expired']);

/** Counters of records; each is counted by its writer alone, so that their sum over all entries is right. */
const countedKinds: Readonly<Partial<Record<ClusterRecord['kind'], string>>> = {
	'task-claimed': 'claims.tasks',
	'key-claimed': 'claims.keys',
	'task-checkpointed': 'evictions',
	'vm-quarantined': 'quarantines',
	'vm-lease-expired': 'leases.expired',
	'plan-confirmed': 'plans.confirmed',
};

/**
Turns this entry's own records, once read back, into timeline events and log lines, so that over all entries each
record appears once. A claim is the origin of everything that happens to its task, so it names no cause; other records of
a task follow its claim.

@example
recordTimeline(records, before, after, incarnation);
*/
export function recordTimeline(
	records: readonly LoggedRecord[],
	before: ClusterState,
	after: ClusterState,
	incarnation: string,
): readonly ControlEffect[] {
	const own = records.filter(({envelope}) => envelope.incarnation === incarnation);
	const counts = own.flatMap(({envelope}): readonly ControlEffect[] => {
		const name = countedKinds[envelope.record.kind];
		return name === undefined ? [] : [{kind: 'count-metric', name, count: 1}];
	});
	const events = own
		.filter(({envelope}) => !quietKinds.has(envelope.record.kind))
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

/** Callers know a job by its id, also where the record names no task. */
function jobIdOf(record: ClusterRecord): string | undefined {
	if ('jobId' in record) {
		return record.jobId;
	}

	return record.kind === 'job-submitted' ? record.job.jobId : undefined;
}

/** The record may have ended the claim, so the state before it counts too. */
function vmOfTask(taskId: string | undefined, before: ClusterState, after: ClusterState): string | undefined {
	if (taskId === undefined) {
		return undefined;
	}

	const claim = after.tasks.get(taskId)?.claim ?? before.tasks.get(taskId)?.claim;
	return claim?.vmId;
}
