import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {fitsInto, noResources} from '../cluster/resources.js';
import {isAllowedOnVm} from '../cluster/step-constraints.js';
import {type Step} from '../cluster/workflow.js';
import {stepOf} from '../cluster/workflow-progress.js';
import {type ControlEffect} from '../entry/control-effect.js';
import {freeResourcesOf, acceptsNewTasks} from './feasibility.js';
import {fillingDemandMilli} from './filling-work.js';
import {trackIdleJobs} from './idle-jobs.js';
import {fillingOfferOf, type OfferContext, offeredMilliOf} from './offered-processors.js';
import {trackLongRunningWaits, largestFreeProcessorsMilli, type LongRunningWaits} from './long-running-waits.js';
import {siblingsKeyOf} from './pending-claims.js';

/** Observation of queued tasks that an entry keeps between two calls. */
export type PlacementWaitState = Readonly<{
	/** When this entry first saw each task that is queued now. */
	seenAtMs: ReadonlyMap<string, number>;
	/** Since when each job has had queued tasks and none that is claimed or has a pending claim. */
	idleSinceMs: ReadonlyMap<string, number>;
	/** Since when each long-running task has not run. */
	longRunningWaits: LongRunningWaits;
	lastLoggedAtMs: number;
}>;

export const initialPlacementWait: PlacementWaitState = {
	seenAtMs: new Map(), idleSinceMs: new Map(), longRunningWaits: new Map(), lastLoggedAtMs: Number.NEGATIVE_INFINITY,
};

/** What prevents a task from being claimed: the first check that no VM passes, or `passedOver` when a VM passes all of them. */
export type WaitReason = 'claimed' | 'claimPending' | 'noVm' | 'noRoom' | 'noIdleProcessors' | 'notAllowed' | 'passedOver';

/** Waits of at least this length are logged. */
const longWaitMs = 3000;
/** Minimum time between two log lines. */
const logIntervalMs = 1000;
/** The same for entries that do not place: they tell of waits only that the one that places should have ended. */
const longWaitOfOthersMs = 6000;
const logIntervalOfOthersMs = 3000;
/** Queued tasks whose waits are tracked; the rest of the queues is only counted. */
const maxTrackedTasks = 4096;
/** Tasks of each class, from the head of the queue, that are checked against every VM. */
const explainedTasksByClass = 8;

type Waiting = Readonly<{taskId: string; priority: PriorityClass; waitMs: number}>;

