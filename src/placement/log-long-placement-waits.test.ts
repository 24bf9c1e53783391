import test from 'ava';
import {Map as immutableMap, OrderedMap as orderedMap, Set as immutableSet} from 'immutable';
import {type ClusterState, type Task, type WorkflowRun} from '../cluster/cluster-state.js';
import {createdTasksFixture, withTaskIds} from '../cluster/workflow-run-fixture.js';
import {type PriorityClass} from '../cluster/intent.js';
import {addResources} from '../cluster/resources.js';
import {committedByStep, type Step} from '../cluster/workflow.js';
import {type ControlEffect} from '../entry/control-effect.js';
import {emptyStateFixture, taskFixture, vmFixture} from '../operator/state-fixture.js';
import {addPendingClaim, noPendingClaims} from './pending-claims.js';
import {initialPlacementWait, logLongPlacementWaits} from './log-long-placement-waits.js';

type Fields = Extract<ControlEffect, {kind: 'log-event'}>['fields'];

const small: Step = {count: 1, demand: {processorsMilli: 1000, memoryMb: 64, accelerators: 0}, declaredRunTimeMs: 100};

/** A cluster of one VM with 12 free processors and one queued job for each step. */
function clusterOf(steps: readonly Step[]): ClusterState {
	const tasks = steps.map((step, index): Task => ({
		...taskFixture,
		spec: {...taskFixture.spec, taskId: `j${index}.0.0.0`, demand: committedByStep(step)},
		jobId: `j${index}`,
		position: {occurrence: 0, stepIndex: 0},
		phase: 'queued',
		claim: undefined,
		attempt: 0,
	}));
	const runs = steps.map((step, index): [string, WorkflowRun] => [`j${index}`, {
		workflow: {
			queue: 'q', service: 'loaf-orders', payload: '', steps: [step], maxFailures: 3,
		},
		owner: {
			jobId: `j${index}`, teamId: 't', workClass: 'batch', priority: 'background',
		},
		phase: 'queued',
		unfinishedByStep: immutableMap([['0.0', 1]]),
		madeOccurrences: 1,
		...createdTasksFixture(),
	}]);
	return {
		...emptyStateFixture,
		vms: immutableMap([[vmFixture.vmId, {...vmFixture, service: 'loaf-orders', taskIds: immutableSet<string>()}]]),
		tasks: immutableMap(tasks.map(task => [task.spec.taskId, task])),
		workflows: immutableMap(runs),
		queued: immutableMap<PriorityClass, ReturnType<typeof orderedMap<string, true>>>([
			['background', orderedMap(tasks.map(task => [task.spec.taskId, true as const]))],
		]),
	};
}

/** Calls `logLongPlacementWaits` every `intervalMs` for the given time and returns the fields of the log lines. */
function linesOf(cluster: ClusterState, {seconds, isOwner = true, pending = noPendingClaims, intervalMs = 1000, event = 'placement-waiting'}: Readonly<{
	seconds: number; isOwner?: boolean; pending?: typeof noPendingClaims; intervalMs?: number; event?: string;
}>): readonly Fields[] {
	let state = initialPlacementWait;
	const lines: Fields[] = [];
	for (let nowMs = 0; nowMs <= seconds * 1000; nowMs += intervalMs) {
		const result = logLongPlacementWaits(state, {
			cluster, pending, fillingRoomByVm: immutableMap(), isOwner, nowMs, longestPassMs: 7,
		});
		state = result.state;
		lines.push(...result.effects.filter(effect => effect.kind === 'log-event').filter(effect => effect.event === event).map(({fields}) => fields));
	}

	return lines;
}

test('a line distinguishes tasks without free resources, without idle processors and those that may not run on any VM', t => {
	const [line] = linesOf(clusterOf([
		{...small, demand: {...small.demand, memoryMb: 900_000}},
		{...small, demand: {...small.demand, processorsMilli: 13_000}, fillsIdle: true},
		{...small, requiredLabel: 'oven'},
		small,
	]), {seconds: 3});
	t.like(line, {
		background: 4, oldestWaitMs: 3000, reasons: 'noRoom:1,noIdleProcessors:1,notAllowed:1,passedOver:1', longestPassMs: 7, vms: 1,
	});
});

