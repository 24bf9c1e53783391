import {Map as immutableMap} from 'immutable';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {minFillingLimitMilli} from '../placement/filling-limit.js';
import {type ClusterState, type EntryMember, type WorkflowRun} from '../cluster/cluster-state.js';
import {createdTasksFixture} from '../cluster/workflow-run-fixture.js';
import {type Job} from '../cluster/intent.js';
import {emptyStateFixture, vmFixture} from '../operator/state-fixture.js';
import {entrySettingsSchema, type EntrySettings} from '../settings/entry-settings.js';
import {recordAcceptedWork} from './accepted-work.js';
import {initialAdmission, type AdmissionState} from './admission-state.js';
import {decideAdmission, type AdmissionVerdict} from './decide-admission.js';
import {abandonedFactor, jobObjectiveMs} from './job-objective.js';
import {refreshAdmission} from './refresh-admission.js';
import {type RunTimes} from './run-times.js';

/** Run time, demand and objective of the jobs: two steps of 3.1 s each. */
const declaredMs = 3100;
const taskMilli = 3500;
export const objective = {stretchMilli: 1000, slackMs: 2200};
const pathMs = 2 * declaredMs;
export const objectiveMs = jobObjectiveMs({...objective, submittedAtMs: 0}, pathMs);
/** Time of a caller that asks again after an answer that names no time. */
const retryMs = 1000;
const maxAttempts = 5;
const tickMs = 50;
const entryCount = 13;

/** For tests: the run times are the declared ones, with enough samples. */
export const knownRunTimes: RunTimes = {expectedRunTimeMs: ({step}) => step.declaredRunTimeMs, sampleCountOf: () => 100};

export const admissionSettings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3', jobAdmission: {enabled: true},
}).jobAdmission;

/** For tests: returns a job of two steps of `count` filling tasks. */
export function jobFixture(jobId: string, count: number, {submittedAtMs = 0, queue = 'q'}: Readonly<{submittedAtMs?: number; queue?: string}> = {}): Job {
	const step = {
		count, demand: {processorsMilli: taskMilli, memoryMb: 64, accelerators: 0}, declaredRunTimeMs: declaredMs, fillsIdle: true,
	};
	return {
		jobId, teamId: 's', workClass: 'batch', priority: 'normal', tasks: [],
		workflow: {
			queue, service: 's', payload: '', steps: [step, {...step, dependsOn: [0]}], maxFailures: 3, objective: {...objective, submittedAtMs},
		},
	};
}

/** For tests: returns the workflow run of a job with the given number of unfinished tasks of its steps. */
export function runFixture(job: Job, unfinished: readonly number[], phase: WorkflowRun['phase'] = 'queued'): WorkflowRun {
	return {
		workflow: job.workflow!, owner: job, phase, madeOccurrences: 1, unfinishedByStep: immutableMap(unfinished.map((count, index) => [`0.${index}`, count])),
		...createdTasksFixture(),
	};
}

/** For tests: returns a state with one VM of the given size, some deciders and the runs. */
export function clusterFixture(processorsMilli: number, deciderCount: number, runs: Iterable<readonly [string, WorkflowRun]>): ClusterState {
	const members = Array.from({length: deciderCount}, (_, index): [string, EntryMember] => [`d${index}`, {
		entryId: `d${index}`, incarnation: `d${index}`, failureDomain: 'a', operatorAddress: '', processorsMilli: 1000, lastOffset: 0, appliedOffset: 0,
	}]);
	return {
		...emptyStateFixture,
		entries: immutableMap(members),
		vms: immutableMap([['vm-1', {
			...vmFixture, service: 's', taskIds: vmFixture.taskIds.clear(), capacity: {processorsMilli, memoryMb: 1_000_000, accelerators: 0}, committed: {processorsMilli: 0, memoryMb: 0, accelerators: 0},
		}]]),
		workflows: immutableMap(runs),
	};
}

