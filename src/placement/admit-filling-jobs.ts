import {type ClusterState, type Vm} from '../cluster/cluster-state.js';
import {fitsInto} from '../cluster/resources.js';
import {isAllowedOn} from '../cluster/step-constraints.js';
import {fillingDemandMilli} from './filling-work.js';
import {fillingOfferOf, type OfferContext} from './offered-processors.js';
import {pendingFillingMilli} from './pending-claims.js';

/** Part of the processors on offer that the filling jobs under way may want together: beyond it all of them get slow, and none is in time. */
const admittedShareMilli = 600;

/** What decides which filling jobs may start. */
export type AdmissionContext = OfferContext & Readonly<{
	vms: readonly Vm[];
	/** Tells whether a job may start beyond the limit. */
	mayExceed: (taskId: string) => boolean;
}>;

type QueuedJob = {readonly service: string; readonly isStarted: boolean; wantedMilli: number};

/** Processors that the filling jobs under way on the VMs of a service want, and may want together, in thousandths. */
type FillingUse = {underWayMilli: number; readonly limitMilli: number};

/**
Leaves out the tasks of filling jobs that should not start yet: a job is worth its processors only when all of its tasks end in time,
so that a few whole jobs go before parts of many. Jobs that have started go first; other tasks keep their order.

@example
admitFillingJobs(['bake-1.0.0.0', 'bake-2.0.0.0'], {cluster, vms, pending, fillingRoomByVm, mayExceed: () => false}); // => ['bake-1.0.0.0']
*/
export function admitFillingJobs(taskIds: readonly string[], context: AdmissionContext): readonly string[] {
	const {cluster, mayExceed} = context;
	const jobs = queuedFillingJobs(taskIds, context);
	if (jobs.size === 0) {
		return taskIds;
	}

	const useByService = new Map<string, FillingUse>();
	for (const {service, isStarted, wantedMilli} of jobs.values()) {
		const use = useByService.get(service) ?? fillingUseOf(service, context);
		useByService.set(service, use);
		use.underWayMilli += isStarted ? wantedMilli : 0;
	}

	const admitted = new Set<string>();
	const first: string[] = [];
	const second: string[] = [];
	for (const taskId of taskIds) {
		const jobId = cluster.tasks.get(taskId)?.jobId ?? '';
		const job = jobs.get(jobId);
		if (job === undefined || job.isStarted) {
			first.push(taskId);
			continue;
		}

		const use = useByService.get(job.service)!;
		if (!admitted.has(jobId) && (use.underWayMilli === 0 || use.underWayMilli + job.wantedMilli <= use.limitMilli)) {
			use.underWayMilli += job.wantedMilli;
			admitted.add(jobId);
		}

		if (admitted.has(jobId) || mayExceed(taskId)) {
			second.push(taskId);
		}
	}

	return [...first, ...second];
}

function fillingUseOf(service: string, context: AdmissionContext): FillingUse {
	const vms = context.vms.filter(vm => vm.service === service);
	const {offeredMilli, fillingMilli} = fillingOfferOf(vms, context);
	return {
		underWayMilli: vms.reduce((sum, {vmId}) => sum + pendingFillingMilli(context.pending, vmId), fillingMilli),
		limitMilli: admittedShareMilli * (offeredMilli + fillingMilli) / 1000,
	};
}

/** The jobs of queued filling tasks that a VM could take, with what these tasks want. */
function queuedFillingJobs(taskIds: readonly string[], {cluster, pending, vms}: AdmissionContext): ReadonlyMap<string, QueuedJob> {
	const jobs = new Map<string, QueuedJob>();
	for (const taskId of taskIds) {
		const task = cluster.tasks.get(taskId);
		const wantedMilli = task ? fillingDemandMilli(task, cluster) : 0;
		// A job that no VM takes holds nobody up; the placement finds out why none does.
		if (!task || wantedMilli === 0 || !vms.some(vm => isAllowedOn(cluster, task, vm, 0) && fitsInto(task.spec.demand, vm.capacity))) {
			continue;
		}

		const job = jobs.get(task.jobId) ?? {service: cluster.workflows.get(task.jobId)?.workflow.service ?? '', isStarted: hasStarted(task.jobId, {cluster, pending}), wantedMilli: 0};
		job.wantedMilli += wantedMilli;
		jobs.set(task.jobId, job);
	}

	return jobs;
}

function hasStarted(jobId: string, {cluster, pending}: Readonly<{cluster: ClusterState; pending: OfferContext['pending']}>): boolean {
	return (cluster.jobs.get(jobId) ?? []).some(taskId => (cluster.tasks.get(taskId)?.attempt ?? 1) > 0 || pending.byTask.has(taskId));
}
