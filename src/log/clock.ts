import {setTimeout as delay} from 'node:timers/promises';

/** Time source of the log client, so that tests can control the time. */
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
