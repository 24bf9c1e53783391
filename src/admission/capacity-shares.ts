import {OrderedMap as orderedMap, type OrderedMap} from 'immutable';

/** Use of a pool by the jobs of one holder of a floor, such as a queue. */
type HolderUse = Readonly<{
	/** Accepted work that counts, in millicores times milliseconds; it decays with `useWindowMs`. */
	work: number;
	countedAtMs: number;
	/** When a job of the holder last asked. */
	askedAtMs: number;
}>;

/** Uses by pool and holder; the one that asked the longest ago is first. */
export type CapacityShares = OrderedMap<string, HolderUse>;

export const noCapacityShares: CapacityShares = orderedMap();

/** What jobs are counted by: their queue, the failure domain of their caller, or their size class, of which only the large ones hold a floor. */
export type HolderKind = 'queue' | 'failure-domain' | 'size';

/** Holders of floors of the same kind, such as all queues, with the share of the capacity that they hold together. */
export type FloorKind = Readonly<{kind: HolderKind; floorMilli: number}>;

/** Time over which accepted work is counted against a floor: about the time that a burst lasts. A holder that has not asked for this long holds nothing. */
const useWindowMs = 10_000;

/** Bounds the memory: pools times queues and failure domains. */
const maxHolders = 1024;

/** What the floors mean for one job. */
export type FloorState = Readonly<{
	/** Whether the job is within the guaranteed share of its holder. */
	isWithinFloor: boolean;
	/** Share of the capacity that other holders have not used of their floors, in thousandths. */
	heldByOthersMilli: number;
}>;

/**
Evaluates the floors of one kind for a job. A floor is an equal part of `floorMilli` for each holder that has asked recently; a single queue or failure domain
needs none, since nobody else uses the capacity.

@param holder undefined for a job that has no floor of this kind.

@example
evaluateFloor(shares, {poolKey, floor: {kind: 'queue', floorMilli: 300}, holder: 'a.example/q/', work, capacityMilli, nowMs}).isWithinFloor; // => true
*/
export function evaluateFloor(shares: CapacityShares, {poolKey, floor, holder, work, capacityMilli, nowMs}: Readonly<{
	poolKey: string;
	floor: FloorKind;
	holder: string | undefined;
	work: number;
	capacityMilli: number;
	nowMs: number;
}>): FloorState {
	const prefix = keyOf(poolKey, floor.kind, '');
	const ownKey = holder === undefined ? undefined : keyOf(poolKey, floor.kind, holder);
	const others = shares.filter(({askedAtMs}, key) => key.startsWith(prefix) && key !== ownKey && nowMs - askedAtMs <= useWindowMs);
	const holderCount = others.size + (ownKey === undefined ? 0 : 1);
	if (holderCount === 0 || (others.isEmpty() && floor.kind !== 'size')) {
		return {isWithinFloor: false, heldByOthersMilli: 0};
	}

	const holderFloorMilli = floor.floorMilli / holderCount;
	const windowWork = Math.max(1, capacityMilli * useWindowMs);
	const usedMilli = (use: HolderUse | undefined): number => use ? 1000 * decayed(use, nowMs) / windowWork : 0;
	return {
		isWithinFloor: ownKey !== undefined && usedMilli(shares.get(ownKey)) + (1000 * work / windowWork) <= holderFloorMilli,
		heldByOthersMilli: others.reduce((sum, use) => sum + Math.max(0, holderFloorMilli - usedMilli(use)), 0),
	};
}

/**
Records that a job of a holder asked, and its work if it was accepted.

@example
recordUse(shares, {poolKey, kind: 'queue', holder: 'a.example/q/', acceptedWork: 0, nowMs});
*/
export function recordUse(shares: CapacityShares, {poolKey, kind, holder, acceptedWork, nowMs}: Readonly<{
	poolKey: string;
	kind: HolderKind;
	holder: string;
	acceptedWork: number;
	nowMs: number;
}>): CapacityShares {
	const key = keyOf(poolKey, kind, holder);
	const use = shares.get(key);
	const next = shares.delete(key).set(key, {work: (use ? decayed(use, nowMs) : 0) + acceptedWork, countedAtMs: nowMs, askedAtMs: nowMs});
	const oldest = next.size > maxHolders ? next.keySeq().first() : undefined;
	return oldest === undefined ? next : next.delete(oldest);
}

function keyOf(poolKey: string, kind: HolderKind, holder: string): string {
	return `${poolKey}\n${kind}\n${holder}`;
}

function decayed({work, countedAtMs}: HolderUse, nowMs: number): number {
	return work * Math.exp((countedAtMs - nowMs) / useWindowMs);
}
