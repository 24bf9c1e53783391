/** Returns whether one more line may be written, and how many were omitted since the last one. */
export type LineLimit = (nowMs: number) => Readonly<{isAllowed: boolean; omitted: number}>;

const windowMs = 1000;

/**
Creates a rate limit for the lines of one log event, so that a fault that affects every request does not fill the log.
The caller writes the number of omitted lines into the next line.

@example
const limit = createLineLimit({linesPerSecond: 8});
const {isAllowed, omitted} = limit(performance.now());
*/
export function createLineLimit({linesPerSecond}: Readonly<{linesPerSecond: number}>): LineLimit {
	let windowStartMs = Number.NEGATIVE_INFINITY;
	let written = 0;
	let omitted = 0;
	return nowMs => {
		if (nowMs - windowStartMs >= windowMs) {
			windowStartMs = nowMs;
			written = 0;
		}

		if (written >= linesPerSecond) {
			omitted++;
			return {isAllowed: false, omitted};
		}

		written++;
		const omittedBefore = omitted;
		omitted = 0;
		return {isAllowed: true, omitted: omittedBefore};
	};
}
