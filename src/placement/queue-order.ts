import {type ClusterState, type WorkflowRun} from '../cluster/cluster-state.js';
import {stepKeyOf} from '../cluster/workflow.js';

/**
How the placement ranks the queued tasks of one priority class. It answers a load beyond what the VMs can take: jobs that can
still meet their objective go before those that are late, late ones before those so late that finishing them helps nobody, and
within each group the job with the least work left goes first, since finishing many small jobs serves more callers than
finishing one large one.
*/
type JobRank = Readonly<{lateness: number; workLeft: number; submittedOffset: number}>;

/** A job that ends after this many times its objective counts as given up by its caller. */
const lateFactor = 3;

/** Processors that a task without any, such as one that only needs memory, counts with. */
const leastProcessorsMilli = 1;

/** What is left of a job, and the longest chains of declared run times of the whole job and of what is left of it. */
type WorkLeft = Readonly<{workLeft: number; wholeMs: number; leftMs: number}>;

// Keyed by the run, which is replaced whenever one of its tasks finishes.
const workLeftByRun = new WeakMap<WorkflowRun, WorkLeft>();

function workLeftOf(run: WorkflowRun): WorkLeft {
	const known = workLeftByRun.get(run);
	if (known) {
		return known;
	}

	const {workflow, unfinishedByStep, madeOccurrences} = run;
	const occurrence = Math.max(0, madeOccurrences - 1);
	let workLeft = 0;
	/** The longest chains that end with each step. */
	const chains: Array<Readonly<{wholeMs: number; leftMs: number}>> = [];
	for (const [stepIndex, step] of workflow.steps.entries()) {
		const unfinished = unfinishedByStep.get(stepKeyOf({occurrence, stepIndex})) ?? 0;
		workLeft += unfinished * step.declaredRunTimeMs * Math.max(leastProcessorsMilli, step.demand.processorsMilli);
		const before = (step.dependsOn ?? []).map(dependency => chains[dependency]!);
		chains.push({
			wholeMs: step.declaredRunTimeMs + Math.max(0, ...before.map(({wholeMs}) => wholeMs)),
			leftMs: (unfinished > 0 ? step.declaredRunTimeMs : 0) + Math.max(0, ...before.map(({leftMs}) => leftMs)),
		});
	}

	const left: WorkLeft = {
		workLeft,
		wholeMs: Math.max(...chains.map(({wholeMs}) => wholeMs)),
		leftMs: Math.max(...chains.map(({leftMs}) => leftMs)),
	};
	workLeftByRun.set(run, left);
	return left;
}

function rankOf(run: WorkflowRun, submittedOffset: number, wallTimeMs: number): JobRank {
	const {objective} = run.workflow;
	if (!objective) {
		return {lateness: 0, workLeft: 0, submittedOffset};
	}

	const {workLeft, wholeMs, leftMs} = workLeftOf(run);
	const allowedMs = (wholeMs * objective.stretchMilli / 1000) + objective.slackMs;
	const expectedMs = wallTimeMs - objective.submittedAtMs + leftMs;
	const lateness = expectedMs <= allowedMs ? 0 : (expectedMs <= lateFactor * allowedMs ? 1 : 2);
	return {lateness, workLeft, submittedOffset};
}

/**
Orders the queued tasks of one class for placement. Tasks of one job keep their order; jobs without a workflow go in the order of
their submission, before all others of their class.

@example
orderQueue(['a.0.0.0', 'b.0.0.0'], cluster, Date.now()); // => ['b.0.0.0', 'a.0.0.0']
*/
export function orderQueue(taskIds: Iterable<string>, cluster: ClusterState, wallTimeMs: number): readonly string[] {
	const ranks = new Map<string, JobRank>();
	const ranked: Array<Readonly<{taskId: string; rank: JobRank}>> = [];
	for (const taskId of taskIds) {
		const task = cluster.tasks.get(taskId);
		if (!task) {
			continue;
		}

		const run = cluster.workflows.get(task.jobId);
		const rank = ranks.get(task.jobId)
			?? (run ? rankOf(run, task.submittedOffset, wallTimeMs) : {lateness: 0, workLeft: -1, submittedOffset: task.submittedOffset});
		ranks.set(task.jobId, rank);
		ranked.push({taskId, rank});
	}

	return ranked
		.toSorted(({rank: left}, {rank: right}) => left.lateness - right.lateness
			|| left.workLeft - right.workLeft
			|| left.submittedOffset - right.submittedOffset)
		.map(({taskId}) => taskId);
}
