import {err, ok, type Result} from 'true-myth/result';
import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {jobSchema, nameSchema} from '../cluster/intent.js';
import {type CallerJobError, type CallerJobs} from './caller-server.js';
import {type DeferredAnswer} from './control-effect.js';
import {type DeferredSubject} from './entry-event.js';
import {type EntryState} from './entry-state.js';

type JobReport = Readonly<{jobId: string; tasks: ReadonlyArray<Pick<Task, 'phase' | 'attempt' | 'evictions' | 'failures' | 'reason'> & {readonly taskId: string}>}>;

const statusByResult: Readonly<Record<DeferredAnswer['result'], number>> = {accepted: 202, rejected: 409, unknown: 504};

/**
Creates the functions behind the callers' job paths.

@example
const jobs = createJobInterface({state, ask});
await jobs.find('panel-17');
*/
export function createJobInterface({state, ask}: Readonly<{
	state: () => EntryState;
	ask: (subject: DeferredSubject) => Promise<DeferredAnswer>;
}>): CallerJobs {
	return {
		async submit(body) {
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
			const answer = await ask({kind: 'job', job: job.data});
			return toResult(jobId, answer);
		},
		async find(jobId) {
			const report = reportJob(state().cluster, jobId);
			return report ? ok(report) : err(unknownJob(jobId));
		},
		async cancel(jobId) {
			if (!nameSchema.safeParse(jobId).success || !state().cluster.jobs.has(jobId)) {
				return err(unknownJob(jobId));
			}

			return toResult(jobId, await ask({kind: 'cancel-job', jobId}));
		},
	};
}

function toResult(jobId: string, answer: DeferredAnswer): Result<unknown, CallerJobError> {
	if (answer.result === 'accepted') {
		return ok({jobId, ...answer});
	}

	return err({
		status: answer.reason.startsWith('the log service') ? 503 : statusByResult[answer.result],
		error: {
			kind: `job-${answer.result}`,
			message: answer.reason,
			remedy: 'send the same job again with the same job id; a job that is already known is not submitted twice',
		},
	});
}

function reportJob(cluster: ClusterState, jobId: string): JobReport | undefined {
	const taskIds = cluster.jobs.get(jobId);
	return taskIds && {
		jobId,
		tasks: taskIds.map(taskId => cluster.tasks.get(taskId)).filter(task => task !== undefined).map(task => ({
			taskId: task.spec.taskId,
			phase: task.phase,
			attempt: task.attempt,
			evictions: task.evictions,
			failures: task.failures,
			reason: task.reason,
		})),
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
