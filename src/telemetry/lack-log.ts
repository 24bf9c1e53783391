import {type EventFields, type EventLog} from './event-log.js';

/** Records whether something lacks now; the fields go into the line that is due, if one is. Returns for how long it has lacked, in milliseconds. */
export type LackLog = (isLacking: boolean, fields: EventFields) => number;

/**
Creates the log of a lack that nobody would notice otherwise: a line once it has lasted for `afterMs`, one more after each `repeatMs`, and one
when it ends.

@param began event of the lines while it lasts, with `sinceMs`.
@param ended event of the line at its end, with `lastedMs`.

@example
const record = createLackLog({began: {event: 'deciders-short'}, ended: {event: 'deciders-enough'}, afterMs: 3000, repeatMs: 10_000, nowMs, eventLog});
record(deciders.length < 4, {deciders: deciders.length}); // => 0
*/
export function createLackLog({began, ended, afterMs, repeatMs, nowMs, eventLog}: Readonly<{
	began: Readonly<{event: string}>;
	ended: Readonly<{event: string}>;
	afterMs: number;
	repeatMs: number;
	nowMs: () => number;
	eventLog: EventLog;
}>): LackLog {
	let sinceMs: number | undefined;
	let loggedAtMs: number | undefined;
	return (isLacking, fields) => {
		const atMs = nowMs();
		if (!isLacking) {
			if (loggedAtMs !== undefined && sinceMs !== undefined) {
				eventLog.info(ended.event, {...fields, lastedMs: Math.round(atMs - sinceMs)});
			}

			sinceMs = undefined;
			loggedAtMs = undefined;
			return 0;
		}

		sinceMs ??= atMs;
		const lastsMs = atMs - sinceMs;
		if (lastsMs >= afterMs && (loggedAtMs === undefined || atMs - loggedAtMs >= repeatMs)) {
			loggedAtMs = atMs;
			eventLog.warn(began.event, {...fields, sinceMs: Math.round(lastsMs)});
		}

		return lastsMs;
	};
}
