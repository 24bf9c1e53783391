import {type AnnouncedEntry} from '../membership/entry-role.js';
import {type EventLog} from '../telemetry/event-log.js';
import {createLackLog} from '../telemetry/lack-log.js';
import {type Metrics} from '../telemetry/metrics.js';
import {boundedText} from '../validation/bounded-text.js';

/** Time for which there are too few deciders, or the roles are not read, before it is logged, and time between two lines. */
const afterMs = 3000;
const repeatMs = 10_000;

/** What an entry sees of the deciders at one time. */
export type DeciderView = Readonly<{
	entryId: string;
	deciderCount: number;
	announced: readonly AnnouncedEntry[];
	unavailableIds: ReadonlySet<string>;
	isDecider: boolean;
}>;

/** Tells operators which deciders an entry sees, and since when there are too few. */
export type DeciderMonitor = Readonly<{
	record: (view: DeciderView) => void;
	recordFailedRead: (reason: string) => void;
}>;

/**
Creates the monitor of the deciders. Too few are those that fall short of both the number that is set and the number of entries that announce themselves.

@example
const monitor = createDeciderMonitor({nowMs: () => performance.now(), eventLog, metrics});
monitor.record({entryId: 'edge-1', deciderCount: 4, announced, unavailableIds: new Set(), isDecider: false});
*/
export function createDeciderMonitor({nowMs, eventLog, metrics}: Readonly<{nowMs: () => number; eventLog: EventLog; metrics: Metrics}>): DeciderMonitor {
	const recordShortage = createLackLog({
		began: {event: 'deciders-short'}, ended: {event: 'deciders-enough'}, afterMs, repeatMs, nowMs, eventLog,
	});
	const recordUnread = createLackLog({
		began: {event: 'roles-not-read'}, ended: {event: 'roles-read'}, afterMs, repeatMs, nowMs, eventLog,
	});
	return {
		record({entryId, deciderCount, announced, unavailableIds, isDecider}) {
			recordUnread(false, {});
			const live = announced.filter(entry => entry.age === 'fresh' || entry.entryId === entryId);
			const deciders = live.filter(entry => entry.entryId === entryId ? isDecider : entry.role === 'decider').map(entry => entry.entryId).toSorted();
			const available = deciders.filter(id => !unavailableIds.has(id));
			const wanted = Math.min(deciderCount, live.length);
			metrics.gauge('deciders.announced', deciders.length);
			metrics.gauge('deciders.available', available.length);
			metrics.gauge('deciders.short-time', Math.round(recordShortage(available.length < wanted, {
				wanted, available: available.length, deciders: boundedText(deciders.join(',')), unavailable: boundedText(deciders.filter(id => unavailableIds.has(id)).join(',')),
			})));
		},
		recordFailedRead(reason) {
			recordUnread(true, {reason: boundedText(reason)});
		},
	};
}
