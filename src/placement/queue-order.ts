import {type ClusterState, type Task, type WorkflowRun} from '../cluster/cluster-state.js';
import {stepKeyOf, type Workflow} from '../cluster/workflow.js';
import {isLongRunning, stepOf, taskIdsOf} from '../cluster/workflow-progress.js';

/**
Rank of a queued task within its priority class. It matters when the load exceeds the capacity of the VMs: jobs that can still meet their
objective go before late jobs, and late jobs before those so late that their caller no longer needs the result. Within each group the job
with the least remaining work goes first, since finishing many small jobs serves more callers than finishing one large job. Long-running
tasks that have run before go first of all: their callers miss them from the moment they ended, and the objective of their job was met or
missed long ago.
*/
type Rank = Readonly<{group: number; remainingWork: number; sinceOffset: number}>;

/** Groups of ranks; lower numbers go first. Late jobs are `late` or `abandoned`. */
const rankGroups = {
	restartBeyondLimit: -2, restart: -1, inTime: 0, late: 1, abandoned: 2,
} as const;

/** A job expected to take more than this many times its allowed time is treated as abandoned by its caller. */
const abandonedFactor = 3;

/** Millicores assumed for a task that demands none, such as one that only needs memory, so that it counts as work. */
const minProcessorsMilli = 1;

/** Remaining work of a job, in millicores times milliseconds, and the critical paths (longest chains of declared run times) of the whole job and of its unfinished steps. */
type RemainingWork = Readonly<{remainingWork: number; criticalPathMs: number; remainingPathMs: number}>;

// Holds the newest result of each workflow; it depends on `unfinishedByStep` as well, which is replaced whenever a task finishes.
const remainingWorkByWorkflow = new WeakMap<Workflow, Readonly<{unfinishedByStep: WorkflowRun['unfinishedByStep']; remaining: RemainingWork}>>();

function remainingWorkOf(run: WorkflowRun): RemainingWork {
	const {workflow, unfinishedByStep, madeOccurrences} = run;
	const cached = remainingWorkByWorkflow.get(workflow);
	if (cached?.unfinishedByStep === unfinishedByStep) {
		return cached.remaining;
	}

	const occurrence = Math.max(0, madeOccurrences - 1);
	let remainingWork = 0;
	/** Longest chain that ends with each step. */
	const chains: Array<Readonly<{criticalPathMs: number; remainingPathMs: number}>> = [];
	for (const [stepIndex, step] of workflow.steps.entries()) {
		const unfinished = unfinishedByStep.get(stepKeyOf({occurrence, stepIndex})) ?? 0;
		remainingWork += unfinished * step.declaredRunTimeMs * Math.max(minProcessorsMilli, step.demand.processorsMilli);
		const before = (step.dependsOn ?? []).map(dependency => chains[dependency]!);
		chains.push({
			criticalPathMs: step.declaredRunTimeMs + Math.max(0, ...before.map(({criticalPathMs}) => criticalPathMs)),
			remainingPathMs: (unfinished > 0 ? step.declaredRunTimeMs : 0) + Math.max(0, ...before.map(({remainingPathMs}) => remainingPathMs)),
		});
	}

	const remaining: RemainingWork = {
		remainingWork,
		criticalPathMs: Math.max(...chains.map(({criticalPathMs}) => criticalPathMs)),
		remainingPathMs: Math.max(...chains.map(({remainingPathMs}) => remainingPathMs)),
	};
	remainingWorkByWorkflow.set(workflow, {unfinishedByStep, remaining});
	return remaining;
}

function rankOf(run: WorkflowRun, sinceOffset: number, wallTimeMs: number): Rank {
	const {objective} = run.workflow;
	if (!objective) {
		return {group: rankGroups.inTime, remainingWork: 0, sinceOffset};
	}

	const {remainingWork, criticalPathMs, remainingPathMs} = remainingWorkOf(run);
	const allowedMs = (criticalPathMs * objective.stretchMilli / 1000) + objective.slackMs;
	const expectedMs = wallTimeMs - objective.submittedAtMs + remainingPathMs;
	const group = expectedMs <= allowedMs ? rankGroups.inTime : (expectedMs <= abandonedFactor * allowedMs ? rankGroups.late : rankGroups.abandoned);
	return {group, remainingWork, sinceOffset};
}

/** Returns whether as many tasks of a task's step are unavailable as `maxUnavailable` allows, so that no other one may be stopped. */
function isAtUnavailableLimit(cluster: ClusterState, task: Task, maxUnavailable: number | undefined): boolean {
	const {jobId, position} = task;
	if (maxUnavailable === undefined || !position) {
		return false;
	}

	let available = 0;
	for (const taskId of taskIdsOf(cluster, jobId)) {
		const other = cluster.tasks.get(taskId);
		available += other?.position?.stepIndex === position.stepIndex && other.position.occurrence === position.occurrence && other.phase === 'running' ? 1 : 0;
	}

	// Tasks that are not created yet do not run either.
	return (stepOf(cluster, task)?.count ?? 0) - available >= maxUnavailable;
}

/** Returns the rank of a long-running task. It is never late for its caller; of those that have run before, the one that ended first goes first. */
function rankOfLongRunning(task: Task, isStepAtLimit: boolean, rank: Rank): Rank {
	return task.attempt === 0
		? {...rank, group: rankGroups.inTime}
		: {group: isStepAtLimit ? rankGroups.restartBeyondLimit : rankGroups.restart, remainingWork: 0, sinceOffset: task.changedOffset};
}

/**
Returns the queued tasks of one class in the order of their placement. Restarts of long-running tasks go first, and among them those of steps
at their `maxUnavailable` limit. Tasks of one job keep their order. Jobs without a workflow go in the order of their submission, before the
first starts of all other jobs of their class.

@example
orderQueue(['a.0.0.0', 'b.0.0.0'], cluster, Date.now()); // => ['b.0.0.0', 'a.0.0.0']
*/
export function orderQueue(taskIds: Iterable<string>, cluster: ClusterState, wallTimeMs: number): readonly string[] {
	const jobRanks = new Map<string, Rank>();
	const stepsAtLimit = new Map<string, boolean>();
	const isStepAtLimit = (task: Task): boolean => {
		const stepKey = `${task.jobId}/${task.position ? stepKeyOf(task.position) : ''}`;
		const isReached = stepsAtLimit.get(stepKey) ?? isAtUnavailableLimit(cluster, task, stepOf(cluster, task)?.maxUnavailable);
		stepsAtLimit.set(stepKey, isReached);
		return isReached;
	};

	const ranked: Array<Readonly<{taskId: string; rank: Rank}>> = [];
	for (const taskId of taskIds) {
		const task = cluster.tasks.get(taskId);
		if (!task) {
			continue;
		}

		const run = cluster.workflows.get(task.jobId);
		const jobRank = jobRanks.get(task.jobId)
			?? (run ? rankOf(run, task.submittedOffset, wallTimeMs) : {group: rankGroups.inTime, remainingWork: -1, sinceOffset: task.submittedOffset});
		jobRanks.set(task.jobId, jobRank);
		ranked.push({taskId, rank: isLongRunning(cluster, task) ? rankOfLongRunning(task, task.attempt > 0 && isStepAtLimit(task), jobRank) : jobRank});
	}

	return ranked
		.toSorted(({rank: left}, {rank: right}) => left.group - right.group
			|| left.remainingWork - right.remainingWork
			|| left.sinceOffset - right.sinceOffset)
		.map(({taskId}) => taskId);
}
