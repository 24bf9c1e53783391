import test from 'ava';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {applyRecord, emptyClusterState} from '../cluster/reduce-cluster.js';
import {type Step} from '../cluster/workflow.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {placeQueuedTasks} from './place-queued-tasks.js';
import {initialPlacement} from './placement-state.js';
import {recordFailedStarts} from './restart-pauses.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});

const passIntervalMs = 50;
const vmProcessorsMilli = 8000;
/** Time after which a crash-looping task fails. */
const crashAfterMs = 100;

/** One VM and the entries that place on it; crash-looping tasks fail soon after each start. */
class CrashingSite {
	nowMs = 100_000;
	cluster = emptyClusterState;
	readonly claimedAtMs = new Map<string, number[]>();
	#placements = new Map([['i1', initialPlacement], ['i2', initialPlacement]]);
	#owner = 'i1';
	#sequence = 0;
	readonly #endsAtMs = new Map<string, number>();

	constructor() {
		this.apply({
			kind: 'entry-registered', entryId: 'e', failureDomain: 'a', operatorAddress: '',
		});
		this.apply({
			kind: 'vm-registered', vmId: 'vm', agentIncarnation: 'a', workerIncarnation: 'w', failureDomain: 'a', rack: 'r', requestAddress: '', capacity: {processorsMilli: vmProcessorsMilli, memoryMb: 1000, accelerators: 0}, runningTasks: [], service: 's', labels: [],
		});
	}

	submit(jobId: string, step: Partial<Step> & Readonly<{processorsMilli: number}>): void {
		const {processorsMilli, ...fields} = step;
		this.apply({
			kind: 'job-submitted', job: {
				jobId, teamId: 't', workClass: 'batch', priority: 'urgent', tasks: [], workflow: {
					queue: 'q', service: 's', payload: '', maxFailures: 2, steps: [{
						count: 1, demand: {processorsMilli, memoryMb: 1, accelerators: 0}, declaredRunTimeMs: 100, ...fields,
					}],
				},
			},
		});
	}

	fail(taskId: string): void {
		const {attempt, claim} = this.cluster.tasks.get(taskId)!;
		this.apply({
			kind: 'task-ended', taskId, attempt, agentIncarnation: claim!.agentIncarnation, outcome: 'failed', reason: '',
		});
	}

	/** Lets the other entry place, which has read the same log. */
	takeOver(): void {
		this.#owner = 'i2';
	}

	simulate(lengthMs: number): void {
		for (const untilMs = this.nowMs + lengthMs; this.nowMs < untilMs; this.nowMs += passIntervalMs) {
			for (const [taskId, endMs] of this.#endsAtMs) {
				if (endMs <= this.nowMs) {
					this.#endsAtMs.delete(taskId);
					this.fail(taskId);
				}
			}

			const {state, effects} = placeQueuedTasks(this.#placements.get(this.#owner)!, {
				cluster: this.cluster, settings, incarnation: 'i1', nowMs: this.nowMs, wallTimeMs: this.nowMs, tailConfirmedSentAtMs: this.nowMs, pendingAppends: 0, seed: this.nowMs,
			});
			this.#placements.set(this.#owner, state);
			for (const effect of effects) {
				if (effect.kind === 'append-record' && effect.record.kind === 'task-claimed') {
					this.apply(effect.record);
					const {taskId} = effect.record;
					this.claimedAtMs.set(taskId, [...this.claimedAtMs.get(taskId) ?? [], this.nowMs]);
					if (taskId.startsWith('crashing')) {
						this.#endsAtMs.set(taskId, this.nowMs + crashAfterMs);
					}
				}
			}
		}
	}

	apply(record: ClusterRecord): void {
		this.#sequence++;
		const logged = {
			offset: this.cluster.offset + 1, envelope: {
				writer: 'e', incarnation: 'i1', sequence: this.#sequence, record,
			},
		};
		this.cluster = applyRecord(this.cluster, logged);
		this.#placements = new Map([...this.#placements].map(([entry, placement]) => [
			entry, {...placement, failedStarts: recordFailedStarts(placement.failedStarts, [logged], this.cluster, this.nowMs)},
		]));
	}
}

/** Crash-looping tasks that together demand four times what the VM has, of a step that must not have so many unavailable. */
const crashing = {
	count: 32, processorsMilli: 1000, longRunning: true, maxUnavailable: 1,
} as const;

test('a flood of tasks that fail at once on every start keeps neither a healthy restart nor a short task waiting', t => {
	const site = new CrashingSite();
	site.submit('healthy', {processorsMilli: 2000, longRunning: true});
	site.simulate(1000);
	site.submit('crashing', crashing);
	site.simulate(5000);
	site.submit('short', {processorsMilli: 1000});
	site.fail('healthy.0.0.0');
	site.simulate(3000);
	t.is(site.claimedAtMs.get('healthy.0.0.0')?.length, 2);
	t.is(site.claimedAtMs.get('short.0.0.0')?.length, 1);
});

test('a task that fails at once on every start is started ever more seldom, but never after more than half of the time that a task may be without a run', t => {
	const site = new CrashingSite();
	site.submit('crashing', {...crashing, count: 1});
	site.simulate(30_000);
	const times = site.claimedAtMs.get('crashing.0.0.0')!;
	const pausesMs = times.slice(1).map((atMs, index) => atMs - times[index]! - crashAfterMs);
	t.deepEqual(pausesMs.slice(0, 6), [0, 500, 1000, 2000, 3000, 3000]);
	t.is(Math.max(...pausesMs), 3000);
});

test('a task that has run for some time starts again at once, however often it failed before', t => {
	const site = new CrashingSite();
	site.submit('lasting', {processorsMilli: 1000, longRunning: true});
	for (let failures = 0; failures < 8; failures++) {
		site.simulate(10_000);
		site.fail('lasting.0.0.0');
		const failedAtMs = site.nowMs;
		site.simulate(100);
		t.is(site.claimedAtMs.get('lasting.0.0.0')?.at(-1), failedAtMs);
	}
});

test('the pauses of tasks that fail at once go on after a takeover of the placement', t => {
	const site = new CrashingSite();
	site.submit('crashing', {...crashing, count: 1});
	site.simulate(8000);
	const startsBefore = site.claimedAtMs.get('crashing.0.0.0')!.length;
	site.takeOver();
	site.simulate(6000);
	t.true(site.claimedAtMs.get('crashing.0.0.0')!.length - startsBefore <= 2);
});
