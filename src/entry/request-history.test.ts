import test from 'ava';
import {emptyStateFixture} from '../operator/state-fixture.js';
import {createTimeline} from '../telemetry/create-timeline.js';
import {type RequestEvent} from '../requests/request-event.js';
import {createRequestHistory} from './request-history.js';

function start(capacity: number) {
	const counted: string[] = [];
	const history = createRequestHistory({
		metrics: {
			increment(name, _count, tags) {
				counted.push(`${name} ${tags?.service} ${tags?.outcome}`);
			},
			gauge: () => undefined,
			timingMs: () => undefined,
			close: async () => undefined,
		},
		timeline: createTimeline({process: 'requests', capacity: 4}),
		nowMs: () => 1000,
		cluster: () => emptyStateFixture,
		capacity,
	});
	return {history, counted};
}

const arrived = (requestId: string): RequestEvent => ({
	kind: 'request-arrived', requestId, service: 'made-up', idempotency: 'idempotent', priority: 'normal', caller: 'c', deadlineAtMs: 2000, firstAttempt: false, arrivedAtMs: 0,
});

test('every decision on a request is explained, and its end is counted once under a name that callers cannot choose', t => {
	const {history, counted} = start(8);
	history.recordEvent(arrived('r1'));
	history.recordEffect({
		kind: 'answer-request', requestId: 'r1', outcome: 'refused-not-run', status: 404, error: {kind: 'service-unknown', message: 'no such service', remedy: 'check'},
	});
	history.recordEvent({kind: 'request-abandoned', requestId: 'r1'});
	t.is(history.explain('r1')?.length, 2);
	t.regex(history.explain('r1')![1]!, /404 refused-not-run \(service-unknown\)/v);
	t.deepEqual(counted, ['requests unknown refused-not-run']);
	t.deepEqual(history.timeline().map(({event, requestId}) => [event, requestId]), [['request-refused-not-run', 'r1']]);
});

test('many requests or many lines of one request do not grow the history without bound', t => {
	const {history} = start(3);
	for (let index = 0; index < 100; index++) {
		history.recordEvent(arrived(`r${index}`));
	}

	t.is(history.explain('r96'), undefined);
	t.truthy(history.explain('r97'));
	for (let index = 0; index < 100; index++) {
		history.recordEffect({kind: 'cancel-forward', requestId: 'r99', reason: 'deadline'});
	}

	t.true(history.explain('r99')!.length <= 16);
});