test('a task with a pending claim is not reported as one without free resources', t => {
	const pending = addPendingClaim(noPendingClaims, 'j0.0.0.0', {
		vmId: 'vm-1', attempt: 1, committed: small.demand, appendedAtMs: 0, siblingsKey: 'k', fillingMilli: 0, image: 'stress',
	});
	const [line] = linesOf(clusterOf([small]), {seconds: 3, pending});
	t.like(line, {reasons: 'claimPending:1', pendingClaims: 1});
});

test('a long queue logs at most one line a second, and only at the placement owner', t => {
	const cluster = clusterOf(Array.from({length: 200}, () => small));
	t.is(linesOf(cluster, {seconds: 10, intervalMs: 100}).length, 8);
	t.is(linesOf(cluster, {seconds: 10, isOwner: false}).length, 0);
	const fillingCluster = clusterOf(Array.from({length: 200}, () => ({...small, fillsIdle: true})));
	t.is(linesOf(fillingCluster, {seconds: 10, intervalMs: 100, event: 'filling-work-waiting'}).length, 8);
	t.is(linesOf(fillingCluster, {seconds: 10, isOwner: false, event: 'filling-work-waiting'}).length, 0);
});

test('an entry that becomes the placement owner does not report waits that it has not observed', t => {
	const cluster = clusterOf([small]);
	const notOwner = logLongPlacementWaits({...initialPlacementWait, seenAtMs: new Map([['j0.0.0.0', 0]]), lastLoggedAtMs: 0}, {
		cluster, pending: noPendingClaims, fillingRoomByVm: immutableMap(), isOwner: false, nowMs: 60_000, longestPassMs: 0,
	});
	const owner = logLongPlacementWaits(notOwner.state, {
		cluster, pending: noPendingClaims, fillingRoomByVm: immutableMap(), isOwner: true, nowMs: 61_000, longestPassMs: 0,
	});
	t.deepEqual(owner.effects, []);
	t.is(owner.oldestWaitMs, 0);
});

/** Adds a task that runs on the VM, and its job if it is not there. */
function withRunning(cluster: ClusterState, jobId: string, step: Step): ClusterState {
	const added = clusterOf([step]);
	const task = added.tasks.get('j0.0.0.0')!;
	const taskId = `${jobId}.0.0.running`;
	const vm = cluster.vms.get(vmFixture.vmId)!;
	return withTaskIds({
		...cluster,
		tasks: cluster.tasks.set(taskId, {
			...task, spec: {...task.spec, taskId}, jobId, phase: 'running', claim: taskFixture.claim,
		}),
		workflows: cluster.workflows.has(jobId) ? cluster.workflows : cluster.workflows.set(jobId, added.workflows.get('j0')!),
		vms: cluster.vms.set(vm.vmId, {
			...vm,
			taskIds: vm.taskIds.add(taskId),
			committed: addResources(vm.committed, task.spec.demand),
		}),
	}, jobId, [taskId]);
}

const filling: Step = {...small, demand: {...small.demand, processorsMilli: 2000}, fillsIdle: true};

test('the line for waiting filling tasks contains what serving tasks commit, what filling tasks demand and what is offered', t => {
	const serving: Step = {...small, demand: {...small.demand, processorsMilli: 10_000}, latencyTargetMs: 18};
	const cluster = withRunning(withRunning(clusterOf([{...filling, demand: {...small.demand, processorsMilli: 13_000}}]), 'serving', serving), 'filling', filling);
	const [line] = linesOf(cluster, {seconds: 3, event: 'filling-work-waiting'});
	t.like(line, {
		jobs: 1, tasks: 1, oldestWaitMs: 3000, leastDemandMilli: 13_000, capacityMilli: 16_000, servingMilli: 10_000, fillingMilli: 2000,
	});
	t.is(line?.offeredMilli, line?.largestOfferMilli);
	t.is(linesOf(clusterOf([small]), {seconds: 3, event: 'filling-work-waiting'}).length, 0);
});

