import {Map as immutableMap, type Map} from 'immutable';

/** A persistent first-in first-out queue whose items can also be removed by their position. */
export type IndexedQueue<Item> = Readonly<{
	items: Map<number, Item>;
	/** No position below it is in use. */
	head: number;
	nextPosition: number;
}>;

/**
Returns an empty queue.

@example
emptyIndexedQueue<string>().items.size; // => 0
*/
export function emptyIndexedQueue<Item>(): IndexedQueue<Item> {
	return {items: immutableMap<number, Item>(), head: 0, nextPosition: 0};
}

/**
Adds an item at the end, at position `queue.nextPosition`. O(log n).

@example
pushItem(emptyIndexedQueue<string>(), 'a').nextPosition; // => 1
*/
export function pushItem<Item>(queue: IndexedQueue<Item>, item: Item): IndexedQueue<Item> {
	return {...queue, items: queue.items.set(queue.nextPosition, item), nextPosition: queue.nextPosition + 1};
}

/**
Removes the item at a position; an unused position changes nothing. O(log n).

@example
removeItem(pushItem(emptyIndexedQueue<string>(), 'a'), 0).items.size; // => 0
*/
export function removeItem<Item>(queue: IndexedQueue<Item>, position: number): IndexedQueue<Item> {
	return {...queue, items: queue.items.delete(position)};
}

/**
Removes and returns the oldest item. Each position that was removed before is skipped once, so it is O(log n) amortized.

@example
shiftItem(pushItem(emptyIndexedQueue<string>(), 'a'))?.item; // => 'a'
*/
export function shiftItem<Item>(queue: IndexedQueue<Item>): Readonly<{queue: IndexedQueue<Item>; item: Item}> | undefined {
	for (let {head} = queue; head < queue.nextPosition; head++) {
		const item = queue.items.get(head);
		if (item !== undefined) {
			return {queue: {...queue, items: queue.items.delete(head), head: head + 1}, item};
		}
	}

	return undefined;
}
