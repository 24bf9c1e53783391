import test from 'ava';
import fc from 'fast-check';
import {Map, Set} from 'immutable';
import {type ClusterState, type Task, type Vm} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {emptyStateFixture, taskFixture, vmFixture} from '../operator/state-fixture.js';
import {fitsInto} from '../cluster/resources.js';
import {chooseVictims} from './choose-victims.js';

function runningTask(taskId: string, priority: PriorityClass, processorsMilli: number): Task {
	return {
		...taskFixture,
		spec: {...taskFixture.spec, taskId},
		priority,
		claim: {...taskFixture.claim!, committed: {processorsMilli, memoryMb: 100, accelerators: 0}},
	};
}

const urgentTask: Task = {
	...taskFixture,
	spec: {...taskFixture.spec, taskId: 'urgent', demand: {processorsMilli: 3000, memoryMb: 100, accelerators: 0}},
	priority: 'urgent',
	phase: 'queued',
	claim: undefined,
};

function stateWith(tasks: readonly Task[]): Readonly<{vm: Vm; cluster: ClusterState}> {
	const vm: Vm = {
		...vmFixture,
		committed: vmFixture.capacity,
		taskIds: Set(tasks.map(task => task.spec.taskId)),
	};
	return {vm, cluster: {...emptyStateFixture, tasks: Map(tasks.map(task => [task.spec.taskId, task]))}};
}

const tasks = fc.array(fc.tuple(fc.constantFrom('urgent', 'normal', 'background'), fc.integer({min: 500, max: 4000})), {maxLength: 8})
	.map(entries => entries.map(([priority, processorsMilli], index) => runningTask(`t${index}`, priority, processorsMilli)));

test('victims free enough resources, are less urgent, and leave their class its floor of the VM', t => {
	fc.assert(fc.property(tasks, running => {
		const {vm, cluster} = stateWith(running);
		const victims = chooseVictims(vm, urgentTask, cluster);
		if (!victims) {
			return;
		}

		t.true(fitsInto(urgentTask.spec.demand, victims.freeAfterEviction));
		for (const priority of ['normal', 'background'] as const) {
			const ofClass = running.filter(task => task.priority === priority);
			const kept = ofClass.filter(task => !victims.taskIds.includes(task.spec.taskId));
			let keptMilli = 0;
			for (const task of kept) {
				keptMilli += task.claim?.committed.processorsMilli ?? 0;
			}

			const floorMilli = vm.capacity.processorsMilli * cluster.configuration.requestLimits.floorMilliByClass[priority] / 1000;
			t.true(kept.length === ofClass.length || keptMilli >= floorMilli);
		}

		t.true(victims.taskIds.every(taskId => cluster.tasks.get(taskId)?.priority !== 'urgent'));
	}), {seed: 31});
});

test('evictions reduce a class to its floor of the VM and no further', t => {
	const running = ['b1', 'b2', 'b3'].map(taskId => runningTask(taskId, 'background', 2000));
	const {vm, cluster} = stateWith(running);
	t.is(chooseVictims(vm, urgentTask, cluster)?.taskIds.length, 2);
	const last = stateWith(running.slice(0, 2));
	t.is(chooseVictims(last.vm, urgentTask, last.cluster), undefined);
});
