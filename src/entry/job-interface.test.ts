import test from 'ava';
import {type DeferredAnswer} from './control-effect.js';
import {initialEntryState, type EntryState} from './entry-state.js';
import {createJobInterface, type JobInterface} from './job-interface.js';

const job = {
	jobId: 'job',
	teamId: 'team',
	workClass: 'batch',
	priority: 'normal',
	tasks: [{
		taskId: 'task', demand: {processorsMilli: 1, memoryMb: 1, accelerators: 0}, declaredRunTimeMs: 1, payload: '',
	}],
};

const initialState = initialEntryState('i');

function jobsThatAnswer(answer: DeferredAnswer, state: EntryState = initialState): JobInterface {
	return createJobInterface({
		state: () => state, requestDecision: async () => answer, nowMs: () => 10_000, logFreshnessMs: 2000, maxRecordBytes: 261_120,
	});
}

test('a job whose outcome is unknown is not answered as refused or missing', async t => {
	const submitted = await jobsThatAnswer({result: 'unknown', offset: 0, reason: 'the log has not confirmed the record yet'}).submit(job);
	t.like(submitted.isErr && submitted.error, {status: 504, error: {kind: 'job-outcome-unknown'}});
});

test('a caller whose job is refused while the log is unreachable gets a retry time', async t => {
	const submitted = await jobsThatAnswer({result: 'rejected', offset: 0, reason: 'the log service is out of reach'}).submit(job);
	t.like(submitted.isErr && submitted.error, {status: 503, retryAfterMs: 1000});
});

test('a caller whose job is refused in overload is told that it was not run, and when to come back', async t => {
	const submitted = await jobsThatAnswer({
		result: 'refused', offset: 0, reason: 'the job would end too late', retryAfterMs: 7000,
	}).submit(job);
	t.like(submitted.isErr && submitted.error, {status: 429, error: {kind: 'job-refused-overload'}, retryAfterMs: 7000});
});

test('an entry with a stale state does not report a job that it has not recorded as unknown', async t => {
	const answer: DeferredAnswer = {result: 'accepted', offset: 0, reason: ''};
	const stale = await jobsThatAnswer(answer).find('job');
	t.is(stale.isErr && stale.error.status, 503);
	const counted = await jobsThatAnswer(answer).countPending('q');
	t.true(counted.isErr);
	const fresh: EntryState = {...initialState, log: {tailConfirmedSentAtMs: 9000, reachable: true}};
	const missing = await jobsThatAnswer(answer, fresh).find('job');
	t.like(missing.isErr && missing.error, {status: 404, error: {kind: 'job-unknown'}});
});

test('a job whose record the log does not take is refused at once with its size', async t => {
	let requested = 0;
	const jobs = createJobInterface({
		state: () => initialState,
		async requestDecision() {
			requested++;
			return {result: 'accepted', offset: 0, reason: ''};
		},
		nowMs: () => 10_000,
		logFreshnessMs: 2000,
		maxRecordBytes: 261_120,
	});
	const withTasks = (count: number) => ({...job, tasks: Array.from({length: count}, (_, index) => ({...job.tasks[0], taskId: `task-${index}`, payload: 'x'.repeat(1000)}))});
	const refused = await jobs.submit(withTasks(240));
	t.is(requested, 0);
	t.like(refused.isErr && refused.error, {status: 413, error: {kind: 'job-too-large'}});
	t.regex(refused.isErr ? refused.error.error.message : '', /^job job takes 2\d{5} bytes in the log, where at most 260096 fit$/v);
	const accepted = await jobs.submit(withTasks(220));
	t.true(accepted.isOk);
});
