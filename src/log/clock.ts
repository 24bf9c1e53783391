import {setTimeout as delay} from 'node:timers/promises';

/** Where the log client takes its time from, so that tests decide when time passes. */
export type Clock = Readonly<{
	/** Monotonic time in milliseconds. */
	nowMs: () => number;
	/** Resolves after `durationMs`, or at once when `signal` is aborted; never rejects. */
	sleep: (durationMs: number, signal?: AbortSignal) => Promise<void>;
}>;

/** The process's monotonic clock. */
export const systemClock: Clock = {
	nowMs: () => performance.now(),
	async sleep(durationMs, signal) {
		try {
			await delay(durationMs, undefined, {signal});
		} catch {
			// Aborted: the caller checks its signal.
		}
	},
};
