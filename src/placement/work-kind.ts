import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';

/** Kind of work, for which interference is estimated; all work of one kind shares its estimates. */
export type WorkKind = Readonly<{name: string; isService: boolean; count: number}>;

/**
Returns the kind of a task: the one that its submitter gave, or else its team.

@example
taskKindName(task); // => 'task/stress-run'
*/
export function taskKindName(task: Task): string {
	return `task/${task.spec.taskKind ?? task.teamId}`;
}

/**
Returns the kind of a service's backend servers.

@example
serviceKindName('loaf-ordering'); // => 'service/loaf-ordering'
*/
export function serviceKindName(service: string): string {
	return `service/${service}`;
}

// Keyed by the VM's set of tasks, which is replaced whenever a task is bound or released.
const kindsByTaskSet = new WeakMap<Vm['taskIds'], readonly WorkKind[]>();

/**
Returns the kinds of work that are bound to a VM, with the number of backend servers or tasks of each.

@example
kindsOnVm(vm, cluster); // => [{name: 'service/loaf-ordering', isService: true, count: 1}]
*/
export function kindsOnVm(vm: Vm, cluster: ClusterState): readonly WorkKind[] {
	return [...kindsOfServices(vm, cluster), ...kindsOfTasks(vm, cluster)];
}

function kindsOfServices(vm: Vm, cluster: ClusterState): readonly WorkKind[] {
	const kinds: WorkKind[] = [];
	for (const backendServerId of vm.backendServerIds) {
		const service = cluster.backendServers.get(backendServerId)?.service;
		if (service !== undefined) {
			kinds.push({name: serviceKindName(service), isService: true, count: 1});
		}
	}

	return kinds;
}

function kindsOfTasks(vm: Vm, cluster: ClusterState): readonly WorkKind[] {
	const cached = kindsByTaskSet.get(vm.taskIds);
	if (cached) {
		return cached;
	}

	const counts = new Map<string, WorkKind>();
	for (const taskId of vm.taskIds) {
		const task = cluster.tasks.get(taskId);
		if (task) {
			const name = taskKindName(task);
			const count = (counts.get(name)?.count ?? 0) + 1;
			counts.set(name, {name, isService: task.workClass === 'latency-critical', count});
		}
	}

	const kinds = [...counts.values()];
	kindsByTaskSet.set(vm.taskIds, kinds);
	return kinds;
}
