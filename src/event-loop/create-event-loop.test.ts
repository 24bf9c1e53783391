import test from 'ava';
import {createEventLoop} from './create-event-loop.js';

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
	});
	loop.dispatch('first');
	t.deepEqual(executed, ['raise', 'after', 'second']);
	t.is(loop.state(), 2);
});

test('an effect that throws does not block later events', t => {
	const loop = createEventLoop<number, string, string>({
		initialState: 0,
		reduce: (state, event) => ({state: state + 1, effects: [event]}),
		execute(effect) {
			if (effect === 'broken') {
				throw new Error('broken effect');
			}
		},
	});
	t.throws(() => {
		loop.dispatch('broken');
	});
	loop.dispatch('next');
	t.is(loop.state(), 2);
});
