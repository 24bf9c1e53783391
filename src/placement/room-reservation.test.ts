import test from 'ava';
import {Map as immutableMap, Set as immutableSet} from 'immutable';
import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {type Step} from '../cluster/workflow.js';
import {emptyStateFixture, taskFixture, vmFixture} from '../operator/state-fixture.js';
import {noPendingClaims} from './pending-claims.js';
import {
	retainValidReservations, noRoomReservations, type ReservationContext, reserveRoom, unreservedResourcesFor, type RoomReservations,
} from './room-reservation.js';

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
/** Holds the whole of a VM, by a step that ends after its declared time. */
const holder = (vmId: string, declaredRunTimeMs: number) => taskOf(`on-${vmId}`, {
	phase: 'running', spec: {...taskFixture.spec, taskId: `on-${vmId}`, declaredRunTimeMs}, claim: {...taskFixture.claim!, vmId, committed: vmFixture.capacity},
});

/** VMs without room: on `soon` and `late` a task ends, on `never` one lasts. */
function contextOf(stepOfWaiting: Partial<Step> = {}, vmChange: Partial<Vm> = {}): ReservationContext {
	const held = [holder('soon', 500), holder('late', 5000), holder('never', 100)];
	const stepsByJob: Readonly<Record<string, Partial<Step>>> = {filling: {fillsIdle: true}, 'on-soon': {}, 'on-late': {}};
	const tasks = [restart, firstStart, filling, background, ...held];
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
		}])),
		vms: immutableMap(held.map(({claim, spec}) => [claim!.vmId, {
			...vmFixture, vmId: claim!.vmId, service: 's', phase: 'live', draining: false, quarantined: false, committed: vmFixture.capacity, taskIds: immutableSet([spec.taskId]), ...vmChange,
		}])),
	};
	return {cluster, pending: noPendingClaims, nowMs: 0};
}

const reserve = (task: Task, context: ReservationContext, before: RoomReservations = noRoomReservations, fleetSize = 3) =>
	reserveRoom(before, task, {
		...context, vms: [...context.cluster.vms.values()], fleetSize, endingWork: new Map(),
	});
const vmOf = (reservations: RoomReservations, task: Task) => reservations.vmIdByTask.get(task.spec.taskId);

test('the room is kept where tasks that end free it soonest, and not where it never comes', t => {
	const context = contextOf();
	t.is(vmOf(reserve(restart, context), restart), 'soon');
	const failedThere = {...restart, failedOnVmIds: ['soon']};
	t.is(vmOf(reserve(failedThere, context), restart), 'late');
	t.is(vmOf(reserve(firstStart, context, reserve(restart, context)), firstStart), 'late');
});

test('no room is kept for filling work, for a task that no VM may hold, or for more tasks than a part of the fleet', t => {
	t.is(vmOf(reserve(filling, contextOf()), filling), undefined);
	t.is(vmOf(reserve(restart, contextOf({requiredLabel: 'large'})), restart), undefined);
	t.is(vmOf(reserve(restart, contextOf({}, {capacity: {...demand, processorsMilli: 5000}})), restart), undefined);
	const second = {...restart, spec: {...restart.spec, taskId: 'second'}};
	t.is(vmOf(reserve(second, contextOf(), reserve(restart, contextOf())), second), undefined);
	t.is(vmOf(reserve(second, contextOf(), reserve(restart, contextOf()), 9), second), 'late');
});

test('a job with nothing running gets the room of its first task only, and restarts get theirs beside it', t => {
	const context = contextOf();
	const {cluster} = context;
	const besides = (task: Task, sibling: Task) => {
		const tasks = cluster.tasks.set('sibling', sibling);
		return vmOf(reserve(task, {...context, cluster: {...cluster, tasks, jobs: immutableMap([[task.jobId, [task.spec.taskId, 'sibling']]])}}), task);
	};

	t.is(besides(firstStart, taskOf('sibling')), 'soon');
	t.is(besides(firstStart, taskOf('sibling', {claim: taskFixture.claim})), undefined);
	t.is(besides(restart, taskOf('sibling', {claim: taskFixture.claim})), 'soon');
});

test('others take what is left beside the reservation, unless they come before its task', t => {
	const {cluster} = contextOf();
	const room = {processorsMilli: 7000, memoryMb: 100, accelerators: 0};
	const leftFor = (task: Task, holderOfRoom: Task) => unreservedResourcesFor(reserve(holderOfRoom, contextOf()), task, {vmId: 'soon', room}, cluster).processorsMilli;
	t.is(leftFor(firstStart, restart), 1000);
	t.is(leftFor(background, restart), 1000);
	t.is(leftFor(restart, restart), 7000);
	t.is(leftFor(restart, firstStart), 7000);
	t.is(leftFor(firstStart, background), 7000);
	t.is(vmOf(reserve(restart, contextOf(), reserve(background, contextOf())), background), undefined, 'its VM is reserved for the other');
});

test('a reservation ends when its task is claimed or gone, its VM stops taking tasks, or the room does not come', t => {
	const context = contextOf();
	const reservations = reserve(restart, context);
	const {cluster} = context;
	const remains = (change: Partial<ClusterState>, nowMs = 1000, silentVmIds = immutableSet<string>()) => vmOf(retainValidReservations(reservations, {...context, nowMs, cluster: {...cluster, ...change}}, silentVmIds), restart) !== undefined;
	t.true(remains({}));
	t.false(remains({}, 10_000));
	t.false(remains({tasks: cluster.tasks.delete('restart')}));
	t.false(remains({tasks: cluster.tasks.set('restart', {...restart, phase: 'claimed'})}));
	t.false(remains({vms: cluster.vms.delete('soon')}));
	t.false(remains({vms: cluster.vms.map(vm => ({...vm, leaving: true}))}));
	t.false(remains({}, 1000, immutableSet(['soon'])));
});
