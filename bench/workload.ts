import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {parse} from 'yaml';
import {
	journalOf, startDeployment, type Deployment, type EntryProcess,
} from '../demo/deployment.js';
import {computeOutcome} from '../demo/outcome.js';
import {waitUntil, type RunnerProcess} from '../demo/process-runner.js';
import {priorityClassSchema, type Job, type PriorityClass} from '../src/cluster/intent.js';
import {type PlacementPolicyName} from '../src/placement/placement-policy-name.js';
import {monotonicMs} from '../src/worker/monotonic-clock.js';
import {deploymentSettingsSchema, type DeploymentSettings} from '../src/settings/deployment-settings.js';
import {
	backendServerJournalSchema, callerJournalSchema, workerJournalSchema, type CallerJournal,
} from '../stand-ins/journal.js';
import {fetchJson, sendJson} from '../stand-ins/json-client.js';
import {countOvercommitted, workWithin, type TimeWindow} from './worker-measures.js';

export type WorkloadOptions = Readonly<{
	/** Description of the deployment. */
	settingsFile: string;
	seed: number;
	/** Time of a request on a VM without other work. */
	serviceTimeMs: number;
	taskProcessorsMilli: number;
	/** Batch tasks that are submitted each half second, in addition to those of floods. */
	tasksPerHalfSecond: Readonly<Record<PriorityClass, number>>;
}>;

type Scheduling = Readonly<{policy: PlacementPolicyName; guardsEnabled: boolean}>;

const schedulings: readonly Scheduling[] = [
	{policy: 'least-harm', guardsEnabled: true},
	{policy: 'first-fit', guardsEnabled: false},
	{policy: 'least-loaded', guardsEnabled: false},
];

const priorityClasses = priorityClassSchema.options;

type Phase = Readonly<{name: string; durationMs: number; submitsBatch: boolean; flood: PriorityClass | undefined}>;

const phases: readonly Phase[] = [
	{
		name: 'warm-up', durationMs: 2000, submitsBatch: false, flood: undefined,
	},
	{
		name: 'alone', durationMs: 4000, submitsBatch: false, flood: undefined,
	},
	{
		name: 'steady', durationMs: 9000, submitsBatch: true, flood: undefined,
	},
	{
		name: 'background-flood', durationMs: 5000, submitsBatch: true, flood: 'background',
	},
	{
		name: 'urgent-flood', durationMs: 5000, submitsBatch: true, flood: 'urgent',
	},
];

/** A flood has this many concurrent requests for each slot of the service, and this many tasks for each batch task that fits on the VMs. */
const floodFactor = 10;
const taskWorkMs = 2000;
const taskMemoryMb = 2048;
const usageLagMs = 1000;
/** Concurrent requests of each class outside floods; with the pause after each request they keep about a quarter of the slots busy. */
const steadyConcurrency = 24;
/** Pause of each caller of a flood after a request, which limits the rate of refusals that this machine has to process. */
const floodPauseMs = 300;
const startTimeoutMs = 15_000;
const stopTimeoutMs = 10_000;

type CallerRun = Readonly<{priority: PriorityClass; isFlood: boolean; process: RunnerProcess}>;
type CallerResult = Readonly<{priority: PriorityClass; isFlood: boolean; journal: CallerJournal}>;
type PhaseRun = Readonly<{phase: Phase; window: TimeWindow; callers: readonly CallerRun[]}>;
type PhaseResult = Readonly<{phase: Phase; window: TimeWindow; callers: readonly CallerResult[]}>;
type SubmittedTask = Readonly<{priority: PriorityClass}>;

function print(fields: Readonly<Record<string, string | number>>): void {
	process.stdout.write(Object.entries(fields).map(([key, value]) => `${key}=${value}`).join(' ') + '\n');
}

async function urlOf(running: RunnerProcess): Promise<string> {
	const [, url = ''] = await running.waitForLine(/^ready url=(\S+)$/v, startTimeoutMs);
	return url;
}

