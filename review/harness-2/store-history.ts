import {type Site} from '../../soak/site.js';

/** The platform's store keeps 20 s of history. */
export const historyMs = 20_000;

const expiryIntervalMs = 250;

/** Topics of the log and its snapshots. */
const topics = ['arbutushinge', 'arbutushinge-snapshots'] as const;

/**
Drops what is older than the store's history, as the store does, until the timer is cleared.

@example
const expiry = expireHistory(site);
clearInterval(expiry);
*/
export function expireHistory({store}: Site): NodeJS.Timeout {
	const firstOffsets = new Map<string, number>();
	const endOffsets = new Map<string, number[]>();
	return setInterval(() => {
		for (const topic of topics) {
			const first = firstOffsets.get(topic) ?? 0;
			const seen = [...endOffsets.get(topic) ?? [], first + store.records(topic).length];
			endOffsets.set(topic, seen.slice(-historyMs / expiryIntervalMs));
			const old = seen.length > historyMs / expiryIntervalMs ? seen[0]! : 0;
			if (old > first) {
				store.expire(topic, old);
				firstOffsets.set(topic, old);
			}
		}
	}, expiryIntervalMs);
}
