import type {Intake} from '../intake/intake.js';
import {type MetricTags, type Metrics} from './metrics.js';

export type MetricsOptions = Readonly<{
	/** Address of the StatsD receiver, as `IP:PORT`; without it nothing is sent. */
	statsdAddress?: string | undefined;
	/** Address at which metrics are served as text, as `IP:PORT`; without it they are not served. */
	textAddress?: string | undefined;
	prefix: string;
	/** Called for a socket error; the methods of `Metrics` do not report it to their caller. */
	onError?: (error: Error) => void;
	/** Account of the process for the connections of the text server. */
	intake?: Intake;
}>;

function doNothing(): void {
	// Stands for every metric without an address, and for the default `onError`: a lost metric must not stop the process.
}

async function closeNothing(): Promise<void> {
	doNothing();
}

const noMetrics: Metrics = {
	increment: doNothing, gauge: doNothing, timingMs: doNothing, close: closeNothing,
};

/**
Creates the metrics of a process: sent to a StatsD receiver, served as text, both or neither. Libraries are loaded only when they are needed.

@example
const metrics = await createMetrics({statsdAddress: '127.0.0.1:8125', prefix: 'arbutushinge.'});
metrics.increment('requests', 1, {service: 'loaf-ordering'});
*/
export async function createMetrics(options: MetricsOptions): Promise<Metrics> {
	const {statsdAddress, textAddress, prefix, onError = doNothing, intake} = options;
	const targets: Metrics[] = [];
	if (textAddress !== undefined) {
		const {createTextMetrics} = await import('./create-text-metrics.js');
		targets.push(await createTextMetrics({
			address: textAddress, prefix, onError, ...(intake && {intake}),
		}));
	}

	if (statsdAddress !== undefined) {
		targets.push(await createStatsdMetrics({statsdAddress, prefix, onError}));
	}

	const [only] = targets;
	return targets.length < 2 ? only ?? noMetrics : joinMetrics(targets);
}

function joinMetrics(targets: readonly Metrics[]): Metrics {
	return {
		increment(name, count, tags) {
			for (const target of targets) {
				target.increment(name, count, tags);
			}
		},
		gauge(name, value, tags) {
			for (const target of targets) {
				target.gauge(name, value, tags);
			}
		},
		timingMs(name, durationMs, tags) {
			for (const target of targets) {
				target.timingMs(name, durationMs, tags);
			}
		},
		async close() {
			await Promise.all(targets.map(async target => target.close()));
		},
	};
}

async function createStatsdMetrics({statsdAddress, prefix, onError}: Readonly<{statsdAddress: string; prefix: string; onError: (error: Error) => void}>): Promise<Metrics> {
	const {StatsD} = await import('hot-shots');
	const [host, port] = statsdAddress.split(':');
	const client = new StatsD({
		host,
		port: Number(port),
		prefix,
		// Bytes; a datagram of this size fits into one Ethernet frame.
		maxBufferSize: 1400,
		bufferFlushInterval: 1000,
		includeDataDogTags: false,
		errorHandler: onError,
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
