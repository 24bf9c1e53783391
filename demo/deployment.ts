import {randomUUID} from 'node:crypto';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {stringify} from 'yaml';
import {type z} from 'zod';
import {type Intent, type Job} from '../src/cluster/intent.js';
import {journalLinePrefix} from '../stand-ins/journal.js';
import {sendJson} from '../stand-ins/json-client.js';
import {findFreeAddresses} from './free-addresses.js';
import {
	createProcessRunner, waitUntil, type ProcessRunner, type RunnerProcess,
} from './process-runner.js';

export type DeploymentOptions = Readonly<{
	entries: number;
	vms: number;
	processorsMilli: number;
	memoryMb: number;
	usageLagMs: number;
	/** Failure domains to which entries and VMs are assigned round-robin; without it, `entry-1` and `vm-1` are in `domain-1`, and so on. */
	failureDomains?: readonly string[];
	vmsPerRack?: number;
	/** Additional command-line arguments of the backend server stand-in on a VM. */
	backendServerArguments?: (vm: VmProcesses) => readonly string[];
	/** Additional settings of all entries, such as `timings`. */
	entrySettings?: Readonly<Record<string, unknown>>;
	/** Additional settings of all agents. */
	agentSettings?: Readonly<Record<string, unknown>>;
}>;

export type EntryProcess = Readonly<{process: RunnerProcess; callerAddress: string; operatorAddress: string}>;

export type VmProcesses = Readonly<{
	vmId: string;
	agent: RunnerProcess;
	worker: RunnerProcess;
	workerUrl: string;
	agentUrl: string;
}>;

/** Processes of a small deployment: the stand-ins of the platform, the entries and the agents. */
export type Deployment = Readonly<{
	runner: ProcessRunner;
	log: RunnerProcess;
	logServiceUrl: string;
	entries: readonly EntryProcess[];
	vms: readonly VmProcesses[];
	startBackendServer: (vm: VmProcesses, backendServerId: string, service: string, serviceTimeMs: number) => RunnerProcess;
	/** Plans and confirms an intent with the operator commands; plans again when the plan or its confirmation fails, for instance because an entity has changed in between. */
	confirm: (intent: Intent, entry: EntryProcess) => Promise<void>;
	submitJob: (job: Job, entry: EntryProcess) => Promise<void>;
	/** Plans all intents first and then confirms them concurrently, each at its own entry; returns the exit code of each confirmation. */
	confirmConcurrently: (plans: ReadonlyArray<Readonly<{intent: Intent; entry: EntryProcess}>>) => Promise<ReadonlyArray<number | undefined>>;
	/** Kills the processes that still run and removes the directory of the settings. */
	close: () => Promise<void>;
}>;

const startTimeoutMs = 20_000;
const commandTimeoutMs = 10_000;

/** Maximum number of attempts to plan and confirm an intent; an attempt fails when an entity of the plan changes before the confirmation. */
const planAttempts = 5;

const readyLine = /^ready url=(\S+)$/v;

async function urlOf(started: RunnerProcess): Promise<string> {
	const [, url = ''] = await started.waitForLine(readyLine, startTimeoutMs);
	return url;
}

/** Waits until the readiness endpoint of the entry, which load balancers check, answers with status 200. */
export async function waitForReady(entry: EntryProcess): Promise<void> {
	await waitUntil(`${entry.process.name} is ready`, startTimeoutMs, async () => {
		const exit = entry.process.exit();
		if (exit) {
			throw new Error(`${entry.process.name} ended with ${exit.signal ?? `code ${exit.code}`}`);
		}

		try {
			const answer = await sendJson({url: `http://${entry.callerAddress}/ready`, timeoutMs: 1000});
			return answer.status === 200 ? true : undefined;
		} catch {
			return undefined;
		}
	});
}

/** Returns the last journal that a stand-in printed; throws when it printed none. */
export function journalOf<Value>(schema: z.ZodType<Value>, stopped: RunnerProcess): Value {
	const line = stopped.lines().findLast(candidate => candidate.startsWith(journalLinePrefix));
	if (line === undefined) {
		throw new Error(`${stopped.name} printed no journal`);
	}

	return schema.parse(JSON.parse(line.slice(journalLinePrefix.length)));
}

