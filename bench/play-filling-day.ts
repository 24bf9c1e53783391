import {mergeLatencyImpacts, latencyImpactReports, type ServingSample} from '../src/agent/latency-impact-estimates.js';
import {fullProcessorShareMilli} from '../src/agent/filling-throttle.js';
import {type ClusterRecord} from '../src/cluster/cluster-record.js';
import {type PriorityClass} from '../src/cluster/intent.js';
import {type ClusterState, type Task} from '../src/cluster/cluster-state.js';
import {applyRecord, emptyClusterState} from '../src/cluster/reduce-cluster.js';
import {stepOf} from '../src/cluster/workflow-progress.js';
import {fillingLimitMilliOf, withFillingSupply} from '../src/placement/filling-limits.js';
import {fillingLoadOf} from '../src/placement/filling-work.js';
import {placeQueuedTasks} from '../src/placement/place-queued-tasks.js';
import {initialPlacement, type PlacementState} from '../src/placement/placement-state.js';
import {entrySettingsSchema, type EntrySettings} from '../src/settings/entry-settings.js';
import {
	drawFillingDay, type DrawnJob, type FillingDay, type FillingSite, type JobKind,
} from './filling-site.js';
import {endDelayMs, startDelayMs, stopDelayMs} from './loop-delays.js';
import {ThrottledVm, type RunningTask} from './throttled-vm.js';
import {servingTailMs} from './serving-tail.js';

/** Figures of one simulated run. */
export type FillingResult = Readonly<{
	seed: number;
	/** Value that filling jobs gained, as a share of the value of all of them. */
	fillingEarned: number;
	/** Mean over serving jobs of the share of windows inside the target, less a penalty for windows beyond it because of filling work. Windows in which a task did not run count as missed. */
	servingEarned: number;
	/** Share of the time of serving tasks in which filling work kept them beyond their targets. */
	servingLost: number;
	/** Task-seconds beyond the target in total, and because of filling work. */
	overSeconds: number;
	lostSeconds: number;
	/** Longest uninterrupted time that filling work kept a task beyond its target, and the number of such times that reach `impairmentLimitMs`. */
	longestLostSeconds: number;
	brokenRules: number;
	/** Mean share of all processors in use, and mean share that filling work used. */
	usedShare: number;
	fillingShare: number;
	moves: number;
	/** Mean processor share of running filling tasks. */
	meanPace: number;
	finishedJobs: number;
	fillingJobs: number;
	/** Share of the jobs that finished within their objective: filling jobs, the fifth of them with the most work, and small jobs. */
	fillingInTime: number;
	largeFillingInTime: number;
	smallInTime: number;
	/** Mean limit of the started filling jobs, in thousandths. */
	meanLimitMilli: number;
}>;

const settingsOf = (enabled: boolean): EntrySettings => entrySettingsSchema.parse({
	role: 'entry', entryId: 'e', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3', planning: {enabled},
});

const tickMs = 100;
const windowMs = 500;
const heartbeatMs = 1000;
const placementMs = 200;

/** The platform's rule: filling work never keeps a serving task beyond its target for this long. */
const impairmentLimitMs = 4000;

/** Penalty for each window beyond the target because of filling work; such a window also gains nothing. */
const impairmentPenalty = 4;

/** Measurements of serving tasks before this time are left out. */
const evaluatedFromMs = 2000;

const objective = {stretchMilli: 2000, slackMs: 1000};

/** A job that takes longer than allowed, up to this factor, gains this share of its value. */
const lateFactor = 3;
const lateValueShare = 0.15;

/** Part of a job's value that is the same for every job, and part that is proportional to its work. */
const baseValueShare = 0.3;
const workValueShare = 0.7;

const priorities: Readonly<Record<JobKind, PriorityClass>> = {serving: 'urgent', small: 'normal', filling: 'background'};

/** Share of the filling jobs, by work, that count as large. */
const largeJobsShare = 0.2;

const workOf = ({steps}: DrawnJob): number => steps.reduce((sum, {count, demand, declaredRunTimeMs}) => sum + (count * demand.processorsMilli * declaredRunTimeMs), 0);

function allowedMsOf({steps}: DrawnJob): number {
	const chainMs = steps.reduce((sum, {declaredRunTimeMs}) => sum + declaredRunTimeMs, 0);
	return (chainMs * objective.stretchMilli / 1000) + objective.slackMs;
}