/** One run of the whole workload under one policy. */
class WorkloadRun {
	private readonly random: ReturnType<typeof xoroshiro128plus>;
	private readonly submitted = new Map<string, SubmittedTask>();
	private jobs = 0;

	public constructor(
		private readonly options: WorkloadOptions,
		private readonly settings: DeploymentSettings,
		private readonly deployment: Deployment,
		private readonly scheduling: Scheduling,
	) {
		this.random = xoroshiro128plus(options.seed);
	}

	public async run(): Promise<void> {
		const backendServers = await this.setUp();
		const phaseRuns: PhaseRun[] = [];
		for (const phase of phases) {
			phaseRuns.push(await this.runPhase(phase));
		}

		const results = await Promise.all(phaseRuns.map(async phaseRun => this.finishPhase(phaseRun)));

		// Agents checkpoint their running tasks when they stop, so that the end of every run is in a journal.
		for (const vm of this.deployment.vms) {
			vm.agent.terminate();
		}

		await Promise.allSettled(this.deployment.vms.map(async vm => vm.agent.waitForExit(stopTimeoutMs)));
		await this.report(results, backendServers);
	}

	private async setUp(): Promise<readonly RunnerProcess[]> {
		const {deployment, settings, options} = this;
		const entry = this.entryOf(0);
		await sendJson({method: 'PUT', url: `${await urlOf(deployment.log)}/faults`, body: {delayMs: Math.round(2 * settings.delays.betweenFailureDomainsMs)}});
		await deployment.confirm({kind: 'admit-service', service: settings.service}, entry);
		const backendServers = deployment.vms
			.slice(0, settings.backendServers.count)
			.map((vm, index) => deployment.startBackendServer(vm, `backend-server-${index + 1}`, settings.service.service, options.serviceTimeMs));
		await Promise.all([
			deployment.confirm({kind: 'set-request-limits', limits: settings.requestLimits}, entry),
			deployment.confirm({kind: 'set-weights', weights: settings.weights}, entry),
			...backendServers.map(async started => urlOf(started)),
		]);
		await Promise.all(deployment.entries.map(async each => waitUntil('the service answers', startTimeoutMs, async () => {
			const answer = await sendJson({url: `http://${each.callerAddress}/services/${settings.service.service}/lookups/probe`});
			return answer.status === 200 ? true : undefined;
		})));
		return backendServers;
	}

	private entryOf(index: number): EntryProcess {
		return this.deployment.entries[index % this.deployment.entries.length]!;
	}

	private async runPhase(phase: Phase): Promise<PhaseRun> {
		const {serviceTimeMs} = this.options;
		const {backendServers} = this.settings;
		const callers: CallerRun[] = priorityClasses.map(priority => this.startCaller(phase, priority, {concurrency: steadyConcurrency, pauseMs: 2 * serviceTimeMs, isFlood: false}));
		await Promise.all(callers.map(async caller => caller.process.waitForLine(/^ready$/v, startTimeoutMs)));
		const fromMs = monotonicMs();
		if (phase.flood !== undefined) {
			callers.push(this.startCaller(phase, phase.flood, {concurrency: floodFactor * backendServers.count * backendServers.slots, pauseMs: floodPauseMs, isFlood: true}));
			await this.submit(phase.flood, floodFactor * this.batchTaskCapacity());
		}

		while (monotonicMs() - fromMs < phase.durationMs) {
			if (phase.submitsBatch) {
				await Promise.all(priorityClasses.map(async priority => this.submit(priority, this.options.tasksPerHalfSecond[priority])));
			}

			await delay(500);
		}

		const toMs = monotonicMs();
		for (const caller of callers) {
			caller.process.terminate();
		}

		return {phase, window: {fromMs, toMs}, callers};
	}

	/** Waits for the callers of a phase to exit and adds their journals. Requests in flight at the end of a flood end during the next phase. */
	private async finishPhase({phase, window, callers}: PhaseRun): Promise<PhaseResult> {
		return {
			phase,
			window,
			callers: await Promise.all(callers.map(async ({priority, isFlood, process: running}) => {
				await running.waitForExit(30_000);
				return {priority, isFlood, journal: journalOf(callerJournalSchema, running)};
			})),
		};
	}

