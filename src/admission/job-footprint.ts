import {type ClusterState} from '../cluster/cluster-state.js';
import {type Job} from '../cluster/intent.js';
import {type Workflow} from '../cluster/workflow.js';

/* Heap that parts of the cluster state take, in bytes, estimated from above. */

const jobBytes = 1500;
const stepBytes = 700;
const dependencyBytes = 10;
/** A character takes two bytes in a string that has any beyond Latin-1. */
const characterBytes = 2;
const queuedTaskBytes = 1000;
/** A claimed task also holds the decision that bound it. */
const claimedTaskBytes = 2000;

/**
Returns the heap that the tasks of a state take, with some that are about to be claimed, in bytes.

@example
taskFootprintBytes(cluster, {pendingClaims: 0}); // => 1_000_000 with 1,000 queued tasks
*/
export function taskFootprintBytes({tasks, queued}: Pick<ClusterState, 'tasks' | 'queued'>, {pendingClaims}: Readonly<{pendingClaims: number}>): number {
	let queuedTasks = -pendingClaims;
	for (const queue of queued.values()) {
		queuedTasks += queue.size;
	}

	return (queuedTaskBytes * queuedTasks) + (claimedTaskBytes * (tasks.size - queuedTasks));
}

// A workflow does not change while its job is in the state.
const knownBytes = new WeakMap<Workflow, number>();

function workflowBytesOf(workflow: Workflow): number {
	const cached = knownBytes.get(workflow);
	if (cached !== undefined) {
		return cached;
	}

	let bytes = jobBytes + (characterBytes * (workflow.payload.length + workflow.queue.length + workflow.service.length));
	for (const {dependsOn = [], requiredLabel = '', preferredRack = '', image = ''} of workflow.steps) {
		bytes += stepBytes + (dependencyBytes * dependsOn.length) + (characterBytes * (requiredLabel.length + preferredRack.length + image.length));
	}

	knownBytes.set(workflow, bytes);
	return bytes;
}

/**
Returns the heap that a job takes in the cluster state while it is unfinished, in bytes. The tasks of workflows are bounded for all jobs together and do
not count.

@example
jobFootprintBytes(job); // => 2230
*/
export function jobFootprintBytes({tasks, workflow}: Pick<Job, 'tasks' | 'workflow'>): number {
	return workflow
		? workflowBytesOf(workflow)
		: tasks.reduce((sum, {payload}) => sum + queuedTaskBytes + (characterBytes * payload.length), jobBytes);
}

/** Heap that the unfinished jobs take: in all, by `holderOf` and by workflow. */
export type HeldBytes = Readonly<{totalBytes: number; bytesByHolder: ReadonlyMap<string, number>; bytesByWorkflow: ReadonlyMap<string, number>}>;

/**
Returns whose share of the memory a job counts against: its queue, or its team without one.

@example
holderOf(job); // => 'queue/loaves.example/q/'
*/
export function holderOf({teamId, workflow}: Pick<Job, 'teamId' | 'workflow'>): string {
	return workflow ? `queue/${workflow.queue}` : `team/${teamId}`;
}

/**
Measures the heap that the unfinished jobs of a state take. Walks these jobs, and the tasks of those without a workflow.

@example
measureHeldBytes(cluster).totalBytes; // => 12_480_000
*/
export function measureHeldBytes({workflows, tasks, jobs, unfinishedTasksByJob}: ClusterState): HeldBytes {
	const bytesByHolder = new Map<string, number>();
	const bytesByWorkflow = new Map<string, number>();
	let totalBytes = 0;
	const add = (holder: string, bytes: number): void => {
		bytesByHolder.set(holder, (bytesByHolder.get(holder) ?? 0) + bytes);
		totalBytes += bytes;
	};

	for (const [jobId, {workflow, owner: {teamId}}] of workflows) {
		const bytes = workflowBytesOf(workflow);
		bytesByWorkflow.set(jobId, bytes);
		add(holderOf({teamId, workflow}), bytes);
	}

	for (const jobId of unfinishedTasksByJob.keys()) {
		for (const taskId of workflows.has(jobId) ? [] : jobs.get(jobId) ?? []) {
			const task = tasks.get(taskId);
			add(holderOf({teamId: task?.teamId ?? '', workflow: undefined}), queuedTaskBytes + (characterBytes * (task?.spec.payload.length ?? 0)));
		}
	}

	return {totalBytes, bytesByHolder, bytesByWorkflow};
}