test('a filling task that is offered processors which serving tasks leave unused is not reported as one without idle processors', t => {
	const serving: Step = {...small, demand: {...small.demand, processorsMilli: 12_000}, latencyTargetMs: 18};
	const [line] = linesOf(withRunning(clusterOf([filling]), 'serving', serving), {seconds: 3});
	t.like(line, {reasons: 'passedOver:1'});
});

test('a job with no running task is distinguished from one with only a part of its tasks queued', t => {
	const [line] = linesOf(withRunning(clusterOf([small, small]), 'j0', small), {seconds: 5});
	t.like(line, {idleJobs: 1, longestIdleJobId: 'j1', longestIdleMs: 3000});
});

test('a waiting long-running task is logged with its wait since its last run, its demand and the most free processors of one VM', t => {
	const longRunning: Step = {...small, demand: {...small.demand, processorsMilli: 13_000}, longRunning: true};
	const before = clusterOf([small, longRunning]);
	const cluster = withTaskIds(before, 'j1', ['j1.0.0.0']);
	const [line] = linesOf(cluster, {seconds: 5});
	t.like(line, {oldestPriority: 'background', oldestKind: 'short'});
	t.like(line, {
		lastingTasks: 1, longestLastingTaskId: 'j1.0.0.0', longestLastingWaitMs: 3000, longestLastingReason: 'noRoom', longestLastingDemandMilli: 13_000, largestRoomMilli: 12_000,
	});
});

/** Guards against an unreported wait of a task that is claimed on a VM where it never starts, and so is in no queue. */
test('the wait of a long-running task goes on through claims without a run, and starts anew after a run', t => {
	const queued = withTaskIds(clusterOf([{...small, longRunning: true}]), 'j0', ['j0.0.0.0']);
	const task = queued.tasks.get('j0.0.0.0')!;
	const withTask = (change: Partial<Task>, isQueued: boolean): ClusterState => ({
		...queued,
		tasks: queued.tasks.set('j0.0.0.0', {...task, ...change}),
		queued: isQueued ? queued.queued : queued.queued.clear(),
	});
	const claim = taskFixture.claim!;
	const clusters = [
		withTask({}, true),
		withTask({phase: 'claimed', claim, attempt: 1}, false),
		withTask({attempt: 1, failedOnVmIds: ['vm-1']}, true),
		withTask({phase: 'claimed', claim, attempt: 2}, false),
		withTask({attempt: 2, failures: 1}, true),
		withTask({
			phase: 'running', claim, attempt: 3, failures: 1,
		}, false),
	];
	let state = initialPlacementWait;
	const lines: Fields[] = [];
	const waits = clusters.map((cluster, second) => {
		const result = logLongPlacementWaits(state, {
			cluster, pending: noPendingClaims, fillingRoomByVm: immutableMap(), isOwner: true, nowMs: 1000 * second, longestPassMs: 0,
		});
		state = result.state;
		lines.push(...result.effects.filter(effect => effect.kind === 'log-event').map(({fields}) => fields));
		return result.longestLastingWaitMs;
	});
	t.deepEqual(waits, [0, 1000, 2000, 3000, 0, 0]);
	t.is(lines.length, 1);
	t.like(lines[0], {longestLastingReason: 'claimed', lastingTasks: 1});
});

test('a long-running task that the placement owner does not see waiting is reported by the other entries', t => {
	const before = clusterOf([small, {...small, longRunning: true}]);
	const lines = linesOf(withTaskIds(before, 'j1', ['j1.0.0.0']), {seconds: 10, isOwner: false, event: 'lasting-task-waiting'});
	t.deepEqual(lines.map(({longestLastingWaitMs}) => longestLastingWaitMs), [6000, 9000]);
	t.like(lines[0], {
		lastingTasks: 1, longestLastingTaskId: 'j1.0.0.0', longestLastingReason: 'passedOver', longestLastingDemandMilli: 1000, largestRoomMilli: 12_000,
	});
});
