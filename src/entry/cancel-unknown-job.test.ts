import test from 'ava';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {type DeferredAnswer} from './control-effect.js';
import {type DeferredSubject, type EntryEvent} from './entry-event.js';
import {initialEntryState} from './entry-state.js';
import {createJobInterface} from './job-interface.js';
import {reduceEntry} from './reduce-entry.js';

const settings = entrySettingsSchema.parse({
	role: 'entry',
	entryId: 'entry-1',
	failureDomain: 'domain-1',
	callerAddress: '127.0.0.1:1',
	operatorAddress: '127.0.0.1:2',
	agentAddress: '127.0.0.1:3',
	operatorTokenFile: 'token',
	logServiceUrl: 'http://127.0.0.1:4',
});

const job = {
	jobId: 'job', teamId: 'team', workClass: 'batch', priority: 'normal', tasks: [], workflow: {
		queue: 'q', service: 's', payload: '', maxFailures: 1, steps: [{count: 1, demand: {processorsMilli: 1, memoryMb: 1, accelerators: 0}, declaredRunTimeMs: 1}],
	},
} as const;

/** Creates the job interface of an entry that appends to a log which it reads only with `read`. */
function createEntry() {
	let state = initialEntryState('own');
	let nowMs = 0;
	let replies = 0;
	const waiting = new Map<string, (answer: DeferredAnswer) => void>();
	const appended: ClusterRecord[] = [];
	const sequences = new Map<string, number>();

	function dispatch(event: EntryEvent): void {
		const transition = reduceEntry(state, event, {
			nowMs, wallTimeMs: nowMs, seed: 1, pendingAppends: 0,
		}, settings);
		state = transition.state;
		for (const effect of transition.effects) {
			if (effect.kind === 'answer-deferred') {
				waiting.get(effect.replyId)?.(effect.answer);
			} else if (effect.kind === 'append-record') {
				appended.push(effect.record);
			}
		}
	}

	function read(incarnation: string, records: readonly ClusterRecord[]): void {
		let {offset} = state.cluster;
		dispatch({
			kind: 'log-page', readSentAtMs: nowMs, reachedTail: true, records: records.map(record => {
				const sequence = (sequences.get(incarnation) ?? 0) + 1;
				sequences.set(incarnation, sequence);
				return {
					offset: ++offset, envelope: {
						writer: incarnation, incarnation, sequence, record,
					},
				};
			}),
		});
	}

	for (const incarnation of ['own', 'other']) {
		read(incarnation, [{
			kind: 'entry-registered', entryId: incarnation, failureDomain: incarnation, operatorAddress: '127.0.0.1:1',
		}]);
	}

	const jobs = createJobInterface({
		state: () => state,
		requestDecision: async (subject: DeferredSubject) => new Promise(resolve => {
			const replyId = String(++replies);
			waiting.set(replyId, resolve);
			dispatch({kind: 'deferred-asked', replyId, subject});
		}),
		nowMs: () => nowMs,
		logFreshnessMs: settings.timings.logFreshnessMs,
		maxRecordBytes: 261_120,
	});
	return {
		jobs, read, appended,
		passTime(ms: number): void {
			nowMs += ms;
			dispatch({kind: 'tick'});
		},
	};
}

/** Guards against the answer that no such job exists to a caller whose job another entry still sends to the log. */
test('the cancellation of an unknown job is answered once its record is read, and cancels the job that is read after it', async t => {
	const {jobs, read, appended} = createEntry();
	let isAnswered = false;
	const cancelling = (async () => {
		const answer = await jobs.cancel('job');
		isAnswered = true;
		return answer;
	})();
	await Promise.resolve();
	const cancellation: ClusterRecord = {kind: 'job-cancelled', jobId: 'job'};
	t.deepEqual(appended.filter(({kind}) => kind === 'job-cancelled'), [cancellation]);
	t.false(isAnswered);
	read('own', [cancellation]);
	const cancelled = await cancelling;
	t.like(cancelled.isErr && cancelled.error, {status: 404, error: {kind: 'job-unknown'}});
	const submitted = await jobs.submit(job);
	t.like(submitted.isErr && submitted.error, {status: 409, error: {message: 'job job was cancelled before it was submitted; use a new job id', remedy: 'choose another job id'}});
	read('other', [{kind: 'job-submitted', job}]);
	const found = await jobs.find('job');
	t.like(found.unwrapOr(undefined), {phase: 'cancelled'});
	const repeated = await jobs.cancel('job');
	t.true(repeated.isOk);
});

test('a cancellation is not lost when another entry has accepted the job since the newest read', async t => {
	const {jobs, read} = createEntry();
	const cancelling = jobs.cancel('job');
	read('other', [{kind: 'job-submitted', job}]);
	read('own', [{kind: 'job-cancelled', jobId: 'job'}]);
	const cancelled = await cancelling;
	t.true(cancelled.isOk);
	const found = await jobs.find('job');
	t.like(found.unwrapOr(undefined), {phase: 'cancelled'});
});

test('a cancellation is refused while the tail is not read, and its outcome is unknown when its record is not read in time', async t => {
	const {jobs, passTime, appended} = createEntry();
	const cancelling = jobs.cancel('job');
	passTime(settings.timings.decisionTimeoutMs + 1);
	const unknown = await cancelling;
	t.like(unknown.isErr && unknown.error, {status: 504, error: {kind: 'job-outcome-unknown'}});
	passTime(settings.timings.logFreshnessMs + 1);
	const before = appended.length;
	const refused = await jobs.cancel('other-job');
	t.like(refused.isErr && refused.error, {status: 503, retryAfterMs: 1000});
	t.deepEqual(appended.slice(before).filter(({kind}) => kind === 'job-cancelled'), []);
});
