import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {isEvacuated} from '../cluster/evacuations.js';
import {type VmOffer} from '../cluster/vm-offer.js';
import {missingCapacity} from '../cluster/missing-capacity.js';
import {stepOf} from '../cluster/workflow-progress.js';
import {
	addResources, fitsInto, type Resources, subtractResources,
} from '../cluster/resources.js';

/**
Returns the free resources of a VM: its capacity less what is committed and what pending claims will commit.

@example
freeResourcesOf(vm, {processorsMilli: 1000, memoryMb: 512, accelerators: 0});
*/
export function freeResourcesOf(vm: Vm, pending: Resources): Resources {
	return subtractResources(vm.capacity, addResources(vm.committed, pending));
}

/**
Returns whether a VM accepts new tasks, whatever their size.

@example
acceptsNewTasks(vm, cluster); // => false for a VM that drains or whose failure domain is evacuated
*/
export function acceptsNewTasks(vm: Vm, cluster: ClusterState): boolean {
	return vm.phase === 'live'
		&& !vm.draining
		&& !vm.leaving
		&& !vm.workerLost
		&& !vm.quarantined
		&& !cluster.configuration.drainingFailureDomains.has(vm.failureDomain)
		&& !isEvacuated(cluster, vm.failureDomain);
}

/**
Returns a message that describes why no VM could run a task even when empty; undefined when a VM could, and when no VM of the task's service
is recorded. Workers that others have replaced count too.

@example
describeMissingCapacity(task, cluster); // => 'needs 64000 processorsMilli; the largest VM has 16000'
*/
export function describeMissingCapacity(task: Task, cluster: ClusterState): string | undefined {
	const run = cluster.workflows.get(task.jobId);
	const label = stepOf(cluster, task)?.requiredLabel;
	const isOfService = ({service}: VmOffer) => run === undefined || service === run.workflow.service;
	const hasLabel = ({labels}: VmOffer) => label === undefined || labels.includes(label);
	const canHold = (offer: VmOffer) => isOfService(offer) && hasLabel(offer) && fitsInto(task.spec.demand, offer.capacity);
	// A VM with an expired lease or a replaced worker may come back, so it counts too: only a task that no known worker could run is refused.
	if (cluster.vms.some(vm => canHold(vm)) || cluster.vmOffers.some(offer => canHold(offer))) {
		return undefined;
	}

	const offers = [...cluster.vms.values(), ...cluster.vmOffers.values()].filter(offer => isOfService(offer));
	if (offers.length === 0) {
		return undefined;
	}

	const labelled = offers.filter(offer => hasLabel(offer));
	return labelled.length === 0 ? `needs label ${label ?? ''}, which no VM has` : missingCapacity(labelled, task.spec.demand);
}
