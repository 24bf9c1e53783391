/* eslint-disable unicorn/no-process-exit -- This file is a command; its children are killed when it exits. */
import {spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Pool} from 'undici';
import {stringify} from 'yaml';
import {findFreeAddresses} from '../demo/free-addresses.js';
import {createProcessRunner, waitUntil, type RunnerProcess} from '../demo/process-runner.js';
import {sendJson} from '../stand-ins/json-client.js';
import {readProcess, type ProcessSample} from './control-agent-process.js';
import {openRelay, type ByteCountingRelay} from './control-agent-relay.js';

/** Resources that the agent may use on a VM (section 1 of docs/design.md). */
const budget = {residentMb: 64, processorMsPerSecond: 11, controlBytesPerSecond: 2048};

/** The bench ends with a failure after this time. */
const benchTimeoutMs = 58_000;
const startTimeoutMs = 15_000;

const service = 'loaf-ordering';

type Options = Readonly<{program: string; entries: number; settleMs: number; idleMs: number; loadMs: number; ratePerSecond: number}>;

type Phase = Readonly<{
	name: string;
	seconds: number;
	last: ProcessSample;
	largestResidentMb: number;
	processorMsPerSecond: number;
	toEntryBytesPerSecond: number;
	toAgentBytesPerSecond: number;
	answered: number;
	failed: number;
}>;

function print(fields: Readonly<Record<string, string | number>>): void {
	process.stdout.write(Object.entries(fields)
		.map(([name, value]) => `${name}=${typeof value === 'number' ? Number(value.toFixed(1)) : value}`)
		.join(' ') + '\n');
}

/** Sends requests to the agent the way an entry does, at a fixed rate. */
async function sendLoad(agentAddress: string, durationMs: number, ratePerSecond: number): Promise<Readonly<{answered: number; failed: number}>> {
	const pool = new Pool(`http://${agentAddress}`, {connections: 8});
	const body = JSON.stringify({loaves: 12, note: 'x'.repeat(500)});
	const counts = {answered: 0, failed: 0};
	const pending: Array<Promise<void>> = [];
	const startMs = performance.now();

	async function sendOne(number: number): Promise<void> {
		try {
			const answer = await pool.request({
				method: 'POST',
				path: `/requests/${service}/lookups/${number}`,
				headers: {
					'content-type': 'application/json',
					'x-arbutushinge-request-id': `bench-${number}`,
					'x-arbutushinge-backend-server': 'backend-server-1',
					'x-arbutushinge-deadline-ms': '5000',
				},
				body,
			});
			await answer.body.dump();
			counts[answer.headers['x-arbutushinge-outcome'] === 'done' ? 'answered' : 'failed']++;
		} catch {
			counts.failed++;
		}
	}

	for (let number = 0; number < ratePerSecond * durationMs / 1000; number++) {
		const waitMs = startMs + (number * 1000 / ratePerSecond) - performance.now();
		if (waitMs > 0) {
			await delay(waitMs);
		}

		pending.push(sendOne(number));
	}

	await Promise.all(pending);
	await pool.close();
	return counts;
}

async function measurePhase(
	name: string,
	pid: number,
	relays: readonly ByteCountingRelay[],
	work: () => Promise<Readonly<{answered: number; failed: number}>>,
): Promise<Phase> {
	const bytes = (direction: 'toEntry' | 'toAgent'): number => relays.map(relay => relay.bytes()[direction]).reduce((sum, each) => sum + each, 0);
	const first = {
		sample: readProcess(pid), toEntry: bytes('toEntry'), toAgent: bytes('toAgent'), ms: performance.now(),
	};
	let largestResidentMb = first.sample.residentMb;
	const sampler = setInterval(() => {
		largestResidentMb = Math.max(largestResidentMb, readProcess(pid).residentMb);
	}, 250);
	const {answered, failed} = await work();
	clearInterval(sampler);
	const seconds = (performance.now() - first.ms) / 1000;
	const last = readProcess(pid);
	return {
		name,
		seconds,
		last,
		largestResidentMb: Math.max(largestResidentMb, last.residentMb),
		processorMsPerSecond: (last.processorMs - first.sample.processorMs) / seconds,
		toEntryBytesPerSecond: (bytes('toEntry') - first.toEntry) / seconds,
		toAgentBytesPerSecond: (bytes('toAgent') - first.toAgent) / seconds,
		answered,
		failed,
	};
}

function printPhase(options: Options, phase: Phase): void {
	const controlBytesPerSecond = phase.toEntryBytesPerSecond + phase.toAgentBytesPerSecond;
	print({
		bench: 'control-agent',
		program: path.basename(options.program),
		entries: options.entries,
		phase: phase.name,
		seconds: phase.seconds,
		residentMb: phase.last.residentMb,
		largestResidentMb: phase.largestResidentMb,
		anonymousMb: phase.last.anonymousMb,
		fileMappedMb: phase.last.fileMappedMb,
		peakResidentMb: phase.last.peakResidentMb,
		threads: phase.last.threads,
		processorMsPerSecond: phase.processorMsPerSecond,
		toEntriesBytesPerSecond: phase.toEntryBytesPerSecond,
		toAgentBytesPerSecond: phase.toAgentBytesPerSecond,
		controlBytesPerSecond,
		requestsAnswered: phase.answered,
		requestsFailed: phase.failed,
		withinMemory: String(phase.largestResidentMb <= budget.residentMb),
		withinProcessor: String(phase.processorMsPerSecond <= budget.processorMsPerSecond),
		withinTraffic: String(controlBytesPerSecond <= budget.controlBytesPerSecond),
	});
}

