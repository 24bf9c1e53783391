import {type Histogram} from 'hdr-histogram-js';
// The library's main module also loads its WebAssembly and compression, which the agent does not use.
import {constructorFromBucketSize} from 'hdr-histogram-js/dist/JsHistogramFactory.js';

/** How long a histogram collects before the next one takes over. */
const windowMs = 5000;

const longestLatencyMs = 3_600_000;

function emptyHistogram(): Histogram {
	const TypedHistogram = constructorFromBucketSize(32);
	const histogram = new TypedHistogram(1, longestLatencyMs, 2);
	histogram.autoResize = true;
	return histogram;
}

/** Latencies of about the last 5 to 10 seconds. */
export class LatencyWindow {
	readonly #current = emptyHistogram();
	#earlierP99Ms = 0;
	#startedAtMs = 0;

	/** Adds one latency in milliseconds. */
	record(latencyMs: number): void {
		this.#current.recordValue(Math.min(longestLatencyMs, Math.max(0, Math.round(latencyMs))));
	}

	/**
	Returns the 99th percentile, 0 without any latency.

	@example
	window.p99Ms(nowMs); // => 42
	*/
	p99Ms(nowMs: number): number {
		const currentP99Ms = this.#current.totalCount === 0 ? 0 : this.#current.getValueAtPercentile(99);
		const p99Ms = Math.max(currentP99Ms, this.#earlierP99Ms);
		if (nowMs - this.#startedAtMs >= windowMs) {
			this.#earlierP99Ms = currentP99Ms;
			this.#startedAtMs = nowMs;
			this.#current.reset();
		}

		return p99Ms;
	}
}
