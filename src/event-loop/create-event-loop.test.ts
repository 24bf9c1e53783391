import test from 'ava';
import {createEventLoop, type EventLoopFailure} from './create-event-loop.js';

test('an event raised by an effect waits until the effects before it are done', t => {
	const executed: string[] = [];
	const loop = createEventLoop<number, string, string>({
		initialState: 0,
		reduce: (state, event) => ({state: state + 1, effects: event === 'first' ? ['raise', 'after'] : [event]}),
		execute(effect) {
			executed.push(effect);
			if (effect === 'raise') {
				loop.dispatch('second');
			}
		},
		onFailure({error}) {
			throw error;
		},
	});
	loop.dispatch('first');
	t.deepEqual(executed, ['raise', 'after', 'second']);
	t.is(loop.state(), 2);
});

/** Failures as short texts. */
function collectFailures(): Readonly<{failures: string[]; onFailure: (failure: EventLoopFailure<string, string>) => void}> {
	const failures: string[] = [];
	return {
		failures,
		onFailure({part, failed, error}) {
			failures.push(`${part} ${failed}: ${String(error)}`);
		},
	};
}

test('an effect that throws is reported, and blocks neither the effects behind it nor later events', t => {
	const executed: string[] = [];
	const {failures, onFailure} = collectFailures();
	const loop = createEventLoop<number, string, string>({
		initialState: 0,
		reduce: (state, event) => ({state: state + 1, effects: [event, `after ${event}`]}),
		execute(effect) {
			if (effect === 'broken') {
				throw new Error('broken effect');
			}

			executed.push(effect);
		},
		onFailure,
	});
	loop.dispatch('broken');
	loop.dispatch('next');
	t.is(loop.state(), 2);
	t.deepEqual(executed, ['after broken', 'next', 'after next']);
	t.deepEqual(failures, ['effect broken: Error: broken effect']);
});

test('an event whose reducer throws is reported and changes nothing, and the events behind it are handled', t => {
	const {failures, onFailure} = collectFailures();
	const executed: string[] = [];
	const loop = createEventLoop<number, string, string>({
		initialState: 0,
		reduce(state, event) {
			if (event === 'odd') {
				throw new RangeError('out of range');
			}

			return {state: state + 1, effects: [event]};
		},
		execute(effect) {
			executed.push(effect);
			if (effect === 'raise') {
				loop.dispatch('odd');
				loop.dispatch('good');
			}
		},
		onFailure,
	});
	loop.dispatch('raise');
	t.is(loop.state(), 2);
	t.deepEqual(executed, ['raise', 'good']);
	t.deepEqual(failures, ['event odd: RangeError: out of range']);
});
