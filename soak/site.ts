import {Buffer} from 'node:buffer';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {findFreeAddresses} from '../demo/free-addresses.js';
import {createProcessRunner, type ProcessRunner, type RunnerProcess} from '../demo/process-runner.js';
import {entriesTopic} from '../platform/entry-registry.js';
import {entryRolesTopic} from '../platform/entry-role-registry.js';
import {createExecutorStandIn, type ExecutorEvent, type ExecutorStandIn} from '../stand-ins/executor-stand-in.js';
import {createStoreStandIn, type StoreStandIn} from '../stand-ins/store-stand-in.js';
import {createFaultProxy, type FaultProxy} from './fault-proxy.js';

/** A process of the site, which may be ended and started again; `links` are the proxies on its connections. */
export type SiteProcess<LinkName extends string> = Readonly<{
	name: string;
	links: Readonly<Record<LinkName, FaultProxy>>;
	current: () => RunnerProcess;
	/** Sends SIGKILL. */
	kill: () => void;
	/** Sends SIGTERM. */
	terminate: () => void;
	/** Starts the process again after it has ended. */
	startAgain: () => Promise<void>;
}>;

export type SiteEntry = SiteProcess<'store' | 'agents' | 'relay'> & Readonly<{queueAddress: string; readinessAddress: string; callerAddress: string; operatorAddress: string; agentAddress: string}>;
export type SiteAgent = SiteProcess<'store' | 'executor' | 'control'> & Readonly<{controlAddress: string; requestAddress: string; executor: ExecutorStandIn; executorId: string; failureDomain: string; workerAddress: string}>;

/** Entries and agents as separate processes, with the stand-ins of the platform in this process. */
export type Site = Readonly<{
	store: StoreStandIn;
	entries: readonly SiteEntry[];
	agents: readonly SiteAgent[];
	/** Writes the operator's configuration with the next version. */
	configure: (fields?: Readonly<Record<string, unknown>>) => void;
	/** Requests the evacuation of a failure domain as the operator does, or removes the request. */
	evacuate: (failureDomain: string, isRequested: boolean) => void;
	/** Returns the executors that started a task of a job. */
	executorsOf: (jobId: string) => ReadonlySet<string>;
	/** Returns how processes ended that the site did not end, with the last lines that they printed. */
	ownEnds: () => readonly string[];
	/** Returns the output of all processes so far, by name. */
	logs: () => ReadonlyMap<string, readonly string[]>;
	close: () => Promise<void>;
}>;

export const service = 'site';
export const queuePrefix = '/q/';

/** Failed attempts of a task after which its job fails, so that faults of executors end no job. */
const maxAttempts = 50;

const announceMs = 300;
const exitTimeoutMs = 10_000;
const lastLines = 5;
const maxLineLength = 200;

/** Settings of the entries beside their addresses, as in `deploy/entry.yaml`. */
const entryTimings = {
	appendIntervalMs: 25, pagePauseMs: 20, idlePagePauseMs: 50, snapshotEveryMs: 4000, minSnapshotIntervalMs: 4000, leaseDurationMs: 9000, logFreshnessMs: 1500,
	decisionTimeoutMs: 1500, logCloseTimeoutMs: 700, leaseMarginMs: 500, shutdownDelayMs: 2300,
};

/** Settings of the agents beside their addresses, as in `deploy/agent.yaml`. */
const agentTimings = {
	heartbeatMs: 1000, workerPollMs: 250, workerHoldMs: 7000, workerLeaseLimitMs: 10_000, contactLimitMs: 7500, workerTimeoutMs: 2500, usageLagMs: 500,
};

type Started = Readonly<{name: string; child: RunnerProcess}>;

function describeEnd({name, child}: Started): string {
	const end = child.exit();
	const errors = child.errorLines().filter(line => /error/iv.test(line));
	const lines = errors.length > 0 ? errors : child.lines();
	return `${name} ended with ${end?.signal ?? `code ${end?.code}`}: ${lines.slice(-lastLines).map(line => line.slice(0, maxLineLength)).join(' | ')}`;
}

