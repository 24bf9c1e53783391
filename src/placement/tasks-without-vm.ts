import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {fitsInto} from '../cluster/resources.js';
import {stepOf} from '../cluster/workflow-progress.js';
import {fillingDemandMilli} from './filling-work.js';
import {isFullForTask} from './negligible-tasks.js';
import {type PlacementPass} from './placement-pass.js';
import {stepOccurrenceKeyOf} from './step-occurrence-key.js';
import {requiredIdleMilliOf} from './vm-candidates.js';

/**
Returns whether an earlier failure in this pass shows that no VM can take a task.

@example
isKnownWithoutVm(pass, task); // => true after a sibling found no VM
*/
export function isKnownWithoutVm(pass: PlacementPass, task: Task): boolean {
	const stepKey = stepOccurrenceKeyOf(task);
	const service = serviceOf(pass.context.cluster, task);
	return pass.demandsWithoutVm.some(failed => failed.service === service && fitsInto(failed.demand, task.spec.demand))
		|| (stepKey !== undefined && pass.stepsWithoutVm.has(stepKey))
		|| pass.requirementsWithoutVm.has(requirementsKeyOf(pass, task));
}

/**
Records that no VM could take a task, for the later tasks of the pass.

@example
recordWithoutVm(pass, task);
*/
export function recordWithoutVm(pass: PlacementPass, task: Task): void {
	const {cluster} = pass.context;
	pass.requirementsWithoutVm.add(requirementsKeyOf(pass, task));
	const stepKey = stepOccurrenceKeyOf(task);
	if (stepKey !== undefined) {
		pass.stepsWithoutVm.add(stepKey);
	}

	// A task that was rejected because of its step's constraints, or of the number of tasks on the VMs, does not show that other tasks cannot be placed.
	if (!isConstrained(cluster, task) && !pass.vms.some(vm => isFullForTask(pass, task, vm)) && fillingDemandMilli(task, cluster) === 0) {
		pass.demandsWithoutVm.push({service: serviceOf(cluster, task), demand: task.spec.demand});
	}
}

/**
Records a filling task that is left without a VM in this pass, for the admission of filling jobs in the next one.

@example
recordBlockedStep(pass, task);
*/
export function recordBlockedStep(pass: PlacementPass, task: Task): void {
	const stepKey = stepOccurrenceKeyOf(task);
	if (stepKey !== undefined && pass.context.settings.planning.enabled && fillingDemandMilli(task, pass.context.cluster) > 0) {
		pass.blockedFillingSteps.add(stepKey);
	}
}

/** Returns a key of all properties of a task that decide which VMs can take it. */
function requirementsKeyOf(pass: PlacementPass, task: Task): string {
	const {cluster} = pass.context;
	const {processorsMilli, memoryMb, accelerators} = task.spec.demand;
	const step = stepOf(cluster, task);
	const service = serviceOf(cluster, task);
	// The limit of tasks per VM counts the tasks of one step, so the key of such a task contains its step.
	const limited = step?.maxTasksPerVm === undefined ? undefined : stepOccurrenceKeyOf(task);
	return JSON.stringify([
		task.workClass, task.priority, processorsMilli, memoryMb, accelerators, requiredIdleMilliOf(pass, task), step?.fillsIdle && step.image, service, step?.requiredLabel, limited,
	]);
}

/** Returns the service whose workers run a task; undefined for a task that any worker can run. */
function serviceOf(cluster: ClusterState, {jobId}: Task): string | undefined {
	return cluster.workflows.get(jobId)?.workflow.service;
}

function isConstrained(cluster: ClusterState, task: Task): boolean {
	const step = stepOf(cluster, task);
	return step?.requiredLabel !== undefined || step?.maxTasksPerVm !== undefined;
}