/** A job of the played load and what became of it. */
export type PlayedJob = {
	readonly jobId: string;
	readonly count: number;
	readonly firstAtMs: number;
	/** Real run time of the tasks of each step. */
	readonly runTimesMs: readonly number[];
	atMs: number;
	attempts: number;
	refusals: number;
	acceptedAtMs: number | undefined;
	endedAtMs: number | undefined;
};

type LiveJob = {readonly played: PlayedJob; readonly job: Job; readonly sequence: number; step: number; queued: number; isStarted: boolean; readonly left: number[]; ends: number[]; run: WorkflowRun};

/** Load and deciders of a play. */
export type PlayOptions = Readonly<{
	seed: number;
	/** Processors that the VM has; started filling jobs may demand 600 thousandths of it. */
	processors: number;
	/** Time between the begins of two bursts; one burst when left out. */
	burstEveryMs?: number;
	untilMs?: number;
	/** Accepts everything when left out. */
	settings?: EntrySettings['jobAdmission'];
	deciderCount?: number;
	/** When the first decider is killed. */
	killedAtMs?: number;
	/** The second decider reads the log with this delay. */
	lagMs?: number;
	meanProcessors?: number;
}>;

const burst = {firstAtMs: 15_000, lengthMs: 6000, factor: 2.3};
const logFreshnessMs = 1500;
/** Age of the view of a decider that is not behind. */
const usualLagMs = 150;

/**
For tests: draws jobs with a mean demand of 1,000 processors, and 2.3 times that in bursts of 6 s. The size is exponential between a tenth and four times the mean.

@example
drawJobs({seed: 1, processors: 1150}).length; // => 158
*/
export function drawJobs({seed, burstEveryMs = Number.POSITIVE_INFINITY, untilMs = 60_000, meanProcessors = 1000}: PlayOptions): PlayedJob[] {
	const generator = xoroshiro128plus(seed);
	const draw = (): number => uniformFloat64(generator);
	const jobs: PlayedJob[] = [];
	const meanWorkMs = 2 * 20 * taskMilli * declaredMs / 1000;
	for (let atMs = 0; ;) {
		const inBurst = atMs >= burst.firstAtMs && (atMs - burst.firstAtMs) % burstEveryMs < burst.lengthMs;
		atMs -= Math.log(1 - draw()) * meanWorkMs / (meanProcessors * (inBurst ? burst.factor : 1));
		if (atMs > untilMs) {
			return jobs;
		}

		const count = Math.round(20 * Math.min(4, Math.max(0.1, -Math.log(1 - draw()))));
		jobs.push({
			jobId: `job-${jobs.length}`, count, firstAtMs: atMs, runTimesMs: [0, 1].map(() => declaredMs * (1 + (0.9 * ((2 * draw()) - 1)))), atMs, attempts: 0, refusals: 0, acceptedAtMs: undefined, endedAtMs: undefined,
		});
	}
}

/** A simple queue in front of one large VM, in the order of the placement, with deciders that admit jobs to it. */
export class OverloadPlay {
	public readonly jobs: PlayedJob[];
	/** Work accepted in processor milliseconds, by second. */
	public readonly acceptedBySecond: number[] = [];
	private readonly live: LiveJob[] = [];
	private readonly views: ClusterState[] = [];
	private readonly admissions: AdmissionState[];
	private readonly acceptedJobs: Array<Readonly<{job: Job; atMs: number}>> = [];
	private readonly readCounts: number[];
	private readonly deciderCount: number;
	private nowMs = 0;
	private sequence = 0;

	public constructor(private readonly options: PlayOptions) {
		this.jobs = drawJobs(options);
		this.deciderCount = options.deciderCount ?? 1;
		this.admissions = Array.from({length: this.deciderCount}, () => initialAdmission);
		this.readCounts = this.admissions.map(() => 0);
	}

