import {type PriorityClass, type RequestLimits} from '../cluster/intent.js';
import {classShare, priorityClasses, type WeightedFairQueue} from './weighted-fair-queue.js';

/** Whether a request may wait for a place. */
export type Admission
	= | Readonly<{kind: 'admitted'}>
		| Readonly<{kind: 'shed'; reason: 'queue-full' | 'wait-too-long'; retryAfterMs: number}>;

const admitted: Admission = {kind: 'admitted'};

/** Longest retry delay that is sent to a caller; an estimate beyond it is unreliable. */
const maxRetryAfterMs = 30_000;

/** Shortest retry delay that is sent to a caller, so that callers do not retry within one round trip. */
const minRetryAfterMs = 100;

/**
Returns the estimated wait of a new request in milliseconds: the queued requests of its class divided by the class's share of the
departure rate. Returns 0 before the first measurement.

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
Decides at arrival whether a request is queued or shed. Each class has a floor, its guaranteed minimum share of the queue's
capacity; beyond it, a class may use capacity that the floors of the other classes do not reserve. A request that would wait
longer than `longestWaitMs` is shed at once.

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
