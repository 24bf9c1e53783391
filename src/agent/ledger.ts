import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';
import {
	addResources, fitsInto, noResources, subtractResources, type Resources,
} from '../cluster/resources.js';

/** What the VM offers and what is committed of it; holders are names such as `task/t1` or `backend-server/b3`. */
export type Ledger = Readonly<{
	capacity: Resources;
	committed: Resources;
	holders: ImmutableMap<string, Resources>;
}>;

/**
Makes a ledger without commitments.

@example
emptyLedger({processorsMilli: 4000, memoryMb: 1024, accelerators: 0});
*/
export function emptyLedger(capacity: Resources): Ledger {
	return {capacity, committed: noResources, holders: immutableMap()};
}

/**
Gives back what a holder has; a holder without a commitment changes nothing.

@example
release(ledger, 'task/t1');
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
Tells what is not committed.

@example
freeResources(emptyLedger(capacity)); // => capacity
*/
export function freeResources(ledger: Ledger): Resources {
	return subtractResources(ledger.capacity, ledger.committed);
}

/**
Commits `demand` to a holder in place of what it held.

@returns `undefined` when the demand does not fit beside the other holders.
@example
commit(ledger, 'task/t1', {processorsMilli: 1000, memoryMb: 256, accelerators: 0});
*/
export function commitResources(ledger: Ledger, holder: string, demand: Resources): Ledger | undefined {
	const without = releaseResources(ledger, holder);
	return fitsInto(demand, freeResources(without)) ? count(without, holder, demand) : undefined;
}

/**
Records what already runs. It cannot be refused, so the commitment may then exceed the capacity until something ends.

@example
count(ledger, 'task/t1', {processorsMilli: 1000, memoryMb: 256, accelerators: 0});
*/
export function count(ledger: Ledger, holder: string, demand: Resources): Ledger {
	const without = releaseResources(ledger, holder);
	return {
		...without,
		committed: addResources(without.committed, demand),
		holders: without.holders.set(holder, demand),
	};
}
