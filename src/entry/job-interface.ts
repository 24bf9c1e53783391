import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'true-myth/result';
import {isTooLargeForBudget} from '../admission/state-budget.js';
import {type ClusterState, type Task, type WorkflowPhase} from '../cluster/cluster-state.js';
import {isKnownJob} from '../cluster/early-cancellations.js';
import {jobSchema, nameSchema} from '../cluster/intent.js';
import {taskIdsOf} from '../cluster/workflow-progress.js';
import {type CallerJobError, type CallerJobs} from './caller-server.js';
import {type DeferredAnswer} from './control-effect.js';
import {type DeferredSubject, type SubmitOrigin} from './entry-event.js';
import {type EntryState} from './entry-state.js';

type TaskReport = Readonly<Pick<Task, 'phase' | 'attempt' | 'evictions' | 'failures' | 'reason'> & {taskId: string}>;

/** Report of a job to its caller; `phase` is that of the whole job, for jobs with a workflow. */
export type JobReport = Readonly<{jobId: string; phase?: WorkflowPhase; tasks: readonly TaskReport[]}>;

/** The job functions of an entry. */
export type JobInterface = Omit<CallerJobs, 'find' | 'submit'> & Readonly<{
	/** @param origin where the job came from; this entry when left out. */
	submit: (body: unknown, origin?: SubmitOrigin) => Promise<Result<unknown, CallerJobError>>;
	find: (jobId: string) => Promise<Result<JobReport, CallerJobError>>;
	/** Returns the number of accepted jobs of a queue of which no task has started. */
	countPending: (queue: string) => Promise<Result<number, CallerJobError>>;
}>;

const sendAgain = 'send the same call again with the same job id; a job that is already known is not submitted twice';

const refusals: Readonly<Record<Exclude<DeferredAnswer['result'], 'accepted'>, Readonly<{status: number; kind: string; remedy: string}>>> = {
	rejected: {status: 409, kind: 'job-rejected', remedy: 'choose another job id'},
	refused: {status: 429, kind: 'job-refused-overload', remedy: 'send the job again with the same job id after the time in Retry-After, when there is capacity for it; it was not run'},
	// The job may have been accepted, so neither a refusal nor `job-unknown` would be right.
	unknown: {status: 504, kind: 'job-outcome-unknown', remedy: sendAgain},
};

/** Size of a job's record in addition to the job, in bytes: the names of the writer, the sequence and the names of the fields. */
const recordOverheadBytes = 1024;

/** Retry time for callers while this entry cannot read the log: outages of the log last seconds, and other entries may reach it. */
const logRetryAfterMs = 1000;

