import {failureDomainLoadOf} from '../cluster/evacuations.js';
import {type Metrics} from '../telemetry/metrics.js';
import {type EntryState} from './entry-state.js';

/**
Reports the current values of an entry's gauges.

@example
reportGauges(state, {metrics, nowMs: performance.now(), wallTimeMs: Date.now(), pendingAppends: 0});
*/
export function reportGauges(state: EntryState, {metrics, nowMs, wallTimeMs, pendingAppends}: Readonly<{
	metrics: Metrics;
	nowMs: number;
	wallTimeMs: number;
	pendingAppends: number;
}>): void {
	const {admission, cluster, links, log, placement, requests, runTimes} = state;
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

	const {evacuations} = cluster.configuration;
	metrics.gauge('evacuations.standing', evacuations.count(({isRequested}) => isRequested));
	for (const [failureDomain, {isRequested, noticedAtMs, refusedClaims}] of evacuations) {
		const load = failureDomainLoadOf(cluster, failureDomain);
		metrics.gauge('evacuation.time', isRequested && noticedAtMs > 0 ? Math.max(0, Math.round(wallTimeMs - noticedAtMs)) : 0, {failureDomain});
		metrics.gauge('evacuation.running-tasks', isRequested ? load.runningTasks : 0, {failureDomain});
		metrics.gauge('evacuation.claimed-tasks', isRequested ? load.claimedTasks : 0, {failureDomain});
		metrics.gauge('evacuation.refused-claims', isRequested ? refusedClaims : 0, {failureDomain});
	}

	for (const [service, {limitMilli}] of placement.fillingLimits.byService) {
		metrics.gauge('placement.filling-limit', limitMilli, {service});
	}

	metrics.gauge('run-times.expected-error', Math.round(runTimes.errors.expectedMilli));
	metrics.gauge('run-times.declared-error', Math.round(runTimes.errors.declaredMilli));
	for (const [priority, taskIds] of cluster.queued) {
		metrics.gauge('tasks.queued', taskIds.size, {class: priority});
	}
}
