import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type ClusterState, type Task} from '../cluster/cluster-state.js';
import {applyRecord, emptyClusterState} from '../cluster/reduce-cluster.js';
import {type Step} from '../cluster/workflow.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {placeQueuedTasks} from './place-queued-tasks.js';
import {initialPlacement} from './placement-state.js';
import {recordFailedStarts} from './restart-pauses.js';

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e1', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});

const vmCount = 12;
const vmProcessorsMilli = 48_000;
/** Share of all processors that long-running tasks commit, in thousandths. */
const committedShareMilli = 890;
const passIntervalMs = 50;
/** Short tasks that are always queued. */
const waitingShortTasks = 40;
const shortTasksPerJob = 8;

const sum = (tasks: readonly Task[]): number => tasks.reduce((total, {spec}) => total + spec.demand.processorsMilli, 0);

/**
For tests: a fleet whose long-running tasks commit 89% of its processors, overloaded with urgent tasks of about a second that take each
fraction released on a VM. Claims go through the reducer and are read back with the next pass.

@example
const fleet = new OverloadedFleet(7);
fleet.play(2000);
*/
export class OverloadedFleet {
	nowMs = 0;
	cluster: ClusterState = emptyClusterState;
	/** Times at which each task was claimed. */
	readonly claimedAtMs = new Map<string, number[]>();
	endedShortTasks = 0;
	readonly #generator;
	readonly #endsAtMs = new Map<string, number>();
	#placement = initialPlacement;
	#jobs = 0;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
		this.apply({
			kind: 'entry-registered', entryId: 'e1', failureDomain: 'a', operatorAddress: '',
		});
		for (let index = 0; index < vmCount; index++) {
			this.apply({
				kind: 'vm-registered',
				vmId: `vm-${index}`,
				agentIncarnation: `a-${index}`,
				workerIncarnation: `w-${index}`,
				failureDomain: 'a',
				rack: 'r',
				requestAddress: '',
				capacity: {processorsMilli: vmProcessorsMilli, memoryMb: 1_000_000, accelerators: 0},
				runningTasks: [],
				service: 's',
				labels: [],
			});
		}

		let committedMilli = 0;
		while (committedMilli < vmCount * vmProcessorsMilli * committedShareMilli / 1000) {
			const processorsMilli = this.#draw(4000, 8500);
			this.submit({longRunning: true, processorsMilli});
			committedMilli += processorsMilli;
		}

		this.#pass();
		this.#pass();
	}

	/** Submits an urgent job of one step and returns its ID. */
	submit({count = 1, longRunning = false, processorsMilli}: Readonly<{count?: number; longRunning?: boolean; processorsMilli: number}>): string {
		const jobId = `job-${this.#jobs++}`;
		const step: Step = {
			// Declared run times are inaccurate.
			count, demand: {processorsMilli, memoryMb: 100, accelerators: 0}, declaredRunTimeMs: this.#draw(100, 1900), ...(longRunning && {longRunning}),
		};
		this.apply({
			kind: 'job-submitted', job: {
				jobId, teamId: 't', workClass: 'batch', priority: 'urgent', tasks: [], workflow: {
					queue: 'q', service: 's', payload: '', steps: [step], maxFailures: 3, objective: {submittedAtMs: this.nowMs, stretchMilli: 1500, slackMs: 300},
				},
			},
		});
		return jobId;
	}

	/** Returns the largest running long-running task that fits on another VM together with the long-running tasks there. */
	largestMovableTaskId(): string {
		const longRunningTasks = [...this.cluster.tasks.values()].filter(({jobId, claim}) => claim && this.#isLongRunning(jobId));
		const freeMilli = (vmId: string) => vmProcessorsMilli - sum(longRunningTasks.filter(({claim}) => claim!.vmId === vmId));
		return longRunningTasks
			.toSorted((left, right) => right.spec.demand.processorsMilli - left.spec.demand.processorsMilli)
			.find(({spec, claim}) => [...this.cluster.vms.keys()].some(vmId => vmId !== claim!.vmId && freeMilli(vmId) >= spec.demand.processorsMilli))!.spec.taskId;
	}

	end(taskId: string, outcome: 'finished' | 'failed'): void {
		const {attempt, claim} = this.cluster.tasks.get(taskId)!;
		this.apply({
			kind: 'task-ended', taskId, attempt, agentIncarnation: claim!.agentIncarnation, outcome, reason: '',
		});
	}

	/** Simulates the overload for a time, or until a task is no longer queued, and returns the simulated time. */
	simulate(lengthMs: number, untilClaimed = ''): number {
		const startMs = this.nowMs;
		while (this.nowMs < startMs + lengthMs && this.#isQueued(untilClaimed)) {
			this.nowMs += passIntervalMs;
			for (const [taskId, endMs] of this.#endsAtMs) {
				if (endMs <= this.nowMs) {
					this.#endsAtMs.delete(taskId);
					this.endedShortTasks++;
					this.end(taskId, 'finished');
				}
			}

			while ((this.cluster.queued.get('urgent')?.size ?? 0) < waitingShortTasks) {
				this.submit({count: shortTasksPerJob, processorsMilli: this.#draw(500, 1500)});
			}

			this.#pass();
		}

		return this.nowMs - startMs;
	}

	apply(record: ClusterRecord): void {
		const offset = this.cluster.offset + 1;
		const logged = {
			offset, envelope: {
				writer: 'e1', incarnation: 'i1', sequence: offset + 1, record,
			},
		};
		this.cluster = applyRecord(this.cluster, logged);
		this.#placement = {...this.#placement, failedStarts: recordFailedStarts(this.#placement.failedStarts, [logged], this.cluster, this.nowMs)};
	}

	#draw(least: number, most: number): number {
		return uniformInt(this.#generator, least, most);
	}

	#isLongRunning(jobId: string): boolean {
		return this.cluster.workflows.get(jobId)?.workflow.steps[0]?.longRunning === true;
	}

	/** Returns whether a task is still queued; true for an empty ID. */
	#isQueued(taskId: string): boolean {
		return taskId === '' || this.cluster.tasks.get(taskId)?.phase === 'queued';
	}

	#pass(): void {
		const {state, effects} = placeQueuedTasks(this.#placement, {
			cluster: this.cluster, settings, incarnation: 'i1', nowMs: this.nowMs, wallTimeMs: this.nowMs, tailConfirmedSentAtMs: this.nowMs, pendingAppends: 0, seed: this.#draw(0, 1_000_000),
		});
		this.#placement = state;
		for (const effect of effects) {
			if (effect.kind === 'append-record') {
				this.apply(effect.record);
				this.#startClaimedTask(effect.record);
			}
		}
	}

	#startClaimedTask(record: ClusterRecord): void {
		const task = record.kind === 'task-claimed' ? this.cluster.tasks.get(record.taskId) : undefined;
		if (task?.phase !== 'claimed') {
			return;
		}

		const {taskId} = task.spec;
		this.apply({
			kind: 'task-started', taskId, attempt: task.attempt, agentIncarnation: task.claim!.agentIncarnation,
		});
		this.claimedAtMs.set(taskId, [...this.claimedAtMs.get(taskId) ?? [], this.nowMs]);
		if (!this.#isLongRunning(task.jobId)) {
			this.#endsAtMs.set(taskId, this.nowMs + this.#draw(500, 1500));
		}
	}
}
