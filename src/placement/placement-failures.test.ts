import test from 'ava';
import {Map as immutableMap, OrderedMap as orderedMap} from 'immutable';
import {type Task, type Vm} from '../cluster/cluster-state.js';
import {type PriorityClass} from '../cluster/intent.js';
import {type EntryContext} from '../entry/entry-context.js';
import {taskFixture, vmFixture} from '../operator/state-fixture.js';
import {placeQueuedTasks} from './place-queued-tasks.js';
import {initialPlacement} from './placement-state.js';
import {contextAt, owner} from './queue-fixture.js';

const queuedTask = (taskId: string): Task => ({
	...taskFixture, phase: 'queued', claim: undefined, spec: {...taskFixture.spec, taskId},
});

/** A task that makes the placement throw whenever its demand is read. */
const poisonTask: Task = {
	...queuedTask('poison'),
	spec: {
		...taskFixture.spec, taskId: 'poison', get demand(): never {
			throw new RangeError('no demand');
		},
	},
};

/** A VM that makes the placement throw whenever its committed resources are read. */
const poisonVm: Vm = {
	...vmFixture, vmId: 'vm-poison', phase: 'live', get committed(): never {
		throw new RangeError('no resources');
	},
};

/** Returns the context of the placement owner with the given queued tasks, and with the given VMs beside a sound one. */
function contextOf(tasks: readonly Task[], vms: readonly Vm[], nowMs = 1000): EntryContext {
	const context = contextAt(nowMs, 1);
	return {
		...context,
		incarnation: owner,
		cluster: {
			...context.cluster,
			vms: context.cluster.vms.merge(vms.map(vm => [vm.vmId, vm])),
			tasks: immutableMap(tasks.map(task => [task.spec.taskId, task])),
			queued: immutableMap<PriorityClass, ReturnType<typeof orderedMap<string, true>>>([[taskFixture.priority, orderedMap(tasks.map(task => [task.spec.taskId, true as const]))]]),
		},
	};
}

const claimsOf = ({effects}: ReturnType<typeof placeQueuedTasks>) => effects.flatMap(effect =>
	effect.kind === 'append-record' && effect.record.kind === 'task-claimed' ? [`${effect.record.taskId} ${effect.record.vmId}`] : []);

const linesOf = ({effects}: ReturnType<typeof placeQueuedTasks>) => effects.flatMap(effect => effect.kind === 'log-event' ? [effect.fields] : []);

test('a task that makes a placement pass throw does not keep the others from being placed', t => {
	const first = placeQueuedTasks(initialPlacement, contextOf([poisonTask, queuedTask('sound')], []));
	t.deepEqual(claimsOf(first), ['sound vm-1']);
	t.like(linesOf(first), [{taskId: 'poison', reason: 'RangeError: no demand'}]);
	const next = placeQueuedTasks(first.state, contextOf([poisonTask], [], 1500));
	t.deepEqual(linesOf(next), [], 'a line a second');
	t.true(next.effects.some(effect => effect.kind === 'count-metric' && effect.name === 'placement.failures' && effect.count === 1));
});

test('a VM that makes a placement pass throw does not keep tasks from the other VMs', t => {
	const transition = placeQueuedTasks(initialPlacement, contextOf([queuedTask('sound')], [poisonVm]));
	t.deepEqual(claimsOf(transition), ['sound vm-1']);
	t.like(linesOf(transition), [{vmId: 'vm-poison', reason: 'RangeError: no resources'}]);
});
