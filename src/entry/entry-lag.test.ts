import test from 'ava';
import {type ControlEffect} from './control-effect.js';
import {initialLag, evaluateEntryLag, type LagSample} from './entry-lag.js';

const timings = {logFreshnessMs: 1500};

const calm: LagSample = {
	nowMs: 0,
	eventLoopDelayMs: 2,
	ageOfNewestReadMs: 300,
	recordsBehind: 0,
	pendingAppends: 3,
	largestPageRecords: 20,
	longestStepMs: 4,
	longestStepEvent: 'log-page',
	ownsPlacement: false,
};

type LogEvent = Extract<ControlEffect, {kind: 'log-event'}>;

/** Judges samples that are one second apart. */
function judgeAll(samples: ReadonlyArray<Partial<LagSample>>): readonly LogEvent[] {
	let state = initialLag;
	return samples.flatMap((sample, index) => {
		const step = evaluateEntryLag(state, {...calm, nowMs: index * 1000, ...sample}, timings);
		state = step.state;
		return step.effects.filter(effect => effect.kind === 'log-event');
	});
}

test('an entry whose event loop is late on every other second writes one line and not one a second', t => {
	const lines = judgeAll(Array.from({length: 60}, (_, index) => ({eventLoopDelayMs: index % 2 === 0 ? 900 : 2})));
	t.deepEqual(lines.map(({event, fields}) => [event, fields.causes]), [['entry-behind', 'event-loop']]);
});

test('an on-call engineer can tell a slow event loop from a log that does not answer', t => {
	const [slow] = judgeAll([{eventLoopDelayMs: 400, recordsBehind: 2500}]);
	t.is(slow!.fields.causes, 'event-loop,records');
	const [unread] = judgeAll([{ageOfNewestReadMs: 1600}]);
	t.is(unread!.fields.causes, 'log-read');
	const [unwritten] = judgeAll([{pendingAppends: 4000}]);
	t.is(unwritten!.fields.causes, 'appends');
});

test('the end of a lag says how long it lasted, without the calm time that shows its end', t => {
	const lines = judgeAll([{}, {recordsBehind: 5000}, {recordsBehind: 3000}, {}, {}, {}, {}]);
	t.deepEqual(lines.map(({event}) => event), ['entry-behind', 'entry-caught-up']);
	t.is(lines[1]!.fields.behindMs, 1000);
});

test('an entry that starts and has read nothing yet is not reported as behind', t => {
	t.deepEqual(judgeAll([{ageOfNewestReadMs: Number.POSITIVE_INFINITY}]), []);
});
