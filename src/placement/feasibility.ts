import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {missingCapacity} from '../cluster/missing-capacity.js';
import {stepOf} from '../cluster/workflow-progress.js';
import {
	addResources, fitsInto, type Resources, subtractResources,
} from '../cluster/resources.js';

/**
Tells how much a VM has left when claims that are not in the log yet are counted too.

@example
freeResourcesOf(vm, {processorsMilli: 1000, memoryMb: 512, accelerators: 0});
*/
export function freeResourcesOf(vm: Vm, pending: Resources): Resources {
	return subtractResources(vm.capacity, addResources(vm.committed, pending));
}

/**
Tells whether a VM takes new tasks at all, whatever their size.

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
Says what the largest VM lacks for a task that no VM of the cluster could hold even when empty; undefined when one could.

@example
describeMissingCapacity(task, cluster); // => 'needs 64000 processorsMilli; the largest VM has 16000'
*/
export function describeMissingCapacity(task: Task, cluster: ClusterState): string | undefined {
	// An expired VM may come back, so only what no known VM could hold is given up.
	const run = cluster.workflows.get(task.jobId);
	const label = stepOf(cluster, task)?.requiredLabel;
	const isHolder = (vm: Vm) => (run === undefined || vm.service === run.workflow.service)
		&& (label === undefined || vm.labels.includes(label))
		&& fitsInto(task.spec.demand, vm.capacity);
	if (cluster.vms.some(vm => isHolder(vm))) {
		return undefined;
	}

	const vms = run ? cluster.vms.filter(vm => vm.service === run.workflow.service) : cluster.vms;
	if (vms.isEmpty()) {
		return undefined;
	}

	const labelled = label === undefined ? vms : vms.filter(vm => vm.labels.includes(label));
	return labelled.isEmpty() ? `needs label ${label ?? ''}, which no VM has` : missingCapacity(labelled.values(), task.spec.demand);
}
