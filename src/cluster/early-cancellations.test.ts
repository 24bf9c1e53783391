import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {type ClusterRecord} from './cluster-record.js';
import {type ClusterState} from './cluster-state.js';
import {decodeClusterState, encodeClusterState} from './cluster-state-codec.js';
import {type Job} from './intent.js';
import {applyRecord, emptyClusterState} from './reduce-cluster.js';
import {MAX_EARLY_CANCELLATIONS} from './state-limits.js';

const demand = {processorsMilli: 1000, memoryMb: 100, accelerators: 0};

const workflowJob = (jobId: string): Job => ({
	jobId, teamId: 'team', workClass: 'batch', priority: 'normal', tasks: [], workflow: {
		queue: 'q', service: 's', payload: '', maxFailures: 1, steps: [{count: 2, demand, declaredRunTimeMs: 1000}],
	},
});

const plainJob = (jobId: string): Job => ({
	jobId, teamId: 'team', workClass: 'batch', priority: 'normal', tasks: [{
		taskId: `${jobId}-task`, demand, declaredRunTimeMs: 1000, payload: '',
	}],
});

type Writer = 'a' | 'b';

/** Records of two entries on their way to one log. A writer's records arrive in the order in which it queued them. */
class TwoWriters {
	state: ClusterState = emptyClusterState;
	readonly #pending = new Map<Writer, ClusterRecord[]>([['a', []], ['b', []]]);
	readonly #sequences = new Map<Writer, number>();

	constructor() {
		for (const writer of ['a', 'b'] as const) {
			this.queue(writer, {
				kind: 'entry-registered', entryId: writer, failureDomain: writer, operatorAddress: '127.0.0.1:1',
			});
			this.deliver(writer);
			this.heartbeat(writer);
			this.deliver(writer);
		}
	}

	queue(writer: Writer, record: ClusterRecord): this {
		this.#pending.get(writer)!.push(record);
		return this;
	}

	heartbeat(writer: Writer): this {
		return this.queue(writer, {kind: 'entry-alive', appliedOffset: this.state.offset});
	}

	submit(writer: Writer, job: Job): this {
		return this.queue(writer, {kind: 'job-submitted', job});
	}

	cancel(writer: Writer, jobId: string): this {
		return this.queue(writer, {kind: 'job-cancelled', jobId});
	}

	/** Delivers all pending records of a writer. */
	deliver(writer: Writer): this {
		for (const record of this.#pending.get(writer)!.splice(0)) {
			const sequence = (this.#sequences.get(writer) ?? 0) + 1;
			this.#sequences.set(writer, sequence);
			this.state = applyRecord(this.state, {
				offset: this.state.offset + 1, envelope: {
					writer, incarnation: writer, sequence, record,
				},
			});
		}

		return this;
	}

	/** Replaces the state by its own snapshot. */
	reload(): this {
		const text = JSON.stringify(encodeClusterState(this.state));
		this.state = decodeClusterState(JSON.parse(text)).unwrapOrElse(({message}) => {
			throw new Error(message);
		});
		return this;
	}

	hasUnfinishedTask(jobId: string): boolean {
		return this.state.tasks.some(task => task.jobId === jobId && task.phase !== 'cancelled');
	}
}

const cancelOtherJobs = (log: TwoWriters, writer: Writer, count: number): void => {
	for (let index = 0; index < count; index++) {
		log.cancel(writer, `other-${log.state.offset}-${index}`);
	}

	log.deliver(writer);
};

function checkCancelledInAdvance(t: ExecutionContext, job: Job, between: (log: TwoWriters) => unknown = () => undefined): TwoWriters {
	const log = new TwoWriters();
	log.submit('a', job);
	log.cancel('b', job.jobId).deliver('b');
	between(log);
	log.deliver('a');
	t.false(log.hasUnfinishedTask(job.jobId));
	return log;
}

/** Guards against a job that runs after its cancellation was acknowledged, because the entry that took it could not reach the log before. */
test('a job does not run whose record arrives after its cancellation', t => {
	const {state} = checkCancelledInAdvance(t, workflowJob('job'));
	t.is(state.finishedWorkflows.get('job')?.phase, 'cancelled');
	t.is(state.earlyCancellations.size, 0);
	const plain = checkCancelledInAdvance(t, plainJob('job'));
	t.is(plain.state.tasks.get('job-task')?.phase, 'cancelled');
});

test('a cancellation that arrives before its job outlives a snapshot, and a second record of the job', t => {
	const log = checkCancelledInAdvance(t, workflowJob('job'), between => between.reload());
	log.submit('b', workflowJob('job')).deliver('b');
	t.false(log.hasUnfinishedTask('job'));
});

test('the cancellation of a job with tasks of its own is not lost when its record arrives between the request and the cancellation', t => {
	const log = new TwoWriters();
	log.cancel('b', 'job').submit('a', plainJob('job')).deliver('a').deliver('b');
	t.is(log.state.tasks.get('job-task')?.phase, 'cancelled');
});

test('a flood of cancellations of unknown jobs neither grows the state without bound nor lets a cancelled job run', t => {
	const log = checkCancelledInAdvance(t, workflowJob('job'), between => {
		cancelOtherJobs(between, 'b', MAX_EARLY_CANCELLATIONS + 10);
	});
	t.is(log.state.earlyCancellations.size, MAX_EARLY_CANCELLATIONS);
	// Entry b had not said either that it has read the forgotten cancellations.
	log.submit('b', workflowJob('job-2')).deliver('b');
	t.false(log.hasUnfinishedTask('job-2'));
	log.heartbeat('b').submit('b', workflowJob('job-2')).deliver('b');
	t.true(log.hasUnfinishedTask('job-2'));
});

test('no order of submissions, cancellations, heartbeats and snapshots runs a job that was queued before its cancellation was read', t => {
	const command = fc.record({
		kind: fc.constantFrom('submit', 'submit', 'cancel', 'cancel', 'heartbeat', 'deliver', 'deliver', 'deliver', 'reload', 'flood'),
		writer: fc.constantFrom<Writer>('a', 'b'),
		job: fc.nat(3),
	});
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(command, {minLength: 10, maxLength: 40}), commands => {
			const log = new TwoWriters();
			const cancelledIds = new Set<string>();
			for (const {kind, writer, job} of commands) {
				const jobId = `job-${job}`;
				const handlers: Readonly<Record<typeof kind, () => unknown>> = {
					submit: () => cancelledIds.has(jobId) ? undefined : log.submit(writer, job % 2 === 0 ? workflowJob(jobId) : plainJob(jobId)),
					cancel() {
						log.cancel(writer, jobId).deliver(writer);
						cancelledIds.add(jobId);
					},
					heartbeat: () => log.heartbeat(writer),
					deliver: () => log.deliver(writer),
					reload: () => log.reload(),
					flood() {
						cancelOtherJobs(log, writer, MAX_EARLY_CANCELLATIONS / 2);
					},
				};
				handlers[kind]();
				for (const id of cancelledIds) {
					if (log.hasUnfinishedTask(id)) {
						throw new Error(`${id} runs after its cancellation`);
					}
				}
			}
		}), {numRuns: 60});
	});
});
