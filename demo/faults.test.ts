import process from 'node:process';
import test from 'ava';
import {z} from 'zod';
import {type Job} from '../src/cluster/intent.js';
import {backendServerJournalSchema, callerJournalSchema, workerJournalSchema} from '../stand-ins/journal.js';
import {fetchJson, sendJson} from '../stand-ins/json-client.js';
import {
	journalOf, startDeployment, waitForReady, type Deployment, type EntryProcess,
} from './deployment.js';
import {computeOutcome} from './outcome.js';
import {waitUntil, type RunnerProcess} from './process-runner.js';

const service = 'loaf-ordering';

/** Longer than the sum of lease duration, freshness and margin, so that every lease expires during a fault of this duration. */
const longerThanLeaseMs = 5000;

const waitMs = 60_000;

const job: Job = {
	jobId: 'panel-stress',
	teamId: 'bakehouse',
	workClass: 'batch',
	priority: 'normal',
	tasks: Array.from({length: 6}, (_, index) => ({
		taskId: `panel-stress-${index + 1}`,
		demand: {processorsMilli: 1000, memoryMb: 1024, accelerators: 0},
		declaredRunTimeMs: 6000,
		payload: JSON.stringify({kind: 'stress-run', workMs: 6000}),
	})),
};

const jobStatusSchema = z.object({tasks: z.array(z.object({phase: z.string()}))});

async function pause(durationMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, durationMs);
	});
}

async function setLogFaults({logServiceUrl}: Deployment, body: Readonly<Record<string, unknown>>): Promise<void> {
	await sendJson({method: 'PUT', url: `${logServiceUrl}/faults`, body});
}

async function killAndRestart(deployment: Deployment, processes: readonly RunnerProcess[]): Promise<RunnerProcess[]> {
	for (const running of processes) {
		running.kill();
	}

	await Promise.all(processes.map(async running => running.waitForExit(waitMs)));
	return processes.map(ended => deployment.runner.startAgain(ended));
}

/** Injects a fault and ends it before it returns; returns the processes that replace killed ones. */
type Fault = (deployment: Deployment) => Promise<readonly RunnerProcess[]>;

const none: readonly RunnerProcess[] = [];

const faults: Readonly<Record<string, Fault>> = {
	'an entry is killed under load and started again': async deployment => killAndRestart(deployment, [deployment.entries[0]!.process]),
	async 'an entry is paused for longer than a lease and resumed'({entries: [entry]}) {
		entry!.process.pause();
		await pause(longerThanLeaseMs);
		entry!.process.resume();
		return none;
	},
	'an agent is killed while tasks run and started again': async deployment => killAndRestart(deployment, [deployment.vms[0]!.agent]),
	async 'an agent is paused for longer than a lease and resumed'({vms: [vm]}) {
		vm!.agent.pause();
		await pause(longerThanLeaseMs);
		vm!.agent.resume();
		return none;
	},
	async 'the log service is down for longer than a lease'(deployment) {
		await setLogFaults(deployment, {down: true});
		await pause(longerThanLeaseMs);
		await setLogFaults(deployment, {down: false});
		return none;
	},
	async 'answers of the log are lost after the write, and the writes are applied again later'(deployment) {
		await setLogFaults(deployment, {loseAnswerEvery: 3, delayedDuplicateMs: 700});
		await pause(longerThanLeaseMs);
		await setLogFaults(deployment, {loseAnswerEvery: 0, delayedDuplicateMs: 0});
		return none;
	},
	'all entries and agents are killed at once and started again': async deployment => killAndRestart(deployment, [
		...deployment.entries.map(entry => entry.process),
		...deployment.vms.map(vm => vm.agent),
	]),
};

async function startFaultDeployment(): Promise<Deployment> {
	return startDeployment({
		entries: 2,
		vms: 2,
		processorsMilli: 8000,
		memoryMb: 16_384,
		usageLagMs: 500,
		entrySettings: {
			timings: {
				entryHeartbeatMs: 300, entryTimeoutMs: 1500, heartbeatTimeoutMs: 1000, leaseDurationMs: 3000, logFreshnessMs: 1000, leaseMarginMs: 300, shutdownDelayMs: 200,
			},
		},
		agentSettings: {timings: {heartbeatMs: 250, workerPollMs: 250, usageLagMs: 500}, guards: {enabled: false}},
	});
}

async function waitForService(entry: EntryProcess): Promise<void> {
	await waitUntil(`${service} answers through ${entry.process.name}`, waitMs, async () => {
		try {
			const answer = await sendJson({url: `http://${entry.callerAddress}/services/${service}/lookups/probe`, timeoutMs: 2000});
			return answer.status === 200 ? true : undefined;
		} catch {
			return undefined;
		}
	});
}

async function admitService(deployment: Deployment): Promise<void> {
	await deployment.confirm({
		kind: 'admit-service',
		service: {
			service, teamId: 'bakehouse', latencyTargetMs: 1000, demandPerBackendServer: {processorsMilli: 2000, memoryMb: 4096, accelerators: 0},
		},
	}, deployment.entries[0]!);
}