type Due = Readonly<{atMs: number; run: () => void}>;

/** Number of windows of a job's serving tasks: all measured ones, those inside the target, and those beyond it because of filling work. */
type ServingTally = {measuredWindows: number; windowsWithinTarget: number; impairedWindows: number};

/**
Simulates filling work and serving tasks on the same VMs in virtual time, with the real placement and throttling.

@example
playFillingDay(fillingSites.small, 1).fillingEarned; // => 0.71
*/
export function playFillingDay(site: FillingSite, seed: number, {planning = false}: Readonly<{planning?: boolean}> = {}): FillingResult {
	return new FillingDaySimulation(site, seed, settingsOf(planning)).run();
}

class FillingDaySimulation {
	private readonly day: FillingDay;
	private readonly vms = new Map<string, ThrottledVm>();
	private readonly capacities = new Map<string, number>();
	private readonly kinds = new Map<string, JobKind>();
	private readonly checkpoints = new Map<string, number>();
	private readonly finishedAtMs = new Map<string, number>();
	private readonly tallies = new Map<string, ServingTally>();
	private readonly impairedSinceMs = new Map<string, number>();
	private readonly stopping = new Set<string>();
	private due: Due[] = [];
	private cluster: ClusterState = emptyClusterState;
	private placement: PlacementState = initialPlacement;
	private sequence = 0;
	private nowMs = 0;
	private beyondTargetMs = 0;
	private impairedMs = 0;
	private longestImpairedMs = 0;
	private brokenRules = 0;
	private moves = 0;
	private usedProcessorMs = 0;
	private fillingProcessorMs = 0;
	private shareSum = 0;
	private fillingTaskTicks = 0;
	private limitMilliSum = 0;
	private passes = 0;

	public constructor(private readonly site: FillingSite, private readonly seed: number, private readonly settings: EntrySettings) {
		this.day = drawFillingDay(site, seed);
	}

	public run(): FillingResult {
		this.register();
		const arrivals = [...this.day.jobs].toReversed();
		const vms = [...this.vms];
		for (let tick = 0; this.nowMs < this.site.durationMs; tick++) {
			this.nowMs = tick * tickMs;
			while (arrivals.at(-1) !== undefined && arrivals.at(-1)!.submittedAtMs <= this.nowMs) {
				this.submit(arrivals.pop()!);
			}

			this.runDue();
			if (this.nowMs % placementMs === 0) {
				this.place(tick);
			}

			for (const [index, [vmId, vm]] of vms.entries()) {
				// VMs measure and send heartbeats at different times.
				const offsetMs = this.nowMs + (index * tickMs);
				this.advance(vmId, vm);
				if (offsetMs % windowMs === 0) {
					this.measure(vmId, vm);
				}

				if (offsetMs % heartbeatMs === 0) {
					this.recordHeartbeat(vmId, vm);
				}
			}
		}

		return this.result();
	}

	private recordHeartbeat(vmId: string, vm: ThrottledVm): void {
		const {changedImpacts, fillingRoomMilli, supplyReport} = vm.heartbeat();
		const {latencyImpacts, fillingRoomByVm, fillingLimits} = this.placement;
		this.placement = {
			...this.placement,
			latencyImpacts: mergeLatencyImpacts(latencyImpacts, changedImpacts),
			fillingLimits: withFillingSupply(fillingLimits, vmId, supplyReport),
			fillingRoomByVm: fillingRoomMilli === undefined ? fillingRoomByVm.delete(vmId) : fillingRoomByVm.set(vmId, fillingRoomMilli),
		};
	}

	private append(record: ClusterRecord): void {
		this.sequence++;
		this.cluster = applyRecord(this.cluster, {
			offset: this.cluster.offset + 1, envelope: {
				writer: 'e', incarnation: 'i', sequence: this.sequence, record,
			},
		});
	}

	private register(): void {
		this.append({
			kind: 'entry-registered', entryId: 'e', failureDomain: 'a', operatorAddress: '127.0.0.1:1',
		});
		for (const [index, processors] of this.site.vmProcessors.entries()) {
			const vmId = `vm-${index}`;
			this.vms.set(vmId, new ThrottledVm(processors));
			this.capacities.set(vmId, processors);
			this.append({
				kind: 'vm-registered', vmId, agentIncarnation: vmId, workerIncarnation: vmId, failureDomain: 'a', rack: 'r', requestAddress: '127.0.0.1:2',
				capacity: {processorsMilli: 1000 * processors, memoryMb: this.site.vmMemoryMb, accelerators: 0}, runningTasks: [], service: 'site', labels: [], workerStartedAtMs: 1,
			});
		}
	}

