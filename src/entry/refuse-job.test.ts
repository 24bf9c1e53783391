import test from 'ava';
import {type AdmissionDecision} from '../admission/decide-admission.js';
import {initialAdmission} from '../admission/admission-state.js';
import {clusterFixture, jobFixture, runFixture} from '../admission/overload-fixture.js';
import {type ClusterState} from '../cluster/cluster-state.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {type DeferredAnswer} from './control-effect.js';
import {
	noDeferredAnswers, requestDeferredAnswer, resolveDeferredAnswers, type DeferredTransition, type JobAdmission,
} from './deferred-answers.js';
import {type EntryContext} from './entry-context.js';
import {type SubmitOrigin} from './entry-event.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'd0', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});
const job = jobFixture('job', 2);
const refusing: JobAdmission = {
	state: initialAdmission,
	decide: (state): AdmissionDecision => ({state, verdict: {isAccepted: false, retryAfterMs: 4000, reason: 'full'}, effects: []}),
	decideByMemory: (state): AdmissionDecision => ({state, verdict: {isAccepted: true, why: 'not-limited', job}, effects: []}),
};

/** Returns what an entry has read at a time; each writer had applied the log through the given offset. */
function contextAt(nowMs: number, {offset, applied, tailSentAtMs = nowMs, runs = []}: Readonly<{
	offset: number; applied: readonly number[]; tailSentAtMs?: number; runs?: Parameters<typeof clusterFixture>[2];
}>): EntryContext {
	const base = clusterFixture(1000, applied.length, runs);
	const cluster: ClusterState = {...base, offset, entries: base.entries.map((member, id) => ({...member, appliedOffset: applied[Number(id.slice(1))]!}))};
	return {
		cluster, settings, incarnation: 'd0', nowMs, wallTimeMs: nowMs, tailConfirmedSentAtMs: tailSentAtMs, pendingAppends: 0, seed: 1,
	};
}

function ask(origin: SubmitOrigin = {}, state = noDeferredAnswers): DeferredTransition {
	return requestDeferredAnswer(state, {replyId: 'reply', subject: {kind: 'job', job, origin}}, contextAt(1000, {offset: 10, applied: [9, 9], tailSentAtMs: 900}), refusing);
}

function answerOf({effects}: DeferredTransition): DeferredAnswer | undefined {
	return effects.map(effect => effect.kind === 'answer-deferred' ? effect.answer : undefined).find(answer => answer !== undefined);
}

const appends = ({effects}: DeferredTransition): boolean => effects.some(({kind}) => kind === 'append-record');

test('a refusal waits until the tail was read after the call and each writer has shown a later record', t => {
	const asked = ask();
	t.deepEqual(asked.effects, []);
	const unread = resolveDeferredAnswers(asked.state, contextAt(1050, {offset: 11, applied: [10, 10], tailSentAtMs: 950}), refusing);
	t.deepEqual(unread.effects, []);
	const read = resolveDeferredAnswers(unread.state, contextAt(1200, {offset: 12, applied: [11, 11], tailSentAtMs: 1100}), refusing);
	t.deepEqual(read.effects, []);
	const one = resolveDeferredAnswers(read.state, contextAt(1300, {offset: 14, applied: [13, 12]}), refusing);
	t.deepEqual(one.effects, []);
	const both = resolveDeferredAnswers(one.state, contextAt(1400, {offset: 16, applied: [13, 14]}), refusing);
	t.like(answerOf(both), {result: 'refused', retryAfterMs: 3600, reason: 'full'});
	t.true(both.state.isEmpty());
});

test('a job that another entry was writing to the log is answered as accepted, not refused', t => {
	const asked = ask();
	const read = resolveDeferredAnswers(asked.state, contextAt(1200, {offset: 12, applied: [11, 11], runs: [['job', runFixture(job, [2, 2])]]}), refusing);
	t.like(answerOf(read), {result: 'accepted'});
	t.like(answerOf(requestDeferredAnswer(noDeferredAnswers, {replyId: 'reply', subject: {kind: 'job', job}}, contextAt(1000, {offset: 10, applied: [9], runs: [['job', runFixture(job, [2, 2])]]}), refusing)), {result: 'accepted'});
});

test('without proof, as while a writer is frozen, the outcome is unknown', t => {
	let waiting = ask();
	for (let nowMs = 1100; nowMs <= 1700; nowMs += 100) {
		waiting = resolveDeferredAnswers(waiting.state, contextAt(nowMs, {offset: nowMs, applied: [nowMs - 1, 9]}), refusing);
		t.is(answerOf(waiting), undefined);
	}

	const late = resolveDeferredAnswers(waiting.state, contextAt(1800, {offset: 1800, applied: [1799, 9]}), refusing);
	t.like(answerOf(late), {result: 'unknown', retryAfterMs: 4000});
	t.false(appends(late));
});

test('a job that may be on its way to the log is not refused', t => {
	t.true(appends(ask({mayHaveRun: true})));
	const accepted = requestDeferredAnswer(noDeferredAnswers, {replyId: 'first', subject: {kind: 'job', job}}, contextAt(1000, {offset: 10, applied: [9]}));
	t.true(appends(ask({}, accepted.state)));
});

