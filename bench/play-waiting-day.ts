import {type ClusterRecord} from '../src/cluster/cluster-record.js';
import {type ClusterState} from '../src/cluster/cluster-state.js';
import {applyRecord, emptyClusterState} from '../src/cluster/reduce-cluster.js';
import {isLongRunning, stepOf} from '../src/cluster/workflow-progress.js';
import {
	trackForbiddenWaits, type ForbiddenWait, type ForbiddenWaitState, noForbiddenWaits,
} from '../src/placement/forbidden-waits.js';
import {placeQueuedTasks} from '../src/placement/place-queued-tasks.js';
import {type PlacementContext} from '../src/placement/placement-pass.js';
import {initialPlacement, type PlacementState} from '../src/placement/placement-state.js';
import {noRunTimeEstimates, recordRunTimes} from '../src/placement/run-time-estimates.js';
import {recordFailedStarts} from '../src/placement/restart-pauses.js';
import {agentSettingsSchema} from '../src/settings/agent-settings.js';
import {entrySettingsSchema, type EntrySettings} from '../src/settings/entry-settings.js';
import {
	initialVmLiveness, recordAgentMessage, tickVmLiveness, type VmLivenessState,
} from '../src/membership/vm-liveness.js';
import {deployedTimings} from './deployed-timings.js';
import {endDelayMs, startDelayMs, stopDelayMs} from './loop-delays.js';
import {RandomDraw} from './random-draw.js';
import {
	drawWaitingDay, rackCount, type SiteEvent, trafficMs, vmMemoryMb, vmProcessorsMilli, vmsPerRack, type WaitingDay, type WaitingDayOptions, type WaitingJob,
} from './waiting-day.js';

/** Figures of one simulated run. */
export type WaitingResult = Readonly<{
	seed: number;
	forbidden: readonly ForbiddenWait[];
	/** Jobs that ended as failed. Tasks of short jobs never fail by themselves in the simulation. */
	failedJobs: number;
	/** How often long-running tasks ended by themselves or were lost with their worker. */
	lastingEnds: number;
	longestLastingWaitMs: number;
	/** Share of the short jobs that finished within their objective. */
	shortInTime: number;
	shortJobs: number;
	/** Mean time from the submission of small and of large short jobs to the first start of a task; until the end of the run for jobs that never started. */
	smallFirstStartMs: number;
	largeFirstStartMs: number;
	meanCommittedShare: number;
}>;

const settingsOf = (enabled: boolean): EntrySettings => entrySettingsSchema.parse({
	role: 'entry', entryId: 'e', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
	timings: deployedTimings('entry'), planning: {enabled},
});

const {heartbeatMs, contactLimitMs} = agentSettingsSchema.parse({
	role: 'agent', vmId: 'vm', failureDomain: 'a', rack: 'r', requestAddress: '127.0.0.1:1', timings: deployedTimings('agent'),
}).timings;

const tickMs = 100;
const entryHeartbeatMs = 300;

/** Time after the traffic for short jobs to finish, and how long the site is observed after that. */
const completionMs = 14_000;
const observedAfterCompletionMs = 5000;

/** Time that a leaving worker has to end its work. */
const gracePeriodMs = 6000;
/** Time between two observations of the agents by an entry, rounded up to `tickMs`. */
const controlTickMs = 300;
/** Differences between the times at which agents send their heartbeats. */
const heartbeatOffsetMs = 300;

/** Share of the ends of long-running tasks that are failures. */
const failureShare = 0.8;
const failureRandomStream = 8;

const objective = {stretchMilli: 2000, slackMs: 1000};
const service = 'site';

type Entry = {readonly entryId: string; incarnation: string; placement: PlacementState; vmLiveness: VmLivenessState; isUp: boolean};
type Run = Readonly<{attempt: number; endsAtMs: number}>;
type Worker = {readonly vmId: string; readonly rack: string; generation: number; isUp: boolean; isAgentUp: boolean; isStarting: boolean; readonly runs: Map<string, Run>};

/**
Simulates long-running and short tasks on the same VMs in virtual time, with the real placement and cluster state, and returns the waits
that the platform forbids together with other figures.

@example
playWaitingDay(7).forbidden.length; // => 0
*/
export function playWaitingDay(seed: number, options?: WaitingDayOptions): WaitingResult {
	return new WaitingDaySimulation(seed, drawWaitingDay(seed, options), settingsOf(options?.planning ?? false)).run();
}

