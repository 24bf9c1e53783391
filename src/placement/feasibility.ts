import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {
	addResources, fitsInto, type Resources, subtractResources,
} from '../cluster/resources.js';

/**
Tells how much a VM has left when claims that are not in the log yet are counted too.

@example
roomOf(vm, {processorsMilli: 1000, memoryMb: 512, accelerators: 0});
*/
export function roomOf(vm: Vm, pending: Resources): Resources {
	return subtractResources(vm.capacity, addResources(vm.committed, pending));
}

/**
Tells whether a VM takes new tasks at all, whatever their size.

@example
takesNewTasks(vm, cluster); // => false for a VM that drains
*/
export function takesNewTasks(vm: Vm, cluster: ClusterState): boolean {
	return vm.phase === 'live'
		&& !vm.draining
		&& !vm.quarantined
		&& !cluster.configuration.drainingFailureDomains.has(vm.failureDomain);
}

/**
Says what the largest VM lacks for a task that no VM of the cluster could hold even when empty; undefined when one could.

@example
lackingForever(task, cluster); // => '64000 processorsMilli demanded, the largest VM has 16000'
*/
export function lackingForever(task: Task, cluster: ClusterState): string | undefined {
	const {demand} = task.spec;
	const vms = [...cluster.vms.values()];
	if (vms.length === 0 || vms.some(vm => fitsInto(demand, vm.capacity))) {
		return undefined;
	}

	const dimensions = ['processorsMilli', 'memoryMb', 'accelerators'] as const;
	const lacks = dimensions
		.map(dimension => ({dimension, largest: Math.max(...vms.map(vm => vm.capacity[dimension]))}))
		.filter(({dimension, largest}) => demand[dimension] > largest)
		.map(({dimension, largest}) => `${demand[dimension]} ${dimension} demanded, the largest VM has ${largest}`);
	return lacks.length > 0 ? lacks.join('; ') : 'no single VM has all of the demanded amounts together';
}
