import process from 'node:process';
import {z} from 'zod';
import {type Job} from '../src/cluster/intent.js';
import {
	backendServerJournalSchema, callerJournalSchema, workerJournalSchema, type WorkerJournal,
} from '../stand-ins/journal.js';
import {fetchJson, sendJson} from '../stand-ins/json-client.js';
import {
	journalOf, startDeployment, type Deployment, type DeploymentOptions, type EntryProcess, type VmProcesses,
} from './deployment.js';
import {formatOutcome, computeOutcome} from './outcome.js';
import {waitUntil, type RunnerProcess} from './process-runner.js';

const service = 'loaf-ordering';
const serviceTimeMs = 5;

/** The work of the long tasks is long enough that they still run when the drain begins, and short enough for `demoTimeoutMs`. */
const longTasks = {count: 10, workMs: 8000};
const shortTasks = {count: 12, workMs: 400};

/** Time after the start of the process at which the demo is aborted as failed. */
const demoTimeoutMs = 56_000;
const stopTimeoutMs = 12_000;

const jobStatusSchema = z.object({tasks: z.array(z.object({taskId: z.string(), phase: z.string()}))});

function jobOf(jobId: string, kind: string, tasks: Readonly<{count: number; workMs: number}>): Job {
	return {
		jobId,
		teamId: 'bakehouse',
		workClass: 'batch',
		priority: 'normal',
		tasks: Array.from({length: tasks.count}, (_, index) => ({
			taskId: `${jobId}-${index + 1}`,
			demand: {processorsMilli: 1000, memoryMb: 1024, accelerators: 0},
			declaredRunTimeMs: tasks.workMs,
			payload: JSON.stringify({kind, workMs: tasks.workMs}),
		})),
	};
}

function report(text: string): void {
	process.stdout.write(`${(performance.now() / 1000).toFixed(1)} s: ${text}\n`);
}

async function waitForService(entry: EntryProcess): Promise<void> {
	await waitUntil(`${service} answers through ${entry.process.name}`, 15_000, async () => {
		try {
			const answer = await sendJson({url: `http://${entry.callerAddress}/services/${service}/lookups/probe`, timeoutMs: 2000});
			return answer.status === 200 ? true : undefined;
		} catch {
			return undefined;
		}
	});
}

/** Waits until every task of the job runs on a worker and returns the VM that runs most of them. */
async function findBusiestVm(deployment: Deployment, job: Job): Promise<VmProcesses> {
	const taskIds = new Set(job.tasks.map(task => task.taskId));
	return waitUntil(`all tasks of ${job.jobId} run`, 15_000, async () => {
		const counts: Array<Readonly<{vm: VmProcesses; running: number}>> = [];
		for (const vm of deployment.vms) {
			const journal: WorkerJournal = await fetchJson(workerJournalSchema, {url: `${vm.workerUrl}/journal`});
			counts.push({vm, running: journal.runs.filter(run => run.phase === 'running' && taskIds.has(run.taskId)).length});
		}

		let running = 0;
		for (const count of counts) {
			running += count.running;
		}

		return running === taskIds.size ? counts.toSorted((left, right) => right.running - left.running)[0]?.vm : undefined;
	});
}

async function waitForJob(entry: EntryProcess, job: Job): Promise<void> {
	await waitUntil(`all tasks of ${job.jobId} are finished`, 30_000, async () => {
		const {tasks} = await fetchJson(jobStatusSchema, {url: `http://${entry.callerAddress}/jobs/${job.jobId}`});
		return tasks.length === job.tasks.length && tasks.every(task => task.phase === 'finished') ? true : undefined;
	});
}

/** Stops the processes with SIGTERM and returns a message for each that did not end gracefully. */
async function stopGracefully(processes: readonly RunnerProcess[]): Promise<readonly string[]> {
	for (const running of processes) {
		running.terminate();
	}

	const problems = await Promise.all(processes.map(async running => {
		try {
			const exit = await running.waitForExit(stopTimeoutMs);
			return exit.code === 0 ? [] : [`${running.name} ended with ${exit.signal ?? `code ${exit.code}`}`];
		} catch (error) {
			return [String(error)];
		}
	}));
	return problems.flat();
}

