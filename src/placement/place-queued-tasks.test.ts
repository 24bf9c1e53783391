import test from 'ava';
import {Map as immutableMap, OrderedMap as orderedMap, Set as immutableSet} from 'immutable';
import {mergeLatencyImpacts, noLatencyImpactEstimates} from '../agent/latency-impact-estimates.js';
import {type Task, type Vm, type WorkflowRun} from '../cluster/cluster-state.js';
import {WorkflowLog, workflowStep} from '../cluster/workflow-log-fixture.js';
import {createdTasksFixture} from '../cluster/workflow-run-fixture.js';
import {type PriorityClass} from '../cluster/intent.js';
import {noResources} from '../cluster/resources.js';
import {ownerByRendezvous} from '../cluster/rendezvous.js';
import {type EntryContext} from '../entry/entry-context.js';
import {taskFixture, vmFixture} from '../operator/state-fixture.js';
import {placeQueuedTasks} from './place-queued-tasks.js';
import {initialPlacement} from './placement-state.js';
import {contextAt, owner as queueOwner} from './queue-fixture.js';

/** Returns a context of one VM whose processors are all demanded by a filling task, with two queued filling tasks of a job of one step. */
function busyContext(nowMs: number): EntryContext {
	const context = contextAt(nowMs, 1);
	const {cluster} = context;
	const step = {
		count: 2, demand: {processorsMilli: vmFixture.capacity.processorsMilli, memoryMb: 1, accelerators: 0}, declaredRunTimeMs: 120_000, fillsIdle: true,
	};
	const run = (jobId: string): WorkflowRun => ({
		workflow: {
			queue: 'q', service: 's', payload: '', steps: [step], maxFailures: 1, objective: {submittedAtMs: 0, stretchMilli: 1000, slackMs: 1000},
		},
		owner: {
			jobId, teamId: 't', workClass: 'batch', priority: taskFixture.priority,
		},
		phase: 'queued',
		unfinishedByStep: immutableMap([['0.0', 2]]),
		madeOccurrences: 1,
		...createdTasksFixture(jobId === 'late' ? ['late.0.0.0', 'late.0.0.1'] : []),
	});
	const task = (jobId: string, index: number): Task => ({
		...taskFixture,
		jobId,
		position: {occurrence: 0, stepIndex: 0},
		spec: {...taskFixture.spec, taskId: `${jobId}.0.0.${index}`, demand: {processorsMilli: 0, memoryMb: 1, accelerators: 0}},
		phase: 'queued',
		claim: undefined,
	});
	const running = {...task('other', 0), phase: 'running' as const, claim: taskFixture.claim};
	const waiting = [task('late', 0), task('late', 1)];
	return {
		...context,
		incarnation: ownerByRendezvous(['i1', 'i2'], 's')!,
		cluster: {
			...cluster,
			workflows: immutableMap([['other', run('other')], ['late', run('late')]]),
			tasks: immutableMap([running, ...waiting].map(each => [each.spec.taskId, each])),
			queued: immutableMap<PriorityClass, ReturnType<typeof orderedMap<string, true>>>([[taskFixture.priority, orderedMap(waiting.map(each => [each.spec.taskId, true as const]))]]),
			vms: cluster.vms.map(vm => ({...vm, service: 's', taskIds: immutableSet([running.spec.taskId])})),
		},
	};
}

test('a filling job waits for idle processors, but one of its tasks is placed after a long wait, however long its declared run time', t => {
	t.is(placeQueuedTasks(initialPlacement, busyContext(1000)).effects.length, 0);
	const late = placeQueuedTasks(initialPlacement, busyContext(60_000));
	t.is(late.effects.length, 1);
	t.is(placeQueuedTasks(late.state, busyContext(60_000)).effects.length, 0, 'the other task of the job waits for idle processors');
});

