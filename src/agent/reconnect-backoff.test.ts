import test from 'ava';
import {initialReconnectBackoff, nextReconnectBackoff, type ReconnectBackoff} from './reconnect-backoff.js';

function pausesOf(count: number, hasStream: boolean): readonly number[] {
	const pauses: number[] = [];
	let backoff: ReconnectBackoff = initialReconnectBackoff;
	for (let tries = 0; tries < count; tries++) {
		backoff = nextReconnectBackoff(backoff, {wasAnswered: false, hasStream});
		pauses.push(backoff.backoffMs);
	}

	return pauses;
}

/** Guards against a second without any entry after a loss of power, in which agents start before the entries listen. */
test('an agent without any stream tries each 250 ms, for a bounded number of times', t => {
	const pauses = pausesOf(80, false);
	t.deepEqual(new Set(pauses.slice(0, 60)), new Set([250]));
	t.deepEqual(pauses.slice(60, 65), [500, 1000, 1000, 1000, 1000]);
});

test('an agent with a stream to another entry tries less and less often', t => {
	t.deepEqual(pausesOf(6, true), [200, 400, 800, 1000, 1000, 1000]);
});

test('an answered stream allows quick tries again', t => {
	t.deepEqual(nextReconnectBackoff({backoffMs: 1000, quickTries: 60}, {wasAnswered: true, hasStream: false}), initialReconnectBackoff);
});
