import {type Map as ImmutableMap} from 'immutable';
import {type ClusterState, type WorkflowRun} from '../cluster/cluster-state.js';
import {priorityClassSchema, type PriorityClass} from '../cluster/intent.js';
import {acceptsNewTasks} from '../placement/feasibility.js';
import {fillingLoadOf} from '../placement/filling-work.js';
import {offeredMilliOf} from '../placement/offered-processors.js';
import {noPendingClaims} from '../placement/pending-claims.js';
import {endingCommitmentMilli} from './ending-commitment.js';
import {remainingJobWorkOf, type CapacityKind, type JobWork} from './job-work.js';
import {jobObjectiveMs} from './job-objective.js';
import {type RunTimes} from './run-times.js';
import {
	noWork, sortWork, type SortedWork, type WorkSum,
} from './sorted-work.js';

/** The jobs of one priority class that use a pool. */
export type ClassBacklog = Readonly<{
	/** Unfinished work of started jobs, less what their running tasks have probably done. */
	startedWork: number;
	/** Jobs that have not started and can still meet their objective; late ones go behind each new job. */
	waiting: SortedWork;
}>;

/** The capacity of one kind on the VMs of a service, and the jobs that use it. */
export type Backlog = Readonly<{
	/** Millicores that jobs of this kind can use at the same time. */
	capacityMilli: number;
	/** Millicores that the tasks of started jobs demand which run or wait for a VM. */
	startedDemandMilli: number;
	byClass: Readonly<Record<PriorityClass, ClassBacklog>>;
}>;

/** Backlogs by `poolKeyOf`. */
export type Backlogs = ReadonlyMap<string, Backlog>;

/** What a measurement of the backlogs reads. */
export type BacklogContext = Readonly<{
	cluster: ClusterState;
	/** Millicores available to filling tasks, as measured on the VMs where they got less than their demand. */
	fillingRoomByVm: ImmutableMap<string, number>;
	/** Share of the processors offered to filling work that the started filling jobs of a service may demand, in thousandths. */
	fillingLimitMilliOf: (service: string) => number;
	runTimes: RunTimes;
	wallTimeMs: number;
}>;

/** Share of its run time that a running task has behind it on average, in thousandths. */
const runningProgressMilli = 500;

const capacityKinds: readonly CapacityKind[] = ['filling', 'committing'];

/**
Returns the key of a pool: the capacity of one kind on the VMs of a service.

@example
poolKeyOf('site', 'filling'); // => 'filling/site'
*/
export function poolKeyOf(service: string, capacityKind: CapacityKind): string {
	return `${capacityKind}/${service}`;
}

type PoolCapacity = {readonly shareMilli: number; capacityMilli: number; runningMilli: number};
type StartedJob = Readonly<{priority: PriorityClass; job: JobWork}>;
type PoolJobs = {readonly started: StartedJob[]; readonly waiting: Record<PriorityClass, WorkSum[]>};

/**
Measures capacity and backlog of all services. Walks the VMs and the unfinished jobs, but no tasks except those of VMs whose set of tasks has changed,
so that it is cheap enough for a few measurements a second.

@example
measureBacklogs({cluster, fillingRoomByVm, fillingLimitMilliOf, runTimes, wallTimeMs}).get('filling/site')?.capacityMilli; // => 690_000
*/
export function measureBacklogs(context: BacklogContext): Backlogs {
	const jobsByPool = new Map<string, PoolJobs>();
	for (const run of context.cluster.workflows.values()) {
		addJob(jobsByPool, run, context);
	}

	const backlogs = new Map<string, Backlog>();
	for (const [poolKey, {capacityMilli, runningMilli}] of capacitiesOf(context)) {
		const {started, waiting} = jobsByPool.get(poolKey) ?? {started: [], waiting: noWaiting()};
		const startedDemandMilli = started.reduce((sum, {job}) => sum + job.readyDemandMilli, 0);
		const doneShare = startedDemandMilli === 0 ? 0 : Math.min(1, runningMilli / startedDemandMilli) * runningProgressMilli / 1000;
		const startedWork = {urgent: 0, normal: 0, background: 0};
		for (const {priority, job} of started) {
			startedWork[priority] += job.work - (doneShare * job.readyWork);
		}

		const classBacklog = (priority: PriorityClass): ClassBacklog => ({
			startedWork: startedWork[priority], waiting: waiting[priority].length === 0 ? noWork : sortWork(waiting[priority]),
		});
		backlogs.set(poolKey, {
			capacityMilli,
			startedDemandMilli,
			byClass: {urgent: classBacklog('urgent'), normal: classBacklog('normal'), background: classBacklog('background')},
		});
	}

	return backlogs;
}

function noWaiting(): PoolJobs['waiting'] {
	return {urgent: [], normal: [], background: []};
}

function addJob(jobsByPool: Map<string, PoolJobs>, run: WorkflowRun, {runTimes, wallTimeMs}: BacklogContext): void {
	const job = remainingJobWorkOf(run, runTimes);
	if (!job || job.work === 0) {
		return;
	}

	const poolKey = poolKeyOf(run.workflow.service, job.capacityKind);
	const jobs = jobsByPool.get(poolKey) ?? {started: [], waiting: noWaiting()};
	jobsByPool.set(poolKey, jobs);
	const {priority} = run.owner;
	const {objective} = run.workflow;
	if (run.phase !== 'queued') {
		jobs.started.push({priority, job});
	} else if (!objective || wallTimeMs - objective.submittedAtMs + job.pathMs <= jobObjectiveMs(objective, job.declaredPathMs)) {
		jobs.waiting[priority].push({work: job.work, demandMilli: job.readyDemandMilli});
	}
}

function capacitiesOf({cluster, fillingRoomByVm, fillingLimitMilliOf}: BacklogContext): ReadonlyMap<string, PoolCapacity> {
	const capacities = new Map<string, PoolCapacity>();
	const offer = {cluster, fillingRoomByVm, pending: noPendingClaims};
	for (const vm of cluster.vms.values()) {
		if (!acceptsNewTasks(vm, cluster)) {
			continue;
		}

		const {fillingMilli} = fillingLoadOf(vm, cluster);
		const endingMilli = endingCommitmentMilli(vm, cluster);
		const usable: Readonly<Record<CapacityKind, PoolCapacity>> = {
			// The started filling jobs may demand a share of the capacity only.
			filling: {shareMilli: fillingLimitMilliOf(vm.service), capacityMilli: offeredMilliOf(vm, offer) + fillingMilli, runningMilli: fillingMilli},
			committing: {shareMilli: 1000, capacityMilli: vm.capacity.processorsMilli - vm.committed.processorsMilli + endingMilli, runningMilli: endingMilli},
		};
		for (const kind of capacityKinds) {
			const poolKey = poolKeyOf(vm.service, kind);
			const sum = capacities.get(poolKey) ?? {shareMilli: usable[kind].shareMilli, capacityMilli: 0, runningMilli: 0};
			capacities.set(poolKey, sum);
			sum.capacityMilli += usable[kind].capacityMilli;
			sum.runningMilli += usable[kind].runningMilli;
		}
	}

	for (const sum of capacities.values()) {
		sum.capacityMilli = Math.max(sum.runningMilli, Math.floor(sum.shareMilli * sum.capacityMilli / 1000));
	}

	return capacities;
}

/** Priority classes in the order of placement. */
export const priorityClasses: readonly PriorityClass[] = priorityClassSchema.options;