	private startCaller(phase: Phase, priority: PriorityClass, load: Readonly<{concurrency: number; pauseMs: number; isFlood: boolean}>): CallerRun {
		const name = `${phase.name}-${priority}${load.isFlood ? '-flood' : ''}`;
		return {
			priority,
			isFlood: load.isFlood,
			process: this.deployment.runner.start(name, [
				'stand-ins/main.ts',
				'caller-load',
				'--entries',
				this.deployment.entries.map(entry => entry.callerAddress).join(','),
				'--service',
				this.settings.service.service,
				'--id',
				name,
				'--seed',
				String(this.options.seed + priorityClasses.indexOf(priority)),
				'--concurrency',
				String(load.concurrency),
				'--pause-ms',
				String(load.pauseMs),
				'--priority',
				priority,
				'--client-delay-ms',
				String(this.settings.delays.toClientsMs),
				'--large-milli',
				'0',
			]),
		};
	}

	private batchTaskCapacity(): number {
		const {workers, service} = this.settings;
		const free = workers.capacity.processorsMilli - service.demandPerBackendServer.processorsMilli;
		return workers.count * Math.floor(free / this.options.taskProcessorsMilli);
	}

	private async submit(priority: PriorityClass, count: number): Promise<void> {
		this.jobs++;
		const jobId = `${priority}-${this.jobs}`;
		const job: Job = {
			jobId,
			teamId: `${priority}-team`,
			workClass: 'batch',
			priority,
			tasks: Array.from({length: count}, (_, index) => {
				const kind = uniformInt(this.random, 0, 1) === 0 ? 'stress-run' : 'curing-watch';
				return {
					taskId: `${jobId}-${index + 1}`,
					demand: this.taskDemand(),
					declaredRunTimeMs: taskWorkMs,
					taskKind: kind,
					payload: JSON.stringify({kind, workMs: taskWorkMs}),
				};
			}),
		};
		for (const {taskId} of job.tasks) {
			this.submitted.set(taskId, {priority});
		}

		await this.deployment.submitJob(job, this.entryOf(this.jobs));
	}

	private taskDemand() {
		return {processorsMilli: this.options.taskProcessorsMilli, memoryMb: taskMemoryMb, accelerators: 0};
	}

