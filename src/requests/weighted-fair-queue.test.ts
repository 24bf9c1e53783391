import test from 'ava';
import fc from 'fast-check';
import {type PriorityClass} from '../cluster/intent.js';
import {fixtureLimits as limits} from './request-fixture.js';
import {
	chooseClass, classShare, dequeueRequest, emptyFairQueue, enqueueRequest, priorityClasses, removeRequest, type QueueTicket,
} from './weighted-fair-queue.js';

const idle = {urgent: 0, normal: 0, background: 0};

// Guards against requests that are lost, served twice or served after their removal, and against a wrong count.
test('every request that is added is dequeued or removed exactly once', t => {
	const operation = fc.oneof(
		fc.record({kind: fc.constant('add' as const), priority: fc.constantFrom(...priorityClasses), caller: fc.constantFrom('a', 'b', 'c')}),
		fc.record({kind: fc.constant('take' as const)}),
		fc.record({kind: fc.constant('remove' as const), which: fc.nat()}),
	);
	fc.assert(fc.property(fc.array(operation, {maxLength: 200}), operations => {
		let queue = emptyFairQueue;
		let wrongTakes = 0;
		const waiting = new Map<string, QueueTicket>();
		for (const [index, each] of operations.entries()) {
			if (each.kind === 'add') {
				const added = enqueueRequest(queue, {requestId: `r${index}`, ...each});
				queue = added.queue;
				waiting.set(`r${index}`, added.ticket);
			} else if (each.kind === 'take') {
				const priority = chooseClass(queue, {limits, inFlightByClass: idle, places: 0});
				const taken = priority && dequeueRequest(queue, priority, limits);
				wrongTakes += taken === undefined ? waiting.size : Number(!waiting.delete(taken.requestId));
				queue = taken?.queue ?? queue;
			} else if (waiting.size > 0) {
				const [requestId, ticket] = [...waiting][each.which % waiting.size]!;
				queue = removeRequest(removeRequest(queue, ticket), ticket);
				waiting.delete(requestId);
			}

			t.is(queue.size, waiting.size);
			t.is(wrongTakes, 0);
		}

		for (const ticket of waiting.values()) {
			queue = removeRequest(queue, ticket);
		}

		for (const priority of priorityClasses) {
			const {callers, ring, size} = queue.classes[priority];
			t.deepEqual([callers.size, ring.items.size, size], [0, 0, 0]);
		}
	}));
});

// Guards against one caller that delays the other callers of its class.
test('a caller with one request waits for at most one request of a caller with many', t => {
	let queue = emptyFairQueue;
	for (let index = 0; index < 50; index++) {
		({queue} = enqueueRequest(queue, {requestId: `many${index}`, priority: 'normal', caller: 'many'}));
	}

	({queue} = enqueueRequest(queue, {requestId: 'one', priority: 'normal', caller: 'one'}));
	const first = dequeueRequest(queue, 'normal', limits)!;
	t.is(dequeueRequest(first.queue, 'normal', limits)?.requestId, 'one');
});

// Guards against a class that waits by its weighted share while it uses less than its floor of the places.
test('a class below its floor of the places is served before the other classes', t => {
	let queue = emptyFairQueue;
	for (const priority of priorityClasses) {
		for (let index = 0; index < 9; index++) {
			({queue} = enqueueRequest(queue, {requestId: `${priority}${index}`, priority, caller: 'a'}));
		}
	}

	({queue} = dequeueRequest(queue, 'background', limits)!);
	t.not(chooseClass(queue, {limits, inFlightByClass: {urgent: 5, normal: 4, background: 1}, places: 10}), 'background');
	t.is(chooseClass(queue, {limits, inFlightByClass: {urgent: 5, normal: 5, background: 0}, places: 10}), 'background');
});

// Guards against shares that differ from the configured ones while all classes wait.
test('classes that all have queued requests are served in proportion to their shares', t => {
	let queue = emptyFairQueue;
	for (let index = 0; index < 1000; index++) {
		for (const priority of priorityClasses) {
			({queue} = enqueueRequest(queue, {requestId: `${priority}${index}`, priority, caller: 'a'}));
		}
	}

	const served: Record<PriorityClass, number> = {...idle};
	for (let count = 0; count < 1000; count++) {
		const priority = chooseClass(queue, {limits, inFlightByClass: idle, places: 0})!;
		({queue} = dequeueRequest(queue, priority, limits)!);
		served[priority]++;
	}

	for (const priority of priorityClasses) {
		t.true(Math.abs(served[priority] - (1000 * classShare(limits, priority))) <= 2);
	}
});