test('a job without a running task starts one at once while less than half of its service is in use', t => {
	const context = busyContext(1000);
	const {cluster} = context;
	const late = cluster.workflows.get('late')!;
	// The step may run on the crowded VM only.
	const step = {...late.workflow.steps[0]!, requiredLabel: 'large'};
	const claimsWithIdleVms = (idleVms: number) => placeQueuedTasks(initialPlacement, {
		...context,
		cluster: {
			...cluster,
			workflows: cluster.workflows.set('late', {...late, workflow: {...late.workflow, steps: [step]}}),
			vms: immutableMap([
				[vmFixture.vmId, {...cluster.vms.first()!, labels: ['large']}],
				...Array.from({length: idleVms}, (_, index): [string, Vm] => [`idle-${index}`, {
					...cluster.vms.first()!, vmId: `idle-${index}`, committed: noResources, taskIds: immutableSet(),
				}]),
			]),
		},
	}).effects.length;
	t.is(claimsWithIdleVms(1), 0, 'more than half is in use');
	t.is(claimsWithIdleVms(2), 1);
});

test('a job whose only claimed task is on an unreachable or revoked VM, or on one with a silent worker, starts another one', t => {
	const context = busyContext(60_000);
	const {cluster} = context;
	const bound = {...cluster.tasks.get('late.0.0.0')!, phase: 'running' as const, claim: {...taskFixture.claim!, vmId: 'vm-away'}};
	const claimsWith = (away: Partial<Vm>, silentVmIds: readonly string[] = []) => placeQueuedTasks({...initialPlacement, silentVmIds: immutableSet(silentVmIds)}, {
		...context,
		cluster: {
			...cluster,
			tasks: cluster.tasks.set('late.0.0.0', bound),
			queued: cluster.queued.update(taskFixture.priority, orderedMap<string, true>(), tasks => tasks.delete('late.0.0.0')),
			vms: cluster.vms.set('vm-away', {
				...cluster.vms.first()!, vmId: 'vm-away', draining: true, taskIds: immutableSet(['late.0.0.0']), ...away,
			}),
		},
	}).effects.length;
	t.is(claimsWith({}), 0);
	t.is(claimsWith({heardBy: immutableSet()}), 1);
	t.is(claimsWith({phase: 'revoked'}), 1);
	t.is(claimsWith({}, ['vm-away']), 1);
});

test('a job submitted at an entry whose clock is ahead waits no longer than others for its first task', t => {
	let state = initialPlacement;
	const claimedAtMs: number[] = [];
	for (let nowMs = 0; nowMs <= 20_000; nowMs += 500) {
		const transition = placeQueuedTasks(state, {...busyContext(nowMs), wallTimeMs: -3_600_000});
		state = transition.state;
		claimedAtMs.push(...transition.effects.map(() => nowMs));
	}

	// Later claims follow because a pending claim times out after 5 s in which the log does not return it.
	t.deepEqual(claimedAtMs.slice(0, 1), [10_500]);
});

/** Returns a context of two VMs with one serving task each, of different images, and a queued filling task. */
function impactContext(): EntryContext {
	const context = busyContext(1000);
	const {cluster} = context;
	const late = cluster.workflows.get('late')!;
	const servingRun = (image: string): WorkflowRun => ({
		...late, workflow: {
			...late.workflow, steps: [{
				count: 1, demand: {processorsMilli: 100, memoryMb: 1, accelerators: 0}, declaredRunTimeMs: 0, longRunning: true, latencyTargetMs: 45, image,
			}],
		},
	});
	const waiting = cluster.tasks.get('late.0.0.0')!;
	const serving = (jobId: string): Task => ({
		...waiting, jobId, phase: 'running', claim: taskFixture.claim, spec: {...waiting.spec, taskId: `${jobId}.0.0.0`},
	});
	const vmOf = (vmId: string, jobId: string) => ({
		...cluster.vms.first()!, vmId, agentIncarnation: `a-${vmId}`, taskIds: immutableSet([`${jobId}.0.0.0`]),
	});
	const step = {...late.workflow.steps[0]!, image: 'stress', demand: {processorsMilli: 1000, memoryMb: 1, accelerators: 0}};
	return {
		...context,
		cluster: {
			...cluster,
			workflows: immutableMap([
				['sensitive', servingRun('lookup')], ['robust', servingRun('watch')], ['late', {...late, workflow: {...late.workflow, steps: [step]}}],
			]),
			tasks: immutableMap([serving('sensitive'), serving('robust'), waiting].map(each => [each.spec.taskId, each])),
			queued: immutableMap<PriorityClass, ReturnType<typeof orderedMap<string, true>>>([[taskFixture.priority, orderedMap([[waiting.spec.taskId, true as const]])]]),
			vms: immutableMap([['vm-1', vmOf('vm-1', 'sensitive')], ['vm-2', vmOf('vm-2', 'robust')]]),
		},
	};
}

