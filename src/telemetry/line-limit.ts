/** Decides whether one more line may be written, and how many were left out since the last one. */
export type LineLimit = (nowMs: number) => Readonly<{isAllowed: boolean; omitted: number}>;

const windowMs = 1000;

/**
Bounds the lines of one event, so that a fault that touches every request does not fill the log. The number of lines that were
left out belongs into the next line that is written.

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
