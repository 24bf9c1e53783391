import test from 'ava';
import {Map as immutableMap} from 'immutable';
import {minFillingLimitMilli} from '../placement/filling-limit.js';
import {type Job} from '../cluster/intent.js';
import {initialAdmission, type AdmissionState} from './admission-state.js';
import {decideAdmission, type AdmissionDecision, type AdmissionInputs} from './decide-admission.js';
import {
	admissionSettings, clusterFixture, jobFixture, knownRunTimes, objectiveMs, runFixture,
} from './overload-fixture.js';
import {refreshAdmission, tickAdmission} from './refresh-admission.js';

const nowMs = 100_000;
/** 600 thousandths of 100 processors take 17 tasks at a time. */
const processorsMilli = 100_000;
const noLimits = {...admissionSettings, largeRefusalLimitMilli: 100_000};

function stateWith(jobs: number, {deciderCount = 1, count = 20}: Readonly<{deciderCount?: number; count?: number}> = {}) {
	const runs = Array.from({length: jobs}, (_, index) => {
		const job = jobFixture(`old-${index}`, count, {submittedAtMs: nowMs});
		return [job.jobId, runFixture(job, [count, count], 'running')] as const;
	});
	const cluster = clusterFixture(processorsMilli, deciderCount, runs);
	return {
		cluster, state: refreshAdmission(initialAdmission, {
			cluster, fillingRoomByVm: immutableMap(), fillingLimitMilliOf: () => minFillingLimitMilli, runTimes: knownRunTimes, wallTimeMs: nowMs, nowMs,
		}),
	};
}

/** Returns the state after enough jobs of a queue that the size classes are known; all of them have `count` tasks. */
function withSizes(state: AdmissionState, queue = 'q', count = 20): AdmissionState {
	const sizes = decideAll(state, Array.from({length: 30}, (_, index) => jobFixture(`size-${index}`, count, {queue})), {}).state;
	return {...state, sizes: sizes.sizes};
}

function decide(state: AdmissionState, job: Job, inputs: Partial<AdmissionInputs>): AdmissionDecision {
	return decideAdmission(state, job, {
		cluster: clusterFixture(processorsMilli, 1, []), settings: noLimits, runTimes: knownRunTimes, callerFailureDomain: 'a', nowMs, wallTimeMs: nowMs, ...inputs,
	});
}

function decideAll(state: AdmissionState, jobs: readonly Job[], inputs: Partial<AdmissionInputs>): Readonly<{state: AdmissionState; accepted: readonly boolean[]}> {
	let current = state;
	const accepted: boolean[] = [];
	for (const job of jobs) {
		const decision = decide(current, job, inputs);
		current = decision.state;
		accepted.push(decision.verdict.isAccepted);
	}

	return {state: current, accepted};
}

const {state: overloaded} = stateWith(40);
const full = withSizes(overloaded);

test('a job that would end too late is refused with a time to come back, and a log line tells when refusing begins and ends', t => {
	const decision = decide(full, jobFixture('new', 20), {});
	t.like(decision.verdict, {isAccepted: false, retryAfterMs: 30_000});
	const again = decide(decision.state, jobFixture('other', 20), {});
	t.deepEqual([...decision.effects, ...again.effects].map(effect => effect.kind === 'log-event' && effect.event), ['job-admission-refusing']);
	t.deepEqual(tickAdmission(again.state, clusterFixture(processorsMilli, 1, []), nowMs + 4000).effects, []);
	t.like(tickAdmission(again.state, clusterFixture(processorsMilli, 1, []), nowMs + 6000).effects[0], {event: 'job-admission-accepting', fields: {refused: 2}});
});

test('without an objective, with a schedule, long-running only, without workflow or without evidence, no job is refused', t => {
	const job = jobFixture('new', 20);
	const workflow = job.workflow!;
	const {objective: _, ...withoutObjective} = workflow;
	const others: ReadonlyArray<readonly [Job, Partial<AdmissionInputs>]> = [
		[{...job, workflow: withoutObjective}, {}],
		[{...job, workflow: {...workflow, schedule: {firstAtMs: 0, intervalMs: 1, times: 2}}}, {}],
		[{...job, workflow: {...workflow, steps: workflow.steps.map(step => ({...step, longRunning: true}))}}, {}],
		[{...job, workflow: {...workflow, service: 'unknown'}}, {}],
		[job, {runTimes: {...knownRunTimes, sampleCountOf: () => 2}}],
	];
	t.deepEqual(others.map(([other, inputs]) => decide(full, other, inputs).verdict.isAccepted), [true, true, true, true, true]);
});

