import {
	Map as immutableMap, Set as immutableSet, type Map, type Set,
} from 'immutable';

/** Expiry times of requests, grouped into buckets, so that the cost of a tick depends only on what expired. */
export type ExpiryIndex = Readonly<{
	buckets: Map<number, Set<string>>;
	/** All buckets up to this one have been taken. */
	takenThroughBucket: number;
}>;

const bucketMs = 20;

/** An index without requests. */
export const emptyExpiryIndex: ExpiryIndex = {buckets: immutableMap(), takenThroughBucket: -1};

function bucketOf(index: ExpiryIndex, expiresAtMs: number): number {
	return Math.max(index.takenThroughBucket + 1, Math.ceil(expiresAtMs / bucketMs));
}

/** Number of the bucket that holds a request. */
export type ExpiryTicket = number;

/**
Adds a request that expires at a time in milliseconds.

@example
addExpiry(emptyExpiryIndex, 'r1', 1000).ticket; // => 50
*/
export function addExpiry(index: ExpiryIndex, requestId: string, expiresAtMs: number): Readonly<{index: ExpiryIndex; ticket: ExpiryTicket}> {
	const ticket = bucketOf(index, expiresAtMs);
	return {
		index: {...index, buckets: index.buckets.update(ticket, immutableSet<string>(), requests => requests.add(requestId))},
		ticket,
	};
}

/**
Removes a request from the bucket that {@link addExpiry} returned.

@example
removeExpiry(index, 'r1', 50).buckets.size; // => 0
*/
export function removeExpiry(index: ExpiryIndex, requestId: string, ticket: ExpiryTicket): ExpiryIndex {
	const requests = index.buckets.get(ticket)?.delete(requestId);
	if (requests === undefined) {
		return index;
	}

	return {...index, buckets: requests.size === 0 ? index.buckets.delete(ticket) : index.buckets.set(ticket, requests)};
}

/**
Returns the requests that expired by `nowMs`, and removes them from the index.

@example
takeExpired(index, 1000).requestIds; // => ['r1']
*/
export function takeExpired(index: ExpiryIndex, nowMs: number): Readonly<{index: ExpiryIndex; requestIds: readonly string[]}> {
	const throughBucket = Math.floor(nowMs / bucketMs);
	if (throughBucket <= index.takenThroughBucket) {
		return {index, requestIds: []};
	}

	const requestIds: string[] = [];
	let {buckets} = index;
	// After a long pause it is cheaper to iterate over the buckets in use than over every bucket since the last call.
	const isLongPause = throughBucket - index.takenThroughBucket > buckets.size;
	const dueBuckets = isLongPause
		? [...buckets.keys()].filter(bucket => bucket <= throughBucket).toSorted((left, right) => left - right)
		: Array.from({length: throughBucket - index.takenThroughBucket}, (_, position) => index.takenThroughBucket + 1 + position);
	for (const bucket of dueBuckets) {
		requestIds.push(...buckets.get(bucket) ?? []);
		buckets = buckets.delete(bucket);
	}

	return {index: {buckets, takenThroughBucket: throughBucket}, requestIds};
}