class WaitingDaySimulation {
	private readonly entries: readonly Entry[] = ['e1', 'e2', 'e3'].map(entryId => ({
		entryId, incarnation: `${entryId}-0`, placement: initialPlacement, vmLiveness: initialVmLiveness, isUp: true,
	}));

	private readonly workers: readonly Worker[] = Array.from({length: rackCount * vmsPerRack}, (_, index) => ({
		vmId: `vm-${index}`, rack: `rack-${index % rackCount}`, generation: 0, isUp: true, isAgentUp: true, isStarting: false, runs: new Map<string, Run>(),
	}));

	private readonly workersById = new Map(this.workers.map(worker => [worker.vmId, worker]));
	private readonly sequences = new Map<string, number>();
	private readonly stopping = new Set<string>();
	private readonly draw: RandomDraw;
	private due: Array<Readonly<{atMs: number; run: () => void}>> = [];
	private cluster: ClusterState = emptyClusterState;
	private runTimes = noRunTimeEstimates;
	private readonly firstStartWaitsMs = new Map<string, number>();
	private waits: ForbiddenWaitState = noForbiddenWaits;
	private readonly forbidden: ForbiddenWait[] = [];
	private nowMs = 0;
	private lastDisturbanceMs = 0;
	private lastingEnds = 0;
	private longestLastingWaitMs = 0;
	private shortInTime = 0;
	private failedJobs = 0;
	private committedShares = 0;
	private ticks = 0;

	public constructor(private readonly seed: number, private readonly day: WaitingDay, private readonly settings: EntrySettings) {
		this.draw = new RandomDraw(seed, failureRandomStream);
	}

	public run(): WaitingResult {
		for (const entry of this.entries) {
			this.registerEntry(entry);
		}

		for (const worker of this.workers) {
			this.register(worker);
		}

		for (const event of this.day.events) {
			this.due.push({
				atMs: event.atMs, run: () => {
					this.applyEvent(event);
				},
			});
		}

		const arrivals = [...this.day.jobs].toReversed();
		while (this.nowMs < trafficMs + completionMs + observedAfterCompletionMs) {
			while (arrivals.at(-1) !== undefined && arrivals.at(-1)!.submittedAtMs <= this.nowMs) {
				this.submit(arrivals.pop()!);
			}

			this.endRuns();
			this.runDue();
			this.place();
			this.observeAgents();
			this.observe();
			this.ticks++;
			this.nowMs += tickMs;
		}

		const shortJobs = this.day.jobs.filter(({jobId}) => jobId.startsWith('short')).length;
		return {
			seed: this.seed,
			forbidden: this.forbidden,
			failedJobs: this.failedJobs,
			lastingEnds: this.lastingEnds,
			longestLastingWaitMs: this.longestLastingWaitMs,
			shortInTime: this.shortInTime / shortJobs,
			shortJobs,
			smallFirstStartMs: this.meanFirstStartMs('short'),
			largeFirstStartMs: this.meanFirstStartMs('large'),
			meanCommittedShare: this.committedShares / this.ticks,
		};
	}

	private meanFirstStartMs(kind: string): number {
		const waits = this.day.jobs.filter(({jobId}) => jobId.startsWith(kind)).map(({jobId, submittedAtMs}) => this.firstStartWaitsMs.get(jobId) ?? this.nowMs - submittedAtMs);
		return waits.reduce((sum, waitMs) => sum + waitMs, 0) / Math.max(1, waits.length);
	}

	private appendAs(incarnation: string, record: ClusterRecord): void {
		const sequence = (this.sequences.get(incarnation) ?? 0) + 1;
		this.sequences.set(incarnation, sequence);
		const before = this.cluster;
		const logged = {
			offset: before.offset + 1, envelope: {
				writer: 'e', incarnation, sequence, record,
			},
		};
		this.cluster = applyRecord(before, logged);
		this.runTimes = recordRunTimes(this.runTimes, [logged], this.cluster, this.nowMs);
		for (const entry of this.entries) {
			entry.placement = {...entry.placement, failedStarts: recordFailedStarts(entry.placement.failedStarts, [logged], this.cluster, this.nowMs)};
		}

		if (this.cluster.finishedWorkflows !== before.finishedWorkflows) {
			this.recordFinishedJob(before);
		}
	}

	/** Appends as the first entry that is live. */
	private append(record: ClusterRecord): void {
		this.appendAs(this.entries.find(({isUp}) => isUp)!.incarnation, record);
	}

