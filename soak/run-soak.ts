import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type ExecutorEvent} from '../stand-ins/executor-stand-in.js';
import {createClients, type Call} from './clients.js';
import {evacuationsMs, planEvacuations} from './evacuations.js';
import {
	faultsMs, planFaults, type Fault, type RandomInt,
} from './faults.js';
import {type LossKind} from './losses.js';
import {
	findBrokenPromises, longestWaitMs, type EvacuationPeriod, type FaultPeriod, type Observations,
} from './outcome.js';
import {goodTaskMs, runGoodJob} from './run-good-job.js';
import {startSite} from './site.js';

/** Result of one seed; without failures every promise was kept. */
export type SoakResult = Readonly<{
	failures: readonly string[];
	/** Planned faults, calls and what executors saw, in the order of time. */
	journal: readonly string[];
	logs: ReadonlyMap<string, readonly string[]>;
	jobs: number;
	faults: number;
	/** Longest time for which a task that lasts did not run. */
	longestWaitMs: number;
	/** Delay of this process's event loop, which the stand-ins and the proxies share, in 1% of the time. */
	ownLagMs: number;
	durationMs: number;
}>;

const startTimeoutMs = 20_000;

/** Each process of a larger site lengthens its start by up to this. */
const startTimeoutPerProcessMs = 500;

/** Accepted jobs are completed this long after the last fault. A VM that is gone with its agent frees its tasks after 16 s. */
const completionBoundMs = 20_000;

/** Tasks that last are watched for this long after the last fault. */
const watchMs = 8000;

/** As `watchMs` after losses: the 9 s within which they have to run again, and the time to see that they do not. */
const watchAfterLossesMs = 11_000;

/** VMs of a site that loses some, or on which long tasks run. */
const agentCountWithLosses = 6;

/** A job may be unknown to other entries for this long after its acknowledgement. */
const visibleMs = 3000;

/** A request without an answer whose channel ended sooner than this may not have been read. */
const lossSlackMs = 200;

/** Keeps the generators of consecutive seeds apart. */
const seedFactor = 0x9E_37_79_B1;

const ownLagPercentile = 99;
const nanosecondsPerMs = 1_000_000;

const submitPauseMs = 120;

/** Longest time between a job's first submission and the first try to cancel it. */
const maxCancelDelayMs = 2000;

/** Run time of the long tasks that executors which are cut off run on, beyond their longest lease, and the share of their jobs. */
const longTaskMs = 12_000;
const longJobRatio = 2;
const lastingPayload = 'lasts';

/** Memory for unfinished jobs in an overload; two thirds of it are full after 60 of its jobs. */
const overloadJobBytes = 1_048_576;
const overloadPauseMs = 100;

/** A job of an overload: a task fits beside the others on each VM, and lasts. */
const overloadBody = {spec: lastingPayload.padEnd(4000), steps: Array.from({length: 4}, () => ({count: 1000, cpu: 12_000, memMb: 10}))};
const lastingJobCount = 2;
const lastingCount = 2;

function runTimeMsOf(payload: string): number {
	return payload.startsWith(lastingPayload) ? Number.POSITIVE_INFINITY : Number(/^runs-(?<ms>\d+)$/v.exec(payload)?.groups?.ms ?? goodTaskMs);
}

const idOfJob = (number: number): string => number.toString(16).padStart(16, 'b');

type InjectedFault = FaultPeriod & Omit<Fault, 'atMs' | 'inject'>;

function findUnkeptAnswers(calls: readonly Call[], acceptedAtMs: ReadonlyMap<string, number>, faults: readonly InjectedFault[]): readonly string[] {
	return calls.flatMap(({entry, method, jobId, sentAtMs, endedAtMs, status, text}) => {
		const call = `${method} ${jobId} at ${entry.name}, sent at ${Math.round(sentAtMs)}`;
		if (status === 410 && sentAtMs > (acceptedAtMs.get(jobId) ?? Number.POSITIVE_INFINITY) + visibleMs) {
			return [`accepted job answered 410: ${call}`];
		}

		const isExcused = faults.some(({breaksCallsOf, fromMs, untilMs}) => breaksCallsOf === entry.name && fromMs <= endedAtMs && untilMs >= sentAtMs);
		return status === undefined && endedAtMs - sentAtMs > lossSlackMs && !isExcused ? [`no whole answer (${text}) after ${Math.round(endedAtMs - sentAtMs)} ms: ${call}`] : [];
	});
}

