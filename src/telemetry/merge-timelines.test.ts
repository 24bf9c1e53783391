import test from 'ava';
import fc from 'fast-check';
import {createTimeline} from './create-timeline.js';
import {filterTimeline} from './filter-timeline.js';
import {mergeTimelines} from './merge-timelines.js';
import {renderTimelineHtml} from './render-timeline-html.js';
import {renderTimelineText} from './render-timeline-text.js';
import {type TimelineEvent} from './timeline-event.js';

type EventSpec = Readonly<{process: number; causedBy: number; offset: number}>;

const PROCESS_COUNT = 4;

const eventSpec: fc.Arbitrary<EventSpec> = fc.record({process: fc.nat(PROCESS_COUNT - 1), causedBy: fc.nat(20), offset: fc.integer({min: -1, max: 30})});

/** Returns the events of a possible run: every effect is recorded after its cause, but the clocks are skewed. */
function historyOf(eventSpecs: readonly EventSpec[], skewsMs: readonly number[]): readonly TimelineEvent[] {
	const events: TimelineEvent[] = [];
	const sequences = Array.from({length: PROCESS_COUNT}, () => 0);
	for (const [index, {process, causedBy, offset}] of eventSpecs.entries()) {
		const cause = events.at(-1 - causedBy);
		const isEffect = cause?.requestId !== undefined && cause.process !== `p${process}`;
		events.push({
			process: `p${process}`,
			sequence: sequences[process]!++,
			wallTimeMs: 1000 + index + skewsMs[process]!,
			event: 'step',
			offset,
			...(isEffect ? {cause: cause.requestId, taskId: `t${index}`} : {requestId: `r${index}`}),
		});
	}

	return events;
}

const history = fc.tuple(fc.array(eventSpec, {maxLength: 60}), fc.array(fc.integer({min: -500, max: 500}), {minLength: PROCESS_COUNT, maxLength: PROCESS_COUNT}))
	.map(([eventSpecs, skewsMs]) => historyOf(eventSpecs, skewsMs));

const shuffled = history.chain(events => fc.tuple(fc.constant(events), fc.shuffledSubarray([...events], {minLength: events.length})));

test('a merged timeline puts no effect before its cause, even if clocks and offsets are inconsistent', t => {
	fc.assert(fc.property(shuffled, ([, events]) => {
		const merged = mergeTimelines([events]);
		const early = merged.filter((event, index) =>
			event.cause !== undefined && !merged.slice(0, index).some(earlier => earlier.requestId === event.cause));
		t.deepEqual(early, []);
	}));
});

test('a merged timeline keeps the order of each process and every event once', t => {
	fc.assert(fc.property(shuffled, ([events, mixed]) => {
		const merged = mergeTimelines([mixed, mixed]);
		t.is(merged.length, events.length);
		for (const process of new Set(events.map(event => event.process))) {
			t.deepEqual(merged.filter(event => event.process === process), events.filter(event => event.process === process));
		}
	}));
});

test('events without causes follow the log when clocks disagree', t => {
	const event = (process: string, offset: number, wallTimeMs: number): TimelineEvent => ({
		process, sequence: 0, wallTimeMs, event: 'applied', offset,
	});
	const merged = mergeTimelines([[event('a', 9, 1)], [event('b', 4, 50)]]);
	t.deepEqual(merged.map(({process}) => process), ['b', 'a']);
});

test('causes that form a cycle after a ring buffer lost events do not block the merge', t => {
	const event = (process: string, sequence: number, ids: Partial<TimelineEvent>): TimelineEvent => ({
		process, sequence, wallTimeMs: sequence, event: 'step', offset: 0, ...ids,
	});
	const merged = mergeTimelines([
		[event('a', 0, {cause: 'x'}), event('a', 1, {requestId: 'y'})],
		[event('b', 0, {cause: 'y'}), event('b', 1, {requestId: 'x'})],
	]);
	t.is(merged.length, 4);
});

test('a full ring buffer drops only the oldest events and renumbers none', t => {
	const timeline = createTimeline({process: 'entry-1', capacity: 3, nowMs: () => 5});
	for (let offset = 0; offset < 5; offset++) {
		timeline.record({event: 'applied', offset});
	}

	t.deepEqual(timeline.read().map(event => event.sequence), [2, 3, 4]);
	t.deepEqual(timeline.read(4).map(event => event.offset), [4]);
	t.deepEqual(timeline.read(9), []);
});

const hostile: TimelineEvent = {
	process: '<img src=x>', sequence: 0, wallTimeMs: 0, event: 'a', offset: 0, taskId: 't1', detail: '</td><script>alert(1)</script>\u001B[2J',
};

test('the page shows markup in an event as text and loads nothing', t => {
	const page = renderTimelineHtml([hostile]);
	t.notRegex(page, /<script|<img|https?:/v);
	t.true(page.includes('&lt;script&gt;'));
});

test('a control character in an event does not reach the terminal', t => {
	t.false(renderTimelineText([hostile]).includes('\u001B'));
});

test('a filter on a task includes its effects in other processes', t => {
	const effect = {...hostile, taskId: undefined, cause: 't1'};
	t.deepEqual(filterTimeline([hostile, effect, {...hostile, taskId: 't2'}], {taskId: 't1'}), [hostile, effect]);
});
