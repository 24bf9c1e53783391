import {type ClusterRecordOf} from './cluster-record.js';
import {type ClusterState, type Task, type Vm} from './cluster-state.js';
import {submitJob} from './early-cancellations.js';
import {isEvacuated} from './evacuations.js';
import {type PriorityClass} from './intent.js';
import {type RecordHandlers} from './record-handler.js';
import {addResources, fitsInto, noResources} from './resources.js';
import {MAX_TASK_FAILURES} from './state-limits.js';
import {isAllowedOnVm} from './step-constraints.js';
import {stopWorkflow} from './stop-workflow.js';
import {createNamedTask, createReadyTasks} from './task-creation.js';
import {dequeue} from './task-queue.js';
import {
	cancelTask, endTask, evictTask, hasLiveAttempt, requeueTask,
} from './task-transitions.js';
import {bindClaim, fitOnVm} from './vm-commitment.js';
import {isLongRunning} from './workflow-progress.js';

const rankByPriority: Readonly<Record<PriorityClass, number>> = {urgent: 2, normal: 1, background: 0};

/** Returns the task that a record names; undefined when the record is not about the task's live attempt. */
function taskOfLiveAttempt(state: ClusterState, record: Readonly<{taskId: string; attempt: number; agentIncarnation?: string}>): Task | undefined {
	const task = state.tasks.get(record.taskId);
	return task?.claim && task.attempt === record.attempt
		&& (record.agentIncarnation === undefined || task.claim.agentIncarnation === record.agentIncarnation)
		? task
		: undefined;
}

/** Returns whether a claim may evict a task: the victim must be a batch task, and the claimant latency-critical or of a more urgent priority. */
function mayEvict(claimant: Task, victim: Task): boolean {
	return victim.workClass === 'batch'
		&& (claimant.workClass === 'latency-critical' || rankByPriority[victim.priority] < rankByPriority[claimant.priority]);
}

function fitsQuota(state: ClusterState, task: Task, demand: ClusterRecordOf<'task-claimed'>['committed']): boolean {
	const quota = state.configuration.quotas.get(task.teamId);
	return quota === undefined || fitsInto(addResources(state.committedByTeam.get(task.teamId) ?? noResources, demand), quota);
}

/** Returns whether a VM takes claims for an agent incarnation, apart from an evacuation of its failure domain. */
function takesClaims(vm: Vm, agentIncarnation: string): boolean {
	return vm.phase === 'live' && vm.agentIncarnation === agentIncarnation && !vm.draining && !vm.leaving && !vm.workerLost;
}

/** Counts a claim that is rejected because its VM is in an evacuated failure domain, such as one of an entry that had not read the request. */
function countRefusedClaim(state: ClusterState, failureDomain: string): ClusterState {
	const {configuration} = state;
	return {
		...state,
		configuration: {
			...configuration,
			evacuations: configuration.evacuations.update(failureDomain, evacuation => evacuation && {...evacuation, refusedClaims: evacuation.refusedClaims + 1}),
		},
	};
}

function claimTask(before: ClusterState, record: ClusterRecordOf<'task-claimed'>, offset: number, writerIncarnation: string): ClusterState {
	const {taskId, attempt, vmId, agentIncarnation, committed, decision} = record;
	const state = createNamedTask(before, taskId);
	const task = state.tasks.get(taskId);
	const vm = state.vms.get(vmId);
	if (task?.phase !== 'queued' || attempt !== task.attempt + 1) {
		return state;
	}

	if (!vm || !takesClaims(vm, agentIncarnation)) {
		return state;
	}

	if (isEvacuated(state, vm.failureDomain)) {
		return countRefusedClaim(state, vm.failureDomain);
	}

	if (!fitsQuota(state, task, committed) || !isAllowedOnVm(state, task, vm, 0)) {
		return state;
	}

	// A task of `evictTaskIds` that is no longer on the VM is skipped: its resources already count as free.
	const victims: Task[] = [];
	for (const victimId of new Set(record.evictTaskIds)) {
		const victim = state.tasks.get(victimId);
		if (victim?.claim?.vmId === vmId) {
			if (!mayEvict(task, victim)) {
				return state;
			}

			victims.push(victim);
		}
	}

	const evictTaskIds = victims.map(victim => victim.spec.taskId);
	const fit = fitOnVm(state, vm, committed, evictTaskIds);
	if (fit === 'never') {
		return state;
	}

	let next = dequeue(state, task);
	if (fit === 'later') {
		for (const victim of victims) {
			next = evictTask(next, victim, {offset, reason: `makes room for ${taskId}`});
		}
	}

	return createReadyTasks(bindClaim(next, task, {
		vmId,
		agentIncarnation,
		claimOffset: offset,
		writerIncarnation,
		committed,
		counted: fit === 'now',
		evictTaskIds: fit === 'later' ? evictTaskIds : [],
		decision,
	}), task.jobId);
}

type EndedAttempt = Readonly<{state: ClusterState; task: Task; vmId: string; reason: string; offset: number}>;

function isOnEvacuatedVm({state, vmId}: EndedAttempt): boolean {
	const vm = state.vms.get(vmId);
	return vm !== undefined && isEvacuated(state, vm.failureDomain);
}

const failedOnVmIdsAfter = ({task, vmId}: EndedAttempt): readonly string[] =>
	[...task.failedOnVmIds.filter(id => id !== vmId), vmId].slice(-MAX_TASK_FAILURES);

