import test from 'ava';
import fc from 'fast-check';
import {
	concludeAttempts, evaluateAttempt, noAttempts, orderDeciders, type AttemptEnd, type RelayAttempts,
} from './relay-attempts.js';
import {type RelayAnswer} from './relay-message.js';

const error = {kind: 'k', message: 'm', remedy: 'r'};
const answered = (status: number): AttemptEnd => ({kind: 'answered', answer: status === 200 ? {result: 'ok', value: {}} : {result: 'error', error: {status, error}}});
const ends: Readonly<Record<string, AttemptEnd>> = {
	accepted: answered(200),
	refused: answered(503),
	rejected: answered(409),
	overloaded: answered(429),
	unknown: answered(504),
	'not-sent': {kind: 'not-sent', reason: 'refused'},
	lost: {kind: 'unknown', reason: 'no answer'},
};

function answerTo(sequence: readonly AttemptEnd[]): RelayAnswer {
	let attempts: RelayAttempts = noAttempts;
	for (const end of sequence) {
		const verdict = evaluateAttempt(attempts, end);
		if (verdict.isFinal) {
			return verdict.answer;
		}

		attempts = verdict.attempts;
	}

	return concludeAttempts(attempts);
}

test('no caller is told that its job has not run, or was rejected, when an attempt without an answer may have run', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.constantFrom(...Object.values(ends)), {maxLength: 5}), sequence => {
			const answer = answerTo(sequence);
			const firstFinal = sequence.findIndex(end => end === ends.accepted || end === ends.rejected || end === ends.overloaded);
			const tried = firstFinal === -1 ? sequence : sequence.slice(0, firstFinal + 1);
			const mayHaveRun = tried.some(end => end === ends.lost || end === ends.unknown);
			const status = answer.result === 'ok' ? 200 : answer.error.status;
			return tried.includes(ends.accepted!) ? status === 200 : (mayHaveRun ? status === 504 : status !== 504 && status !== 200);
		}));
	});
});

test('a caller that no decider could serve is told when to come back', t => {
	const answer = answerTo([ends['not-sent']!, ends['not-sent']!]);
	t.like(answer, {result: 'error', error: {status: 503, retryAfterMs: 1000}});
});

test('a call is not tried first at a decider that has just failed', t => {
	const healthById = new Map([['a', {entryId: 'a', failedAtMs: 500}], ['b', {entryId: 'b', failedAtMs: 100}], ['c', {entryId: 'c', failedAtMs: Number.NEGATIVE_INFINITY}]]);
	t.deepEqual(orderDeciders(['a', 'b', 'c', 'd'], healthById), ['c', 'd', 'b', 'a']);
});

test('a refusal in overload is final: other deciders have as little capacity', t => {
	t.like(evaluateAttempt(noAttempts, ends.overloaded!), {isFinal: true, answer: {result: 'error', error: {status: 429}}});
});

/** Guards against an overload in which every job whose refusal could not be proven in time is accepted by the next decider, which is told that it may have run. */
test('a decider that has no capacity and no proof that the job is not written has the last word, with its time', t => {
	const unproven: AttemptEnd = {kind: 'answered', answer: {result: 'error', error: {status: 504, error, retryAfterMs: 4000}}};
	t.like(evaluateAttempt(noAttempts, unproven), {isFinal: true, answer: {result: 'error', error: {status: 504, retryAfterMs: 4000}}});
	t.like(evaluateAttempt({mayHaveRun: true, refusal: undefined}, unproven), {isFinal: true, answer: {result: 'error', error: {status: 504, retryAfterMs: 4000}}});
});
