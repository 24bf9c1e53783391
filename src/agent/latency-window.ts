import {type Histogram} from 'hdr-histogram-js';
// The library's main module also loads its WebAssembly and compression, which the agent does not use.
import {constructorFromBucketSize} from 'hdr-histogram-js/dist/JsHistogramFactory.js';

/** Time for which the histogram collects before it is reset. */
const windowMs = 5000;

const maxLatencyMs = 3_600_000;

function createHistogram(): Histogram {
	const TypedHistogram = constructorFromBucketSize(32);
	const histogram = new TypedHistogram(1, maxLatencyMs, 2);
	histogram.autoResize = true;
	return histogram;
}

/** Latencies of about the last 5 to 10 seconds. */
export class LatencyWindow {
	readonly #current = createHistogram();
	#previousP99Ms = 0;
	#startedAtMs = 0;

	/** Adds one latency in milliseconds. */
	record(latencyMs: number): void {
		this.#current.recordValue(Math.min(maxLatencyMs, Math.max(0, Math.round(latencyMs))));
	}

	/**
	Returns the 99th percentile, 0 without any latency.

	@example
	window.p99Ms(nowMs); // => 42
	*/
	p99Ms(nowMs: number): number {
		const currentP99Ms = this.#current.totalCount === 0 ? 0 : this.#current.getValueAtPercentile(99);
		const p99Ms = Math.max(currentP99Ms, this.#previousP99Ms);
		if (nowMs - this.#startedAtMs >= windowMs) {
			this.#previousP99Ms = currentP99Ms;
			this.#startedAtMs = nowMs;
			this.#current.reset();
		}

		return p99Ms;
	}
}