	private recordFinishedJob({finishedWorkflows}: ClusterState): void {
		const jobId = this.cluster.finishedWorkflows.keySeq().last()!;
		if (finishedWorkflows.has(jobId)) {
			return;
		}

		if (this.cluster.finishedWorkflows.get(jobId)!.phase === 'failed') {
			this.failedJobs++;
		}

		const job = this.day.jobs.find(candidate => candidate.jobId === jobId)!;
		const chainMs = job.steps.reduce((sum, {declaredRunTimeMs}) => sum + declaredRunTimeMs, 0);
		const allowedMs = (chainMs * objective.stretchMilli / 1000) + objective.slackMs;
		this.shortInTime += this.nowMs - job.submittedAtMs <= allowedMs ? 1 : 0;
	}

	private schedule(delayMs: number, run: () => void): void {
		this.due.push({atMs: this.nowMs + delayMs, run});
	}

	private runDue(): void {
		const ready = this.due.filter(({atMs}) => atMs <= this.nowMs);
		this.due = this.due.filter(({atMs}) => atMs > this.nowMs);
		for (const {run} of ready) {
			run();
		}
	}

	private submit({jobId, submittedAtMs, priority, steps}: WaitingJob): void {
		this.append({
			kind: 'job-submitted', job: {
				jobId, teamId: 'team', workClass: 'batch', priority, tasks: [], workflow: {
					queue: 'q', service, payload: '', steps, maxFailures: 3, objective: {submittedAtMs, ...objective},
				},
			},
		});
	}

	private registerEntry({entryId, incarnation}: Entry): void {
		this.appendAs(incarnation, {
			kind: 'entry-registered', entryId, failureDomain: 'a', operatorAddress: '127.0.0.1:1',
		});
		this.appendAs(incarnation, {kind: 'entry-bounds-contact', withdrawsAfterMs: this.settings.timings.heartbeatTimeoutMs});
	}

	/** Registers a VM as its agent does, with the tasks that its worker runs. */
	private register({vmId, rack, generation, runs}: Worker, agentIncarnation = `${vmId}-${generation}`): void {
		this.append({
			kind: 'vm-registered',
			vmId,
			agentIncarnation,
			workerIncarnation: `${vmId}-${generation}`,
			failureDomain: 'a',
			rack,
			requestAddress: '127.0.0.1:2',
			capacity: {processorsMilli: vmProcessorsMilli, memoryMb: vmMemoryMb, accelerators: 0},
			runningTasks: [...runs].map(([taskId, {attempt}]) => ({taskId, attempt})),
			service,
			labels: [],
			workerStartedAtMs: generation + 1,
		});
		this.append({
			kind: 'vm-bounds-contact', vmId, agentIncarnation, limitMs: contactLimitMs,
		});
		for (const {incarnation} of this.entries.filter(({isUp}) => isUp)) {
			this.appendAs(incarnation, {kind: 'vm-reachable', vmId, agentIncarnation});
		}
	}

	private place(): void {
		for (const entry of this.entries) {
			if (!entry.isUp) {
				continue;
			}

			if (this.nowMs % entryHeartbeatMs === 0) {
				this.appendAs(entry.incarnation, {kind: 'entry-alive', appliedOffset: this.cluster.offset});
			}

			const {state, effects} = placeQueuedTasks(entry.placement, this.contextOf(entry));
			entry.placement = state;
			for (const effect of effects) {
				if (effect.kind === 'append-record') {
					this.appendAs(entry.incarnation, effect.record);
					this.applyPlacementRecord(effect.record);
				}
			}
		}
	}

	private contextOf({incarnation}: Entry): PlacementContext {
		return {
			cluster: this.cluster, settings: this.settings, runTimes: this.runTimes, incarnation, nowMs: this.nowMs, wallTimeMs: this.nowMs,
			tailConfirmedSentAtMs: this.nowMs, pendingAppends: 0, seed: (this.ticks * 7919) + this.seed,
		};
	}

	/** Delivers the heartbeats of the agents to all entries, which record the agents that they no longer hear and the expiry of their leases. */
	private observeAgents(): void {
		for (const entry of this.entries.filter(({isUp}) => isUp)) {
			for (const [index, {vmId, isAgentUp}] of this.workers.entries()) {
				if (isAgentUp && (this.nowMs + (index * heartbeatOffsetMs)) % heartbeatMs < tickMs) {
					entry.vmLiveness = recordAgentMessage(entry.vmLiveness, vmId, this.cluster.vms.get(vmId)!.agentIncarnation, this.nowMs);
				}
			}

			if (this.nowMs % controlTickMs !== 0) {
				continue;
			}

			const {incarnation} = entry;
			const {state, effects} = tickVmLiveness(entry.vmLiveness, this.contextOf(entry));
			entry.vmLiveness = state;
			this.schedule(endDelayMs, () => {
				for (const effect of effects) {
					if (effect.kind === 'append-record') {
						this.appendAs(incarnation, effect.record);
					}
				}
			});
		}
	}

