import test from 'ava';
import {OrderedMap} from 'immutable';
import {type ClusterState} from '../cluster/cluster-state.js';
import {buildStatus} from './build-status.js';
import {explainSubject} from './explain-subject.js';
import {type Explanation, type Liveness, statusReportSchema} from './operator-api.js';
import {renderStatus} from './render-status.js';
import {
	backendServerFixture, emptyStateFixture, taskFixture, vmFixture,
} from './state-fixture.js';

const queuedTask = {
	...taskFixture, spec: {...taskFixture.spec, taskId: 'task-2'}, phase: 'queued' as const, attempt: 0, claim: undefined, evictions: 0, reason: 'quota of team-7 is used up',
};

const state: ClusterState = {
	...emptyStateFixture,
	offset: 40,
	entries: emptyStateFixture.entries.set('entry-1', {
		entryId: 'entry-1', incarnation: 'i1', failureDomain: 'Kambalda', operatorAddress: '127.0.0.1:7001', processorsMilli: 1000, lastOffset: 39, appliedOffset: 39,
	}),
	vms: emptyStateFixture.vms
		.set('vm-1', vmFixture)
		.set('vm-2', {
			...vmFixture, vmId: 'vm-2', agentIncarnation: 'agent-2', draining: true, heardBy: vmFixture.heardBy.clear(),
		})
		.set('vm-3', {...vmFixture, vmId: 'vm-3', phase: 'expired'}),
	backendServers: emptyStateFixture.backendServers
		.set('b1', backendServerFixture)
		.set('b2', {...backendServerFixture, backendServerId: 'b2', draining: true})
		.set('b3', {...backendServerFixture, backendServerId: 'b3', phase: 'gone'}),
	tasks: emptyStateFixture.tasks.set('task-1', taskFixture).set('task-2', queuedTask),
	queued: emptyStateFixture.queued.set('background', OrderedMap([['task-2', true]])),
	committedByTeam: emptyStateFixture.committedByTeam.set('team-7', taskFixture.spec.demand),
	keys: emptyStateFixture.keys.set('key-1', {
		keyHash: 'key-1', bodyHash: 'h', service: 'loaf-ordering', vmId: 'vm-1', agentIncarnation: 'agent-0', backendServerId: 'b1', claimOffset: 25,
	}),
	planDecisions: emptyStateFixture.planDecisions.set('plan-1', {
		planId: 'plan-1', offset: 30, accepted: false, reason: 'vm/vm-1 changed at offset 29',
	}),
	configuration: {
		...emptyStateFixture.configuration,
		offset: 28,
		services: emptyStateFixture.configuration.services.set('loaf-ordering', {
			service: 'loaf-ordering', teamId: 'team-7', latencyTargetMs: 250, demandPerBackendServer: taskFixture.spec.demand,
		}),
	},
};

const liveness: Liveness = {
	appliedOffsetByVm: {'vm-1': 28, 'vm-2': 30}, appliedOffsetByEntry: {'entry-1': 28}, logReachable: true, tailAgeMs: 12,
};

test('a configuration is in force when every live member applied it, and an expired VM does not count', t => {
	t.deepEqual(buildStatus(state, liveness).configuration, {offset: 28, inForce: true, lagging: []});
});

test('a member that reported a lower offset or none keeps the configuration out of force', t => {
	const {configuration} = buildStatus(state, {...liveness, appliedOffsetByVm: {'vm-1': 27}});
	t.false(configuration.inForce);
	t.deepEqual(configuration.lagging, [
		{member: 'vm-1', role: 'agent', appliedOffset: 27},
		{member: 'vm-2', role: 'agent', appliedOffset: null},
	]);
});

test('the report counts what serves, what is free and who waits', t => {
	const report = buildStatus(state, liveness);
	t.deepEqual(statusReportSchema.parse(report), report);
	t.like(report.services[0], {serving: 1, leaving: 1, slots: 8});
	t.deepEqual(report.backendServers.map(server => server.phase), ['serving', 'serving, draining']);
	t.deepEqual(report.vms.map(vm => vm.condition), ['live', 'live, draining, unreachable', 'expired']);
	t.like(report.vms[0]?.free, {processorsMilli: 12_000, memoryMb: 50_000});
	t.deepEqual(report.queues.byClass, {urgent: 0, normal: 0, background: 1});
	t.like(report.queues.byTeam[0], {teamId: 'team-7', queued: {background: 1}, quota: null});
	t.is(report.evictions, 1);
	t.regex(renderStatus(buildStatus(state, {...liveness, logReachable: false, appliedOffsetByEntry: {}})), /log NOT REACHABLE.*\n.*NOT IN FORCE; not applied by entry entry-1 \(nothing reported\)/v);
});

const explanations: ReadonlyArray<readonly [subject: string, kind: Explanation['kind'], words: readonly string[]]> = [
	['task-1', 'task', ['considered 2 VMs: least harm to loaf-ordering', 'Candidate 1: vm-1, score 120 milli, harm 40 milli', 'chosen', 'evicted once']],
	['task-2', 'task', ['is queued: quota of team-7 is used up', 'place 1 of the background queue']],
	['plan-1', 'plan', ['rejected at offset 30: vm/vm-1 changed at offset 29']],
	['key-1', 'key', ['claim at offset 25', 'That agent is gone', 'outcome unknown']],
	['r1', 'request', ['sent to b1']],
];

for (const [subject, kind, words] of explanations) {
	test(`an explanation of ${subject} holds the figures that decided`, t => {
		const explanation = explainSubject(state, subject, subject === 'r1' ? ['Request r1 was sent to b1.'] : undefined).unwrapOr(undefined);
		t.is(explanation?.kind, kind);
		const text = explanation?.lines.join('\n') ?? '';
		t.deepEqual(words.filter(word => !text.includes(word)), []);
	});
}

test('an unknown subject is an error', t => {
	t.true(explainSubject(state, 'nothing', undefined).isErr);
});
