import {type ClusterState, type Evacuation} from './cluster-state.js';

/** The newest request to evacuate one failure domain, or its removal, as a process has read it from the operator's topic. */
export type EvacuationRequest = Readonly<Pick<Evacuation, 'isRequested' | 'requestOffset'>>;

/** What a process has read of the operator's evacuations. */
export type EvacuationRequests = Readonly<{
	byFailureDomain: ReadonlyMap<string, EvacuationRequest>;
	/** End of the newest complete list of the topic: failure domains that are missing from the map had no request there. */
	listedEndOffset: number;
}>;

/**
Returns whether the log says that nothing may be started in a failure domain.

@example
isEvacuated(cluster, 'zone-a'); // => true from the record of the request to that of its removal
*/
export function isEvacuated({configuration}: Pick<ClusterState, 'configuration'>, failureDomain: string): boolean {
	return configuration.evacuations.get(failureDomain)?.isRequested === true;
}

/** What is left in a failure domain. */
export type FailureDomainLoad = Readonly<{
	vms: number;
	/** Tasks that were reported as started and have not ended. */
	runningTasks: number;
	/** Tasks whose claim was not started; their agents refuse them during an evacuation. */
	claimedTasks: number;
}>;

/**
Returns the VMs and tasks in a failure domain.

@example
failureDomainLoadOf(cluster, 'zone-a'); // => {vms: 12, runningTasks: 40, claimedTasks: 0}
*/
export function failureDomainLoadOf({vms, tasks}: Pick<ClusterState, 'vms' | 'tasks'>, failureDomain: string): FailureDomainLoad {
	const load = {vms: 0, runningTasks: 0, claimedTasks: 0};
	for (const vm of vms.values()) {
		if (vm.failureDomain === failureDomain && vm.phase !== 'expired') {
			load.vms++;
			for (const taskId of vm.taskIds) {
				load[tasks.get(taskId)?.phase === 'claimed' ? 'claimedTasks' : 'runningTasks']++;
			}
		}
	}

	return load;
}

/**
Returns the requests and removals that a process has read and the log does not hold yet. A request that is missing from a complete list was removed
before the list's end, when a record behind the request lies before that end. A list that ends at the request is no evidence.

@example
newerRequests(cluster, requests); // => new Map([['zone-a', {isRequested: true, requestOffset: 7}]])
*/
export function newerRequests({configuration}: Pick<ClusterState, 'configuration'>, {byFailureDomain, listedEndOffset}: EvacuationRequests): ReadonlyMap<string, EvacuationRequest> {
	const newer = new Map<string, EvacuationRequest>();
	for (const [failureDomain, request] of byFailureDomain) {
		const held = configuration.evacuations.get(failureDomain);
		// Without a request, a removal changes nothing.
		if (request.requestOffset > (held?.requestOffset ?? -1) && (request.isRequested || held?.isRequested)) {
			newer.set(failureDomain, request);
		}
	}

	for (const [failureDomain, {isRequested, requestOffset}] of configuration.evacuations) {
		if (isRequested && !byFailureDomain.has(failureDomain) && listedEndOffset - 1 > requestOffset) {
			newer.set(failureDomain, {isRequested: false, requestOffset: listedEndOffset - 1});
		}
	}

	return newer;
}

/**
Returns the cluster state with the requests that this process has read and the log does not hold yet, so that an entry places nothing in a failure
domain from when it has read the request. Removals count only once the log holds them, since claims are rejected until then.

@example
withRequests(cluster, requests).configuration.evacuations.get('zone-a')?.isRequested; // => true
*/
export function withRequests(cluster: ClusterState, requests: EvacuationRequests): ClusterState {
	const requested = [...newerRequests(cluster, requests)].filter(([failureDomain, {isRequested}]) => isRequested && !isEvacuated(cluster, failureDomain));
	if (requested.length === 0) {
		return cluster;
	}

	const evacuations = cluster.configuration.evacuations.merge(requested.map(([failureDomain, request]) => [failureDomain, {
		...request, offset: cluster.offset, noticedAtMs: 0, refusedClaims: 0,
	}]));
	return {...cluster, configuration: {...cluster.configuration, evacuations}};
}
