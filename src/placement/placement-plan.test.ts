import test from 'ava';
import {taskFixture} from '../operator/state-fixture.js';
import {orderForPlanning, plannedWaitMs} from './placement-plan.js';

const milli = (processorsMilli: number) => ({processorsMilli, memoryMb: 0, accelerators: 0});
const ends = [{remainingMs: 300, released: milli(1000)}, {remainingMs: 900, released: milli(2000)}];

test('a planned start is when enough of the expected ends have come, and there is none when they release too little', t => {
	t.is(plannedWaitMs(ends, milli(500), milli(500)), 0);
	t.is(plannedWaitMs(ends, milli(1200), milli(500)), 300);
	t.is(plannedWaitMs(ends, milli(2750), milli(500)), 900);
	t.is(plannedWaitMs(ends, milli(4000), milli(500)), undefined);
});

/** Guards against small abandoned tasks that take every planned start, behind which a large task waited for 16 s in the mean. */
test('the largest tasks get a planned start first, and of equal ones the oldest', t => {
	const task = (taskId: string, processorsMilli: number, submittedOffset: number) => ({...taskFixture, submittedOffset, spec: {...taskFixture.spec, taskId, demand: milli(processorsMilli)}});
	t.deepEqual(orderForPlanning([task('a', 300, 1), task('b', 2750, 9), task('c', 2750, 5)]).map(({spec}) => spec.taskId), ['c', 'b', 'a']);
});