/**
Creates the functions behind the callers' job paths.

@example
const jobs = createJobInterface({state, requestDecision, nowMs: () => performance.now(), logFreshnessMs: 2000, maxRecordBytes: 261_120});
await jobs.find('panel-17');
*/
export function createJobInterface({state, requestDecision, nowMs, logFreshnessMs, maxRecordBytes, jobBytes = Number.POSITIVE_INFINITY, failureDomain}: Readonly<{
	state: () => EntryState;
	requestDecision: (subject: DeferredSubject) => Promise<DeferredAnswer>;
	nowMs: () => number;
	logFreshnessMs: number;
	/** Largest record that the log takes, in bytes; larger jobs are refused. */
	maxRecordBytes: number;
	/** Memory for all unfinished jobs, in bytes. */
	jobBytes?: number;
	/** Failure domain of this entry, which counts as that of the callers whose requests no other entry relayed. */
	failureDomain?: string;
}>): JobInterface {
	const isFresh = (): boolean => nowMs() - state().log.tailConfirmedSentAtMs <= logFreshnessMs;

	/** Returns the error for a job that the state does not hold; while the state is stale, another entry may have accepted the job. */
	const missingJobError = (jobId: string): CallerJobError => isFresh() ? unknownJob(jobId) : staleState();

	return {
		async submit(body, origin) {
			const job = jobSchema.safeParse(body);
			if (!job.success) {
				const [issue] = job.error.issues;
				return err({
					status: 400,
					error: {
						kind: 'job-invalid',
						message: `${issue!.path.join('.')}: ${issue!.message}`,
						remedy: 'correct the field and submit the job again with the same job id',
					},
				});
			}

			const {jobId} = job.data;
			const recordBytes = Buffer.byteLength(JSON.stringify(job.data));
			const maxJobRecordBytes = maxRecordBytes - recordOverheadBytes;
			if (recordBytes > maxJobRecordBytes) {
				return err(jobTooLarge(`job ${jobId} takes ${recordBytes} bytes in the log, where at most ${maxJobRecordBytes} fit`));
			}

			if (isTooLargeForBudget(job.data, jobBytes) && !isKnownJob(state().cluster, jobId)) {
				return err(jobTooLarge(`job ${jobId} has more steps and dependencies than the memory for all unfinished jobs bears`));
			}

			const answer = await requestDecision({kind: 'job', job: job.data, origin: origin ?? {callerFailureDomain: failureDomain}});
			return toResult(jobId, answer);
		},
		async find(jobId) {
			const report = reportJob(state().cluster, jobId);
			return report ? ok(report) : err(missingJobError(jobId));
		},
		async cancel(jobId) {
			if (!nameSchema.safeParse(jobId).success) {
				return err(unknownJob(jobId));
			}

			const answer = await requestDecision({kind: 'cancel-job', jobId});
			return answer.result === 'accepted' && !isKnownJob(state().cluster, jobId) ? err(unknownJob(jobId)) : toResult(jobId, answer);
		},
		async countPending(queue) {
			if (!isFresh()) {
				return err(staleState());
			}

			return ok(state().cluster.workflows.count(run => run.phase === 'queued' && run.workflow.queue === queue));
		},
	};
}

function toResult(jobId: string, answer: DeferredAnswer): Result<unknown, CallerJobError> {
	if (answer.result === 'accepted') {
		return ok({jobId, ...answer});
	}

	const isLogUnreachable = answer.reason.startsWith('the log service');
	const {status, kind, remedy} = refusals[answer.result];
	return err({
		status: isLogUnreachable ? 503 : status,
		error: {kind, message: answer.reason, remedy: isLogUnreachable ? sendAgain : remedy},
		...(isLogUnreachable ? {retryAfterMs: logRetryAfterMs} : (answer.retryAfterMs !== undefined && {retryAfterMs: answer.retryAfterMs})),
	});
}

function reportJob(cluster: ClusterState, jobId: string): JobReport | undefined {
	const finished = cluster.finishedWorkflows.get(jobId);
	if (finished) {
		return {jobId, phase: finished.phase, tasks: []};
	}

	if (!cluster.jobs.has(jobId)) {
		return undefined;
	}

	const phase = cluster.workflows.get(jobId)?.phase;
	return {
		jobId,
		...(phase !== undefined && {phase}),
		tasks: [...taskIdsOf(cluster, jobId)].map(taskId => cluster.tasks.get(taskId)).filter(task => task !== undefined).map(task => ({
			taskId: task.spec.taskId,
			phase: task.phase,
			attempt: task.attempt,
			evictions: task.evictions,
			failures: task.failures,
			reason: task.reason,
		})),
	};
}

function jobTooLarge(message: string): CallerJobError {
	return {
		status: 413,
		error: {
			kind: 'job-too-large',
			message,
			remedy: 'split it into smaller jobs',
		},
	};
}

function unknownJob(jobId: string): CallerJobError {
	return {
		status: 404,
		error: {
			kind: 'job-unknown',
			message: `no job ${jobId.slice(0, 128)} is known`,
			remedy: 'check the job id; ended jobs are forgotten after a while',
		},
	};
}

function staleState(): CallerJobError {
	return {
		status: 503,
		error: {
			kind: 'state-stale',
			message: 'the log is out of reach, so this entry does not know the newest jobs',
			remedy: 'ask again, or ask another entry',
		},
		retryAfterMs: logRetryAfterMs,
	};
}
