import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
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
acceptsNewTasks(vm, cluster); // => false for a VM that drains
*/
export function acceptsNewTasks(vm: Vm, cluster: ClusterState): boolean {
	return vm.phase === 'live'
		&& !vm.draining
		&& !vm.leaving
		&& !vm.workerLost
		&& !vm.quarantined
		&& !cluster.configuration.drainingFailureDomains.has(vm.failureDomain);
}

/**
Returns a message that describes why no VM could run a task even when empty; undefined when a VM could, and when no VM of the task's service
is recorded.

@example
describeMissingCapacity(task, cluster); // => 'needs 64000 processorsMilli; the largest VM has 16000'
*/
export function describeMissingCapacity(task: Task, cluster: ClusterState): string | undefined {
	// A VM with an expired lease may come back, so it counts too: only a task that no recorded VM could run is refused.
	const run = cluster.workflows.get(task.jobId);
	const label = stepOf(cluster, task)?.requiredLabel;
	const canHold = (vm: Vm) => (run === undefined || vm.service === run.workflow.service)
		&& (label === undefined || vm.labels.includes(label))
		&& fitsInto(task.spec.demand, vm.capacity);
	if (cluster.vms.some(vm => canHold(vm))) {
		return undefined;
	}

	const vms = run ? cluster.vms.filter(vm => vm.service === run.workflow.service) : cluster.vms;
	if (vms.isEmpty()) {
		return undefined;
	}

	const labelled = label === undefined ? vms : vms.filter(vm => vm.labels.includes(label));
	return labelled.isEmpty() ? `needs label ${label ?? ''}, which no VM has` : missingCapacity(labelled.values(), task.spec.demand);
}
