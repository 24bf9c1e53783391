import {z} from 'zod';
import {resourcesSchema} from './resources-schema.js';

/** A step of a workflow: `count` equal tasks that wait for the steps in `dependsOn`. */
export const stepSchema = z.strictObject({
	count: z.int().min(1).max(1000),
	demand: resourcesSchema,
	declaredRunTimeMs: z.int().min(0),
	/** Indexes of earlier steps whose tasks must all have finished. */
	dependsOn: z.array(z.int().min(0)).readonly().optional(),
	checkpoints: z.boolean().optional(),
	/** The tasks work only together, from the moment when all of them run. */
	gang: z.boolean().optional(),
	/** The tasks work at full speed only when all of them run in one rack. */
	prefersOneRack: z.boolean().optional(),
	/** Label that the VM must have. */
	requiredLabel: z.string().optional(),
	/** Rack that holds the task's data. */
	preferredRack: z.string().optional(),
	/** Most tasks of the step on one VM. */
	maxTasksPerVm: z.int().positive().optional(),
	/** Copies of a task may run at the same time. */
	speculative: z.boolean().optional(),
	/** The tasks run until the job is cancelled and start again however they end. */
	longRunning: z.boolean().optional(),
	/** What the tasks run; tasks of the same image disturb their neighbours alike. */
	image: z.string().optional(),
	/** Bound of the tail of the response times of a task that serves users. */
	latencyTargetMs: z.number().positive().optional(),
	/** The tasks take only processors that the other tasks leave idle. */
	fillsIdle: z.boolean().optional(),
	/** Long-running tasks of the step that may be away at the same time because of the system. */
	maxUnavailable: z.int().min(0).optional(),
}).readonly();

export type Step = z.infer<typeof stepSchema>;

/** The steps of a job with what its queue says of them at the time of submission. */
export const workflowSchema = z.strictObject({
	queue: z.string().min(1).max(256),
	/** Service whose backend servers run the tasks. */
	service: z.string().min(1).max(128),
	/** Handed to every task. */
	payload: z.string().max(16_384),
	steps: z.array(stepSchema).min(1).max(256).readonly(),
	/** Failed attempts of one task after which the job fails. */
	maxFailures: z.int().positive(),
	/** The steps run `times` times; occurrence K is due at `firstAtMs` + K x `intervalMs` of Unix time. */
	schedule: z.strictObject({firstAtMs: z.int(), intervalMs: z.int().positive(), times: z.int().positive().max(100_000)}).readonly().optional(),
	/** When the caller wants the job finished; jobs that can still make it go first. */
	objective: z.strictObject({
		/** Unix time at which an entry took the job in. */
		submittedAtMs: z.int(),
		/** Factor on the longest chain of declared run times, in thousandths. */
		stretchMilli: z.int().min(0),
		/** Time beyond the stretched chain. */
		slackMs: z.int().min(0),
	}).readonly().optional(),
	/** Whether starts need a ticket of the queue's advice service. */
	needsAdvice: z.boolean().optional(),
}).readonly();

export type Workflow = z.infer<typeof workflowSchema>;

/** Where a task stands in its workflow. */
export type TaskPosition = Readonly<{occurrence: number; stepIndex: number}>;

/**
Names a task of a workflow.

@example
taskIdOf('5c0e7a21d94b36f8', {occurrence: 0, stepIndex: 1}, 17); // => '5c0e7a21d94b36f8.0.1.17'
*/
export function taskIdOf(jobId: string, {occurrence, stepIndex}: TaskPosition, index: number): string {
	return `${jobId}.${occurrence}.${stepIndex}.${index}`;
}

/**
Names a step of one occurrence, as the key of its count of unfinished tasks.

@example
stepKeyOf({occurrence: 0, stepIndex: 1}); // => '0.1'
*/
export function stepKeyOf({occurrence, stepIndex}: TaskPosition): string {
	return `${occurrence}.${stepIndex}`;
}

/**
Says what a step's tasks commit on a VM: a step that fills idle processors commits none of them.

@example
committedByStep({count: 1, demand: {processorsMilli: 500, memoryMb: 64, accelerators: 0}, declaredRunTimeMs: 900, fillsIdle: true});
// => {processorsMilli: 0, memoryMb: 64, accelerators: 0}
*/
export function committedByStep(step: Step): Step['demand'] {
	return step.fillsIdle ? {...step.demand, processorsMilli: 0} : step.demand;
}

/**
Tells which steps of a workflow cannot refer to one another as they do: a dependency must name an earlier step.

@example
findInvalidDependency([{...step, dependsOn: [0]}]); // => 0
*/
export function findInvalidDependency(steps: readonly Step[]): number | undefined {
	const index = steps.findIndex((step, stepIndex) => (step.dependsOn ?? []).some(dependency => dependency >= stepIndex));
	return index === -1 ? undefined : index;
}