/** Runs the scenario and returns a description of each problem. */
async function runScenario(deployment: Deployment): Promise<readonly string[]> {
	const [firstEntry, secondEntry] = deployment.entries;
	if (!firstEntry || !secondEntry) {
		throw new Error('the demo needs two entries');
	}

	report('the entries are ready; admitting the service');
	await deployment.confirm({
		kind: 'admit-service',
		service: {
			service, teamId: 'bakehouse', latencyTargetMs: 100, demandPerBackendServer: {processorsMilli: 2000, memoryMb: 4096, accelerators: 0},
		},
	}, firstEntry);
	const backendServers = deployment.vms.map((vm, index) => deployment.startBackendServer(vm, `backend-server-${index + 1}`, service, serviceTimeMs));
	await Promise.all(deployment.entries.map(async entry => waitForService(entry)));

	report('the service answers through both entries; starting the callers and submitting jobs');
	const addresses = deployment.entries.map(entry => entry.callerAddress);
	const callers = ['caller-1', 'caller-2'].map((name, index) => deployment.runner.start(name, [
		'stand-ins/main.ts',
		'caller-load',
		'--entries',
		addresses.join(','),
		'--service',
		service,
		'--id',
		name,
		'--seed',
		String(index + 1),
		'--concurrency',
		'6',
		'--pause-ms',
		'20',
	]));
	const longJob = jobOf('panel-stress', 'stress-run', longTasks);
	const shortJob = jobOf('curing', 'curing-watch', shortTasks);
	await deployment.submitJob(longJob, firstEntry);
	await deployment.submitJob(shortJob, secondEntry);

	const drainedVm = await findBusiestVm(deployment, longJob);
	report(`all long tasks run; draining ${drainedVm.vmId}`);
	await deployment.confirm({kind: 'drain-vm', vmId: drainedVm.vmId}, secondEntry);
	const drainedIndex = deployment.vms.findIndex(vm => vm.vmId !== drainedVm.vmId);
	report(`draining backend-server-${drainedIndex + 1}`);
	await deployment.confirm({kind: 'drain-backend-server', backendServerId: `backend-server-${drainedIndex + 1}`}, firstEntry);
	await waitForJob(firstEntry, longJob);
	await waitForJob(secondEntry, shortJob);

	report('all tasks are finished; stopping everything');
	const problems = [
		...await stopGracefully(callers),
		...await stopGracefully(backendServers),
		...await stopGracefully(deployment.vms.map(vm => vm.agent)),
		...await stopGracefully(deployment.entries.map(entry => entry.process)),
		...await stopGracefully(deployment.vms.map(vm => vm.worker)),
		...await stopGracefully([deployment.log]),
	];

	const outcome = computeOutcome({
		callers: callers.map(caller => journalOf(callerJournalSchema, caller)),
		backendServers: backendServers.map(backendServer => journalOf(backendServerJournalSchema, backendServer)),
		workers: deployment.vms.map(vm => journalOf(workerJournalSchema, vm.worker)),
		taskIds: [...longJob.tasks, ...shortJob.tasks].map(task => task.taskId),
	});
	for (const problem of [...problems, ...outcome.findings]) {
		report(problem);
	}

	process.stdout.write(`${formatOutcome(outcome)}\n`);
	return [
		...problems,
		...(outcome.lost === 0 ? [] : ['requests or work were lost']),
		...(outcome.doubled === 0 ? [] : ['orders or tasks ran twice']),
		...(outcome.finished === outcome.tasks ? [] : ['a task did not finish']),
		...(outcome.evictions > 0 ? [] : ['the drained VM evicted no task']),
	];
}

const deploymentOptions: DeploymentOptions = {
	entries: 2,
	vms: 3,
	processorsMilli: 8000,
	memoryMb: 16_384,
	usageLagMs: 1000,
	entrySettings: {timings: {shutdownDelayMs: 500}},
	agentSettings: {timings: {heartbeatMs: 500, workerPollMs: 250, usageLagMs: 1000}},
};

async function runDemo(): Promise<readonly string[]> {
	let deployment: Deployment;
	try {
		deployment = await startDeployment(deploymentOptions);
	} catch (error) {
		return [error instanceof Error ? error.message : String(error)];
	}

	let timer: NodeJS.Timeout | undefined;
	const timedOut = new Promise<never>((_resolve, reject) => {
		timer = setTimeout(() => {
			reject(new Error(`the demo took longer than ${demoTimeoutMs} ms`));
		}, Math.max(0, demoTimeoutMs - performance.now()));
	});
	try {
		return await Promise.race([runScenario(deployment), timedOut]);
	} catch (error) {
		for (const started of deployment.runner.processes()) {
			for (const line of [...started.lines(), ...started.errorLines()].slice(-12)) {
				report(`${started.name}: ${line.slice(0, 500)}`);
			}
		}

		return [error instanceof Error ? error.message : String(error)];
	} finally {
		clearTimeout(timer);
		await deployment.close();
	}
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	// The runner kills its process groups when this process exits.
	process.on(signal, () => process.exit(1));
}

const problems = await runDemo();
for (const problem of problems) {
	process.stderr.write(`demo failed: ${problem}\n`);
}

// After a timeout, a pending wait of the scenario would keep this process running.
// eslint-disable-next-line unicorn/no-process-exit
process.exit(problems.length === 0 ? 0 : 1);
