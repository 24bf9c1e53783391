import {type ClusterState, type Vm} from '../cluster/cluster-state.js';
import {fitsInto} from '../cluster/resources.js';
import {isAllowedOnVm} from '../cluster/step-constraints.js';
import {taskIdsOf} from '../cluster/workflow-progress.js';
import {minFillingLimitMilli} from './filling-limit.js';
import {fillingDemandMilli} from './filling-work.js';
import {type FillingQueue} from './filling-limits.js';
import {fillingOfferOf, type OfferContext} from './offered-processors.js';
import {pendingFillingMilli} from './pending-claims.js';
import {stepOccurrenceKeyOf} from './step-occurrence-key.js';

/** Inputs of the admission of filling jobs. */
export type AdmissionContext = OfferContext & Readonly<{
	vms: readonly Vm[];
	/** Returns whether the job of a task may start beyond the limit. */
	mayExceed: (taskId: string) => boolean;
	/**
	Returns the limit of the demand of a service's started filling jobs, in thousandths of the processors that filling tasks demand or are offered; beyond
	it all of them slow down and none ends in time. The lowest limit holds when left out.
	*/
	limitMilliOf?: (service: string) => number;
	/**
	Steps (`stepOccurrenceKeyOf`) whose filling tasks no VM could take in the newest pass, for example since their image affects the serving tasks of all VMs
	too much. Their demand does not count, so that they do not keep jobs waiting that other processors could run.
	*/
	blockedSteps?: ReadonlySet<string>;
	/** Called with the queue of each service that has queued filling tasks. */
	onQueue?: (service: string, queue: FillingQueue) => void;
}>;

/** `demandMilli` is the demand of the tasks that VMs can take now, `blockedMilli` that of the others. */
type QueuedJob = {readonly service: string; readonly isStarted: boolean; demandMilli: number; blockedMilli: number};

/** Millicores that the started filling jobs of a service demand, those of them that their queued tasks demand, and the limit. */
type FillingDemand = {startedMilli: number; waitingMilli: number; isHoldingBack: boolean; readonly limitMilli: number};

/**
Returns the given tasks without those of filling jobs that may not start yet. A job is useful only when all of its tasks end in time, so that
running a few whole jobs is better than running parts of many. Tasks of started jobs and tasks that are not filling go first; otherwise the
order stays.

@example
admitFillingJobs(['bake-1.0.0.0', 'bake-2.0.0.0'], {cluster, vms, pending, fillingRoomByVm, mayExceed: () => false}); // => ['bake-1.0.0.0']
*/
export function admitFillingJobs(taskIds: readonly string[], context: AdmissionContext): readonly string[] {
	const {cluster, mayExceed, onQueue} = context;
	const jobs = queuedFillingJobs(taskIds, context);
	if (jobs.size === 0) {
		return taskIds;
	}

	const demandByService = new Map<string, FillingDemand>();
	for (const {service, isStarted, demandMilli, blockedMilli} of jobs.values()) {
		const demand = demandByService.get(service) ?? startedFillingDemandOf(service, context);
		demandByService.set(service, demand);
		demand.startedMilli += isStarted ? demandMilli : 0;
		demand.waitingMilli += isStarted ? demandMilli + blockedMilli : 0;
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

		const demand = demandByService.get(job.service)!;
		if (!admitted.has(jobId) && (demand.startedMilli === 0 || demand.startedMilli + job.demandMilli <= demand.limitMilli)) {
			demand.startedMilli += job.demandMilli;
			admitted.add(jobId);
		} else if (!admitted.has(jobId)) {
			demand.isHoldingBack = true;
		}

		if (admitted.has(jobId) || mayExceed(taskId)) {
			second.push(taskId);
		}
	}

	for (const [service, {waitingMilli, isHoldingBack}] of demandByService) {
		onQueue?.(service, {waitingMilli, isHoldingBack});
	}

	return [...first, ...second];
}

function startedFillingDemandOf(service: string, context: AdmissionContext): FillingDemand {
	const vms = context.vms.filter(vm => vm.service === service);
	const {offeredMilli, fillingMilli} = fillingOfferOf(vms, context);
	return {
		startedMilli: vms.reduce((sum, {vmId}) => sum + pendingFillingMilli(context.pending, vmId), fillingMilli),
		waitingMilli: 0,
		isHoldingBack: false,
		limitMilli: (context.limitMilliOf?.(service) ?? minFillingLimitMilli) * (offeredMilli + fillingMilli) / 1000,
	};
}

/** Returns the jobs of the queued filling tasks that some VM could run, with the demand of these tasks. */
function queuedFillingJobs(taskIds: readonly string[], {cluster, pending, vms, blockedSteps}: AdmissionContext): ReadonlyMap<string, QueuedJob> {
	const jobs = new Map<string, QueuedJob>();
	for (const taskId of taskIds) {
		const task = cluster.tasks.get(taskId);
		const demandMilli = task ? fillingDemandMilli(task, cluster) : 0;
		// A job that no VM can run must not use up the limit; the placement reports why none can.
		if (!task || demandMilli === 0 || !vms.some(vm => isAllowedOnVm(cluster, task, vm, 0) && fitsInto(task.spec.demand, vm.capacity))) {
			continue;
		}

		const job = jobs.get(task.jobId) ?? {
			service: cluster.workflows.get(task.jobId)?.workflow.service ?? '', isStarted: hasStarted(task.jobId, {cluster, pending}), demandMilli: 0, blockedMilli: 0,
		};
		job[blockedSteps?.has(stepOccurrenceKeyOf(task) ?? '') ? 'blockedMilli' : 'demandMilli'] += demandMilli;
		jobs.set(task.jobId, job);
	}

	return jobs;
}

function hasStarted(jobId: string, {cluster, pending}: Readonly<{cluster: ClusterState; pending: OfferContext['pending']}>): boolean {
	// The state holds no tasks that have ended, but the run of a job of which a task has started is no longer queued.
	return cluster.workflows.get(jobId)?.phase !== 'queued'
		|| taskIdsOf(cluster, jobId).some(taskId => (cluster.tasks.get(taskId)?.attempt ?? 1) > 0 || pending.byTask.has(taskId));
}
