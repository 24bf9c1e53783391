import {type Step} from '../cluster/workflow.js';

/** A step of the jobs of a queue. */
export type StepOfQueue = Readonly<{queue: string; stepIndex: number; step: Step}>;

/** Run times of tasks, as learned from what has ended. */
export type RunTimes = Readonly<{
	/** Expected run time of a task of a step, in milliseconds. */
	expectedRunTimeMs: (step: StepOfQueue) => number;
	/** Number of ends that the expected run time is based on. */
	sampleCountOf: (step: StepOfQueue) => number;
}>;
