import {type Step} from '../cluster/workflow.js';
import {measuredEndsOf, type MeasuredEnds} from './measured-ends.js';

/** A step of the jobs of a queue. */
export type StepOfQueue = Readonly<{queue: string; stepIndex: number; step: Step}>;

/** Run times of tasks, as learned from what has ended. */
export type RunTimes = Readonly<{
	/** Expected run time of a task of a step, in milliseconds. */
	expectedRunTimeMs: (step: StepOfQueue) => number;
	/** Number of ends that the expected run time is based on. */
	sampleCountOf: (step: StepOfQueue) => number;
}>;

/**
Returns the declared run times, for use without learned ones. Their samples are the measured ends of the queue, which show that its tasks end.

@example
declaredRunTimes(noMeasuredEnds).expectedRunTimeMs({queue, stepIndex: 0, step}); // => step.declaredRunTimeMs
*/
export function declaredRunTimes(ends: MeasuredEnds): RunTimes {
	return {
		expectedRunTimeMs: ({step}) => step.declaredRunTimeMs,
		sampleCountOf: ({queue}) => measuredEndsOf(ends, queue),
	};
}
