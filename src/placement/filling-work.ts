import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {stepOf} from '../cluster/workflow-progress.js';

/** What the tasks of a VM mean for one more task that fills idle processors. */
export type FillingLoad = Readonly<{
	/** Processors that the filling tasks there would use, in thousandths. */
	fillingMilli: number;
	/** Tasks there that serve users and bear neighbours badly. */
	servingTasks: number;
}>;

// Keyed by the VM's set of tasks, which is replaced whenever a task comes or goes.
const loadsByTaskSet = new WeakMap<Vm['taskIds'], FillingLoad>();

/**
Sums the filling work and counts the serving tasks on a VM.

@example
fillingLoadOf(vm, cluster); // => {fillingMilli: 3600, servingTasks: 2}
*/
export function fillingLoadOf(vm: Vm, cluster: ClusterState): FillingLoad {
	const cached = loadsByTaskSet.get(vm.taskIds);
	if (cached) {
		return cached;
	}

	let fillingMilli = 0;
	let servingTasks = 0;
	for (const taskId of vm.taskIds) {
		const task = cluster.tasks.get(taskId);
		const step = task && stepOf(cluster, task);
		fillingMilli += step?.fillsIdle ? step.demand.processorsMilli : 0;
		servingTasks += step?.latencyTargetMs === undefined ? 0 : 1;
	}

	const load = {fillingMilli, servingTasks};
	loadsByTaskSet.set(vm.taskIds, load);
	return load;
}

/**
Says how many processors a task would take of the idle ones; 0 for a task that commits what it needs.

@example
fillingDemandMilli(task, cluster); // => 1800
*/
export function fillingDemandMilli(task: Task, cluster: ClusterState): number {
	const step = stepOf(cluster, task);
	return step?.fillsIdle ? step.demand.processorsMilli : 0;
}