/**
Tracks the queues of a placement owner and, when a task has waited long, logs `placement-waiting`: the number of queued tasks, wait and kind of
the oldest one, what prevents the longest waiting tasks from being claimed, the job that has had no claimed task for longest, and the
long-running task that has not run for longest, with its demand and the most free processors of one VM. When filling tasks have waited long,
`filling-work-waiting` reports what the VMs offer to them. Meant to be called once a second; the cost is bounded whatever the length of the
queues. An entry that does not place logs `lasting-task-waiting` for the long-running task that has not run for longest.

@example
const {state, effects} = logLongPlacementWaits(initialPlacementWait, {cluster, pending, fillingRoomByVm, isOwner: true, nowMs, longestPassMs: 12});
*/
export function logLongPlacementWaits(state: PlacementWaitState, {isOwner, nowMs, longestPassMs, ...offerContext}: OfferContext & Readonly<{
	isOwner: boolean;
	nowMs: number;
	/** Duration of the longest placement pass since the last call. */
	longestPassMs: number;
}>): Readonly<{state: PlacementWaitState; effects: readonly ControlEffect[]; oldestWaitMs: number; longestLastingWaitMs: number}> {
	if (!isOwner) {
		return observeLongRunningTasks(state, nowMs, offerContext);
	}

	const {cluster, pending} = offerContext;
	const {seenAtMs, longest} = trackQueues(state, cluster, nowMs);
	const idleSinceMs = trackIdleJobs(state.idleSinceMs, seenAtMs.keys(), {cluster, pending, nowMs});
	const oldest = longest.toSorted((left, right) => right.waitMs - left.waitMs)[0];
	const oldestWaitMs = Math.round(oldest?.waitMs ?? 0);
	const longRunningWaits = trackLongRunningWaits(state.longRunningWaits, cluster, nowMs);
	const [longestLongRunning] = [...longRunningWaits].toSorted(([, left], [, right]) => left.sinceMs - right.sinceMs);
	const longestLastingWaitMs = longestLongRunning === undefined ? 0 : Math.round(nowMs - longestLongRunning[1].sinceMs);
	const tracked = {seenAtMs, idleSinceMs, longRunningWaits};
	if (Math.max(oldestWaitMs, longestLastingWaitMs) < longWaitMs || nowMs - state.lastLoggedAtMs < logIntervalMs) {
		return {
			state: {...state, ...tracked}, effects: [], oldestWaitMs, longestLastingWaitMs,
		};
	}

	const vms = [...cluster.vms.values()].filter(vm => acceptsNewTasks(vm, cluster));
	const counts = new Map<WaitReason, number>();
	for (const {taskId} of longest.filter(({waitMs}) => waitMs >= longWaitMs)) {
		const reason = reasonOf(cluster.tasks.get(taskId)!, vms, offerContext);
		counts.set(reason, (counts.get(reason) ?? 0) + 1);
	}

	const [longestIdle] = [...idleSinceMs].toSorted(([, left], [, right]) => left - right);
	return {
		state: {...tracked, lastLoggedAtMs: nowMs},
		effects: [{
			kind: 'log-event', level: 'info', event: 'placement-waiting', fields: {
				urgent: cluster.queued.get('urgent')?.size ?? 0,
				normal: cluster.queued.get('normal')?.size ?? 0,
				background: cluster.queued.get('background')?.size ?? 0,
				...oldest && oldestFieldsOf(oldest, cluster),
				oldestWaitMs,
				reasons: [...counts].map(([reason, count]) => `${reason}:${count}`).join(','),
				idleJobs: idleSinceMs.size,
				...longestIdle && {longestIdleJobId: longestIdle[0], longestIdleMs: Math.round(nowMs - longestIdle[1])},
				lastingTasks: longRunningWaits.size,
				...longestLongRunning && longRunningFieldsOf(cluster.tasks.get(longestLongRunning[0])!, vms, offerContext),
				longestLastingWaitMs,
				pendingClaims: pending.byTask.size,
				vms: vms.length,
				longestPassMs: Math.round(longestPassMs),
			},
		}, ...fillingWaitEvents(seenAtMs, vms, {...offerContext, nowMs})],
		oldestWaitMs,
		longestLastingWaitMs,
	};
}

/**
Tracks the long-running tasks alone, on an entry that does not place: it tells of those that wait when the entry that should place them is none,
or does not see it. After a takeover, the waits of the queues count from the first call of the new owner.
*/
function observeLongRunningTasks(state: PlacementWaitState, nowMs: number, offerContext: OfferContext): ReturnType<typeof logLongPlacementWaits> {
	const longRunningWaits = trackLongRunningWaits(state.longRunningWaits, offerContext.cluster, nowMs);
	const [longest] = [...longRunningWaits].toSorted(([, left], [, right]) => left.sinceMs - right.sinceMs);
	const longestLastingWaitMs = longest === undefined ? 0 : Math.round(nowMs - longest[1].sinceMs);
	const isDue = longest !== undefined && longestLastingWaitMs >= longWaitOfOthersMs && nowMs - state.lastLoggedAtMs >= logIntervalOfOthersMs;
	const vms = isDue ? [...offerContext.cluster.vms.values()].filter(vm => acceptsNewTasks(vm, offerContext.cluster)) : [];
	return {
		state: {...initialPlacementWait, longRunningWaits, lastLoggedAtMs: isDue ? nowMs : state.lastLoggedAtMs},
		effects: isDue
			? [{
				kind: 'log-event', level: 'info', event: 'lasting-task-waiting', fields: {
					lastingTasks: longRunningWaits.size, ...longRunningFieldsOf(offerContext.cluster.tasks.get(longest[0])!, vms, offerContext), longestLastingWaitMs, vms: vms.length,
				},
			}]
			: [],
		oldestWaitMs: 0,
		longestLastingWaitMs,
	};
}

/** Kinds of steps as they are logged; the first one that applies counts. */
const stepKinds: ReadonlyArray<readonly [kind: string, applies: (step: Step) => boolean | undefined]> = [
	['lasting', step => step.longRunning],
	['filling', step => step.fillsIdle],
	['gang', step => step.gang],
];

