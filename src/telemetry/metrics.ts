/** Tags of a metric, such as `{service: 'loaf-ordering'}`. */
export type MetricTags = Readonly<Record<string, string>>;

/** Metrics; names are listed in docs/OPERATIONS.md. */
export type Metrics = Readonly<{
	increment: (name: string, count?: number, tags?: MetricTags) => void;
	gauge: (name: string, value: number, tags?: MetricTags) => void;
	timingMs: (name: string, durationMs: number, tags?: MetricTags) => void;
	close: () => Promise<void>;
}>;
