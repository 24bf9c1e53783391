import {mergeLatencyImpacts, latencyImpactReports, type ServingSample} from '../src/agent/latency-impact-estimates.js';
import {fullProcessorShareMilli} from '../src/agent/filling-throttle.js';
import {type ClusterRecord} from '../src/cluster/cluster-record.js';
import {type PriorityClass} from '../src/cluster/intent.js';
import {type ClusterState, type Task} from '../src/cluster/cluster-state.js';
import {applyRecord, emptyClusterState} from '../src/cluster/reduce-cluster.js';
import {stepOf} from '../src/cluster/workflow-progress.js';
import {fillingLoadOf} from '../src/placement/filling-work.js';
import {initialPlacement, placeQueuedTasks, type PlacementState} from '../src/placement/place-queued-tasks.js';
import {entrySettingsSchema} from '../src/settings/entry-settings.js';
import {
	drawFillingDay, type DrawnJob, type FillingDay, type FillingSite, type JobKind,
} from './filling-site.js';
import {endDelayMs, startDelayMs, stopDelayMs} from './loop-delays.js';
import {ThrottledVm, type RunningTask} from './throttled-vm.js';
import {servingTailMs} from './serving-tail.js';

/** What a played day came to. */
export type FillingResult = Readonly<{
	seed: number;
	/** Share that filling jobs earned of what they were worth. */
	fillingEarned: number;
	/** Share that serving jobs earned, less what filling work cost them. */
	servingEarned: number;
	/** Share of the time of serving tasks that filling work took beyond their targets. */
	servingLost: number;
	/** Task-seconds beyond the target in all, and because of filling work. */
	overSeconds: number;
	lostSeconds: number;
	/** Longest time on end that filling work kept a task beyond its target, and the number of such times that break the rule. */
	longestLostSeconds: number;
	brokenRules: number;
	/** Mean share of all processors in use, and of those that filling work used. */
	usedShare: number;
	fillingShare: number;
	moves: number;
	/** Mean pace of filling tasks that ran. */
	meanPace: number;
	finishedJobs: number;
	fillingJobs: number;
}>;

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});

const stepMs = 100;
const windowMs = 500;
const heartbeatMs = 1000;
const placementMs = 200;

/** A task that filling work keeps beyond its target for this long breaks a rule. */
const ruleMs = 4000;

/** What a task loses for each share of its time beyond the target because of filling work, beside what it does not earn. */
const lossFactor = 4;

/** Serving tasks are judged from here on. */
const judgedFromMs = 2000;

const objective = {stretchMilli: 2000, slackMs: 1000};

/** A job that is late, up to this many times what it is allowed, is worth this part. */
const lateFactor = 3;
const lateWorth = 0.15;

/** Parts of a job's worth that every job has and that grows with its work. */
const baseWorth = 0.3;
const workWorth = 0.7;

const priorities: Readonly<Record<JobKind, PriorityClass>> = {serving: 'urgent', small: 'normal', filling: 'background'};

type Due = Readonly<{atMs: number; run: () => void}>;

/** How long a serving task has been beyond its target because of filling work. */
type ServingTally = {judged: number; within: number; lost: number};

/**
Plays one day of filling work beside serving tasks in virtual time, with the product's own placement and pacing.

@example
playFillingDay(fillingSites.small, 1).fillingEarned; // => 0.71
*/
export function playFillingDay(site: FillingSite, seed: number): FillingResult {
	return new FillingPlay(site, seed).run();
}

class FillingPlay {
	private readonly day: FillingDay;
	private readonly vms = new Map<string, ThrottledVm>();
	private readonly capacities = new Map<string, number>();
	private readonly kinds = new Map<string, JobKind>();
	private readonly checkpoints = new Map<string, number>();
	private readonly finishedAtMs = new Map<string, number>();
	private readonly tallies = new Map<string, ServingTally>();
	private readonly lostSinceMs = new Map<string, number>();
	private readonly stopping = new Set<string>();
	private due: Due[] = [];
	private cluster: ClusterState = emptyClusterState;
	private placement: PlacementState = initialPlacement;
	private sequence = 0;
	private nowMs = 0;
	private overMs = 0;
	private lostMs = 0;
	private longestLostMs = 0;
	private brokenRules = 0;
	private moves = 0;
	private usedProcessorMs = 0;
	private fillingProcessorMs = 0;
	private paceSum = 0;
	private pacedSteps = 0;

	public constructor(private readonly site: FillingSite, private readonly seed: number) {
		this.day = drawFillingDay(site, seed);
	}