function oldestFieldsOf({taskId, priority}: Waiting, cluster: ClusterState): Readonly<Record<string, string>> {
	const step = stepOf(cluster, cluster.tasks.get(taskId)!);
	return {oldestTaskId: taskId, oldestPriority: priority, oldestKind: stepKinds.find(([, applies]) => step && applies(step))?.[0] ?? 'short'};
}

/** Returns the log fields of the long-running task that has waited longest. If `largestRoomMilli` covers its demand, it waits because other tasks go first. */
function longRunningFieldsOf(task: Task, vms: readonly Vm[], offerContext: OfferContext): Readonly<Record<string, string | number>> {
	return {
		longestLastingTaskId: task.spec.taskId,
		longestLastingReason: reasonOf(task, vms, offerContext),
		longestLastingDemandMilli: task.spec.demand.processorsMilli,
		largestRoomMilli: largestFreeProcessorsMilli(task, vms, offerContext),
	};
}

/** Returns the log event for filling tasks that have waited long, with what VMs offer to them; empty when there are none. */
function fillingWaitEvents(seenAtMs: ReadonlyMap<string, number>, vms: readonly Vm[], context: OfferContext & Readonly<{nowMs: number}>): readonly ControlEffect[] {
	const {cluster, nowMs} = context;
	const jobIds = new Set<string>();
	let tasks = 0;
	let oldestWaitMs = 0;
	let leastDemandMilli = Number.POSITIVE_INFINITY;
	for (const [taskId, sinceMs] of seenAtMs) {
		const task = cluster.tasks.get(taskId)!;
		const demandMilli = fillingDemandMilli(task, cluster);
		if (demandMilli > 0) {
			jobIds.add(task.jobId);
			tasks++;
			oldestWaitMs = Math.max(oldestWaitMs, nowMs - sinceMs);
			leastDemandMilli = Math.min(leastDemandMilli, demandMilli);
		}
	}

	return oldestWaitMs < longWaitMs
		? []
		: [{
			kind: 'log-event', level: 'info', event: 'filling-work-waiting', fields: {
				jobs: jobIds.size, tasks, oldestWaitMs: Math.round(oldestWaitMs), leastDemandMilli, ...fillingOfferOf(vms, context),
			},
		}];
}

/** Records new tasks, drops those that are no longer queued, and returns the tasks at the head of each class's queue, which have waited longest. */
function trackQueues(state: PlacementWaitState, cluster: ClusterState, nowMs: number): Readonly<{seenAtMs: ReadonlyMap<string, number>; longest: readonly Waiting[]}> {
	const seenAtMs = new Map<string, number>();
	const longest: Waiting[] = [];
	for (const [priority, queue] of cluster.queued) {
		let explained = 0;
		for (const taskId of queue.keys()) {
			if (seenAtMs.size >= maxTrackedTasks) {
				break;
			}

			const sinceMs = state.seenAtMs.get(taskId) ?? nowMs;
			seenAtMs.set(taskId, sinceMs);
			if (explained < explainedTasksByClass) {
				explained++;
				longest.push({taskId, priority, waitMs: nowMs - sinceMs});
			}
		}
	}

	return {seenAtMs, longest};
}

function reasonOf(task: Task, vms: readonly Vm[], offerContext: OfferContext): WaitReason {
	const {cluster, pending} = offerContext;
	if (task.claim) {
		return 'claimed';
	}

	if (pending.byTask.has(task.spec.taskId)) {
		return 'claimPending';
	}

	const fillingMilli = fillingDemandMilli(task, cluster);
	let reason: WaitReason = vms.length === 0 ? 'noVm' : 'notAllowed';
	for (const vm of vms) {
		if (!isAllowedOnVm(cluster, task, vm, pending.siblings.get(siblingsKeyOf(task, vm.vmId), 0))) {
			continue;
		}

		const free = freeResourcesOf(vm, pending.committedByVm.get(vm.vmId, noResources));
		if (!fitsInto(task.spec.demand, free)) {
			reason = reason === 'noIdleProcessors' ? reason : 'noRoom';
			continue;
		}

		if (fillingMilli === 0 || offeredMilliOf(vm, offerContext) >= fillingMilli) {
			return 'passedOver';
		}

		reason = 'noIdleProcessors';
	}

	return reason;
}
