import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {addResources, fitsInto, type Resources} from '../cluster/resources.js';
import {stepOf} from '../cluster/workflow-progress.js';
import {type ControlEffect} from '../entry/control-effect.js';
import {isLongRunningOrServing} from './free-resources-wait.js';
import {type Reservations} from './reservations.js';
import {
	expectedRemainingMs, expectedRunTimeMs, runTimeSpreadOf, type RunTimeEstimates,
} from './run-time-estimates.js';

/** Resources that a task is expected to release on its VM, and when. */
export type ExpectedEnd = Readonly<{remainingMs: number; released: Resources}>;

/** What a plan is computed from. */
export type PlanContext = Readonly<{cluster: ClusterState; runTimes: RunTimeEstimates; nowMs: number}>;

/** Time that a task which is told to stop has until its checkpoint. */
const stopMs = 500;
/** Time from a claim to the start of the task, and from its end until the entries have read it. */
const startAndEndMs = 200;

/**
Returns the expected ends of the tasks on a VM, the earliest first. Long-running and serving tasks count only while they are being stopped.

@example
expectedEndsOf(vm, {cluster, runTimes, nowMs}); // => [{remainingMs: 640, released: {processorsMilli: 900, memoryMb: 64, accelerators: 0}}]
*/
export function expectedEndsOf(vm: Vm, {cluster, runTimes, nowMs}: PlanContext): readonly ExpectedEnd[] {
	const ends: ExpectedEnd[] = [];
	for (const taskId of vm.taskIds) {
		const task = cluster.tasks.get(taskId);
		if (!task?.claim) {
			continue;
		}

		const isStopping = task.phase === 'evicting' || task.phase === 'cancelling';
		if (isStopping || !isLongRunningOrServing(task, cluster)) {
			ends.push({remainingMs: isStopping ? stopMs : expectedRemainingMs(runTimes, task, cluster, nowMs), released: task.claim.committed});
		}
	}

	return ends.toSorted((left, right) => left.remainingMs - right.remainingMs);
}

/**
Returns the time in milliseconds after which a VM that accepts no other task has a demand free; undefined when its ending tasks do not release enough.

@param free Free resources of the VM, pending claims included.

@example
plannedWaitMs(expectedEndsOf(vm, context), demand, free); // => 640
*/
export function plannedWaitMs(ends: readonly ExpectedEnd[], demand: Resources, free: Resources): number | undefined {
	let available = free;
	if (fitsInto(demand, available)) {
		return 0;
	}

	for (const {remainingMs, released} of ends) {
		available = addResources(available, released);
		if (fitsInto(demand, available)) {
			return remainingMs;
		}
	}

	return undefined;
}

/**
Returns the time at which a task that is claimed now will have released its resources, a standard deviation later than expected; infinity for a task
that does not end by itself or whose run time is not known. Before a planned start, only a task that ends by then may use what is held for it.

@example
expectedEndAtMs(task, {cluster, runTimes, nowMs: 5000}); // => 6240
*/
export function expectedEndAtMs(task: Task, {cluster, runTimes, nowMs}: PlanContext): number {
	const step = stepOf(cluster, task);
	const queue = cluster.workflows.get(task.jobId)?.workflow.queue;
	if (!step || queue === undefined || task.position === undefined || isLongRunningOrServing(task, cluster)) {
		return Number.POSITIVE_INFINITY;
	}

	const estimated = {queue, stepIndex: task.position.stepIndex, step};
	return nowMs + startAndEndMs + expectedRunTimeMs(runTimes, estimated) + (step.declaredRunTimeMs * runTimeSpreadOf(runTimes, estimated));
}

/**
Returns the tasks that may have a start planned, the largest first and of equal ones the longest submitted, so that no large task waits forever behind
smaller ones, which also fit into what a smaller release leaves free.

@example
orderForPlanning([small, large]); // => [large, small]
*/
export function orderForPlanning(tasks: readonly Task[]): readonly Task[] {
	return tasks.toSorted((left, right) => right.spec.demand.processorsMilli - left.spec.demand.processorsMilli || left.submittedOffset - right.submittedOffset);
}

/**
Returns the log lines for planned starts that a pass has given up although their task still waits.

@example
missedStartsOf(before, after, {cluster, nowMs}); // => [{kind: 'log-event', event: 'planned-start', …}]
*/
export function missedStartsOf(before: Reservations, after: Reservations, {cluster, nowMs}: Pick<PlanContext, 'cluster' | 'nowMs'>): readonly ControlEffect[] {
	return [...before.byVm.values()]
		.filter(({taskId}) => !after.vmIdByTask.has(taskId) && cluster.tasks.get(taskId)?.phase === 'queued')
		.flatMap(({taskId}) => plannedStartEvent(before, taskId, {isHeld: false, nowMs}));
}

/**
Returns the log line for a planned start that was reached or given up; empty for a task without one.

@example
plannedStartEvent(reservations, 'bake-1.0.0.0', {isHeld: true, nowMs}); // => [{kind: 'log-event', event: 'planned-start', …}]
*/
export function plannedStartEvent({byVm, vmIdByTask}: Reservations, taskId: string, {isHeld, nowMs}: Readonly<{isHeld: boolean; nowMs: number}>): readonly ControlEffect[] {
	const reservation = byVm.get(vmIdByTask.get(taskId) ?? '');
	return reservation?.startsAtMs === undefined
		? []
		: [{
			kind: 'log-event', level: 'info', event: 'planned-start', fields: {
				taskId,
				vmId: reservation.vmId,
				held: isHeld,
				plannedMs: Math.round(reservation.startsAtMs - reservation.reservedAtMs),
				tookMs: Math.round(nowMs - reservation.reservedAtMs),
				demandMilli: reservation.demand.processorsMilli,
			},
		}];
}