	public run(): FillingResult {
		this.register();
		const arrivals = [...this.day.jobs].toReversed();
		const vms = [...this.vms];
		for (let tick = 0; this.nowMs < this.site.lengthMs; tick++) {
			this.nowMs = tick * stepMs;
			while (arrivals.at(-1) !== undefined && arrivals.at(-1)!.submittedAtMs <= this.nowMs) {
				this.submit(arrivals.pop()!);
			}

			this.runDue();
			if (this.nowMs % placementMs === 0) {
				this.place(tick);
			}

			for (const [index, [vmId, vm]] of vms.entries()) {
				// VMs measure and report at different times.
				const shiftedMs = this.nowMs + (index * stepMs);
				this.advance(vmId, vm);
				if (shiftedMs % windowMs === 0) {
					this.measure(vmId, vm);
				}

				if (shiftedMs % heartbeatMs === 0) {
					this.hearHeartbeat(vmId, vm);
				}
			}
		}

		return this.result();
	}

	private hearHeartbeat(vmId: string, vm: ThrottledVm): void {
		const {presses, fillingRoomMilli} = vm.heartbeat();
		const {press, fillingRoomByVm} = this.placement;
		this.placement = {
			...this.placement,
			press: mergeLatencyImpacts(press, presses),
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

	private later(delayMs: number, run: () => void): void {
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
			cluster: this.cluster, settings, incarnation: 'i', nowMs: this.nowMs, wallTimeMs: this.nowMs, tailConfirmedSentAtMs: this.nowMs, pendingAppends: 0, seed: (tick * 7919) + this.seed,
		});
		this.placement = placed.state;
		for (const effect of placed.effects) {
			if (effect.kind !== 'append-record') {
				continue;
			}

			this.append(effect.record);
			if (effect.record.kind !== 'task-claimed') {
				continue;
			}

			const {taskId, attempt, vmId, evictTaskIds} = effect.record;
			for (const victimId of evictTaskIds) {
				const victim = this.vms.get(vmId)!.tasks.get(victimId);
				if (victim) {
					this.stop(vmId, victim);
				}
			}

			this.later(startDelayMs, () => {
				this.start(taskId, attempt);
			});
		}
	}

	/** Stops a task with a checkpoint; it runs on until then. */
	private stop(vmId: string, {taskId, attempt}: RunningTask): void {
		if (this.stopping.has(taskId)) {
			return;
		}

		this.stopping.add(taskId);
		this.moves++;
		this.later(stopDelayMs, () => {
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
			this.later(stepMs, () => {
				this.start(taskId, attempt);
			});
			return;
		}

		const {vmId} = task.claim!;
		this.append({
			kind: 'task-started', taskId, attempt, agentIncarnation: vmId,
		});
		const running = this.runningTaskOf(task);
		this.vms.get(vmId)!.start(running, this.pressesOf(running, vmId));
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
			runTimeMs: step.declaredRunTimeMs,
			startedAtMs: this.nowMs,
			doneMs: this.checkpoints.get(taskId) ?? 0,
			paceMilli: fullProcessorShareMilli,
			usedProcessors: 0,
			windowProcessorMs: 0,
		};
	}

	private pressesOf({kind, image}: RunningTask, vmId: string): ReturnType<typeof latencyImpactReports> {
		const {servingByImage, fillingByImage} = fillingLoadOf(this.cluster.vms.get(vmId)!, this.cluster);
		switch (kind) {
			case 'filling': {
				return latencyImpactReports(this.placement.press, servingByImage.keys(), [image]);
			}

			case 'serving': {
				return latencyImpactReports(this.placement.press, [image], [...fillingByImage.keys()]);
			}

			case 'small': {
				return [];
			}
		}
	}