	/** Does what agents do when they receive a record of the placement. */
	private applyPlacementRecord(record: ClusterRecord): void {
		if (record.kind === 'task-claimed') {
			const {taskId, attempt, evictTaskIds} = record;
			for (const evictedTaskId of evictTaskIds) {
				this.stop(evictedTaskId);
			}

			this.schedule(startDelayMs, () => {
				this.start(taskId, attempt);
			});
		} else if (record.kind === 'evict-requested') {
			this.stop(record.taskId);
		}
	}

	/** Stops an evicted task, which runs until its checkpoint. */
	private stop(taskId: string): void {
		const task = this.cluster.tasks.get(taskId);
		const {claim, attempt} = task ?? {};
		if (task?.phase !== 'evicting' || !claim || attempt === undefined || this.stopping.has(taskId)) {
			return;
		}

		this.stopping.add(taskId);
		this.schedule(stopDelayMs, () => {
			this.stopping.delete(taskId);
			const worker = this.workersById.get(claim.vmId)!;
			if (worker.isUp && this.isCurrentIncarnation(worker, claim.agentIncarnation)) {
				worker.runs.delete(taskId);
				this.append({
					kind: 'task-checkpointed', taskId, attempt, agentIncarnation: claim.agentIncarnation, checkpoint: 'c', reason: '',
				});
			}
		});
	}

	private isCurrentIncarnation({vmId, generation}: Worker, agentIncarnation: string): boolean {
		return agentIncarnation === `${vmId}-${generation}`;
	}

	private start(taskId: string, attempt: number): void {
		const task = this.cluster.tasks.get(taskId);
		const claim = task?.claim;
		if (task?.phase !== 'claimed' || task.attempt !== attempt || !claim) {
			return;
		}

		const worker = this.workersById.get(claim.vmId)!;
		if (!worker.isUp || !this.isCurrentIncarnation(worker, claim.agentIncarnation) || !claim.counted) {
			// The agent retries for as long as the task is claimed.
			this.schedule(tickMs, () => {
				this.start(taskId, attempt);
			});
			return;
		}

		const runMs = isLongRunning(this.cluster, task) ? this.draw.waitMs(this.day.meanRunMs) : stepOf(this.cluster, task)!.declaredRunTimeMs;
		if (!this.firstStartWaitsMs.has(task.jobId)) {
			this.firstStartWaitsMs.set(task.jobId, this.nowMs - this.day.jobs.find(({jobId}) => jobId === task.jobId)!.submittedAtMs);
		}

		worker.runs.set(taskId, {attempt, endsAtMs: this.nowMs + runMs});
		this.append({
			kind: 'task-started', taskId, attempt, agentIncarnation: claim.agentIncarnation,
		});
	}

	private endRuns(): void {
		for (const worker of this.workers) {
			if (!worker.isUp) {
				continue;
			}

			const agentIncarnation = `${worker.vmId}-${worker.generation}`;
			for (const [taskId, {attempt, endsAtMs}] of worker.runs) {
				if (endsAtMs > this.nowMs) {
					continue;
				}

				worker.runs.delete(taskId);
				const task = this.cluster.tasks.get(taskId);
				const isLongRunningTask = task !== undefined && isLongRunning(this.cluster, task);
				this.lastingEnds += isLongRunningTask ? 1 : 0;
				const outcome = isLongRunningTask && this.draw.happens(failureShare) ? 'failed' : 'finished';
				this.schedule(endDelayMs, () => {
					this.append({
						kind: 'task-ended', taskId, attempt, agentIncarnation, outcome, reason: '',
					});
				});
			}
		}
	}

	private applyEvent(event: SiteEvent): void {
		switch (event.kind) {
			case 'worker-gone': {
				this.loseWorker(this.workers[event.vm]!, event);
				break;
			}

			case 'vm-leaves': {
				this.shutDownVm(this.workers[event.vm]!, event.backAfterMs);
				break;
			}

			case 'rack-lost': {
				for (const worker of this.workers.filter(({rack}) => rack === `rack-${event.rack}`)) {
					this.loseVm(worker, event.backAfterMs);
				}

				break;
			}

			case 'owner-restarts': {
				this.restartOwner(event.backAfterMs);
				break;
			}
		}
	}