	private submit({jobId, kind, steps}: DrawnJob): void {
		this.kinds.set(jobId, kind);
		this.append({
			kind: 'job-submitted', job: {
				jobId, teamId: 'team', workClass: 'batch', priority: priorities[kind], tasks: [], workflow: {
					queue: kind, service: 'site', payload: '', steps, maxFailures: 2, ...(kind !== 'serving' && {objective: {submittedAtMs: this.nowMs, ...objective}}),
				},
			},
		});
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

	private place(tick: number): void {
		const placed = placeQueuedTasks(this.placement, {
			cluster: this.cluster, settings: this.settings, incarnation: 'i', nowMs: this.nowMs, wallTimeMs: this.nowMs, tailConfirmedSentAtMs: this.nowMs, pendingAppends: 0, seed: (tick * 7919) + this.seed,
		});
		this.placement = placed.state;
		this.limitMilliSum += fillingLimitMilliOf(placed.state.fillingLimits, 'site');
		this.passes++;
		for (const effect of placed.effects) {
			if (effect.kind !== 'append-record') {
				continue;
			}

			this.append(effect.record);
			if (effect.record.kind !== 'task-claimed') {
				continue;
			}

			const {taskId, attempt, vmId, evictTaskIds} = effect.record;
			for (const evictedTaskId of evictTaskIds) {
				const evictedTask = this.vms.get(vmId)!.tasks.get(evictedTaskId);
				if (evictedTask) {
					this.stop(vmId, evictedTask);
				}
			}

			this.schedule(startDelayMs, () => {
				this.start(taskId, attempt);
			});
		}
	}

	/** Stops a task, which runs until its checkpoint. */
	private stop(vmId: string, {taskId, attempt}: RunningTask): void {
		if (this.stopping.has(taskId)) {
			return;
		}

		this.stopping.add(taskId);
		this.moves++;
		this.schedule(stopDelayMs, () => {
			this.stopping.delete(taskId);
			const task = this.vms.get(vmId)!.tasks.get(taskId);
			if (task?.attempt === attempt) {
				this.checkpoints.set(taskId, task.doneMs);
				this.vms.get(vmId)!.tasks.delete(taskId);
				this.append({
					kind: 'task-checkpointed', taskId, attempt, agentIncarnation: vmId, checkpoint: 'c', reason: '',
				});
			}
		});
	}

	private start(taskId: string, attempt: number): void {
		const task = this.cluster.tasks.get(taskId);
		if (task?.phase !== 'claimed' || task.attempt !== attempt) {
			return;
		}

		if (!task.claim!.counted) {
			this.schedule(tickMs, () => {
				this.start(taskId, attempt);
			});
			return;
		}

		const {vmId} = task.claim!;
		this.append({
			kind: 'task-started', taskId, attempt, agentIncarnation: vmId,
		});
		const running = this.runningTaskOf(task);
		this.vms.get(vmId)!.start(running, this.latencyImpactsFor(running, vmId));
	}

	private runningTaskOf(task: Task): RunningTask {
		const {taskId} = task.spec;
		const step = stepOf(this.cluster, task)!;
		return {
			taskId,
			jobId: task.jobId,
			attempt: task.attempt,
			kind: this.kinds.get(task.jobId)!,
			image: step.image ?? '',
			processors: step.demand.processorsMilli / 1000,
			runTimeMs: step.declaredRunTimeMs * this.day.runTimeFactorOf(step.image ?? ''),
			startedAtMs: this.nowMs,
			doneMs: this.checkpoints.get(taskId) ?? 0,
			shareMilli: fullProcessorShareMilli,
			usedProcessors: 0,
			windowProcessorMs: 0,
		};
	}

	private latencyImpactsFor({kind, image}: RunningTask, vmId: string): ReturnType<typeof latencyImpactReports> {
		const {servingByImage, fillingByImage} = fillingLoadOf(this.cluster.vms.get(vmId)!, this.cluster);
		switch (kind) {
			case 'filling': {
				return latencyImpactReports(this.placement.latencyImpacts, servingByImage.keys(), [image]);
			}

			case 'serving': {
				return latencyImpactReports(this.placement.latencyImpacts, [image], [...fillingByImage.keys()]);
			}

			case 'small': {
				return [];
			}
		}
	}

	private advance(vmId: string, vm: ThrottledVm): void {
		let committed = 0;
		let demand = 0;
		for (const {kind, jobId, processors, shareMilli} of vm.tasks.values()) {
			if (kind === 'filling') {
				demand += processors * shareMilli / fullProcessorShareMilli;
			} else {
				committed += processors * (kind === 'serving' ? this.day.loadAt(jobId, this.nowMs) : 1);
			}
		}

		const available = Math.max(0, this.capacities.get(vmId)! - committed);
		const speed = demand === 0 ? 0 : Math.min(1, available / demand);
		this.usedProcessorMs += (committed + (demand * speed)) * tickMs;
		this.fillingProcessorMs += demand * speed * tickMs;
		for (const task of vm.tasks.values()) {
			if (task.kind === 'serving') {
				continue;
			}

			const share = task.kind === 'filling' ? speed * task.shareMilli / fullProcessorShareMilli : 1;
			task.doneMs += share * tickMs;
			task.windowProcessorMs += task.processors * share * tickMs;
			if (task.kind === 'filling') {
				this.shareSum += task.shareMilli / fullProcessorShareMilli;
				this.fillingTaskTicks++;
			}

			if (task.doneMs >= task.runTimeMs) {
				vm.tasks.delete(task.taskId);
				this.schedule(endDelayMs, () => {
					this.end(vmId, task);
				});
			}
		}
	}

	private end(vmId: string, {taskId, attempt, jobId}: RunningTask): void {
		this.append({
			kind: 'task-ended', taskId, attempt, agentIncarnation: vmId, outcome: 'finished', reason: '',
		});
		if (this.cluster.finishedWorkflows.has(jobId) && !this.finishedAtMs.has(jobId)) {
			this.finishedAtMs.set(jobId, this.nowMs);
		}
	}

	private measure(vmId: string, vm: ThrottledVm): void {
		const filling = new Map<string, number>();
		for (const {kind, image, windowProcessorMs} of vm.tasks.values()) {
			if (kind === 'filling') {
				filling.set(image, (filling.get(image) ?? 0) + (windowProcessorMs / windowMs));
			}
		}

		const samples: ServingSample[] = [];
		for (const task of vm.tasks.values()) {
			if (task.kind === 'serving' && this.nowMs - task.startedAtMs >= windowMs) {
				samples.push(this.measureServingTask(task, filling));
			}
		}

		const taskToMove = vm.measure(samples, {nowMs: this.nowMs, windowMs});
		if (taskToMove) {
			this.stop(vmId, taskToMove);
		}

		for (const task of vm.tasks.values()) {
			task.windowProcessorMs = 0;
		}
	}

	/** Returns the sample of a serving task for the last window, and counts whether it was beyond its target and whether filling work was the reason. */
	private measureServingTask({taskId, jobId, image}: RunningTask, filling: ReadonlyMap<string, number>): ServingSample {
		const {tail, latencyTargetMs} = this.site;
		const atMs = this.nowMs - (windowMs / 2);
		let interference = 0;
		for (const [fillingImage, processors] of filling) {
			interference += processors * this.day.interferenceAt(image, fillingImage, atMs);
		}

		const load = this.day.loadAt(jobId, atMs);
		const factor = this.day.tailFactorAt(taskId, atMs);
		const tailMs = Math.round(servingTailMs(tail, {load, interference, factor}));
		const isBeyondTarget = tailMs > latencyTargetMs;
		const isImpaired = isBeyondTarget && Math.round(servingTailMs(tail, {load, interference: 0, factor})) <= latencyTargetMs;
		if (this.nowMs >= evaluatedFromMs) {
			this.countWindow({taskId, jobId}, {isBeyondTarget, isImpaired});
		}

		return {taskId, image, targetRatio: latencyTargetMs / Math.max(1, tailMs)};
	}

	private countWindow({taskId, jobId}: Readonly<{taskId: string; jobId: string}>, {isBeyondTarget, isImpaired}: Readonly<{isBeyondTarget: boolean; isImpaired: boolean}>): void {
		const tally = this.tallies.get(jobId) ?? {measuredWindows: 0, windowsWithinTarget: 0, impairedWindows: 0};
		this.tallies.set(jobId, tally);
		tally.measuredWindows++;
		tally.windowsWithinTarget += isBeyondTarget ? 0 : 1;
		tally.impairedWindows += isImpaired ? 1 : 0;
		this.beyondTargetMs += isBeyondTarget ? windowMs : 0;
		this.impairedMs += isImpaired ? windowMs : 0;
		if (!isImpaired) {
			this.impairedSinceMs.delete(taskId);
			return;
		}

		const sinceMs = this.impairedSinceMs.get(taskId) ?? this.nowMs - windowMs;
		this.impairedSinceMs.set(taskId, sinceMs);
		const impairedMs = this.nowMs - sinceMs;
		this.longestImpairedMs = Math.max(this.longestImpairedMs, impairedMs);
		this.brokenRules += impairedMs >= impairmentLimitMs && impairedMs - windowMs < impairmentLimitMs ? 1 : 0;
	}

	private result(): FillingResult {
		const filling = this.day.jobs.filter(({kind}) => kind === 'filling');
		const serving = this.day.jobs.filter(({kind}) => kind === 'serving');
		const capacityMs = this.site.durationMs * this.site.vmProcessors.reduce((sum, processors) => sum + processors, 0);
		const evaluatedWindows = Math.floor((this.site.durationMs - evaluatedFromMs) / windowMs);
		let servingEarned = 0;
		let measuredWindows = 0;
		let impairedWindows = 0;
		for (const {jobId, steps} of serving) {
			const tally = this.tallies.get(jobId) ?? {measuredWindows: 0, windowsWithinTarget: 0, impairedWindows: 0};
			const dueWindows = Math.max(tally.measuredWindows, evaluatedWindows * steps[0]!.count);
			servingEarned += (tally.windowsWithinTarget - (impairmentPenalty * tally.impairedWindows)) / dueWindows / serving.length;
			measuredWindows += tally.measuredWindows;
			impairedWindows += tally.impairedWindows;
		}

		return {
			seed: this.seed,
			fillingEarned: this.fillingEarned(filling),
			servingEarned,
			servingLost: impairedWindows / Math.max(1, measuredWindows),
			overSeconds: this.beyondTargetMs / 1000,
			lostSeconds: this.impairedMs / 1000,
			longestLostSeconds: this.longestImpairedMs / 1000,
			brokenRules: this.brokenRules,
			usedShare: this.usedProcessorMs / capacityMs,
			fillingShare: this.fillingProcessorMs / capacityMs,
			moves: this.moves,
			meanPace: this.shareSum / Math.max(1, this.fillingTaskTicks),
			finishedJobs: filling.filter(({jobId}) => this.finishedAtMs.has(jobId)).length,
			fillingJobs: filling.length,
			fillingInTime: this.inTimeShareOf(filling),
			largeFillingInTime: this.inTimeShareOf(filling.toSorted((left, right) => workOf(right) - workOf(left)).slice(0, Math.ceil(largeJobsShare * filling.length))),
			smallInTime: this.inTimeShareOf(this.day.jobs.filter(({kind}) => kind === 'small')),
			meanLimitMilli: this.limitMilliSum / Math.max(1, this.passes),
		};
	}

	private inTimeShareOf(jobs: readonly DrawnJob[]): number {
		return jobs.filter(job => this.tookMsOf(job) <= allowedMsOf(job)).length / Math.max(1, jobs.length);
	}

	private tookMsOf({jobId, submittedAtMs}: DrawnJob): number {
		return (this.finishedAtMs.get(jobId) ?? Number.POSITIVE_INFINITY) - submittedAtMs;
	}

	private fillingEarned(jobs: readonly DrawnJob[]): number {
		const works = jobs.map(job => workOf(job));
		const meanWork = works.reduce((sum, work) => sum + work, 0) / Math.max(1, works.length);
		let totalValue = 0;
		let gained = 0;
		for (const [index, job] of jobs.entries()) {
			const value = baseValueShare + (workValueShare * works[index]! / meanWork);
			const allowedMs = allowedMsOf(job);
			const tookMs = this.tookMsOf(job);
			totalValue += value;
			gained += tookMs <= allowedMs ? value : (tookMs <= lateFactor * allowedMs ? lateValueShare * value : 0);
		}

		return gained / Math.max(1, totalValue);
	}
}