	private advance(vmId: string, vm: ThrottledVm): void {
		let committed = 0;
		let wanted = 0;
		for (const {kind, jobId, processors, paceMilli} of vm.tasks.values()) {
			if (kind === 'filling') {
				wanted += processors * paceMilli / fullProcessorShareMilli;
			} else {
				committed += processors * (kind === 'serving' ? this.day.loadAt(jobId, this.nowMs) : 1);
			}
		}

		const left = Math.max(0, this.capacities.get(vmId)! - committed);
		const speed = wanted === 0 ? 0 : Math.min(1, left / wanted);
		this.usedProcessorMs += (committed + (wanted * speed)) * stepMs;
		this.fillingProcessorMs += wanted * speed * stepMs;
		for (const task of vm.tasks.values()) {
			if (task.kind === 'serving') {
				continue;
			}

			const share = task.kind === 'filling' ? speed * task.paceMilli / fullProcessorShareMilli : 1;
			task.doneMs += share * stepMs;
			task.windowProcessorMs += task.processors * share * stepMs;
			if (task.kind === 'filling') {
				this.paceSum += task.paceMilli / fullProcessorShareMilli;
				this.pacedSteps++;
			}

			if (task.doneMs >= task.runTimeMs) {
				vm.tasks.delete(task.taskId);
				this.later(endDelayMs, () => {
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
				samples.push(this.judge(task, filling));
			}
		}

		const stalled = vm.measure(samples, {nowMs: this.nowMs, windowMs});
		if (stalled) {
			this.stop(vmId, stalled);
		}

		for (const task of vm.tasks.values()) {
			task.windowProcessorMs = 0;
		}
	}

	/** Tells the tail of the last window and counts what filling work had to do with it. */
	private judge({taskId, jobId, image}: RunningTask, filling: ReadonlyMap<string, number>): ServingSample {
		const {tail, latencyTargetMs} = this.site;
		const atMs = this.nowMs - (windowMs / 2);
		let interference = 0;
		for (const [fillingImage, processors] of filling) {
			interference += processors * this.day.pressAt(image, fillingImage, atMs);
		}

		const load = this.day.loadAt(jobId, atMs);
		const factor = this.day.factorAt(taskId, atMs);
		const tailMs = Math.round(servingTailMs(tail, {load, interference, factor}));
		const isOver = tailMs > latencyTargetMs;
		const isLost = isOver && Math.round(servingTailMs(tail, {load, interference: 0, factor})) <= latencyTargetMs;
		if (this.nowMs >= judgedFromMs) {
			this.count({taskId, jobId}, {isOver, isLost});
		}

		return {taskId, image, targetRatio: latencyTargetMs / Math.max(1, tailMs)};
	}

	private count({taskId, jobId}: Readonly<{taskId: string; jobId: string}>, {isOver, isLost}: Readonly<{isOver: boolean; isLost: boolean}>): void {
		const tally = this.tallies.get(jobId) ?? {judged: 0, within: 0, lost: 0};
		this.tallies.set(jobId, tally);
		tally.judged++;
		tally.within += isOver ? 0 : 1;
		tally.lost += isLost ? 1 : 0;
		this.overMs += isOver ? windowMs : 0;
		this.lostMs += isLost ? windowMs : 0;
		if (!isLost) {
			this.lostSinceMs.delete(taskId);
			return;
		}

		const sinceMs = this.lostSinceMs.get(taskId) ?? this.nowMs - windowMs;
		this.lostSinceMs.set(taskId, sinceMs);
		const lostMs = this.nowMs - sinceMs;
		this.longestLostMs = Math.max(this.longestLostMs, lostMs);
		this.brokenRules += lostMs >= ruleMs && lostMs - windowMs < ruleMs ? 1 : 0;
	}

	private result(): FillingResult {
		const filling = this.day.jobs.filter(({kind}) => kind === 'filling');
		const serving = this.day.jobs.filter(({kind}) => kind === 'serving');
		const capacityMs = this.site.lengthMs * this.site.vmProcessors.reduce((sum, processors) => sum + processors, 0);
		const judgedWindows = Math.floor((this.site.lengthMs - judgedFromMs) / windowMs);
		let servingEarned = 0;
		let judged = 0;
		let lost = 0;
		for (const {jobId, steps} of serving) {
			const tally = this.tallies.get(jobId) ?? {judged: 0, within: 0, lost: 0};
			const owed = Math.max(tally.judged, judgedWindows * steps[0]!.count);
			servingEarned += (tally.within - (lossFactor * tally.lost)) / owed / serving.length;
			judged += tally.judged;
			lost += tally.lost;
		}

		return {
			seed: this.seed,
			fillingEarned: this.fillingEarned(filling),
			servingEarned,
			servingLost: lost / Math.max(1, judged),
			overSeconds: this.overMs / 1000,
			lostSeconds: this.lostMs / 1000,
			longestLostSeconds: this.longestLostMs / 1000,
			brokenRules: this.brokenRules,
			usedShare: this.usedProcessorMs / capacityMs,
			fillingShare: this.fillingProcessorMs / capacityMs,
			moves: this.moves,
			meanPace: this.paceSum / Math.max(1, this.pacedSteps),
			finishedJobs: filling.filter(({jobId}) => this.finishedAtMs.has(jobId)).length,
			fillingJobs: filling.length,
		};
	}

	private fillingEarned(jobs: readonly DrawnJob[]): number {
		const works = jobs.map(({steps}) => steps.reduce((sum, {count, demand, declaredRunTimeMs}) => sum + (count * demand.processorsMilli * declaredRunTimeMs), 0));
		const meanWork = works.reduce((sum, work) => sum + work, 0) / Math.max(1, works.length);
		let owed = 0;
		let earned = 0;
		for (const [index, {jobId, submittedAtMs, steps}] of jobs.entries()) {
			const worth = baseWorth + (workWorth * works[index]! / meanWork);
			const chainMs = steps.reduce((sum, {declaredRunTimeMs}) => sum + declaredRunTimeMs, 0);
			const allowedMs = (chainMs * objective.stretchMilli / 1000) + objective.slackMs;
			const tookMs = (this.finishedAtMs.get(jobId) ?? Number.POSITIVE_INFINITY) - submittedAtMs;
			owed += worth;
			earned += tookMs <= allowedMs ? worth : (tookMs <= lateFactor * allowedMs ? lateWorth * worth : 0);
		}

		return earned / Math.max(1, owed);
	}
}
