import {type Metrics} from '../telemetry/metrics.js';
import {type EntryState} from './entry-state.js';

/**
Reports the current values of an entry's gauges.

@example
reportGauges(state, {metrics, nowMs: performance.now(), pendingAppends: 0});
*/
export function reportGauges(state: EntryState, {metrics, nowMs, pendingAppends}: Readonly<{
	metrics: Metrics;
	nowMs: number;
	pendingAppends: number;
}>): void {
	const {admission, cluster, links, log, requests} = state;
	metrics.gauge('log.pending', pendingAppends);
	if (log.tailConfirmedSentAtMs > Number.NEGATIVE_INFINITY) {
		metrics.gauge('log.tail-age', Math.round(nowMs - log.tailConfirmedSentAtMs));
	}

	metrics.gauge('agents.connected', links.size);
	metrics.gauge('requests.pending', requests.pending.size);
	metrics.gauge('admission.promised', admission.promises.size);
	for (const [service, {queue}] of requests.services) {
		if (cluster.configuration.services.has(service)) {
			metrics.gauge('requests.queued', queue.size, {service});
		}
	}

	for (const [priority, taskIds] of cluster.queued) {
		metrics.gauge('tasks.queued', taskIds.size, {class: priority});
	}
}
