import test from 'ava';
import {type ClusterState} from '../cluster/cluster-state.js';
import {type Job} from '../cluster/intent.js';
import {WorkflowLog, workflowStep} from '../cluster/workflow-log-fixture.js';
import {jobFootprintBytes, measureHeldBytes} from './job-footprint.js';
import {
	initialStateBudget, isTooLargeForBudget, recordAcceptedJob, refuseBeyondBudget, type StateBudget,
} from './state-budget.js';

const limitBytes = 1_000_000;

function jobOf(jobId: string, {queue = 'queue', payload = '', steps = 1}: Readonly<{queue?: string; payload?: string; steps?: number}> = {}): Job {
	return {
		jobId, teamId: 'team', workClass: 'batch', priority: 'normal', tasks: [], workflow: {
			queue, service: 'loaves', payload, steps: Array.from({length: steps}, () => workflowStep()), maxFailures: 2,
		},
	};
}

/** A decider that reads back what it accepts, except what other deciders write. */
class Decider {
	budget: StateBudget = initialStateBudget;
	readonly log = new WorkflowLog();
	accepted: string[] = [];
	nowMs = 0;

	readonly #deciderCount: number;

	constructor(deciderCount = 1) {
		this.#deciderCount = deciderCount;
	}

	/** The log has one writer, which stands for all deciders. */
	get cluster(): ClusterState {
		const {state} = this.log;
		const member = state.entries.first()!;
		return {...state, entries: state.entries.merge(Array.from({length: this.#deciderCount - 1}, (_, index) => [`i${index}`, {...member, incarnation: `i${index}`}]))};
	}

	/** Hands a job in and returns the time after which its caller may come back, 0 when it is accepted. */
	submit(job: Job, {isRead = true} = {}): number {
		this.nowMs += 300;
		const {state, refusal} = refuseBeyondBudget(this.budget, job, {cluster: this.cluster, limitBytes, nowMs: this.nowMs});
		this.budget = state;
		if (refusal) {
			return refusal.retryAfterMs;
		}

		this.budget = recordAcceptedJob(this.budget, job, this.nowMs);
		this.accepted.push(job.jobId);
		if (isRead) {
			this.log.append({kind: 'job-submitted', job});
		}

		return 0;
	}

	/** Hands in jobs until one is refused. */
	fill(job: (index: number) => Job, {isRead = true} = {}): void {
		for (let index = 0; this.submit(job(index), {isRead}) === 0;) {
			index++;
		}
	}
}

const longJob = (queue: string) => (index: number): Job => jobOf(`${queue}-${index}`, {queue, payload: 'x'.repeat(4000)});

/** Guards against entries that accepted jobs end: no sequence of them may take more than the memory for jobs. */
test('jobs of any size are refused before they take more than the memory for jobs', t => {
	for (const [payloadLength, steps] of [[0, 1], [4000, 1], [0, 256], [4000, 20]] as const) {
		const decider = new Decider();
		for (const queue of ['a', 'b', 'c', 'd']) {
			decider.fill(index => jobOf(`${queue}-${index}`, {queue, payload: 'x'.repeat(payloadLength), steps}));
		}

		t.true(measureHeldBytes(decider.cluster).totalBytes <= limitBytes);
		t.true(decider.accepted.length > 0 || isTooLargeForBudget(jobOf('large', {steps}), limitBytes));
	}
});

test('jobs that are accepted and not read back count for each decider', t => {
	const deciderCount = 4;
	const decider = new Decider(deciderCount);
	const large = (index: number): Job => jobOf(`a-${index}`, {payload: 'x'.repeat(4000), steps: 20});
	// An accepted job that is not read back is counted for 10 s, longer than these take.
	for (let index = 0; index < 30; index++) {
		decider.submit(large(index), {isRead: false});
	}

	t.true(decider.accepted.length > 0);
	t.true(deciderCount * decider.accepted.length * jobFootprintBytes(large(0)) <= limitBytes);
});

/** Guards against one caller's queue that shuts out the others. */
test('a queue that fills its share leaves memory to another one, and large jobs leave some to small ones', t => {
	const decider = new Decider();
	decider.fill(longJob('flooded'));
	t.is(decider.submit(jobOf('other', {queue: 'other'})), 0);
	decider.fill(index => jobOf(`large-${index}`, {queue: 'large', steps: 100}));
	t.is(decider.submit(jobOf('small', {queue: 'large'})), 0);
});

test('a refused caller is told when jobs that end will have made room, and those who were refused before go first', t => {
	const decider = new Decider();
	decider.fill(longJob('a'));
	t.is(decider.submit(longJob('a')(1000)), 30_000, 'nothing ends');
	for (let index = 0; index < 30; index++) {
		decider.log.append({kind: 'job-cancelled', jobId: `a-${index}`});
		decider.submit(longJob('a')(2000 + index));
	}

	decider.fill(longJob('b'));
	const refused = Array.from({length: 5}, (_, index) => longJob('b')(5000 + index));
	const waitsMs = refused.map(job => decider.submit(job));
	t.true(waitsMs[0]! > 0 && waitsMs[0]! < 30_000);
	t.true(waitsMs.every((waitMs, index) => index === 0 || waitMs >= waitsMs[index - 1]!), 'callers are told to come back one after the other');
	decider.nowMs += waitsMs[0]!;
	for (const jobId of decider.accepted.slice(-10)) {
		if (decider.accepted.includes(refused[0]!.jobId)) {
			break;
		}

		decider.log.append({kind: 'job-cancelled', jobId});
		t.true(decider.submit(longJob('b')(6000)) > 0, 'a new job takes no memory that a caller was told of');
		decider.submit(refused[0]!);
	}

	t.true(decider.accepted.includes(refused[0]!.jobId));
});

/** Guards against an estimate that falls behind what a job holds. */
test('the estimate of a job is larger than its encoded form', t => {
	for (const job of [jobOf('one'), jobOf('many', {steps: 256}), longJob('a')(0)]) {
		const empty = new WorkflowLog();
		const log = new WorkflowLog().append({kind: 'job-submitted', job});
		const held = measureHeldBytes(log.state).totalBytes - measureHeldBytes(empty.state).totalBytes;
		t.true(held >= log.encodedBytes() - empty.encodedBytes());
		t.true(held >= jobFootprintBytes(job));
	}
});
