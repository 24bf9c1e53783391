import test from 'ava';
import fc from 'fast-check';
import {computePlan} from './compute-plan.js';
import {type ClusterState} from './cluster-state.js';
import {type Intent, type Plan} from './intent.js';
import {resourcesOfCores, buildLog, randomCommands} from './random-log.js';
import {applyRecord, emptyClusterState} from './reduce-cluster.js';

const options = {planId: 'p1', nowMs: 0, expiresInMs: 1000};

const intents: readonly Intent[] = [
	{kind: 'drain-vm', vmId: 'vm-0'},
	{kind: 'return-vm', vmId: 'vm-0'},
	{kind: 'drain-failure-domain', failureDomain: 'domain-0'},
	{kind: 'drain-backend-server', backendServerId: 'b0'},
	{kind: 'cancel-job', jobId: 'job-1'},
	{kind: 'set-quota', teamId: 'team-0', quota: resourcesOfCores(4)},
	{
		kind: 'admit-service',
		service: {
			service: 'service-0', teamId: 'team-0', latencyTargetMs: 50, demandPerBackendServer: resourcesOfCores(2),
		},
	},
	{
		kind: 'set-weights',
		weights: {
			tailLatencyMilli: 1, batchThroughputMilli: 1, evictionsMilli: 1, floodMilli: 1,
		},
	},
];

function confirm(state: ClusterState, plan: Plan, writer: number): ClusterState {
	const incarnation = `writer-${writer}`;
	return applyRecord(state, {
		offset: state.offset + 1,
		envelope: {
			writer: `entry-${writer}`, incarnation, sequence: (state.sequences.get(incarnation) ?? 0) + 1, record: {kind: 'plan-confirmed', plan},
		},
	});
}

test('of two concurrent plans that touch the same entities exactly one is accepted, and confirming either again changes nothing', t => {
	fc.assert(fc.property(randomCommands, fc.constantFrom(...intents), (list, intent) => {
		let base = emptyClusterState;
		buildLog(list, (_, __, after) => {
			base = after;
		});
		const first = computePlan(base, intent, options);
		const second = computePlan(base, intent, {...options, planId: 'p2'});
		fc.pre(first.isOk && second.isOk);

		const afterFirst = confirm(base, first.value, 0);
		const afterSecond = confirm(afterFirst, second.value, 1);
		const afterRepeats = confirm(confirm(afterSecond, second.value, 0), first.value, 1);
		t.true(afterFirst.planDecisions.get('p1')?.accepted);
		t.false(afterSecond.planDecisions.get('p2')?.accepted);
		t.true(afterSecond.planDecisions.get('p2')!.reason.includes(first.value.touches[0]!));
		t.is(afterRepeats.planDecisions, afterSecond.planDecisions);
		t.is(afterRepeats.configuration, afterFirst.configuration);
	}));
});

test('a job that no VM could hold is refused with a message that describes the missing capacity', t => {
	let state = emptyClusterState;
	buildLog([], (_, __, after) => {
		state = after;
	});
	const job = (cores: number, accelerators: number): Intent => ({
		kind: 'submit-job',
		job: {
			jobId: 'big',
			teamId: 'team-0',
			workClass: 'batch',
			priority: 'normal',
			tasks: [{
				taskId: 'big-1', demand: {...resourcesOfCores(cores), accelerators}, declaredRunTimeMs: 1, payload: '',
			}],
		},
	});
	t.is(computePlan(state, job(1, 0), options).map(({touches}) => touches[0]).unwrapOr('refused'), 'job/big');
	const refused = computePlan(state, job(1, 2), options);
	t.true(refused.isErr && refused.error.kind === 'task-unplaceable' && refused.error.message.includes('needs 2 accelerators; the largest VM has 0'));
	const unknown = computePlan(state, {kind: 'drain-vm', vmId: 'vm-9'}, options);
	t.true(unknown.isErr && unknown.error.kind === 'unknown-vm' && unknown.error.remedy.includes('arbutushinge status'));
});