test('no job is refused while its tasks can start at once', t => {
	const {state} = stateWith(0);
	t.like(decide(state, jobFixture('new', 10), {}).verdict, {isAccepted: true, why: 'fits-now'});
});

test('a refused caller that comes back when told is accepted, with the time of its first attempt', t => {
	// An estimate just beyond three objectives, so that the job is still of use when its caller comes back.
	const {state} = stateWith(13, {count: 5});
	const first = decide(withSizes(state), jobFixture('new', 20, {submittedAtMs: nowMs}), {});
	t.false(first.verdict.isAccepted);
	const retryAfterMs = first.verdict.isAccepted ? 0 : first.verdict.retryAfterMs;
	const early = decide(first.state, jobFixture('new', 20), {nowMs: nowMs + 1000});
	t.like(early.verdict, {isAccepted: false, retryAfterMs: retryAfterMs - 1000});
	const laterMs = nowMs + retryAfterMs;
	t.true(retryAfterMs + 6200 <= 3 * objectiveMs);
	const back = decide(early.state, jobFixture('new', 20, {submittedAtMs: laterMs}), {nowMs: laterMs});
	t.like(back.verdict, {isAccepted: true, why: 'promised'});
	t.is(back.verdict.isAccepted ? back.verdict.job.workflow?.objective?.submittedAtMs : 0, nowMs);
	t.false(back.state.promises.has('new'));
});

test('later refused callers are told later times than earlier ones', t => {
	const {state} = stateWith(33, {count: 2});
	let current = withSizes(state);
	const waits = Array.from({length: 3}, (_, index) => {
		const decision = decide(current, jobFixture(`new-${index}`, 2), {});
		current = decision.state;
		return decision.verdict.isAccepted ? 0 : decision.verdict.retryAfterMs;
	});
	t.true(waits[0]! > 0 && waits[0]! < waits[1]! && waits[1]! < waits[2]!);
});

test('a queue or a failure domain that others flood keeps its floor', t => {
	const flooded = decideAll(full, Array.from({length: 20}, (_, index) => jobFixture(`new-${index}`, 20)), {});
	t.true(flooded.accepted.every(isAccepted => !isAccepted));
	const rare = decide(withSizes(flooded.state, 'quiet'), jobFixture('rare', 2, {queue: 'quiet'}), {});
	t.like(rare.verdict, {isAccepted: true, why: 'floor'});
	t.like(decide(flooded.state, jobFixture('far', 2), {callerFailureDomain: 'b'}).verdict, {isAccepted: true, why: 'floor'});
});

test('a large job is not refused while its class would be refused more often than its queue', t => {
	const settings = {...admissionSettings, largeFloorMilli: 0};
	const large = decide(full, jobFixture('large', 80), {settings});
	t.like(large.verdict, {isAccepted: true, why: 'size-share'});
	const refused = decideAll(full, Array.from({length: 30}, (_, index) => jobFixture(`new-${index}`, 20)), {settings});
	const larges = decideAll(refused.state, Array.from({length: 4}, (_, index) => jobFixture(`large-${index}`, 80)), {settings});
	t.deepEqual([larges.accepted[0], larges.accepted[1]], [true, false]);
});

test('four deciders together accept no more at once than there is room for', t => {
	const {cluster, state} = stateWith(0, {deciderCount: 4});
	const fits = (inputs: AdmissionInputs['cluster']): number => {
		let current = state;
		let count = 0;
		for (; ; count++) {
			const decision = decide(current, jobFixture(`new-${count}`, 1), {cluster: inputs});
			if (!decision.verdict.isAccepted || decision.verdict.why !== 'fits-now') {
				return count;
			}

			current = decision.state;
		}
	};

	t.is(fits(clusterFixture(processorsMilli, 1, [])), 17);
	t.true(4 * fits(cluster) <= 20);
});