/** Guards against a filling task that is placed on a VM where its measured latency impact is large although another VM is as idle. */
test('a filling task is placed where its latency impact on serving tasks is smallest', t => {
	const chosen = (servingImage: string): unknown => {
		const latencyImpacts = mergeLatencyImpacts(noLatencyImpactEstimates, [{
			servingImage, fillingImage: 'stress', press: 0.8, variance: 0.01,
		}]);
		const [claim] = placeQueuedTasks({...initialPlacement, latencyImpacts}, impactContext()).effects;
		return claim?.kind === 'append-record' && claim.record.kind === 'task-claimed' ? claim.record.vmId : undefined;
	};

	t.is(chosen('lookup'), 'vm-2');
	t.is(chosen('watch'), 'vm-1');
});

// Guards against a failure recorded for one step in a pass that is applied to another step which can be placed elsewhere.
test('a job that waits for idle processors does not prevent one that has waited long from starting its first task', t => {
	const context = busyContext(60_000);
	const {cluster} = context;
	const late = cluster.workflows.get('late')!;
	const early = {
		...late,
		owner: {...late.owner, jobId: 'early'},
		workflow: {...late.workflow, objective: {submittedAtMs: 60_000, stretchMilli: 2000, slackMs: 1000}},
		...createdTasksFixture(['early.0.0.0', 'early.0.0.1']),
	};
	const waiting = [0, 1].map(index => {
		const task = cluster.tasks.get(`late.0.0.${index}`)!;
		return {...task, jobId: 'early', spec: {...task.spec, taskId: `early.0.0.${index}`}};
	});
	const queued = cluster.queued.get(taskFixture.priority)!.mapKeys(key => key.replace('late', 'early')).merge(cluster.queued.get(taskFixture.priority)!);
	const transition = placeQueuedTasks(initialPlacement, {
		...context,
		cluster: {
			...cluster,
			workflows: cluster.workflows.set('early', early),
			tasks: cluster.tasks.merge(waiting.map((each): [string, Task] => [each.spec.taskId, each])),
			queued: cluster.queued.set(taskFixture.priority, queued),
		},
	});
	t.deepEqual(transition.effects.map(effect => effect.kind === 'append-record' && effect.record.kind === 'task-claimed' ? effect.record.taskId : ''), ['late.0.0.0']);
});

test('no task is placed on a VM with a silent worker', t => {
	const context = {...contextAt(10_000, 1), incarnation: queueOwner};
	t.is(placeQueuedTasks(initialPlacement, context).effects.length, 1);
	t.deepEqual(placeQueuedTasks({...initialPlacement, silentVmIds: immutableSet([vmFixture.vmId])}, context).effects, []);
});