/** Starts the log service, the workers, the entries and the agents, and waits until the entries are ready. */
export async function startDeployment(options: DeploymentOptions): Promise<Deployment> {
	const runner = createProcessRunner();
	const directory = await mkdtemp(path.join(tmpdir(), 'arbutushinge-demo-'));

	async function close(): Promise<void> {
		await runner.killAll();
		await rm(directory, {recursive: true, force: true});
	}

	async function writeText(name: string, text: string): Promise<string> {
		const file = path.join(directory, name);
		await writeFile(file, text);
		return file;
	}

	try {
		const tokenFile = await writeText('operator-token', 'demo-operator-token\n');
		const addresses = await findFreeAddresses((options.entries * 3) + options.vms);
		const addressOf = (index: number): string => addresses[index]!;
		const failureDomainOf = (index: number): string => options.failureDomains?.[index % options.failureDomains.length] ?? `domain-${index + 1}`;
		const entryNumbers = Array.from({length: options.entries}, (_, index) => index);
		const operatorAddresses = entryNumbers.map(index => addressOf((index * 3) + 1));
		const entryAddresses = entryNumbers.map(index => addressOf((index * 3) + 2));

		const log = runner.start('log', ['stand-ins/main.ts', 'log-service']);
		const workers = Array.from({length: options.vms}, (_, index) => runner.start(`worker-${index + 1}`, [
			'stand-ins/main.ts',
			'worker',
			'--id',
			`vm-${index + 1}`,
			'--processors-milli',
			String(options.processorsMilli),
			'--memory-mb',
			String(options.memoryMb),
			'--usage-lag-ms',
			String(options.usageLagMs),
		]));
		const [logServiceUrl, ...workerUrls] = await Promise.all([log, ...workers].map(async started => urlOf(started)));

		const entries: EntryProcess[] = [];
		for (const index of entryNumbers) {
			const entryId = `entry-${index + 1}`;
			const callerAddress = addressOf(index * 3);
			const operatorAddress = addressOf((index * 3) + 1);
			const settings = await writeText(`${entryId}.yaml`, stringify({
				role: 'entry',
				entryId,
				failureDomain: failureDomainOf(index),
				callerAddress,
				operatorAddress,
				agentAddress: addressOf((index * 3) + 2),
				operatorTokenFile: tokenFile,
				peerOperatorAddresses: operatorAddresses.filter(address => address !== operatorAddress),
				logServiceUrl,
				...options.entrySettings,
			}));
			entries.push({process: runner.start(entryId, ['src/main.ts', 'entry', '--settings', settings]), callerAddress, operatorAddress});
		}

		const vms: VmProcesses[] = [];
		for (const [index, worker] of workers.entries()) {
			const vmId = `vm-${index + 1}`;
			const requestAddress = addressOf((options.entries * 3) + index);
			const workerUrl = workerUrls[index]!;
			const settings = await writeText(`agent-${vmId}.yaml`, stringify({
				role: 'agent',
				vmId,
				failureDomain: failureDomainOf(index),
				rack: `rack-${Math.floor(index / (options.vmsPerRack ?? 1)) + 1}`,
				requestAddress,
				entryAddresses,
				workerUrl,
				...options.agentSettings,
			}));
			vms.push({
				vmId, agent: runner.start(`agent-${vmId}`, ['src/main.ts', 'agent', '--settings', settings]), worker, workerUrl, agentUrl: `http://${requestAddress}`,
			});
		}

		await Promise.all(entries.map(async entry => waitForReady(entry)));

		let commands = 0;

		async function runCommand(command: readonly string[]): Promise<RunnerProcess> {
			commands++;
			const started = runner.start(`command-${commands}-${command[0]}`, ['src/main.ts', ...command]);
			await started.waitForExit(commandTimeoutMs);
			return started;
		}

		async function tryToConfirm(intentFile: string, access: readonly string[]): Promise<string> {
			const planned = await runCommand(['plan', ...access, '--intent', intentFile, '--json']);
			if (planned.exit()?.code !== 0) {
				return [...planned.lines(), ...planned.errorLines()].join('\n');
			}

			const planFile = await writeText(`${path.basename(intentFile)}.plan`, planned.lines().join('\n'));
			const confirmed = await runCommand(['confirm', ...access, '--plan', planFile, '--json']);
			return confirmed.exit()?.code === 0 ? '' : [...confirmed.lines(), ...confirmed.errorLines()].join('\n');
		}

		return {
			runner,
			log,
			logServiceUrl: logServiceUrl!,
			entries,
			vms,
			startBackendServer: (vm, backendServerId, service, serviceTimeMs) => runner.start(backendServerId, [
				'stand-ins/main.ts',
				'backend-server',
				'--id',
				backendServerId,
				'--service',
				service,
				'--agent-url',
				vm.agentUrl,
				'--service-time-ms',
				String(serviceTimeMs),
				...options.backendServerArguments?.(vm) ?? [],
			]),
			async confirm(intent, entry) {
				const intentFile = await writeText(`intent-${randomUUID()}.json`, JSON.stringify(intent));
				let problem = '';
				for (let attempt = 1; attempt <= planAttempts; attempt++) {
					problem = await tryToConfirm(intentFile, ['--entry', entry.operatorAddress, '--token-file', tokenFile]);
					if (problem === '') {
						return;
					}
				}

				throw new Error(`the intent ${intent.kind} was not confirmed: ${problem}`);
			},
			async confirmConcurrently(plans) {
				const confirmCommands: Array<readonly string[]> = [];
				for (const {intent, entry} of plans) {
					const access = ['--entry', entry.operatorAddress, '--token-file', tokenFile];
					const intentFile = await writeText(`intent-${commands}.json`, JSON.stringify(intent));
					const planned = await runCommand(['plan', ...access, '--intent', intentFile, '--json']);
					const planFile = await writeText(`plan-${commands}.json`, planned.lines().join('\n'));
					confirmCommands.push(['confirm', ...access, '--plan', planFile, '--json']);
				}

				const confirmed = await Promise.all(confirmCommands.map(async command => runCommand(command)));
				return confirmed.map(command => command.exit()?.code);
			},
			async submitJob(job, entry) {
				const answer = await sendJson({method: 'POST', url: `http://${entry.callerAddress}/jobs`, body: job});
				if (answer.status !== 202) {
					throw new Error(`the job ${job.jobId} was answered ${answer.status}: ${JSON.stringify(answer.body)}`);
				}
			},
			close,
		};
	} catch (error) {
		for (const started of runner.processes()) {
			for (const line of [...started.lines(), ...started.errorLines()].slice(-12)) {
				console.error(`${started.name}: ${line}`);
			}
		}

		await close();
		throw error;
	}
}
