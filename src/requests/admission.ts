import {type PriorityClass, type RequestLimits} from '../cluster/intent.js';
import {classShare, priorityClasses, type WeightedFairQueue} from './weighted-fair-queue.js';

/** Whether a request may wait for a place. */
export type Admission
	= | Readonly<{kind: 'admitted'}>
		| Readonly<{kind: 'shed'; reason: 'queue-full' | 'wait-too-long'; retryAfterMs: number}>;

const admitted: Admission = {kind: 'admitted'};

/** Longest time to wait that a caller is told; beyond it the measured rate says little. */
const maxRetryAfterMs = 30_000;

/** Shortest time to wait that a caller is told, so that callers do not come back within one round trip. */
const minRetryAfterMs = 100;

/**
Estimates how long a new request of a class waits: the requests of its class before it, at the class's part of the drain rate.
0 while nothing was measured.

@example
estimateWaitMs({queue, priority: 'normal', limits, places: 8, meanServiceMs: 50}); // => 0 when nothing waits
*/
export function estimateWaitMs(load: Readonly<{
	queue: WeightedFairQueue;
	priority: PriorityClass;
	limits: RequestLimits;
	places: number;
	/** Measured mean time that a request holds a place; `undefined` before the first one ended. */
	meanServiceMs: number | undefined;
}>): number {
	if (load.meanServiceMs === undefined || load.places === 0) {
		return 0;
	}

	let activeShares = 0;
	for (const priority of priorityClasses) {
		if (priority === load.priority || load.queue.classes[priority].size > 0) {
			activeShares += classShare(load.limits, priority);
		}
	}

	const departuresPerMs = load.places / Math.max(load.meanServiceMs, 0.01);
	const classDeparturesPerMs = departuresPerMs * classShare(load.limits, load.priority) / activeShares;
	return load.queue.classes[load.priority].size / classDeparturesPerMs;
}

/**
Decides at arrival whether a request may wait. Each class owns the floor of the queue's places; beyond it, a class may use
places that the other classes' floors do not reserve. A request that would wait past its limit is refused at once.

@example
admitRequest({queue: emptyFairQueue, priority: 'normal', limits, places: 8, meanServiceMs: 50, longestWaitMs: 1000}).kind; // => 'admitted'
*/
export function admitRequest(load: Readonly<{
	queue: WeightedFairQueue;
	priority: PriorityClass;
	limits: RequestLimits;
	places: number;
	meanServiceMs: number | undefined;
	longestWaitMs: number;
}>): Admission {
	const {queue, limits} = load;
	const waitMs = estimateWaitMs(load);
	const retryAfterMs = Math.ceil(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)));
	let reservedForOthers = 0;
	for (const priority of priorityClasses) {
		if (priority !== load.priority) {
			reservedForOthers += Math.max(0, floorOf(limits, priority) - queue.classes[priority].size);
		}
	}

	const isBelowFloor = queue.classes[load.priority].size < floorOf(limits, load.priority);
	if (!isBelowFloor && queue.size + reservedForOthers >= limits.queuedRequestsPerService) {
		return {kind: 'shed', reason: 'queue-full', retryAfterMs};
	}

	return waitMs > load.longestWaitMs ? {kind: 'shed', reason: 'wait-too-long', retryAfterMs} : admitted;
}

function floorOf(limits: RequestLimits, priority: PriorityClass): number {
	return Math.floor(limits.queuedRequestsPerService * limits.floorMilliByClass[priority] / 1000);
}
