import test from 'ava';
import {Map as immutableMap, Set as immutableSet} from 'immutable';
import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {createdTasksFixture, withTaskIds} from '../cluster/workflow-run-fixture.js';
import {type Step} from '../cluster/workflow.js';
import {emptyStateFixture, taskFixture, vmFixture} from '../operator/state-fixture.js';
import {noPendingClaims} from './pending-claims.js';
import {
	retainValidReservations, noReservations, type ReservationContext, reserveVm, unreservedResourcesFor, type Reservations,
} from './reservations.js';

const demand = {processorsMilli: 6000, memoryMb: 1, accelerators: 0};

function taskOf(taskId: string, change: Partial<Task> = {}): Task {
	return {
		...taskFixture,
		jobId: taskId,
		position: {occurrence: 0, stepIndex: 0},
		spec: {...taskFixture.spec, taskId, demand},
		priority: 'urgent',
		phase: 'queued',
		attempt: 0,
		claim: undefined,
		...change,
	};
}

const restart = taskOf('restart', {attempt: 1});
const firstStart = taskOf('first');
const filling = taskOf('filling', {spec: {...taskFixture.spec, taskId: 'filling', demand: {...demand, processorsMilli: 0}}});
const background = taskOf('background', {priority: 'background', attempt: 1});
/** Creates a running task that commits all resources of a VM and has the given declared run time. */
const holder = (vmId: string, declaredRunTimeMs: number) => taskOf(`on-${vmId}`, {
	phase: 'running', spec: {...taskFixture.spec, taskId: `on-${vmId}`, declaredRunTimeMs}, claim: {...taskFixture.claim!, vmId, committed: vmFixture.capacity},
});

/** Creates VMs without free resources: on `soon` and `late` runs a task that ends, on `never` a long-running one. */
function contextOf(stepOfWaiting: Partial<Step> = {}, vmChange: Partial<Vm> = {}): ReservationContext {
	const holders = [holder('soon', 500), holder('late', 5000), holder('never', 100)];
	const stepsByJob: Readonly<Record<string, Partial<Step>>> = {filling: {fillsIdle: true}, 'on-soon': {}, 'on-late': {}};
	const tasks = [restart, firstStart, filling, background, ...holders];
	const cluster: ClusterState = {
		...emptyStateFixture,
		tasks: immutableMap(tasks.map(task => [task.spec.taskId, task])),
		workflows: immutableMap(tasks.map(({jobId}) => [jobId, {
			workflow: {
				queue: 'q', service: 's', payload: '', maxFailures: 1, steps: [{
					count: 1, demand, declaredRunTimeMs: 1, ...stepsByJob[jobId] ?? {longRunning: true, ...stepOfWaiting},
				}],
			},
			owner: {
				jobId, teamId: 't', workClass: 'batch', priority: 'urgent',
			},
			phase: 'queued',
			unfinishedByStep: immutableMap(),
			madeOccurrences: 1,
			...createdTasksFixture(),
		}])),
		vms: immutableMap(holders.map(({claim, spec}) => [claim!.vmId, {
			...vmFixture, vmId: claim!.vmId, service: 's', phase: 'live', draining: false, quarantined: false, committed: vmFixture.capacity, taskIds: immutableSet([spec.taskId]), ...vmChange,
		}])),
	};
	return {cluster, pending: noPendingClaims, nowMs: 0};
}

const reserve = (task: Task, context: ReservationContext, before: Reservations = noReservations, fleetSize = 3) =>
	reserveVm(before, task, {
		...context, vms: [...context.cluster.vms.values()], fleetSize, releaseEstimates: new Map(),
	});
const vmOf = (reservations: Reservations, task: Task) => reservations.vmIdByTask.get(task.spec.taskId);

test('a task gets no reservation on a VM whose tasks end late or never while another VM is released sooner', t => {
	const context = contextOf();
	t.is(vmOf(reserve(restart, context), restart), 'soon');
	const failedThere = {...restart, failedOnVmIds: ['soon']};
	t.is(vmOf(reserve(failedThere, context), restart), 'late');
	t.is(vmOf(reserve(firstStart, context, reserve(restart, context)), firstStart), 'late');
});