/**
Starts a site on the loopback interface from the bundles in a directory, by default with two entries and two agents. `prepareStore` may fill the store before the processes start.

@example
await bundlePrograms('dist');
const site = await startSite({bundleDirectory: 'dist', runTimeMs: () => 100});
await site.close();
*/
export async function startSite({
	bundleDirectory, runTimeMs, onEvent = () => undefined, onAppended = () => undefined, prepareStore = () => undefined,
	entryCount = 2, agentCount = 2, deciderCount, nodeArguments = {entry: [], agent: []}, operatorToken, entrySettings = {},
}: Readonly<{
	bundleDirectory: string;
	/** Run time of a task by its payload. */
	runTimeMs: (payload: string) => number;
	onEvent?: (event: ExecutorEvent) => void;
	/** Called with each record that a process appends to the store. */
	onAppended?: (topic: string, record: Buffer) => void;
	prepareStore?: (store: StoreStandIn) => void;
	entryCount?: number;
	agentCount?: number;
	/** Entries that decide; all of them without it. */
	deciderCount?: number;
	/** Arguments of Node.js by role. */
	nodeArguments?: Readonly<Record<'entry' | 'agent', readonly string[]>>;
	/** Token of the entries' operator interfaces, which stay closed without it. */
	operatorToken?: string;
	/** Further settings of the entries. */
	entrySettings?: Readonly<Record<string, unknown>>;
}>): Promise<Site> {
	const runner: ProcessRunner = createProcessRunner({commonArguments: []});
	const directory = await mkdtemp(path.join(tmpdir(), 'arbutushinge-soak-'));
	const operatorTokenFile = path.join(directory, 'operator-token');
	const addresses = [...await findFreeAddresses(1 + (entryCount * 8) + (agentCount * 6))];
	const nextAddress = (): string => addresses.pop()!;
	const agentPort = Number(nextAddress().split(':')[1]);
	const announcedAddresses = new Map<string, string>();
	const proxies: FaultProxy[] = [];
	const executors: ExecutorStandIn[] = [];
	const started: Started[] = [];
	const endedBySite = new Set<RunnerProcess>();
	const executorsOfJob = new Map<string, Set<string>>();
	let version = 0;

	function recordEvent(event: ExecutorEvent): void {
		if (event.kind === 'started') {
			const jobId = event.taskId.split('.')[0]!;
			executorsOfJob.set(jobId, (executorsOfJob.get(jobId) ?? new Set()).add(event.executorId));
		}

		onEvent(event);
	}

	/** Puts the address of an entry's proxy into its announcement, so that agents and other entries reach it through the proxy. */
	function announceProxy(record: Buffer): Buffer {
		const text = record.toString('latin1');
		const address = /"(?:agent|relay)Address":"(?<address>[^"]*)"/v.exec(text)?.groups?.address ?? '';
		return Buffer.from(text.replace(address, announcedAddresses.get(address) ?? address), 'latin1');
	}

	const store = await createStoreStandIn({
		newestPageItems: 500,
		mapAppended(topic, record) {
			onAppended(topic, record);
			return topic === entriesTopic || topic === entryRolesTopic ? announceProxy(record) : record;
		},
	});

	async function proxy(targetAddress: string, address = nextAddress()): Promise<Readonly<{address: string; link: FaultProxy}>> {
		const link = await createFaultProxy({address, targetAddress});
		proxies.push(link);
		return {address, link};
	}

	async function startProcess<LinkName extends string>(
		role: 'entry' | 'agent',
		name: string,
		links: Readonly<Record<LinkName, FaultProxy>>,
		settings: unknown,
	): Promise<SiteProcess<LinkName>> {
		const file = path.join(directory, `${name}.yaml`);
		await writeFile(file, JSON.stringify(settings));
		const start = (): RunnerProcess => {
			const child = runner.start(name, [...nodeArguments[role], path.join(bundleDirectory, 'launcher.cjs'), role, '--settings', file]);
			started.push({name, child});
			return child;
		};

		let current = start();
		return {
			name,
			links,
			current: () => current,
			kill() {
				endedBySite.add(current);
				current.kill();
			},
			terminate() {
				endedBySite.add(current);
				current.terminate();
			},
			async startAgain() {
				await current.waitForExit(exitTimeoutMs);
				current = start();
			},
		};
	}

	async function startEntry(index: number): Promise<SiteEntry> {
		const [callerAddress, operatorAddress, agentAddress, queueAddress, readinessAddress, relayAddress] = [nextAddress(), nextAddress(), nextAddress(), nextAddress(), nextAddress(), nextAddress()];
		const toStore = await proxy(store.address);
		const fromAgents = await proxy(agentAddress, `127.0.0.${index + 2}:${agentPort}`);
		const fromFronts = await proxy(relayAddress);
		announcedAddresses.set(agentAddress, fromAgents.address);
		announcedAddresses.set(relayAddress, fromFronts.address);
		const name = `entry-${index + 1}`;
		const started = await startProcess('entry', name, {store: toStore.link, agents: fromAgents.link, relay: fromFronts.link}, {
			role: 'entry',
			entryId: name,
			failureDomain: `zone-${index + 1}`,
			callerAddress,
			operatorAddress,
			...(operatorToken !== undefined && {operatorTokenFile}),
			agentAddress,
			platform: {storeAddress: toStore.address, queueAddress, readinessAddress},
			...(deciderCount !== undefined && {deciders: {count: deciderCount, relayAddress}}),
			snapshotEveryRecords: 20_000,
			timings: entryTimings,
			...entrySettings,
		});
		return {
			...started, queueAddress, readinessAddress, callerAddress, operatorAddress, agentAddress,
		};
	}

	async function startAgent(index: number): Promise<SiteAgent> {
		const [requestAddress, controlAddress, executorAddress] = [nextAddress(), nextAddress(), nextAddress()];
		const toStore = await proxy(store.address);
		const toExecutor = await proxy(executorAddress);
		const toControl = await proxy(controlAddress);
		const executorId = `i-${index + 1}`;
		const failureDomain = `zone-${index + 1}`;
		const executor = await createExecutorStandIn({
			address: executorAddress, controlAddress: toControl.address, announcedAddress: toExecutor.address, service, runTimeMs, announceMs, executorId, onEvent: recordEvent,
		});
		executors.push(executor);
		const started = await startProcess('agent', `agent-${index + 1}`, {store: toStore.link, executor: toExecutor.link, control: toControl.link}, {
			role: 'agent',
			vmId: `vm-${index + 1}`,
			failureDomain,
			rack: 'unknown',
			requestAddress,
			entryStreams: 3,
			platform: {
				storeAddress: toStore.address,
				seedAddresses: Array.from({length: entryCount}, (_, entry) => `127.0.0.${entry + 2}:8166`),
				entryAgentPort: agentPort,
				controlAddress,
				workerAddress: toExecutor.address,
				service,
			},
			tasksAtStop: 'keep',
			timings: agentTimings,
		});
		return {
			...started, controlAddress, requestAddress, executor, executorId, failureDomain, workerAddress: toExecutor.address,
		};
	}

	function configure(fields: Readonly<Record<string, unknown>> = {}): void {
		version++;
		store.putKey('keyed.op', 'config', JSON.stringify({
			version,
			routes: [{
				host: '127.0.0.1', pathPrefix: queuePrefix, service, priority: 1, attempts: maxAttempts, stretch: 4, sloMs: 5000,
			}],
			services: {[service]: {admissionCheck: true}},
			...fields,
		}));
	}

	async function close(): Promise<void> {
		await runner.killAll();
		await Promise.all([...proxies, ...executors, store].map(async part => part.close()));
		await rm(directory, {recursive: true, force: true});
	}

	try {
		if (operatorToken !== undefined) {
			await writeFile(operatorTokenFile, operatorToken);
		}

		configure();
		prepareStore(store);
		const indexes = (count: number): readonly number[] => Array.from({length: count}, (_, index) => index);
		// One after the other, since the addresses are handed out in order.
		const entries: SiteEntry[] = [];
		for (const index of indexes(entryCount)) {
			entries.push(await startEntry(index));
		}

		const agents: SiteAgent[] = [];
		for (const index of indexes(agentCount)) {
			agents.push(await startAgent(index));
		}

		return {
			store,
			entries,
			agents,
			configure,
			evacuate(failureDomain, isRequested) {
				store.putKey('keyed.op', `evacuate/${failureDomain}`, isRequested ? '{}' : '');
			},
			executorsOf: jobId => executorsOfJob.get(jobId) ?? new Set(),
			ownEnds: () => started.filter(({child}) => child.exit() && !endedBySite.has(child)).map(ended => describeEnd(ended)),
			logs: () => new Map(started.map(({name, child}) => [`${name}-${child.pid}`, [...child.lines(), ...child.errorLines()]])),
			close,
		};
	} catch (error) {
		await close();
		throw error;
	}
}
