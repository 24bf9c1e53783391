/** Tells how long a VM was suspended. */
export type SuspensionDetector = Readonly<{
	/** Returns for how many milliseconds the VM was suspended since the last call; 0 when it was not. */
	suspendedMs: () => number;
}>;

/** A shorter difference may be an adjustment of the time of day. */
const minSuspensionMs = 250;

/** A longer difference is a correction of the time of day. */
const maxSuspensionMs = 60_000;

/**
Creates a detector of suspensions. The steady clock does not count the time in which a VM is suspended, and the time of day does. A step of the
time of day by less than a minute looks the same, which costs a lease the length of the step.

@param wallTimeMs returns the time of day in milliseconds.
@param steadyMs returns the time of the steady clock in milliseconds.

@example
const suspensions = createSuspensionDetector({wallTimeMs: Date.now, steadyMs: monotonicMs});
suspensions.suspendedMs(); // => 0
*/
export function createSuspensionDetector({wallTimeMs, steadyMs}: Readonly<{wallTimeMs: () => number; steadyMs: () => number}>): SuspensionDetector {
	let offsetMs = wallTimeMs() - steadyMs();
	return {
		suspendedMs() {
			const before = offsetMs;
			offsetMs = wallTimeMs() - steadyMs();
			const gainedMs = offsetMs - before;
			return gainedMs >= minSuspensionMs && gainedMs <= maxSuspensionMs ? gainedMs : 0;
		},
	};
}