	/** Plays until all accepted jobs have ended. */
	public run(): this {
		let pending = [...this.jobs];
		while (pending.length > 0 || this.live.length > 0) {
			this.views.push(clusterFixture(this.options.processors * 1000, this.deciderCount, this.live.map(({job, run}) => [job.jobId, run])));
			for (const played of pending.filter(({atMs}) => atMs <= this.nowMs)) {
				this.submit(played);
			}

			pending = pending.filter(played => played.acceptedAtMs === undefined && played.attempts < maxAttempts);
			this.endTasks();
			this.place();
			this.nowMs += tickMs;
		}

		return this;
	}

	private submit(played: PlayedJob): void {
		played.attempts++;
		const verdict = this.decide(played);
		if (!verdict?.isAccepted) {
			played.refusals++;
			played.atMs = this.nowMs + (verdict?.retryAfterMs ?? retryMs);
			return;
		}

		const {job} = verdict;
		played.acceptedAtMs = this.nowMs;
		const second = Math.floor(this.nowMs / 1000);
		this.acceptedBySecond[second] = (this.acceptedBySecond[second] ?? 0) + (2 * played.count * taskMilli * declaredMs / 1000);
		this.acceptedJobs.push({job, atMs: this.nowMs});
		this.live.push({
			played, job, sequence: this.sequence++, step: 0, queued: played.count, isStarted: false, left: [played.count, played.count], ends: [], run: runFixture(job, [played.count, played.count]),
		});
	}

	/** Returns undefined when the decider decides nothing, since its view is too old. */
	private decide(played: PlayedJob): AdmissionVerdict | undefined {
		const job = jobFixture(played.jobId, played.count, {submittedAtMs: this.nowMs});
		const {settings, killedAtMs = Number.POSITIVE_INFINITY, lagMs = usualLagMs} = this.options;
		if (!settings) {
			return {isAccepted: true, why: 'not-limited', job};
		}

		const isFirstKilled = this.nowMs >= killedAtMs;
		// Each attempt reaches another one of 13 entries; those that do not decide relay the job to the decider that is first for its ID.
		const jobNumber = Number(played.jobId.slice(4));
		const entryIndex = ((7 * jobNumber) + (5 * played.attempts)) % entryCount;
		let index = entryIndex < this.deciderCount ? entryIndex : jobNumber % this.deciderCount;
		index = isFirstKilled && index === 0 ? this.deciderCount - 1 : index;
		const ageMs = index === 1 ? lagMs : usualLagMs;
		if (ageMs > logFreshnessMs) {
			return undefined;
		}

		const viewIndex = Math.max(0, this.views.length - 1 - Math.round(ageMs / tickMs));
		const cluster = this.views[viewIndex]!;
		const {nowMs} = this;
		const read = this.acceptedJobs.filter(({atMs}) => atMs <= nowMs - ageMs);
		const records = read.slice(this.readCounts[index]).map(({job: accepted}, offset) => ({
			offset, envelope: {
				writer: 'w', incarnation: 'w', sequence: offset, record: {kind: 'job-submitted' as const, job: accepted},
			},
		}));
		this.readCounts[index] = read.length;
		const state = {...this.admissions[index]!, accepted: recordAcceptedWork(this.admissions[index]!.accepted, records, {runTimes: knownRunTimes, nowMs})};
		const measured = refreshAdmission(state, {
			cluster, fillingRoomByVm: immutableMap(), fillingLimitMilliOf: () => minFillingLimitMilli, runTimes: knownRunTimes, wallTimeMs: nowMs, nowMs,
		});
		const decision = decideAdmission(measured, job, {
			cluster, settings, runTimes: knownRunTimes, callerFailureDomain: 'a', nowMs, wallTimeMs: nowMs,
		});
		this.admissions[index] = decision.state;
		return decision.verdict;
	}

	private endTasks(): void {
		for (const live of this.live) {
			const running = live.ends.filter(endMs => endMs > this.nowMs);
			const ended = live.ends.length - running.length;
			if (ended === 0) {
				continue;
			}

			live.ends = running;
			live.left[live.step]! -= ended;
			if (live.left[live.step] === 0 && live.step === 0) {
				live.step = 1;
				live.queued = live.played.count;
			}

			live.run = runFixture(live.job, live.left, 'running');
			live.played.endedAtMs = live.left[1] === 0 ? this.nowMs : undefined;
		}

		const unended = this.live.filter(({played}) => played.endedAtMs === undefined);
		this.live.splice(0, this.live.length, ...unended);
	}