test('tasks of a service without free resources do not prevent the placement of those of another service', t => {
	const context = contextAt(10_000, 1);
	const {cluster} = context;
	const demand = {processorsMilli: 1000, memoryMb: 1, accelerators: 0};
	const queuedTask = (service: string, submittedOffset: number): Task => ({
		...taskFixture, jobId: service, submittedOffset, position: {occurrence: 0, stepIndex: 0}, spec: {...taskFixture.spec, taskId: `${service}.0.0.0`, demand}, phase: 'queued', claim: undefined,
	});
	const tasks = [queuedTask('full', 1), queuedTask('free', 2)];
	const run = (service: string): WorkflowRun => ({
		workflow: {
			queue: 'q', service, payload: '', steps: [{count: 1, demand, declaredRunTimeMs: 1000}], maxFailures: 1,
		},
		owner: {
			jobId: service, teamId: 't', workClass: 'batch', priority: taskFixture.priority,
		},
		phase: 'queued',
		unfinishedByStep: immutableMap([['0.0', 1]]),
		madeOccurrences: 1,
		...createdTasksFixture([`${service}.0.0.0`]),
	});
	const vm = cluster.vms.first()!;
	const {effects} = placeQueuedTasks(initialPlacement, {
		...context,
		cluster: {
			...cluster,
			entries: cluster.entries.filter((_, incarnation) => incarnation === context.incarnation),
			workflows: immutableMap(tasks.map(({jobId}) => [jobId, run(jobId)])),
			unfinishedTasksByJob: immutableMap(tasks.map(({jobId}) => [jobId, 1])),
			tasks: immutableMap(tasks.map(task => [task.spec.taskId, task])),
			queued: immutableMap<PriorityClass, ReturnType<typeof orderedMap<string, true>>>([[taskFixture.priority, orderedMap(tasks.map(({spec}) => [spec.taskId, true as const]))]]),
			vms: immutableMap([
				['vm-full', {
					...vm, vmId: 'vm-full', service: 'full', committed: vm.capacity, taskIds: immutableSet<string>(),
				}],
				['vm-free', {
					...vm, vmId: 'vm-free', service: 'free', committed: noResources, taskIds: immutableSet<string>(),
				}],
			]),
		},
	});
	t.deepEqual(effects.map(effect => effect.kind === 'append-record' && effect.record.kind === 'task-claimed' ? effect.record.vmId : effect.kind), ['vm-free']);
});

/** Guards against entries and agents whose memory tasks exhaust that demand next to nothing: no VM is ever full of them. */
test('a VM gets only so many tasks that demand next to nothing, and others are placed beside them', t => {
	const context = {...contextAt(10_000, 1), incarnation: queueOwner};
	const {cluster, settings} = context;
	const queued = cluster.tasks.first()!;
	const placed = ({tasksOnVm = 0, processorsMilli, taskBytes}: Readonly<{tasksOnVm?: number; processorsMilli: number; taskBytes?: number}>): number => placeQueuedTasks(initialPlacement, {
		...context,
		settings: {...settings, limits: {...settings.limits, taskBytes}},
		cluster: {
			...cluster,
			tasks: cluster.tasks.set(queued.spec.taskId, {...queued, spec: {...queued.spec, demand: {processorsMilli, memoryMb: 0, accelerators: 0}}}),
			vms: cluster.vms.map(vm => ({...vm, taskIds: immutableSet(Array.from({length: tasksOnVm}, (_, index) => `task-on-vm-${index}`))})),
		},
	}).effects.length;

	t.is(placed({tasksOnVm: 511, processorsMilli: 0}), 1);
	t.is(placed({tasksOnVm: 512, processorsMilli: 0}), 0);
	t.is(placed({tasksOnVm: 512, processorsMilli: 100}), 1);
	t.is(placed({processorsMilli: 0, taskBytes: 2001}), 1);
	t.is(placed({processorsMilli: 0, taskBytes: 1500}), 0);
	t.is(placed({processorsMilli: 100, taskBytes: 1500}), 1);
	t.is(placed({processorsMilli: 100, taskBytes: 1000}), 0);
});

/** Guards against accepted jobs that never start behind a few large ones that wait for room: a pass considered the first 4,096 tasks alone. */
test('a small job starts although more tasks go before it than a pass considers', t => {
	const log = new WorkflowLog();
	const demand = {processorsMilli: 600_000, memoryMb: 1, accelerators: 0};
	for (let index = 0; index < 150; index++) {
		log.submit(`large-${index}`, [workflowStep({count: 1000, demand})]);
	}

	log.claim('large-0.0.0.0').submit('small', [workflowStep()]);
	t.true(log.queuedTaskIds().indexOf('small.0.0.0') > 4096);
	const {effects} = placeQueuedTasks(initialPlacement, {...contextAt(10_000, 1), incarnation: 'i', cluster: log.state});
	t.deepEqual(effects.map(effect => effect.kind === 'append-record' && effect.record.kind === 'task-claimed' ? effect.record.taskId : ''), ['small.0.0.0']);
});
