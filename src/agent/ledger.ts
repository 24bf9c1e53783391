import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';
import {
	addResources, fitsInto, noResources, subtractResources, type Resources,
} from '../cluster/resources.js';

/** Capacity and committed resources of the VM; holders have names such as `task/t1` or `backend-server/b3`. */
export type Ledger = Readonly<{
	capacity: Resources;
	committed: Resources;
	holders: ImmutableMap<string, Resources>;
}>;

/**
Returns a ledger without commitments.

@example
emptyLedger({processorsMilli: 4000, memoryMb: 1024, accelerators: 0});
*/
export function emptyLedger(capacity: Resources): Ledger {
	return {capacity, committed: noResources, holders: immutableMap()};
}

/**
Releases the resources of a holder. Returns the ledger unchanged when the holder has none.

@example
releaseResources(ledger, 'task/t1');
*/
export function releaseResources(ledger: Ledger, holder: string): Ledger {
	const held = ledger.holders.get(holder);
	return held === undefined
		? ledger
		: {
			...ledger,
			committed: subtractResources(ledger.committed, held),
			holders: ledger.holders.delete(holder),
		};
}

/**
Returns the resources that are not committed.

@example
freeResources(emptyLedger(capacity)); // => capacity
*/
export function freeResources(ledger: Ledger): Resources {
	return subtractResources(ledger.capacity, ledger.committed);
}

/**
Commits `demand` to a holder in place of what it held.

@returns `undefined` when the demand does not fit into the resources that are free once the holder's own are released.
@example
commitResources(ledger, 'task/t1', {processorsMilli: 1000, memoryMb: 256, accelerators: 0});
*/
export function commitResources(ledger: Ledger, holder: string, demand: Resources): Ledger | undefined {
	const without = releaseResources(ledger, holder);
	return fitsInto(demand, freeResources(without)) ? recordRunning(without, holder, demand) : undefined;
}

/**
Records the resources of a holder that already runs. It cannot be refused, so the commitments may exceed the capacity until a holder ends.

@example
recordRunning(ledger, 'task/t1', {processorsMilli: 1000, memoryMb: 256, accelerators: 0});
*/
export function recordRunning(ledger: Ledger, holder: string, demand: Resources): Ledger {
	const without = releaseResources(ledger, holder);
	return {
		...without,
		committed: addResources(without.committed, demand),
		holders: without.holders.set(holder, demand),
	};
}