	/** Starts tasks in the order of the placement: started jobs, then whole jobs that can meet their objective, late ones, abandoned ones, each with the least work first. */
	private place(): void {
		const slots = Math.floor(600 * this.options.processors / taskMilli);
		let used = this.live.reduce((sum, {ends}) => sum + ends.length, 0);
		let startedDemand = this.live.reduce((sum, {isStarted, ends, queued}) => sum + (isStarted ? ends.length + queued : 0), 0);
		const ordered = this.live.filter(({queued}) => queued > 0).toSorted((left, right) => Number(right.isStarted) - Number(left.isStarted)
			|| this.groupOf(left) - this.groupOf(right) || (left.left[0]! + left.left[1]!) - (right.left[0]! + right.left[1]!) || left.sequence - right.sequence);
		for (const live of ordered) {
			if (!live.isStarted && startedDemand > 0 && startedDemand + live.queued > slots) {
				continue;
			}

			startedDemand += live.isStarted ? 0 : live.queued;
			live.run = live.isStarted ? live.run : runFixture(live.job, live.left, 'running');
			live.isStarted = true;
			const starting = Math.min(live.queued, slots - used);
			used += starting;
			live.queued -= starting;
			live.ends.push(...Array.from({length: starting}, () => this.nowMs + live.played.runTimesMs[live.step]!));
		}
	}

	private groupOf({job, left}: LiveJob): number {
		const expectedMs = this.nowMs - job.workflow!.objective!.submittedAtMs + (left[0]! > 0 ? pathMs : declaredMs);
		return expectedMs <= objectiveMs ? 0 : (expectedMs <= abandonedFactor * objectiveMs ? 1 : 2);
	}
}

/** Number of jobs by outcome. `worth` is 1 for a job in time and falls to 0 at three times its objective, from the caller's first attempt. */
export type PlayedOutcome = Readonly<{jobs: number; inTime: number; late: number; tooLate: number; refused: number; refusedFirst: number; worth: number; p50Ms: number; p95Ms: number}>;

/**
For tests: sums up what became of jobs.

@example
outcomeOf(play.jobs).inTime; // => 126
*/
export function outcomeOf(jobs: readonly PlayedJob[]): PlayedOutcome {
	const ratios = jobs.map(({endedAtMs, firstAtMs}) => endedAtMs === undefined ? Number.POSITIVE_INFINITY : (endedAtMs - firstAtMs) / objectiveMs);
	const ended = ratios.filter(ratio => Number.isFinite(ratio)).toSorted((left, right) => left - right);
	const quantileMs = (quantile: number): number => Math.round((ended[Math.floor(quantile * ended.length)] ?? 0) * objectiveMs);
	return {
		jobs: jobs.length,
		inTime: ratios.filter(ratio => ratio <= 1).length,
		late: ratios.filter(ratio => ratio > 1 && ratio <= abandonedFactor).length,
		tooLate: ratios.filter(ratio => ratio > abandonedFactor && Number.isFinite(ratio)).length,
		refused: ratios.filter(ratio => !Number.isFinite(ratio)).length,
		refusedFirst: jobs.filter(({refusals}) => refusals > 0).length,
		worth: Math.round(10 * ratios.reduce((sum, ratio) => sum + Math.max(0, Math.min(1, (abandonedFactor - ratio) / (abandonedFactor - 1))), 0)) / 10,
		p50Ms: quantileMs(0.5),
		p95Ms: quantileMs(0.95),
	};
}

/**
For tests: returns the largest three tenths of the jobs.

@example
largeJobsOf(play.jobs).length; // => 48
*/
export function largeJobsOf(jobs: readonly PlayedJob[]): readonly PlayedJob[] {
	return jobs.toSorted((left, right) => right.count - left.count).slice(0, Math.ceil(0.3 * jobs.length));
}
