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
	/** Callers with waiting requests, the one to serve next first. */
	ring: IndexedQueue<string>;
}>;

/** Requests that wait for a place: weighted shares between classes, equal shares between the callers of a class. */
export type WeightedFairQueue = Readonly<{
	size: number;
	virtualTime: number;
	classes: Readonly<Record<PriorityClass, ClassQueue>>;
}>;

/** A waiting request, to find it again in O(log n). */
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
Share of a class among all classes: its floor, and of what the floors leave its part by weight. The three sum to 1.

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
	const own = queue.classes[priority];
	const existing = own.callers.get(caller);
	const callerQueue = existing ?? {requests: emptyIndexedQueue<string>(), ringPosition: own.ring.nextPosition};
	const changed: ClassQueue = {
		size: own.size + 1,
		// A class that was empty gets no credit for the time that it asked for nothing.
		nextServiceAt: own.size === 0 ? Math.max(own.nextServiceAt, queue.virtualTime) : own.nextServiceAt,
		callers: own.callers.set(caller, {...callerQueue, requests: pushItem(callerQueue.requests, requestId)}),
		ring: existing === undefined ? pushItem(own.ring, caller) : own.ring,
	};
	return {queue: withClass(queue, priority, changed), ticket: {priority, caller, position: callerQueue.requests.nextPosition}};
}

/**
Removes a waiting request, whatever its place. O(log n).

@example
removeRequest(queue, ticket).size; // => queue.size - 1
*/
export function removeRequest(queue: WeightedFairQueue, ticket: QueueTicket): WeightedFairQueue {
	const own = queue.classes[ticket.priority];
	const callerQueue = own.callers.get(ticket.caller);
	if (callerQueue?.requests.items.has(ticket.position) !== true) {
		return queue;
	}

	const requests = removeItem(callerQueue.requests, ticket.position);
	const isLast = requests.items.size === 0;
	return withClass(queue, ticket.priority, {
		...own,
		size: own.size - 1,
		callers: isLast ? own.callers.delete(ticket.caller) : own.callers.set(ticket.caller, {...callerQueue, requests}),
		ring: isLast ? removeItem(own.ring, callerQueue.ringPosition) : own.ring,
	});
}

/**
Chooses the class to serve next: first the one furthest below its floor of the places in use, then by weighted share.

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
Takes the next request of a class, from the caller that was served least recently. O(log n) amortized.

@example
dequeueRequest(queue, 'normal', limits)?.requestId; // => 'r1'
*/
export function dequeueRequest(
	queue: WeightedFairQueue,
	priority: PriorityClass,
	limits: RequestLimits,
): Readonly<{queue: WeightedFairQueue; requestId: string}> | undefined {
	const own = queue.classes[priority];
	const nextCaller = shiftItem(own.ring);
	const callerQueue = nextCaller && own.callers.get(nextCaller.item);
	const nextRequest = callerQueue && shiftItem(callerQueue.requests);
	if (!nextRequest) {
		return undefined;
	}

	const isLast = nextRequest.queue.items.size === 0;
	const changed: ClassQueue = {
		size: own.size - 1,
		nextServiceAt: own.nextServiceAt + (1 / classShare(limits, priority)),
		callers: isLast ? own.callers.delete(nextCaller.item) : own.callers.set(nextCaller.item, {requests: nextRequest.queue, ringPosition: nextCaller.queue.nextPosition}),
		ring: isLast ? nextCaller.queue : pushItem(nextCaller.queue, nextCaller.item),
	};
	return {
		queue: {...withClass(queue, priority, changed), virtualTime: Math.max(queue.virtualTime, own.nextServiceAt)},
		requestId: nextRequest.item,
	};
}
