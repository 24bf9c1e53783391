import {type Task, type Vm} from '../cluster/cluster-state.js';
import {fillingDemandMilli} from './filling-work.js';
import {type PlacementPass} from './placement-pass.js';
import {
	expectedEndsOf, orderForPlanning, plannedWaitMs, type ExpectedEnd,
} from './placement-plan.js';
import {reserveVm} from './reservations.js';
import {isRestart} from './restart-waits.js';
import {type RunTimeEstimates} from './run-time-estimates.js';
import {sampleVms} from './sample-vms.js';

/** Tasks of one class that may try to reserve a VM in a pass, and the number of VMs compared for them. */
const maxReservationAttempts = 16;
const sampledVmsForReservation = 64;

/**
Reserves a VM for a task that could not be placed, so that later tasks do not take the resources released there. While the entry plans ahead, the task
is kept for `planStarts`.

@example
reserveOrPlan(pass, task);
*/
export function reserveOrPlan(pass: PlacementPass, task: Task): void {
	// Restarts come first of all and reserve at once.
	if (pass.runTimes && !isRestart(task, pass.context.cluster)) {
		pass.planned.push(task);
		return;
	}

	reserveFor(pass, task);
}

/**
Reserves VMs for the tasks of a class that found none and were kept for it, the largest first.

@example
planStarts(pass);
*/
export function planStarts(pass: PlacementPass): void {
	const tasks = orderForPlanning(pass.planned);
	pass.planned = [];
	for (const task of tasks) {
		reserveFor(pass, task);
	}
}

function reserveFor(pass: PlacementPass, task: Task): void {
	const {reservations, pending} = pass.state;
	const {cluster, nowMs, seed} = pass.context;
	if (reservations.vmIdByTask.has(task.spec.taskId) || pass.reservationAttempts >= maxReservationAttempts || fillingDemandMilli(task, cluster) > 0) {
		return;
	}

	pass.reservationAttempts++;
	pass.state = {
		...pass.state,
		reservations: reserveVm(reservations, task, {
			// All tasks of a pass choose from the same sample, so that the estimate of each VM is computed once.
			cluster, pending, nowMs, vms: sampleVms(pass.vms, seed, sampledVmsForReservation), fleetSize: pass.vms.length, releaseEstimates: pass.releaseEstimates,
			plannedWaitMsOn: pass.runTimes && ((vm, demand, free) => plannedWaitMs(expectedEndsOn(pass, vm, pass.runTimes!), demand, free)),
		}),
	};
}

function expectedEndsOn(pass: PlacementPass, vm: Vm, runTimes: RunTimeEstimates): readonly ExpectedEnd[] {
	const ends = pass.expectedEnds.get(vm.vmId) ?? expectedEndsOf(vm, {...pass.context, runTimes});
	pass.expectedEnds.set(vm.vmId, ends);
	return ends;
}