async function urlOf(started: RunnerProcess): Promise<string> {
	const [, url = ''] = await started.waitForLine(/^ready url=(\S+)$/v, startTimeoutMs);
	return url;
}

async function measureAgent(options: Options): Promise<void> {
	const runner = createProcessRunner();
	const directory = await mkdtemp(path.join(tmpdir(), 'arbutushinge-bench-'));
	const relays: ByteCountingRelay[] = [];
	let killAgent = (): void => undefined;
	try {
		const tokenFile = path.join(directory, 'operator-token');
		await writeFile(tokenFile, 'bench-operator-token\n');
		const addresses = await findFreeAddresses((options.entries * 3) + 1);
		const agentAddress = addresses.at(-1)!;
		const log = runner.start('log', ['stand-ins/main.ts', 'log-service']);
		const worker = runner.start('worker', ['stand-ins/main.ts', 'worker', '--id', 'vm-1']);
		const [logServiceUrl, workerUrl] = await Promise.all([log, worker].map(async started => urlOf(started)));

		const numbers = Array.from({length: options.entries}, (_, index) => index);
		const operatorAddresses = numbers.map(index => addresses[(index * 3) + 1]!);
		for (const index of numbers) {
			const settingsFile = path.join(directory, `entry-${index}.yaml`);
			const entryAgentAddress = addresses[(index * 3) + 2]!;
			await writeFile(settingsFile, stringify({
				role: 'entry',
				entryId: `entry-${index + 1}`,
				failureDomain: `domain-${index + 1}`,
				callerAddress: addresses[index * 3],
				operatorAddress: operatorAddresses[index],
				agentAddress: entryAgentAddress,
				operatorTokenFile: tokenFile,
				peerOperatorAddresses: operatorAddresses.filter(address => address !== operatorAddresses[index]),
				logServiceUrl,
			}));
			runner.start(`entry-${index + 1}`, ['src/main.ts', 'entry', '--settings', settingsFile]);
			relays.push(await openRelay(entryAgentAddress));
		}

		await Promise.all(numbers.map(async index => waitUntil(`entry-${index + 1} is ready`, startTimeoutMs, async () => {
			try {
				const answer = await sendJson({url: `http://${addresses[index * 3]}/ready`, timeoutMs: 1000});
				return answer.status === 200 ? true : undefined;
			} catch {
				return undefined;
			}
		})));

		const settingsFile = path.join(directory, 'agent.yaml');
		await writeFile(settingsFile, stringify({
			role: 'agent',
			vmId: 'vm-1',
			failureDomain: 'domain-1',
			rack: 'rack-1',
			requestAddress: agentAddress,
			entryAddresses: relays.map(relay => relay.address),
			workerUrl,
		}));
		const isBundle = options.program.endsWith('.cjs');
		const command = isBundle ? process.execPath : options.program;
		const prefix = isBundle ? [options.program] : [];
		// As in production: without options of Node.js and without the variables of this command's own loader.
		const {NODE_OPTIONS: _, ...environment} = process.env;
		const agent = spawn(command, [...prefix, 'agent', '--settings', settingsFile], {stdio: ['ignore', 'ignore', 'inherit'], env: environment});
		killAgent = () => {
			agent.kill('SIGKILL');
		};

		process.on('exit', killAgent);
		const pid = agent.pid!;
		const backendServer = runner.start('backend-server', [
			'stand-ins/main.ts', 'backend-server', '--id', 'backend-server-1', '--service', service, '--agent-url', `http://${agentAddress}`, '--service-time-ms', '5',
		]);
		await urlOf(backendServer);
		await waitUntil('the agent is steady', startTimeoutMs, async () => {
			try {
				const answer = await sendJson({url: `http://${agentAddress}/health`, timeoutMs: 1000});
				return JSON.stringify(answer.body).includes('"status":"ok"') ? true : undefined;
			} catch {
				return undefined;
			}
		});
		await delay(options.settleMs);
		printPhase(options, await measurePhase('idle', pid, relays, async () => {
			await delay(options.idleMs);
			return {answered: 0, failed: 0};
		}));
		if (options.loadMs > 0) {
			printPhase(options, await measurePhase('load', pid, relays, async () => sendLoad(agentAddress, options.loadMs, options.ratePerSecond)));
		}
	} finally {
		killAgent();
		await runner.killAll();
		await Promise.all(relays.map(async relay => relay.close()));
		await rm(directory, {recursive: true, force: true});
	}
}

/** The built program, with as many entries as one region has. */
const defaultOptions: Options = {
	program: path.resolve('dist/arbutushinge'),
	entries: 3,
	settleMs: 6000,
	idleMs: 12_000,
	loadMs: 10_000,
	ratePerSecond: 100,
};

/**
Measures the memory, processor time and control traffic of one agent, idle and under load; `npm run build` must have run.

@example
await runBench();
*/
export async function runBench(): Promise<void> {
	const timer = setTimeout(() => {
		process.stderr.write(`the bench took longer than ${benchTimeoutMs} ms\n`);
		process.exit(1);
	}, benchTimeoutMs);
	await measureAgent(defaultOptions);
	clearTimeout(timer);
}