async function stop(processes: readonly RunnerProcess[]): Promise<void> {
	for (const running of processes) {
		running.terminate();
	}

	await Promise.all(processes.map(async running => running.waitForExit(waitMs)));
}

/** Runs load and tasks during a fault and computes the outcome from the journals of the stand-ins. */
async function runFault(deployment: Deployment, fault: Fault) {
	const {entries, vms, runner} = deployment;
	await admitService(deployment);
	const backendServers = vms.map((vm, index) => deployment.startBackendServer(vm, `backend-server-${index + 1}`, service, 5));
	await Promise.all(entries.map(async entry => waitForService(entry)));
	const caller = runner.start('caller', [
		'stand-ins/main.ts', 'caller-load', '--entries', entries.map(entry => entry.callerAddress).join(','), '--service', service, '--id', 'caller', '--concurrency', '6', '--pause-ms', '20', '--orders-milli', '600',
	]);
	await deployment.submitJob(job, entries[0]!);
	const readJournals = async () => Promise.all(vms.map(async vm => fetchJson(workerJournalSchema, {url: `${vm.workerUrl}/journal`})));
	await waitUntil('all tasks run', waitMs, async () => {
		const journals = await readJournals();
		return journals.flatMap(journal => journal.runs).length >= job.tasks.length ? true : undefined;
	});
	const replaced = await fault(deployment);
	await Promise.all(entries.map(async entry => waitForService(entry)));
	await waitUntil('every task is finished at every entry', waitMs, async () => {
		const statuses = await Promise.all(entries.map(async entry => fetchJson(jobStatusSchema, {url: `http://${entry.callerAddress}/jobs/${job.jobId}`})));
		return statuses.every(({tasks}) => tasks.length === job.tasks.length && tasks.every(task => task.phase === 'finished')) ? true : undefined;
	});
	await stop([caller]);
	const runningAgents = [...vms.map(vm => vm.agent), ...replaced].filter(running => running.exit() === undefined && running.name.startsWith('agent'));
	await stop(backendServers);
	const workers = await readJournals();
	await stop(runningAgents);
	const callerJournal = journalOf(callerJournalSchema, caller);
	const journals = {
		callers: [callerJournal], backendServers: backendServers.map(each => journalOf(backendServerJournalSchema, each)), workers, taskIds: job.tasks.map(task => task.taskId),
	};
	return {outcome: computeOutcome(journals), callerJournal, workers};
}

/** Returns the largest number of tasks that ran on a worker at the same time. A VM can run six tasks of 1,000 millicores, since its backend server has 2,000 of the 8,000. */
function maxConcurrentRuns(runs: ReadonlyArray<Readonly<{startedAtMonotonicMs: number; endedAtMonotonicMs: number | null}>>): number {
	return Math.max(0, ...runs.map(({startedAtMonotonicMs: atMs}) =>
		runs.filter(run => run.startedAtMonotonicMs <= atMs && (run.endedAtMonotonicMs ?? Number.POSITIVE_INFINITY) > atMs).length));
}

for (const [name, fault] of Object.entries(faults)) {
	/** Guards against lost or doubled work, overcommitted VMs and requests that are refused as not run although they ran. */
	test.serial(name, async t => {
		t.timeout(4 * waitMs);
		const deployment = await startFaultDeployment();
		try {
			const {outcome, callerJournal, workers} = await runFault(deployment, fault);
			t.log({...outcome, unknown: callerJournal.unknown, failed: callerJournal.failed});
			// Requests that are reported with an unknown outcome do not count as lost, but their effect must not be doubled either.
			t.is(outcome.doubled, 0, `findings: ${outcome.findings.join(', ')}`);
			t.is(outcome.lost - callerJournal.unknown - callerJournal.failed, 0, `findings: ${outcome.findings.join(', ')}`);
			t.is(callerJournal.wrong, 0);
			t.is(outcome.finished, job.tasks.length);
			t.true(callerJournal.ordersAnswered.length > 0);
			t.true(workers.every(({runs}) => maxConcurrentRuns(runs) <= 6));
		} finally {
			await deployment.close();
		}
	});
}

/** Guards against two conflicting plans for the same entity that both take effect. */
test.serial('of two concurrent confirmations of conflicting plans exactly one is accepted', async t => {
	t.timeout(4 * waitMs);
	const deployment = await startFaultDeployment();
	try {
		const quota = (processorsMilli: number) => ({kind: 'set-quota', teamId: 'bakehouse', quota: {processorsMilli, memoryMb: 4096, accelerators: 0}} as const);
		const codes = await deployment.confirmConcurrently(deployment.entries.map((entry, index) => ({intent: quota(1000 * (index + 1)), entry})));
		t.is(codes.filter(code => code === 0).length, 1);
		t.is(codes.filter(code => code === 1).length, 1);
	} finally {
		await deployment.close();
	}
});
