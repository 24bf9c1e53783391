import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {fitsInto, noResources} from '../cluster/resources.js';
import {isAllowedOn} from '../cluster/step-constraints.js';
import {type Step} from '../cluster/workflow.js';
import {stepOf} from '../cluster/workflow-progress.js';
import {type ControlEffect} from '../entry/control-effect.js';
import {freeResourcesOf, acceptsNewTasks} from './feasibility.js';
import {fillingDemandMilli} from './filling-work.js';
import {followIdleJobs} from './idle-jobs.js';
import {fillingOfferOf, type OfferContext, offeredMilliOf} from './offered-processors.js';
import {trackLongRunningWaits, largestFreeProcessorsMilli, type LongRunningWaits} from './long-running-waits.js';
import {siblingsKeyOf} from './pending-claims.js';

/** When the entry first saw each task that is queued now. */
export type PlacementWaitState = Readonly<{
	seenAtMs: ReadonlyMap<string, number>;
	/** Since when each job has had queued tasks and none that runs or is claimed. */
	idleSinceMs: ReadonlyMap<string, number>;
	/** Since when each task that lasts has not run. */
	lastingWaits: LongRunningWaits;
	lastLineMs: number;
}>;

export const initialPlacementWait: PlacementWaitState = {
	seenAtMs: new Map(), idleSinceMs: new Map(), lastingWaits: new Map(), lastLineMs: Number.NEGATIVE_INFINITY,
};

/** What keeps a task from a claim, from the check that the fewest VMs pass. */
export type WaitReason = 'claimed' | 'claimPending' | 'noVm' | 'noRoom' | 'noIdleProcessors' | 'notAllowed' | 'passedOver';

/** A wait that an on-call engineer is told of. */
const longWaitMs = 3000;
/** Time between two lines. */
const lineIntervalMs = 1000;
/** Queued tasks that are followed; the queue beyond them is only counted. */
const maxFollowedTasks = 4096;
/** Tasks of each class that have waited longest and are checked against every VM. */
const explainedTasksByClass = 8;

type Waiting = Readonly<{taskId: string; priority: PriorityClass; waitMs: number}>;

/**
Looks at the queues of an entry that places tasks and, when a task has waited for long, logs `placement-waiting`: how many tasks wait, how
long the oldest one has and what kind it is, what keeps those that have waited longest from a claim, which job has had nothing at work for
longest, and which task that lasts has not run for longest, with its demand beside the largest room on one VM. When filling work is among them, `filling-work-waiting` tells what the VMs offer it. Meant to be called once a second; the cost is bounded
whatever the length of the queues. Waits of an owner that took over count from its own first look.

@example
const {state, effects} = logLongPlacementWaits(initialPlacementWait, {cluster, pending, fillingRoomByVm, isOwner: true, nowMs, longestPassMs: 12});
*/
export function logLongPlacementWaits(state: PlacementWaitState, {isOwner, nowMs, longestPassMs, ...offerContext}: OfferContext & Readonly<{
	isOwner: boolean;
	nowMs: number;
	/** Longest pass of the placement since the last look. */
	longestPassMs: number;
}>): Readonly<{state: PlacementWaitState; effects: readonly ControlEffect[]; oldestWaitMs: number; longestLastingWaitMs: number}> {
	if (!isOwner) {
		return {
			state: state.seenAtMs.size + state.lastingWaits.size === 0 ? state : {...initialPlacementWait, lastLineMs: state.lastLineMs},
			effects: [],
			oldestWaitMs: 0,
			longestLastingWaitMs: 0,
		};
	}

	const {cluster, pending} = offerContext;
	const {seenAtMs, longest} = followQueues(state, cluster, nowMs);
	const idleSinceMs = followIdleJobs(state.idleSinceMs, seenAtMs.keys(), {cluster, pending, nowMs});
	const oldest = longest.toSorted((left, right) => right.waitMs - left.waitMs)[0];
	const oldestWaitMs = Math.round(oldest?.waitMs ?? 0);
	const lastingWaits = trackLongRunningWaits(state.lastingWaits, cluster, nowMs);
	const [longestLasting] = [...lastingWaits].toSorted(([, left], [, right]) => left.sinceMs - right.sinceMs);
	const longestLastingWaitMs = longestLasting === undefined ? 0 : Math.round(nowMs - longestLasting[1].sinceMs);
	const followed = {seenAtMs, idleSinceMs, lastingWaits};
	if (Math.max(oldestWaitMs, longestLastingWaitMs) < longWaitMs || nowMs - state.lastLineMs < lineIntervalMs) {
		return {
			state: {...state, ...followed}, effects: [], oldestWaitMs, longestLastingWaitMs,
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
		state: {...followed, lastLineMs: nowMs},
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
				lastingTasks: lastingWaits.size,
				...longestLasting && lastingFieldsOf(cluster.tasks.get(longestLasting[0])!, vms, offerContext),
				longestLastingWaitMs,
				pendingClaims: pending.byTask.size,
				vms: vms.length,
				longestPassMs: Math.round(longestPassMs),
			},
		}, ...fillingWorkWaiting(seenAtMs, vms, {...offerContext, nowMs})],
		oldestWaitMs,
		longestLastingWaitMs,
	};
}

/** What a step makes of its tasks, the first that applies. */
const stepKinds: ReadonlyArray<readonly [kind: string, applies: (step: Step) => boolean | undefined]> = [
	['lasting', step => step.longRunning],
	['filling', step => step.fillsIdle],
	['gang', step => step.gang],
];

function oldestFieldsOf({taskId, priority}: Waiting, cluster: ClusterState): Readonly<Record<string, string>> {
	const step = stepOf(cluster, cluster.tasks.get(taskId)!);
	return {oldestTaskId: taskId, oldestPriority: priority, oldestKind: stepKinds.find(([, applies]) => step && applies(step))?.[0] ?? 'short'};
}

/** Tells rank and room apart: with room for the demand on one VM, others go first. */
function lastingFieldsOf(task: Task, vms: readonly Vm[], offerContext: OfferContext): Readonly<Record<string, string | number>> {
	return {
		longestLastingTaskId: task.spec.taskId,
		longestLastingReason: reasonOf(task, vms, offerContext),
		longestLastingDemandMilli: task.spec.demand.processorsMilli,
		largestRoomMilli: largestFreeProcessorsMilli(task, vms, offerContext),
	};
}

/** Tells what filling work that has waited for long is offered. */
function fillingWorkWaiting(seenAtMs: ReadonlyMap<string, number>, vms: readonly Vm[], context: OfferContext & Readonly<{nowMs: number}>): readonly ControlEffect[] {
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

/** Notes new tasks, forgets those that are queued no longer, and returns the first ones of each class, which were queued first. */
function followQueues(state: PlacementWaitState, cluster: ClusterState, nowMs: number): Readonly<{seenAtMs: ReadonlyMap<string, number>; longest: readonly Waiting[]}> {
	const seenAtMs = new Map<string, number>();
	const longest: Waiting[] = [];
	for (const [priority, queue] of cluster.queued) {
		let explained = 0;
		for (const taskId of queue.keys()) {
			if (seenAtMs.size >= maxFollowedTasks) {
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
		if (!isAllowedOn(cluster, task, vm, pending.siblings.get(siblingsKeyOf(task, vm.vmId), 0))) {
			continue;
		}

		const room = freeResourcesOf(vm, pending.committedByVm.get(vm.vmId, noResources));
		if (!fitsInto(task.spec.demand, room)) {
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