/**
Runs the real programs for one seed with faults from outside, and checks what callers and executors saw.

@example
const {failures} = await runSoak({seed: 1, bundleDirectory: 'dist'});
*/
export async function runSoak({seed, bundleDirectory, losses: lossKinds, hasLateStarts = false, hasRecuts = false, hasCancels = false, hasEvacuations = false, hasOverload = false, ...size}: Readonly<{
	seed: number;
	bundleDirectory: string;
	/** Kinds of losses for good; a calm follows in which tasks that last have to run again. */
	losses?: readonly LossKind[];
	/** Executors also carry out starts seconds late, those of their next lives among them. */
	hasLateStarts?: boolean;
	/** Executors also start again under their IDs and are cut off soon after, while tasks run for longer than their lease. */
	hasRecuts?: boolean;
	/** Clients cancel two fifths of the jobs that do not last, also before they are accepted. */
	hasCancels?: boolean;
	/** The operator evacuates failure domains. */
	hasEvacuations?: boolean;
	/** A client hands in large jobs that do not end, more than the memory for jobs bears. */
	hasOverload?: boolean;
	entryCount?: number;
	agentCount?: number;
	/** Entries that decide; all of them without it. */
	deciderCount?: number;
}>): Promise<SoakResult> {
	const beginMs = performance.now();
	const lag = monitorEventLoopDelay();
	lag.enable();
	const hasLosses = lossKinds !== undefined;
	const generator = xoroshiro128plus(Math.imul(seed, seedFactor));
	const randomInt: RandomInt = (low, high) => uniformInt(generator, low, high);
	const clientGenerator = xoroshiro128plus(Math.imul(seed, seedFactor) + 1);
	const events: ExecutorEvent[] = [];
	const site = await startSite({
		...((hasLosses || hasRecuts) && {agentCount: agentCountWithLosses}), ...size, ...(hasOverload && {entrySettings: {jobAdmission: {enabled: true}, limits: {jobBytes: overloadJobBytes}}}), bundleDirectory, runTimeMs: runTimeMsOf, onEvent(event) {
			events.push(event);
		},
	});
	const clients = createClients(site.entries, {pick: values => values[uniformInt(clientGenerator, 0, values.length - 1)]!});
	const periods: InjectedFault[] = [];
	const failures: string[] = [];

	async function inject({atMs, inject: run, ...fault}: Fault, startMs: number, into: Array<FaultPeriod | InjectedFault> = periods): Promise<void> {
		await delay(Math.max(0, startMs + atMs - performance.now()));
		const fromMs = performance.now();
		const index = into.push({...fault, fromMs, untilMs: Number.POSITIVE_INFINITY}) - 1;
		await run();
		into[index] = {...fault, fromMs, untilMs: performance.now()};
	}

	try {
		for (const entry of site.entries) {
			await runGoodJob(site, entry, {timeoutMs: startTimeoutMs + ((site.entries.length + site.agents.length) * startTimeoutPerProcessMs)});
		}

		const startMs = performance.now();
		// With losses as many tasks that last as run on each VM.
		const lastingJobIds = Array.from({length: hasLosses ? site.agents.length : lastingJobCount}, (_, index) => `a${index + 1}`.padStart(16, '0'));
		for (const jobId of lastingJobIds) {
			clients.submit({jobId, isLasting: true}, {
				spec: lastingPayload, steps: [{
					count: lastingCount, cpu: 500, memMb: 10, longRunning: true, ...(hasLosses && {antiAffinity: 1}),
				}],
			});
		}

		const {faults, losses} = planFaults(site, {
			randomInt, seed, losses: lossKinds, hasLateStarts, hasRecuts,
		});
		// They are drawn last, so that a seed draws the same other faults with and without them.
		const evacuationPeriods: EvacuationPeriod[] = [];
		const evacuations = hasEvacuations ? planEvacuations(site, {randomInt, periods: evacuationPeriods}) : [];
		const evacuationFaults: FaultPeriod[] = [];
		const submitMs = hasEvacuations ? evacuationsMs : faultsMs;
		let jobs = 0;
		const submitting = (async () => {
			while (performance.now() < startMs + submitMs) {
				const isLong = hasRecuts && uniformInt(clientGenerator, 0, longJobRatio - 1) === 0;
				const runMs = isLong ? longTaskMs : uniformInt(clientGenerator, 20, 600);
				clients.submit({jobId: idOfJob(++jobs), isLasting: false}, {
					spec: `runs-${runMs}`, steps: [{
						count: uniformInt(clientGenerator, 1, 3), cpu: 200, memMb: 10, estimatedMs: runMs,
					}],
				});
				if (hasCancels && uniformInt(clientGenerator, 1, 5) <= 2) {
					const jobId = idOfJob(jobs);
					setTimeout(() => {
						clients.cancel(jobId);
					}, uniformInt(clientGenerator, 0, maxCancelDelayMs));
				}

				await delay(submitPauseMs);
			}
		})();
		const overloading = hasOverload
			? (async () => {
				for (let number = 1; performance.now() < startMs + submitMs; number++) {
					clients.submit({jobId: `c${number}`.padStart(16, '0'), isLasting: true}, overloadBody);
					await delay(overloadPauseMs);
				}
			})()
			: undefined;
		await Promise.all([submitting, overloading, ...faults.map(async fault => inject(fault, startMs)), ...evacuations.map(async evacuation => inject(evacuation, startMs, evacuationFaults))]);
		for (const {executor} of site.agents) {
			executor.setOddAnswers({});
		}

		const lossesStartMs = performance.now();
		await Promise.all(losses.map(async loss => inject(loss, lossesStartMs)));
		const [unfinished] = await Promise.all([clients.waitForCompletion(completionBoundMs + (hasRecuts ? longTaskMs : 0)), delay(hasLosses ? watchAfterLossesMs : watchMs)]);
		failures.push(...unfinished.map(jobId => `accepted job ${jobId} is not completed ${completionBoundMs} ms after the faults`));
		const endMs = performance.now();
		await clients.close();
		const lastingTasks = new Map(lastingJobIds.flatMap(jobId => {
			const acceptedAtMs = clients.acceptedAtMs().get(jobId);
			return acceptedAtMs === undefined ? [] : Array.from({length: lastingCount}, (_, index) => [`${jobId}.0.0.${index}`, acceptedAtMs] as const);
		}));
		const observations: Observations = {
			events, refusedJobs: clients.refusedJobs(), cancelledJobs: clients.cancelledAtMs(), lastingTasks, faults: periods, evacuations: evacuationPeriods, endMs,
		};
		failures.push(
			...findUnkeptAnswers(clients.calls(), clients.acceptedAtMs(), periods),
			...findBrokenPromises(observations),
			...[...lastingTasks.keys()].filter(taskId => !events.some(event => event.taskId === taskId)).map(taskId => `${taskId} never ran`),
		);
		return {
			jobs, faults: faults.length + evacuations.length + losses.length, longestWaitMs: longestWaitMs(observations), ownLagMs: lag.percentile(ownLagPercentile) / nanosecondsPerMs,
			failures: [...failures, ...site.ownEnds()], logs: site.logs(), durationMs: performance.now() - beginMs,
			journal: [
				...periods.map(({description, fromMs, untilMs}) => ({atMs: fromMs, text: `fault: ${description} (until ${Math.round(untilMs)})`})),
				...evacuationPeriods.map(({executorId, fromMs, untilMs}) => ({atMs: fromMs, text: `evacuation of the failure domain of ${executorId} (until ${Math.round(untilMs)})`})),
				...clients.calls().map(({entry, method, jobId, sentAtMs, endedAtMs, status, text}) => ({
					atMs: sentAtMs, text: `${method} ${jobId} at ${entry.name}: ${status ?? 'none'} ${text.slice(0, 80)} after ${Math.round(endedAtMs - sentAtMs)} ms`,
				})),
				...events.map(({atMs, ...event}) => ({atMs, text: Object.entries(event).map(([name, value]) => `${name}=${value}`).join(' ')})),
			].toSorted((left, right) => left.atMs - right.atMs).map(({atMs, text}) => `${Math.round(atMs)} ${new Date(performance.timeOrigin + atMs).toISOString()} ${text}`),
		};
	} finally {
		lag.disable();
		await clients.close();
		await site.close();
	}
}
