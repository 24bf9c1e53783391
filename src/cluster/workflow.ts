import {z} from 'zod';
import {maxTimeMs} from '../validation/bounds.js';
import {countSchema, timeMsSchema} from '../validation/bounds-schema.js';
import {resourcesSchema} from './resources-schema.js';

const maxSteps = 256;

/** Longest label, rack or image of a step, in characters. */
const maxStepTextLength = 1024;

/** A step of a workflow: `count` identical tasks that wait for the steps in `dependsOn`. */
export const stepSchema = z.strictObject({
	count: z.int().min(1).max(1000),
	demand: resourcesSchema,
	declaredRunTimeMs: timeMsSchema,
	/** Indexes of earlier steps whose tasks must all have finished. */
	dependsOn: z.array(z.int().min(0)).max(maxSteps).readonly().optional(),
	checkpoints: z.boolean().optional(),
	/** The tasks make progress only once all of them run. */
	gang: z.boolean().optional(),
	/** The tasks reach full speed only when all of them run in one rack. */
	prefersOneRack: z.boolean().optional(),
	/** Label that the VM must have. */
	requiredLabel: z.string().max(maxStepTextLength).optional(),
	/** Rack that holds the task's data. */
	preferredRack: z.string().max(maxStepTextLength).optional(),
	/** Maximum number of tasks of the step on one VM. */
	maxTasksPerVm: z.optional(countSchema),
	/** Copies of a task may run at the same time. */
	speculative: z.boolean().optional(),
	/** Long-running tasks: they run until the job is cancelled and are started again whenever they end. */
	longRunning: z.boolean().optional(),
	/** Image that the tasks run. Interference is estimated by image: tasks of one image are assumed to affect their neighbours equally. */
	image: z.string().max(maxStepTextLength).optional(),
	/** Target for the tail of the response times in ms. A task with such a target is a serving task. */
	latencyTargetMs: z.number().positive().max(maxTimeMs).optional(),
	/** Filling tasks: best-effort tasks that use only idle processors, and yield them when other tasks need them. */
	fillsIdle: z.boolean().optional(),
	/** Maximum number of the step's long-running tasks that the system may make unavailable (not running) at the same time. */
	maxUnavailable: z.int().min(0).optional(),
}).readonly();

export type Step = z.infer<typeof stepSchema>;

/** The steps of a job, with the settings that its queue had at the time of submission. */
export const workflowSchema = z.strictObject({
	queue: z.string().min(1).max(256),
	/** Service whose backend servers run the tasks. */
	service: z.string().min(1).max(128),
	/** Passed to every task. */
	payload: z.string().max(16_384),
	steps: z.array(stepSchema).min(1).max(maxSteps).readonly(),
	/** Failed attempts of one task after which the job fails. */
	maxFailures: countSchema,
	/** The steps run `times` times. Occurrence K is due at `firstAtMs` + K × `intervalMs`, in Unix time. */
	schedule: z.strictObject({firstAtMs: timeMsSchema, intervalMs: z.int().positive().max(maxTimeMs), times: z.int().positive().max(100_000)}).readonly().optional(),
	/** The deadline that the caller wants. Jobs that can still meet it are placed first. */
	objective: z.strictObject({
		/** Unix time at which an entry accepted the job. */
		submittedAtMs: timeMsSchema,
		/** Factor on the longest chain of declared run times, in thousandths. */
		stretchMilli: z.int().min(0),
		/** Slack: extra time that the deadline allows beyond the stretched chain. */
		slackMs: timeMsSchema,
	}).readonly().optional(),
	/** Whether starts need a ticket of the queue's advice service. */
	needsAdvice: z.boolean().optional(),
}).readonly();

export type Workflow = z.infer<typeof workflowSchema>;

/** The occurrence and step of a workflow that a task belongs to. */
export type TaskPosition = Readonly<{occurrence: number; stepIndex: number}>;

/**
Returns the ID of a workflow's task.

@example
taskIdOf('5c0e7a21d94b36f8', {occurrence: 0, stepIndex: 1}, 17); // => '5c0e7a21d94b36f8.0.1.17'
*/
export function taskIdOf(jobId: string, {occurrence, stepIndex}: TaskPosition, index: number): string {
	return `${jobId}.${occurrence}.${stepIndex}.${index}`;
}

const replacementSuffix = /\.r\d+(?:-\d+)?$/v;

/**
Returns the ID of the task that a replacement stands for, which is its own for any other task.

@example
withoutReplacementSuffix('5c0e7a21d94b36f8.0.1.17.r204'); // => '5c0e7a21d94b36f8.0.1.17'
*/
export function withoutReplacementSuffix(taskId: string): string {
	return taskId.replace(replacementSuffix, '');
}

const taskIdPattern = /^(?<jobId>.+)\.(?<occurrence>\d+)\.(?<stepIndex>\d+)\.(?<index>\d+)$/v;

/**
Returns the job, the step and the index that the ID of a workflow's task names; undefined for any other ID.

@example
parseTaskId('5c0e7a21d94b36f8.0.1.17'); // => {jobId: '5c0e7a21d94b36f8', position: {occurrence: 0, stepIndex: 1}, index: 17}
*/
export function parseTaskId(taskId: string): Readonly<{jobId: string; position: TaskPosition; index: number}> | undefined {
	const groups = taskIdPattern.exec(taskId)?.groups;
	return groups && {
		jobId: groups.jobId!, position: {occurrence: Number(groups.occurrence), stepIndex: Number(groups.stepIndex)}, index: Number(groups.index),
	};
}

/**
Returns the key of a step of one occurrence, under which its unfinished tasks are counted.

@example
stepKeyOf({occurrence: 0, stepIndex: 1}); // => '0.1'
*/
export function stepKeyOf({occurrence, stepIndex}: TaskPosition): string {
	return `${occurrence}.${stepIndex}`;
}

/**
Returns the occurrence and step that a key names.

@example
parseStepKey('0.1'); // => {occurrence: 0, stepIndex: 1}
*/
export function parseStepKey(key: string): TaskPosition {
	const separator = key.indexOf('.');
	return {occurrence: Number(key.slice(0, separator)), stepIndex: Number(key.slice(separator + 1))};
}

/**
Returns the resources that each task of a step commits on a VM. Filling tasks commit no processors.

@example
committedByStep({count: 1, demand: {processorsMilli: 500, memoryMb: 64, accelerators: 0}, declaredRunTimeMs: 900, fillsIdle: true});
// => {processorsMilli: 0, memoryMb: 64, accelerators: 0}
*/
export function committedByStep(step: Step): Step['demand'] {
	return step.fillsIdle ? {...step.demand, processorsMilli: 0} : step.demand;
}

/**
Returns the index of the first step that depends on itself or on a later step; undefined when there is none.

@example
findInvalidDependency([{...step, dependsOn: [0]}]); // => 0
*/
export function findInvalidDependency(steps: readonly Step[]): number | undefined {
	const index = steps.findIndex((step, stepIndex) => (step.dependsOn ?? []).some(dependency => dependency >= stepIndex));
	return index === -1 ? undefined : index;
}