	private async report(results: readonly PhaseResult[], backendServers: readonly RunnerProcess[]): Promise<void> {
		const {settings, deployment, scheduling: {policy, guardsEnabled}} = this;
		const workers = await Promise.all(deployment.vms.map(async vm => fetchJson(workerJournalSchema, {url: `${vm.workerUrl}/journal`})));
		const servers = await Promise.all(backendServers.map(async running => fetchJson(backendServerJournalSchema, {url: `${await urlOf(running)}/journal`})));
		const runs = workers.flatMap(worker => worker.runs);
		const callers = results.flatMap(result => result.callers.map(caller => caller.journal));
		const outcome = computeOutcome({
			callers, backendServers: servers, workers, taskIds: [...this.submitted.keys()],
		});
		const name = {policy, guards: String(guardsEnabled)};
		const rates = new Map<string, Readonly<{requests: number; work: number}>>();
		for (const {phase, window, callers: phaseCallers} of results) {
			const seconds = (window.toMs - window.fromMs) / 1000;
			for (const {priority, isFlood, journal} of phaseCallers) {
				print({
					...name,
					phase: phase.name,
					service: settings.service.service,
					class: isFlood ? `${priority}-flood` : priority,
					requests: journal.requests,
					answered: journal.answered,
					refused: journal.refused,
					unknown: journal.unknown,
					failed: journal.failed,
					p50_ms: journal.p50Ms.toFixed(1),
					p99_ms: journal.p99Ms.toFixed(1),
					p999_ms: (journal.p999Ms ?? 0).toFixed(1),
				});
				if (!isFlood) {
					const workMs = workWithin(runs.filter(run => this.submitted.get(run.taskId)?.priority === priority), window);
					rates.set(`${phase.name}/${priority}`, {requests: journal.answered / seconds, work: workMs / seconds});
				}
			}
		}

		for (const {phase, window} of results.filter(result => result.phase.submitsBatch)) {
			const finished = runs.filter(run => run.phase === 'finished' && isWithin(run.endedAtMonotonicMs, window));
			const evicted = runs.filter(run => run.phase === 'checkpointed' && isWithin(run.endedAtMonotonicMs, window));
			const relativeRates = Object.fromEntries(priorityClasses.flatMap(priority => {
				const steady = rates.get(`steady/${priority}`);
				const current = rates.get(`${phase.name}/${priority}`);
				return [
					[`requests_kept_${priority}`, ((current?.requests ?? 0) / (steady?.requests ?? 0)).toFixed(2)],
					[`batch_kept_${priority}`, ((current?.work ?? 0) / (steady?.work ?? 0)).toFixed(2)],
				];
			}));
			const workMs = workWithin(runs, window);
			print({
				...name,
				phase: phase.name,
				batch_finished: finished.length,
				batch_work_rate: (workMs / (window.toMs - window.fromMs)).toFixed(1),
				evictions: evicted.length,
				...relativeRates,
			});
		}

		let overcommitted = 0;
		for (const worker of workers) {
			overcommitted += countOvercommitted(worker, {
				demandOf: () => this.taskDemand(), reserved: settings.service.demandPerBackendServer, capacity: settings.workers.capacity,
			});
		}

		let unknownOrFailed = 0;
		for (const caller of callers) {
			unknownOrFailed += caller.unknown + caller.failed;
		}

		print({
			...name,
			submitted: outcome.tasks,
			finished: outcome.finished,
			refused: outcome.refused,
			unknown_or_failed: unknownOrFailed,
			// Requests that callers recorded as unknown or failed are counted above and are not lost.
			lost: outcome.lost - unknownOrFailed,
			doubled: outcome.doubled,
			overcommitted,
			seconds: (performance.now() / 1000).toFixed(1),
		});
		for (const finding of outcome.findings.slice(0, 5)) {
			process.stderr.write(`${policy}: ${finding.slice(0, 300)}\n`);
		}
	}
}

function isWithin(atMs: number | null, {fromMs, toMs}: TimeWindow): boolean {
	return atMs !== null && atMs >= fromMs && atMs < toMs;
}

/** Runs the workload under `least-harm` with guards and under the baselines without, and prints key=value lines. */
export async function runWorkload(options: WorkloadOptions): Promise<void> {
	const settings = deploymentSettingsSchema.parse(parse(await readFile(options.settingsFile, 'utf8')));
	for (const scheduling of schedulings) {
		const deployment = await startDeployment({
			entries: 2,
			vms: settings.workers.count,
			processorsMilli: settings.workers.capacity.processorsMilli,
			memoryMb: settings.workers.capacity.memoryMb,
			usageLagMs,
			failureDomains: settings.failureDomains,
			vmsPerRack: settings.workers.perRack,
			backendServerArguments: vm => [
				'--worker-url',
				vm.workerUrl,
				'--slots',
				String(settings.backendServers.slots),
				'--connections',
				String(settings.backendServers.connections),
				'--network-delay-ms',
				String(2 * settings.delays.betweenFailureDomainsMs),
			],
			entrySettings: {placementPolicy: scheduling.policy, logLevel: 'warn'},
			agentSettings: {
				logLevel: 'warn',
				timings: {heartbeatMs: 500, workerPollMs: 250, usageLagMs},
				guards: {enabled: scheduling.guardsEnabled && settings.workers.guardsEnabled, recoverAfterMs: 3000},
			},
		});
		try {
			await new WorkloadRun(options, settings, deployment, scheduling).run();
		} finally {
			await deployment.close();
		}
	}
}
