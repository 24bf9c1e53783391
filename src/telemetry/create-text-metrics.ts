import {createServer} from 'node:http';
import {once} from 'node:events';
import type {Counter, Gauge, Histogram} from 'prom-client';
import {closeAfterAnswer} from '../intake/close-after-answer.js';
import {createDefaultIntake} from '../intake/default-intake.js';
import {guardConnections} from '../intake/guard-connections.js';
import type {Intake} from '../intake/intake.js';
import {boundedText} from '../validation/bounded-text.js';
import type {MetricTags, Metrics} from './metrics.js';

/** Upper bounds of the buckets of the latency histograms, in milliseconds. They range from a fast answer of the log to a caller's longest wait. */
const bucketsMs = [5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000];

/**
Serves the metrics of a process in the Prometheus text format at `/metrics` of an address. The first use of a metric fixes its label names.

@example
const metrics = await createTextMetrics({address: '127.0.0.1:9464', prefix: 'arbutushinge.'});
metrics.timingMs('log.append', 4);
*/
export async function createTextMetrics({address, prefix, onError, intake = createDefaultIntake('entry')}: Readonly<{
	address: string;
	prefix: string;
	onError: (error: Error) => void;
	/** Account of the process. */
	intake?: Intake;
}>): Promise<Metrics> {
	const client = await import('prom-client');
	const registry = new client.Registry();
	const counters = new Map<string, Counter>();
	const gauges = new Map<string, Gauge>();
	const histograms = new Map<string, Histogram>();

	function getOrCreateMetric<Metric>(metrics: Map<string, Metric>, name: string, tags: MetricTags, create: (options: Readonly<{name: string; help: string; labelNames: string[]; registers: [typeof registry]}>) => Metric): Metric {
		const metric = metrics.get(name) ?? create({
			name: `${prefix}${name}`.replaceAll(/\W/gv, '_'), help: `${name}, see docs/OPERATIONS.md`, labelNames: Object.keys(tags), registers: [registry],
		});
		metrics.set(name, metric);
		return metric;
	}

	const server = createServer((request, response) => {
		closeAfterAnswer(response);
		void (async () => {
			if (request.url !== '/metrics') {
				response.writeHead(404).end();
				return;
			}

			try {
				const text = await registry.metrics();
				response.setHeader('content-type', registry.contentType);
				response.end(text);
			} catch (error) {
				onError(error instanceof Error ? error : new Error(boundedText(error)));
				response.destroy();
			}
		})();
	});
	guardConnections(server, {intake, group: 'metrics'});
	server.on('error', onError);
	const [host, port] = address.split(':');
	server.listen(Number(port), host);

	return {
		increment(name, count = 1, tags = {}) {
			getOrCreateMetric(counters, name, tags, options => new client.Counter(options)).inc({...tags}, count);
		},
		gauge(name, value, tags = {}) {
			getOrCreateMetric(gauges, name, tags, options => new client.Gauge(options)).set({...tags}, value);
		},
		timingMs(name, durationMs, tags = {}) {
			getOrCreateMetric(histograms, name, tags, options => new client.Histogram({...options, buckets: bucketsMs})).observe({...tags}, durationMs);
		},
		async close() {
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		},
	};
}