test('no VM is reserved for a filling task, for a task that no VM may run, or beyond a share of the fleet', t => {
	t.is(vmOf(reserve(filling, contextOf()), filling), undefined);
	t.is(vmOf(reserve(restart, contextOf({requiredLabel: 'large'})), restart), undefined);
	t.is(vmOf(reserve(restart, contextOf({}, {capacity: {...demand, processorsMilli: 5000}})), restart), undefined);
	const second = {...restart, spec: {...restart.spec, taskId: 'second'}};
	t.is(vmOf(reserve(second, contextOf(), reserve(restart, contextOf())), second), undefined);
	t.is(vmOf(reserve(second, contextOf(), reserve(restart, contextOf()), 9), second), 'late');
});

test('a job without claims gets one reservation only, and restarts may reserve in addition', t => {
	const context = contextOf();
	const {cluster} = context;
	const reservedWithSibling = (task: Task, sibling: Task) => {
		const tasks = cluster.tasks.set('sibling', sibling);
		return vmOf(reserve(task, {...context, cluster: withTaskIds({...cluster, tasks}, task.jobId, [task.spec.taskId, 'sibling'])}), task);
	};

	t.is(reservedWithSibling(firstStart, taskOf('sibling')), 'soon');
	t.is(reservedWithSibling(firstStart, taskOf('sibling', {claim: taskFixture.claim})), undefined);
	t.is(reservedWithSibling(restart, taskOf('sibling', {claim: taskFixture.claim})), 'soon');
});

test('other tasks get only the free resources beyond a reservation, unless they have a higher precedence', t => {
	const {cluster} = contextOf();
	const free = {processorsMilli: 7000, memoryMb: 100, accelerators: 0};
	const unreservedFor = (task: Task, reservingTask: Task) => unreservedResourcesFor(reserve(reservingTask, contextOf()), task, {vmId: 'soon', free}, cluster).processorsMilli;
	t.is(unreservedFor(firstStart, restart), 1000);
	t.is(unreservedFor(background, restart), 1000);
	t.is(unreservedFor(restart, restart), 7000);
	t.is(unreservedFor(restart, firstStart), 7000);
	t.is(unreservedFor(firstStart, background), 7000);
	t.is(vmOf(reserve(restart, contextOf(), reserve(background, contextOf())), background), undefined, 'the VM is now reserved for the other task');
});

test('a reservation ends when its task is claimed or removed, its VM no longer accepts tasks, or the resources are not released in time', t => {
	const context = contextOf();
	const reservations = reserve(restart, context);
	const {cluster} = context;
	const isRetained = (change: Partial<ClusterState>, nowMs = 1000, silentVmIds = immutableSet<string>()) => vmOf(retainValidReservations(reservations, {...context, nowMs, cluster: {...cluster, ...change}}, silentVmIds), restart) !== undefined;
	t.true(isRetained({}));
	t.false(isRetained({}, 10_000));
	t.false(isRetained({tasks: cluster.tasks.delete('restart')}));
	t.false(isRetained({tasks: cluster.tasks.set('restart', {...restart, phase: 'claimed'})}));
	t.false(isRetained({vms: cluster.vms.delete('soon')}));
	t.false(isRetained({vms: cluster.vms.map(vm => ({...vm, leaving: true}))}));
	t.false(isRetained({}, 1000, immutableSet(['soon'])));
});

test('a flood of urgent ending tasks cannot take the VM reserved for a restart of a lower class whose VM was lost long ago', t => {
	const context = contextOf();
	const ending = context.cluster.tasks.get('on-soon')!;
	const unreservedAfter = (waitMs: number) => {
		const {cluster} = context;
		const lost = {
			...cluster, vms: cluster.vms.set('lost', {
				...vmFixture, vmId: 'lost', heardBy: immutableSet(), taskIds: immutableSet(['background']),
			}),
		};
		const waiting = retainValidReservations(noReservations, {...context, cluster: lost}, immutableSet());
		const now = {...context, nowMs: waitMs};
		return unreservedResourcesFor(reserve(background, now, retainValidReservations(waiting, now, immutableSet())), ending, {vmId: 'soon', free: demand}, cluster).processorsMilli;
	};

	t.is(unreservedAfter(2000), 6000);
	t.is(unreservedAfter(7000), 0);
});
