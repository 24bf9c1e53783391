import {Map as immutableMap, type Map} from 'immutable';
import {type PriorityClass, type RequestLimits} from '../cluster/intent.js';
import {
	emptyIndexedQueue, pushItem, removeItem, shiftItem, type IndexedQueue,
} from './indexed-queue.js';

/** The priority classes, most urgent first. */
export const priorityClasses: readonly PriorityClass[] = ['urgent', 'normal', 'background'];

type CallerQueue = Readonly<{requests: IndexedQueue<string>; ringPosition: number}>;

type ClassQueue = Readonly<{
	size: number;
	/** Virtual time at which the class is next served. */
	nextServiceAt: number;
	callers: Map<string, CallerQueue>;
	/** Callers with queued requests, in round-robin order; the first is served next. */
	ring: IndexedQueue<string>;
}>;

/** Requests that wait for a place: weighted shares between classes, equal shares between the callers of a class. */
export type WeightedFairQueue = Readonly<{
	size: number;
	virtualTime: number;
	classes: Readonly<Record<PriorityClass, ClassQueue>>;
}>;

/** Locates a queued request, so that it can be removed in O(log n). */
export type QueueTicket = Readonly<{priority: PriorityClass; caller: string; position: number}>;

const emptyClass: ClassQueue = {
	size: 0, nextServiceAt: 0, callers: immutableMap(), ring: emptyIndexedQueue(),
};

/** A queue without requests. */
export const emptyFairQueue: WeightedFairQueue = {
	size: 0,
	virtualTime: 0,
	classes: {urgent: emptyClass, normal: emptyClass, background: emptyClass},
};

function withClass(queue: WeightedFairQueue, priority: PriorityClass, changed: ClassQueue): WeightedFairQueue {
	return {
		...queue,
		size: queue.size - queue.classes[priority].size + changed.size,
		classes: {...queue.classes, [priority]: changed},
	};
}

/**
Returns the share of a class, from 0 to 1: its floor plus its weighted part of what all floors leave. The shares of the three
classes sum to 1.

@example
classShare(limits, 'urgent'); // => 0.6
*/
export function classShare(limits: RequestLimits, priority: PriorityClass): number {
	let floors = 0;
	let shares = 0;
	for (const each of priorityClasses) {
		floors += limits.floorMilliByClass[each];
		shares += limits.shareByClass[each];
	}

	return (limits.floorMilliByClass[priority] / 1000) + ((1 - (floors / 1000)) * limits.shareByClass[priority] / shares);
}

/**
Adds a request behind the other requests of its caller. O(log n).

@example
enqueueRequest(emptyFairQueue, {requestId: 'r1', priority: 'normal', caller: 'shop'}).ticket.position; // => 0
*/
export function enqueueRequest(
	queue: WeightedFairQueue,
	request: Readonly<{requestId: string; priority: PriorityClass; caller: string}>,
): Readonly<{queue: WeightedFairQueue; ticket: QueueTicket}> {
	const {requestId, priority, caller} = request;
	const classQueue = queue.classes[priority];
	const existing = classQueue.callers.get(caller);
	const callerQueue = existing ?? {requests: emptyIndexedQueue<string>(), ringPosition: classQueue.ring.nextPosition};
	const changed: ClassQueue = {
		size: classQueue.size + 1,
		// A class that was empty gets no credit for the time in which it had no requests.
		nextServiceAt: classQueue.size === 0 ? Math.max(classQueue.nextServiceAt, queue.virtualTime) : classQueue.nextServiceAt,
		callers: classQueue.callers.set(caller, {...callerQueue, requests: pushItem(callerQueue.requests, requestId)}),
		ring: existing === undefined ? pushItem(classQueue.ring, caller) : classQueue.ring,
	};
	return {queue: withClass(queue, priority, changed), ticket: {priority, caller, position: callerQueue.requests.nextPosition}};
}

/**
Removes a queued request at any position. O(log n).

@example
removeRequest(queue, ticket).size; // => queue.size - 1
*/
export function removeRequest(queue: WeightedFairQueue, ticket: QueueTicket): WeightedFairQueue {
	const classQueue = queue.classes[ticket.priority];
	const callerQueue = classQueue.callers.get(ticket.caller);
	if (callerQueue?.requests.items.has(ticket.position) !== true) {
		return queue;
	}

	const requests = removeItem(callerQueue.requests, ticket.position);
	const isLast = requests.items.size === 0;
	return withClass(queue, ticket.priority, {
		...classQueue,
		size: classQueue.size - 1,
		callers: isLast ? classQueue.callers.delete(ticket.caller) : classQueue.callers.set(ticket.caller, {...callerQueue, requests}),
		ring: isLast ? removeItem(classQueue.ring, callerQueue.ringPosition) : classQueue.ring,
	});
}

/**
Returns the class to serve next: the one furthest below its floor of the places in use, or else the one that is next by weighted
share. Returns `undefined` when the queue is empty.

@example
chooseClass(queue, {limits, inFlightByClass: {urgent: 9, normal: 0, background: 0}, places: 10}); // => 'normal'
*/
export function chooseClass(
	queue: WeightedFairQueue,
	use: Readonly<{limits: RequestLimits; inFlightByClass: Readonly<Record<PriorityClass, number>>; places: number}>,
): PriorityClass | undefined {
	let chosen: PriorityClass | undefined;
	let lowestUtilization = 1;
	for (const priority of priorityClasses) {
		const floorPlaces = Math.floor(use.places * use.limits.floorMilliByClass[priority] / 1000);
		const floorUtilization = floorPlaces === 0 ? 1 : use.inFlightByClass[priority] / floorPlaces;
		if (queue.classes[priority].size > 0 && floorUtilization < lowestUtilization) {
			chosen = priority;
			lowestUtilization = floorUtilization;
		}
	}

	if (chosen !== undefined) {
		return chosen;
	}

	for (const priority of priorityClasses) {
		const {size, nextServiceAt} = queue.classes[priority];
		if (size > 0 && (chosen === undefined || nextServiceAt < queue.classes[chosen].nextServiceAt)) {
			chosen = priority;
		}
	}

	return chosen;
}

/**
Removes and returns the next request of a class, from the caller that was served least recently. O(log n) amortized.

@example
dequeueRequest(queue, 'normal', limits)?.requestId; // => 'r1'
*/
export function dequeueRequest(
	queue: WeightedFairQueue,
	priority: PriorityClass,
	limits: RequestLimits,
): Readonly<{queue: WeightedFairQueue; requestId: string}> | undefined {
	const classQueue = queue.classes[priority];
	const nextCaller = shiftItem(classQueue.ring);
	const callerQueue = nextCaller && classQueue.callers.get(nextCaller.item);
	const nextRequest = callerQueue && shiftItem(callerQueue.requests);
	if (!nextRequest) {
		return undefined;
	}

	const isLast = nextRequest.queue.items.size === 0;
	const changed: ClassQueue = {
		size: classQueue.size - 1,
		nextServiceAt: classQueue.nextServiceAt + (1 / classShare(limits, priority)),
		callers: isLast ? classQueue.callers.delete(nextCaller.item) : classQueue.callers.set(nextCaller.item, {requests: nextRequest.queue, ringPosition: nextCaller.queue.nextPosition}),
		ring: isLast ? nextCaller.queue : pushItem(nextCaller.queue, nextCaller.item),
	};
	return {
		queue: {...withClass(queue, priority, changed), virtualTime: Math.max(queue.virtualTime, classQueue.nextServiceAt)},
		requestId: nextRequest.item,
	};
}