	private kill(worker: Worker): void {
		this.lastDisturbanceMs = this.nowMs;
		this.lastingEnds += [...worker.runs.keys()].filter(taskId => taskId.startsWith('lasting')).length;
		worker.isUp = false;
		worker.runs.clear();
	}

	/** Ends a worker whose agent runs on: the agent notices, registers the VM without tasks and reports it as leaving, so that it gets no new tasks. */
	private loseWorker(worker: Worker, {noticedAfterMs, backAfterMs}: Extract<SiteEvent, {kind: 'worker-gone'}>): void {
		if (!worker.isUp) {
			return;
		}

		this.kill(worker);
		const {generation} = worker;
		this.schedule(noticedAfterMs, () => {
			if (worker.generation === generation && !worker.isUp) {
				const {vmId} = worker;
				const agentIncarnation = `${vmId}-${generation}-alone`;
				this.register(worker, agentIncarnation);
				this.append({kind: 'vm-leaving', vmId, agentIncarnation});
			}
		});
		this.scheduleReturn(worker, backAfterMs);
	}

	private scheduleReturn(worker: Worker, backAfterMs: number | undefined): void {
		if (backAfterMs === undefined || worker.isStarting) {
			return;
		}

		worker.isStarting = true;
		this.schedule(backAfterMs, () => {
			this.lastDisturbanceMs = this.nowMs;
			worker.isUp = true;
			worker.isAgentUp = true;
			worker.isStarting = false;
			worker.generation++;
			this.register(worker);
		});
	}

	private shutDownVm(worker: Worker, backAfterMs: number | undefined): void {
		if (!worker.isUp) {
			return;
		}

		const {vmId, generation} = worker;
		this.append({kind: 'vm-leaving', vmId, agentIncarnation: `${vmId}-${generation}`});
		for (const taskId of this.cluster.vms.get(vmId)!.taskIds) {
			this.stop(taskId);
		}

		this.schedule(gracePeriodMs, () => {
			if (worker.isUp && worker.generation === generation) {
				this.loseVm(worker, backAfterMs);
			}
		});
	}

	/** Ends a VM with its agent and tasks. */
	private loseVm(worker: Worker, backAfterMs: number | undefined): void {
		if (!worker.isUp) {
			return;
		}

		this.kill(worker);
		worker.isAgentUp = false;
		this.scheduleReturn(worker, backAfterMs);
	}

	private restartOwner(backAfterMs: number): void {
		const up = this.entries.filter(({isUp}) => isUp);
		// The placement owner is assumed to be the entry with the most pending claims.
		const owner = up.toSorted((left, right) => right.placement.pending.byTask.size - left.placement.pending.byTask.size)[0]!;
		if (up.length === 1) {
			return;
		}

		this.lastDisturbanceMs = this.nowMs;
		owner.isUp = false;
		owner.placement = initialPlacement;
		owner.vmLiveness = initialVmLiveness;
		this.schedule(backAfterMs, () => {
			const {entryId, incarnation} = owner;
			this.lastDisturbanceMs = this.nowMs;
			owner.isUp = true;
			owner.incarnation = `${entryId}-${this.ticks}`;
			this.append({
				kind: 'entry-ended', entryId, incarnation, reason: 'restarted',
			});
			this.registerEntry(owner);
			for (const worker of this.workers.filter(({isUp}) => isUp)) {
				this.appendAs(owner.incarnation, {kind: 'vm-reachable', vmId: worker.vmId, agentIncarnation: `${worker.vmId}-${worker.generation}`});
			}
		});
	}

	private observe(): void {
		const runningByVm = new Map(this.workers.filter(({isUp}) => isUp).map(({vmId, runs}) => [vmId, [...runs.keys()]]));
		const {state, forbidden} = trackForbiddenWaits(this.waits, {
			cluster: this.cluster, runningByVm, nowMs: this.nowMs, unimpairedSinceMs: this.lastDisturbanceMs, isAfterTraffic: this.nowMs >= trafficMs + completionMs,
		});
		this.waits = state;
		this.forbidden.push(...forbidden);
		for (const [name, sinceMs] of state.lastRunMs) {
			if (this.cluster.tasks.has(name)) {
				this.longestLastingWaitMs = Math.max(this.longestLastingWaitMs, this.nowMs - sinceMs);
			}
		}

		const committedMilli = this.cluster.vms.reduce((sum, vm) => sum + vm.committed.processorsMilli, 0);
		this.committedShares += committedMilli / (rackCount * vmsPerRack * vmProcessorsMilli);
	}
}