/** Ends a task as failed. For a task of a workflow, the job fails with it. */
function failTaskAndJob(state: ClusterState, task: Task, change: Parameters<typeof endTask>[3]): ClusterState {
	// The job is marked as failed first. Otherwise the end of its last task would finish it as completed.
	const stopped = stopWorkflow(state, task.jobId, {phase: 'failed', offset: change.offset});
	const current = stopped.tasks.get(task.spec.taskId);
	return current?.claim ? endTask(stopped, current, 'failed', change) : stopped;
}

/** Returns the number of failed attempts after which a task fails. */
function maxFailuresOf(state: ClusterState, task: Task): number {
	return state.workflows.get(task.jobId)?.workflow.maxFailures ?? MAX_TASK_FAILURES;
}

const outcomeHandlers: Readonly<Record<ClusterRecordOf<'task-ended'>['outcome'], (ended: EndedAttempt) => ClusterState>> = {
	finished: ({state, task, reason, offset}) => isLongRunning(state, task)
		? requeueTask(state, task, {offset, reason})
		: endTask(state, task, 'finished', {offset, reason}),
	failed(ended) {
		const {state, task, vmId, reason, offset} = ended;
		// A failure on a quarantined VM is attributed to its worker, not to the task. For a task of a workflow, every failure counts towards the workflow's limit.
		const isAttributedToWorker = task.position === undefined && state.vms.get(vmId)?.quarantined;
		const failures = task.failures + (isAttributedToWorker ? 0 : 1);
		const change = {
			offset, reason, failures, failedOnVmIds: failedOnVmIdsAfter(ended),
		};
		return isLongRunning(state, task) || failures < maxFailuresOf(state, task)
			? requeueTask(state, task, change)
			: failTaskAndJob(state, task, change);
	},
	'refused-not-run': ended => requeueTask(ended.state, ended.task, {
		offset: ended.offset,
		reason: ended.reason,
		// What a VM refuses because of an evacuation says nothing of the VM, which is to be used again afterwards.
		failedOnVmIds: isOnEvacuatedVm(ended) ? ended.task.failedOnVmIds : failedOnVmIdsAfter(ended),
	}),
	// The attempt was cancelled, but the task is not being cancelled. It is queued again so that its work is not lost.
	cancelled: ({state, task, reason, offset}) => requeueTask(state, task, {offset, reason}),
};

/** Handlers of records about jobs and tasks. */
export const taskHandlers: RecordHandlers<
	'job-submitted' | 'tasks-cancelled' | 'task-unplaceable' | 'task-claimed' | 'task-started' | 'task-ended' | 'task-checkpointed' | 'evict-requested'
> = {
	'job-submitted': (state, {job}, {offset, writerIncarnation}) => submitJob(state, job, {
		offset,
		// A writer's records are in the order in which it queued them, so that it had read at least as far as its newest heartbeat says.
		appliedOffset: state.entries.get(writerIncarnation)?.appliedOffset ?? -1,
	}),
	'tasks-cancelled'(state, {taskIds}, {offset}) {
		let next = state;
		for (const taskId of taskIds) {
			next = cancelTask(createNamedTask(next, taskId), taskId, offset);
		}

		return next;
	},
	'task-unplaceable'(before, {taskId, lacks}, {offset}) {
		const state = createNamedTask(before, taskId);
		const task = state.tasks.get(taskId);
		if (task?.phase !== 'queued') {
			return state;
		}

		return task.position ? failTaskAndJob(state, task, {offset, reason: lacks}) : endTask(state, task, 'unplaceable', {offset, reason: lacks});
	},
	'task-claimed': (state, record, {offset, writerIncarnation}) => claimTask(state, record, offset, writerIncarnation),
	'task-started'(state, record, {offset}) {
		const task = taskOfLiveAttempt(state, record);
		if (!task) {
			return state;
		}

		const run = state.workflows.get(task.jobId);
		const withStartedJob: ClusterState = run?.phase === 'queued'
			? {...state, workflows: state.workflows.set(task.jobId, {...run, phase: 'running'})}
			: state;
		return task.phase === 'claimed'
			? {...withStartedJob, tasks: withStartedJob.tasks.set(record.taskId, {...task, phase: 'running', changedOffset: offset})}
			: withStartedJob;
	},
	'task-ended'(state, record, {offset}) {
		const {outcome, reason} = record;
		const task = taskOfLiveAttempt(state, record);
		if (!task?.claim) {
			return state;
		}

		return task.phase === 'cancelling' && outcome !== 'finished'
			? endTask(state, task, 'cancelled', {offset, reason})
			: outcomeHandlers[outcome]({
				state, task, vmId: task.claim.vmId, reason, offset,
			});
	},
	'task-checkpointed'(state, record, {offset}) {
		const {checkpoint, reason} = record;
		const task = taskOfLiveAttempt(state, record);
		if (!task) {
			return state;
		}

		return task.phase === 'cancelling'
			? endTask(state, task, 'cancelled', {offset, reason})
			: requeueTask(state, task, {
				offset, reason, checkpoint, evictions: task.evictions + 1,
			});
	},
	'evict-requested'(state, record, {offset}) {
		const task = taskOfLiveAttempt(state, record);
		return task && hasLiveAttempt(task) ? evictTask(state, task, {offset, reason: record.reason}) : state;
	},
};
