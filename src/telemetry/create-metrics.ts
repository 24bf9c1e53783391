import {type MetricTags, type Metrics} from './metrics.js';

export type MetricsOptions = Readonly<{
	/** Where StatsD metrics go, as `IP:PORT`; none are sent without it. */
	statsdAddress?: string | undefined;
	prefix: string;
	/** Called for an error of the socket; metrics never fail their caller. */
	onError?: (error: Error) => void;
}>;

function doNothing(): void {
	// Without an address there is nothing to send, and a lost metric is no reason to stop.
}

async function closeNothing(): Promise<void> {
	doNothing();
}

const noMetrics: Metrics = {
	increment: doNothing, gauge: doNothing, timingMs: doNothing, close: closeNothing,
};

/**
Makes the StatsD client of a process. The client library is loaded only when an address is set.

@example
const metrics = await createMetrics({statsdAddress: '127.0.0.1:8125', prefix: 'arbutushinge.'});
metrics.increment('requests', 1, {service: 'loaf-ordering'});
*/
export async function createMetrics(options: MetricsOptions): Promise<Metrics> {
	if (options.statsdAddress === undefined) {
		return noMetrics;
	}

	const {StatsD} = await import('hot-shots');
	const [host, port] = options.statsdAddress.split(':');
	const client = new StatsD({
		host,
		port: Number(port),
		prefix: options.prefix,
		// Metrics are sent in datagrams that fit one frame.
		maxBufferSize: 1400,
		bufferFlushInterval: 1000,
		includeDataDogTags: false,
		errorHandler: options.onError ?? doNothing,
	});
	return {
		increment(name: string, count = 1, tags: MetricTags = {}) {
			client.increment(name, count, {...tags});
		},
		gauge(name: string, value: number, tags: MetricTags = {}) {
			client.gauge(name, value, {...tags});
		},
		timingMs(name: string, durationMs: number, tags: MetricTags = {}) {
			client.timing(name, durationMs, {...tags});
		},
		async close() {
			await new Promise<void>(resolve => {
				client.close(() => {
					resolve();
				});
			});
		},
	};
}
