import test from 'ava';
import {type ControlEffect} from './control-effect.js';
import {initialLag, evaluateEntryLag, type LagSample} from './entry-lag.js';

const timings = {logFreshnessMs: 1500};

const belowLimits: LagSample = {
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

/** Evaluates samples that are one second apart and returns the log lines. */
function evaluateAll(samples: ReadonlyArray<Partial<LagSample>>): readonly LogEvent[] {
	let state = initialLag;
	return samples.flatMap((sample, index) => {
		const transition = evaluateEntryLag(state, {...belowLimits, nowMs: index * 1000, ...sample}, timings);
		state = transition.state;
		return transition.effects.filter(effect => effect.kind === 'log-event');
	});
}

test('an entry whose event loop is late on every other second writes one line and not one a second', t => {
	const lines = evaluateAll(Array.from({length: 60}, (_, index) => ({eventLoopDelayMs: index % 2 === 0 ? 900 : 2})));
	t.deepEqual(lines.map(({event, fields}) => [event, fields.causes]), [['entry-behind', 'event-loop']]);
});

test('a slow event loop and a log that does not answer are logged with different causes', t => {
	const [slow] = evaluateAll([{eventLoopDelayMs: 400, recordsBehind: 2500}]);
	t.is(slow!.fields.causes, 'event-loop,records');
	const [unread] = evaluateAll([{ageOfNewestReadMs: 1600}]);
	t.is(unread!.fields.causes, 'log-read');
	const [unwritten] = evaluateAll([{pendingAppends: 4000}]);
	t.is(unwritten!.fields.causes, 'appends');
});

test('the logged duration of a lag does not include the time below the limits after it', t => {
	const lines = evaluateAll([{}, {recordsBehind: 5000}, {recordsBehind: 3000}, {}, {}, {}, {}]);
	t.deepEqual(lines.map(({event}) => event), ['entry-behind', 'entry-caught-up']);
	t.is(lines[1]!.fields.behindMs, 1000);
});

test('an entry that starts and has read nothing yet is not reported as behind', t => {
	t.deepEqual(evaluateAll([{ageOfNewestReadMs: Number.POSITIVE_INFINITY}]), []);
});
