import test from 'ava';
import {Map as immutableMap, Set as immutableSet} from 'immutable';
import {type Task, type Vm, type WorkflowRun} from '../cluster/cluster-state.js';
import {createdTasksFixture} from '../cluster/workflow-run-fixture.js';
import {noResources} from '../cluster/resources.js';
import {emptyStateFixture, taskFixture, vmFixture} from '../operator/state-fixture.js';
import {admitFillingJobs} from './admit-filling-jobs.js';
import {noPendingClaims} from './pending-claims.js';

type Job = Readonly<{service: string; processorsMilli: number; requiredLabel?: string; runsOn?: string}>;

/** Returns the tasks of the given filling jobs, of one task each, that are admitted on two VMs of 16 cores that belong to the services `a` and `b`. */
function admittedOf(jobs: Readonly<Record<string, Job>>, blockedSteps?: ReadonlySet<string>): readonly string[] {
	const entries = Object.entries(jobs);
	const idOf = (jobId: string): string => `${jobId}.0.0.0`;
	const run = (jobId: string, {service, processorsMilli, requiredLabel}: Job): WorkflowRun => ({
		workflow: {
			queue: 'q', service, payload: '', maxFailures: 1, steps: [{
				count: 1, demand: {processorsMilli, memoryMb: 1, accelerators: 0}, declaredRunTimeMs: 1000, fillsIdle: true, ...(requiredLabel !== undefined && {requiredLabel}),
			}],
		},
		owner: {
			jobId, teamId: 't', workClass: 'batch', priority: 'background',
		},
		phase: 'queued',
		unfinishedByStep: immutableMap([['0.0', 1]]),
		madeOccurrences: 1,
		...createdTasksFixture([idOf(jobId)]),
	});
	const task = (jobId: string, {runsOn}: Job): Task => ({
		...taskFixture,
		jobId,
		position: {occurrence: 0, stepIndex: 0},
		spec: {...taskFixture.spec, taskId: idOf(jobId), demand: {processorsMilli: 0, memoryMb: 1, accelerators: 0}},
		...(runsOn === undefined ? {phase: 'queued', attempt: 0, claim: undefined} : {phase: 'running', attempt: 1}),
	});
	const vms = ['a', 'b'].map((service): Vm => ({
		...vmFixture, vmId: service, service, committed: noResources, taskIds: immutableSet(entries.filter(([, {runsOn}]) => runsOn === service).map(([jobId]) => idOf(jobId))),
	}));
	return admitFillingJobs(entries.filter(([, {runsOn}]) => runsOn === undefined).map(([jobId]) => idOf(jobId)), {
		cluster: {
			...emptyStateFixture,
			vms: immutableMap(vms.map(vm => [vm.vmId, vm])),
			workflows: immutableMap(entries.map(([jobId, job]) => [jobId, run(jobId, job)])),
			tasks: immutableMap(entries.map(([jobId, job]) => [idOf(jobId), task(jobId, job)])),
		},
		vms,
		pending: noPendingClaims,
		fillingRoomByVm: immutableMap(),
		mayExceed: () => false,
		...(blockedSteps && {blockedSteps}),
	});
}

test('the filling work of one service at its limit does not keep out the filling jobs of another service', t => {
	t.deepEqual(admittedOf({full: {service: 'b', processorsMilli: 32_000, runsOn: 'b'}, first: {service: 'a', processorsMilli: 8000}}), ['first.0.0.0']);
	t.deepEqual(admittedOf({full: {service: 'a', processorsMilli: 32_000, runsOn: 'a'}, first: {service: 'a', processorsMilli: 8000}}), []);
});

test('a filling job that no VM can run now does not keep out the jobs behind it', t => {
	t.true(admittedOf({
		stuck: {service: 'a', processorsMilli: 15_000, requiredLabel: 'away'}, next: {service: 'a', processorsMilli: 9000},
	}).includes('next.0.0.0'));
});

test('filling work that no VM can take, since its image affects all serving tasks too much, does not keep out a job that other processors could run', t => {
	const jobs = {blocked: {service: 'a', processorsMilli: 9000}, next: {service: 'a', processorsMilli: 9000}};
	t.deepEqual(admittedOf(jobs), ['blocked.0.0.0']);
	t.deepEqual(admittedOf(jobs, new Set(['blocked/0.0'])), ['blocked.0.0.0', 'next.0.0.0']);
});
