import {type Map as ImmutableMap} from 'immutable';
import {type WorkflowRun} from '../cluster/cluster-state.js';
import {stepKeyOf, type Workflow} from '../cluster/workflow.js';
import {type RunTimes} from './run-times.js';

/** Which capacity a job uses: that which serving tasks leave unused, or that which tasks commit. */
export type CapacityKind = 'filling' | 'committing';

/** The work of a job whose tasks end. Work is in millicores times milliseconds. */
export type JobWork = Readonly<{
	/** The capacity that most of the work uses. */
	capacityKind: CapacityKind;
	work: number;
	/** Millicores that the tasks demand which can start now or run: those of the unfinished steps without unfinished dependencies. */
	readyDemandMilli: number;
	/** Work of these tasks. */
	readyWork: number;
	/** Longest chain of expected run times of the unfinished steps. */
	pathMs: number;
	/** Longest chain of declared run times of all steps, from which the objective is computed. */
	declaredPathMs: number;
	/** Ends that the least known of the expected run times is based on. */
	sampleCount: number;
}>;

/** Millicores assumed for a task that demands none, as in the queue order. */
const minProcessorsMilli = 1;

/**
Returns the work of a job that has not started; undefined for one with long-running steps only.

@example
jobWorkOf(workflow, runTimes)?.pathMs; // => 6200
*/
export function jobWorkOf(workflow: Workflow, runTimes: RunTimes): JobWork | undefined {
	return workOf(workflow, runTimes, stepIndex => workflow.steps[stepIndex]!.count);
}

/**
Returns the unfinished work of a job that the state holds; undefined for one with long-running steps only.

@example
remainingJobWorkOf(cluster.workflows.get('bake-1')!, runTimes)?.work; // => 434_000_000
*/
export function remainingJobWorkOf({workflow, unfinishedByStep, madeOccurrences}: WorkflowRun, runTimes: RunTimes): JobWork | undefined {
	return workOf(workflow, runTimes, stepIndex => unfinishedOf(unfinishedByStep, Math.max(0, madeOccurrences - 1), stepIndex));
}

function unfinishedOf(unfinishedByStep: ImmutableMap<string, number>, occurrence: number, stepIndex: number): number {
	return unfinishedByStep.get(stepKeyOf({occurrence, stepIndex}), 0);
}

function workOf({queue, steps}: Workflow, runTimes: RunTimes, unfinishedAt: (stepIndex: number) => number): JobWork | undefined {
	const work: Record<CapacityKind, number> = {filling: 0, committing: 0};
	const unfinished: number[] = [];
	const pathsMs: number[] = [];
	const declaredPathsMs: number[] = [];
	let readyDemandMilli = 0;
	let readyWork = 0;
	let sampleCount = Number.POSITIVE_INFINITY;
	for (const [stepIndex, step] of steps.entries()) {
		const count = step.longRunning ? 0 : unfinishedAt(stepIndex);
		const dependsOn = step.dependsOn ?? [];
		const ref = {queue, stepIndex, step};
		const runTimeMs = step.longRunning ? 0 : runTimes.expectedRunTimeMs(ref);
		const processorsMilli = Math.max(minProcessorsMilli, step.demand.processorsMilli);
		work[step.fillsIdle ? 'filling' : 'committing'] += count * runTimeMs * processorsMilli;
		if (dependsOn.every(index => unfinished[index] === 0)) {
			readyDemandMilli += count * processorsMilli;
			readyWork += count * processorsMilli * runTimeMs;
		}

		unfinished.push(count);
		pathsMs.push((count > 0 ? runTimeMs : 0) + Math.max(0, ...dependsOn.map(index => pathsMs[index]!)));
		declaredPathsMs.push(step.declaredRunTimeMs + Math.max(0, ...dependsOn.map(index => declaredPathsMs[index]!)));
		sampleCount = step.longRunning ? sampleCount : Math.min(sampleCount, runTimes.sampleCountOf(ref));
	}

	return steps.every(({longRunning}) => longRunning)
		? undefined
		: {
			capacityKind: work.filling > work.committing ? 'filling' : 'committing',
			work: work.filling + work.committing,
			readyDemandMilli,
			readyWork,
			pathMs: Math.max(...pathsMs),
			declaredPathMs: Math.max(...declaredPathsMs),
			sampleCount,
		};
}