/** Guards against jobs that pass the bound on memory since another entry may have taken them. */
test('a job that may be on its way to the log and for which there is no memory is answered as unknown, and is not written again', t => {
	const full: JobAdmission = {...refusing, decideByMemory: (state, refused) => refusing.decide(state, refused, {})};
	const asked = requestDeferredAnswer(noDeferredAnswers, {replyId: 'reply', subject: {kind: 'job', job, origin: {mayHaveRun: true}}}, contextAt(1000, {offset: 10, applied: [9]}), full);
	t.like(answerOf(asked), {result: 'unknown', retryAfterMs: 4000});
	t.false(appends(asked));
	t.true(asked.state.isEmpty());
});

test('a job is accepted when there is capacity for it by the time of the proof', t => {
	const accepting: JobAdmission = {...refusing, decide: state => ({state, verdict: {isAccepted: true, why: 'in-time', job}, effects: []})};
	const read = resolveDeferredAnswers(ask().state, contextAt(1200, {offset: 12, applied: [11, 11]}), refusing);
	const proven = resolveDeferredAnswers(read.state, contextAt(1400, {offset: 16, applied: [13, 14]}), accepting);
	t.true(appends(proven));
	t.is(proven.state.get('reply')?.refusal, undefined);
});

test('a job that may be on its way to the log is answered as unknown while the log is out of reach, not as refused', t => {
	const stale = contextAt(9000, {offset: 10, applied: [9], tailSentAtMs: 900});
	const origin = {mayHaveRun: true};
	t.like(answerOf(requestDeferredAnswer(noDeferredAnswers, {replyId: 'reply', subject: {kind: 'job', job, origin}}, stale)), {result: 'unknown'});
	t.like(answerOf(requestDeferredAnswer(noDeferredAnswers, {replyId: 'reply', subject: {kind: 'job', job}}, stale)), {result: 'rejected'});
});

/** Guards against a 503 that says that nothing was written while this entry still tries to append the job, as in an outage of the log. */
test('a job whose append is still pending after its caller got 504 is not answered as not run', t => {
	const subject = {kind: 'job', job} as const;
	const {decisionTimeoutMs} = settings.timings;
	const accepted = requestDeferredAnswer(noDeferredAnswers, {replyId: 'first', subject}, contextAt(1000, {offset: 10, applied: [9]}));
	const outage = contextAt(1001 + decisionTimeoutMs, {offset: 10, applied: [9], tailSentAtMs: 1000});
	const late = resolveDeferredAnswers(accepted.state, outage);
	t.like(answerOf(late), {result: 'unknown'});
	const again = resolveDeferredAnswers(late.state, {...outage, nowMs: outage.nowMs + 10_000});
	t.deepEqual(again.effects, []);
	t.like(answerOf(requestDeferredAnswer(again.state, {replyId: 'second', subject}, outage)), {result: 'unknown'});
	const read = resolveDeferredAnswers(again.state, contextAt(30_000, {offset: 12, applied: [11], runs: [['job', runFixture(job, [2, 2])]]}));
	t.deepEqual(read.effects, []);
	t.true(read.state.isEmpty());
});

test('jobs whose callers got 504 are forgotten after a minute, and never more than a bounded number is kept', t => {
	const {decisionTimeoutMs} = settings.timings;
	let state = noDeferredAnswers;
	for (let index = 0; index < 5000; index++) {
		({state} = requestDeferredAnswer(state, {replyId: `reply-${index}`, subject: {kind: 'job', job: jobFixture(`job-${index}`, 2)}}, contextAt(1000, {offset: 10, applied: [9]})));
	}

	const outage = contextAt(1001 + decisionTimeoutMs, {offset: 10, applied: [9], tailSentAtMs: 1000});
	const late = resolveDeferredAnswers(state, outage);
	t.is(late.effects.length, 5000);
	t.is(late.state.size, 4096);
	t.true(resolveDeferredAnswers(late.state, {...outage, nowMs: 61_001}).state.isEmpty());
});

/** Guards against a heap that the bodies of jobs exhaust whose callers were told that the outcome is unknown, as while the log is slow: 4,096 jobs of 256 KB. */
test('of a job whose caller got 504 only its ID is kept', t => {
	const {decisionTimeoutMs} = settings.timings;
	const {workflow, ...rest} = job;
	const subject = {kind: 'job', job: {...rest, workflow: {...workflow!, payload: 'x'.repeat(4000)}}} as const;
	const accepted = requestDeferredAnswer(noDeferredAnswers, {replyId: 'first', subject}, contextAt(1000, {offset: 10, applied: [9]}));
	const outage = contextAt(1001 + decisionTimeoutMs, {offset: 10, applied: [9], tailSentAtMs: 1000});
	const late = resolveDeferredAnswers(accepted.state, outage);
	t.true(JSON.stringify(late.state.get('first')).length < 500);
	t.like(answerOf(requestDeferredAnswer(late.state, {replyId: 'second', subject}, outage)), {result: 'unknown'});
	const read = resolveDeferredAnswers(late.state, contextAt(30_000, {offset: 12, applied: [11], runs: [['job', runFixture(job, [2, 2])]]}));
	t.true(read.state.isEmpty());
});
