import {type Buffer} from 'node:buffer';
import {
	mkdir, mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {loadavg, tmpdir} from 'node:os';
import path from 'node:path';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {waitUntil} from '../demo/process-runner.js';
import {bundlePrograms} from '../scripts/bundle-programs.js';
import {nodeFlagsOf, writeCodeCaches} from '../scripts/write-code-caches.js';
import {createClients} from '../soak/clients.js';
import {startSite, type Site, type SiteEntry} from '../soak/site.js';
import {decodeLogValue} from '../src/log/log-value.js';
import {printFigures} from './print-figures.js';
import {marksOfLines, timesByPart, type RecoveryMark} from './recovery-parts.js';

const optionsSchema = z.object({
	entries: z.coerce.number().int().min(1).max(40).default(6),
	agents: z.coerce.number().int().min(1).max(200).default(12),
	deciders: z.coerce.number().int().min(1).default(4),
	tasks: z.coerce.number().int().min(1).max(16).default(12),
	darkMs: z.coerce.number().min(0).max(60_000).default(700),
	runs: z.coerce.number().int().min(1).max(20).default(1),
	bundles: z.string().optional(),
	logs: z.string().optional(),
});

const topic = 'arbutushinge';
const startTimeoutMs = 120_000;
const recoveryTimeoutMs = 30_000;

/** Time with all tasks running before the power is lost, so that a snapshot is written and the processes are idle. */
const settleMs = 5000;

/** Time between two checks of the entries' readiness; a balancer checks once a second. */
const readinessCheckMs = 50;

const nanosecondsPerMs = 1_000_000;

/** Parts in the order of a recovery. */
const parts = [
	'configuration',
	'role',
	'state',
	'agentStart',
	'announcement',
	'list',
	'stream',
	'log.entry-registered',
	'log.vm-registered',
	'lease',
	'log.task-claimed',
	'restart',
	'log.task-started',
	'ready.decider',
	'ready.front',
];

async function isReady({readinessAddress}: SiteEntry): Promise<boolean> {
	try {
		const {status} = await fetch(`http://${readinessAddress}/arbutushinge/ready`);
		return status === 200;
	} catch {
		return false;
	}
}

/** Ends all processes and executors at once, starts them again and returns what happened, in milliseconds since the start. */
async function losePower(site: Site, observed: readonly RecoveryMark[], {darkMs, taskCount}: Readonly<{darkMs: number; taskCount: number}>): Promise<readonly RecoveryMark[]> {
	const processes = [...site.entries, ...site.agents];
	for (const each of processes) {
		each.kill();
	}

	for (const {executor} of site.agents) {
		executor.crash();
	}

	await delay(darkMs);
	const observedBefore = observed.length;
	const startMs = performance.now();
	const startUnixMs = performance.timeOrigin + startMs;
	for (const {executor} of site.agents) {
		executor.startAgain();
	}

	await Promise.all(processes.map(async each => each.startAgain()));
	const marks: RecoveryMark[] = [{part: 'spawned', subject: 'site', atMs: performance.now() - startMs}];
	const readyIds = new Set<string>();
	const deadlineMs = startMs + recoveryTimeoutMs;
	const isRestored = (): boolean => new Set(observed.slice(observedBefore).filter(({part}) => part === 'restart').map(({subject}) => subject)).size >= taskCount;
	while (performance.now() < deadlineMs && (readyIds.size < site.entries.length || !isRestored())) {
		await Promise.all(site.entries.filter(({name}) => !readyIds.has(name)).map(async entry => {
			if (await isReady(entry)) {
				readyIds.add(entry.name);
				marks.push({part: 'ready', subject: entry.name, atMs: performance.now() - startMs});
			}
		}));
		await delay(readinessCheckMs);
	}

	const lines = processes.flatMap(({name, current}) => marksOfLines(current().lines(), startUnixMs).map(mark => ({...mark, subject: name})));
	const deciders = new Set(lines.filter(({part}) => part === 'role').map(({subject}) => subject));
	return [
		...marks.map(mark => mark.part === 'ready' ? {...mark, part: deciders.has(mark.subject) ? 'ready.decider' : 'ready.front'} : mark),
		...lines,
		...observed.slice(observedBefore).map(mark => ({...mark, atMs: mark.atMs - startMs})),
	];
}

/** Returns what a record of the log shows of a recovery. */
function markOfRecord(record: Buffer, atMs: number): RecoveryMark | undefined {
	const decoded = decodeLogValue(record.toString());
	if (decoded.isErr) {
		return undefined;
	}

	const {record: value, writer} = decoded.value;
	const part = `log.${value.kind}`;
	if (value.kind === 'entry-registered') {
		return {part, subject: writer, atMs};
	}

	if (value.kind === 'vm-registered') {
		return {part, subject: value.vmId, atMs};
	}

	return value.kind === 'task-claimed' || value.kind === 'task-started' ? {part, subject: value.taskId, atMs} : undefined;
}

/**
Runs entries and agents as separate processes with long-running tasks, ends all of them at once as a loss of power does, starts them again and
prints when each part of the recovery was over. Store and executors are stand-ins in this process; its own delays are printed, since the figures
include them.

@example
await runRecovery({entries: 14, agents: 76, deciders: 4});
*/
export async function runRecovery(given: Readonly<Record<string, unknown>>): Promise<void> {
	const {
		entries, agents, deciders, tasks, darkMs, runs, bundles, logs,
	} = optionsSchema.parse(given);
	const directory = bundles ?? await mkdtemp(path.join(tmpdir(), 'arbutushinge-recovery-'));
	if (bundles === undefined) {
		await bundlePrograms(directory);
		await writeCodeCaches(directory);
	}

	const deployFile = await readFile('deploy/system.toml', 'utf8');
	const observed: RecoveryMark[] = [];
	const site = await startSite({
		bundleDirectory: directory,
		runTimeMs: () => Number.POSITIVE_INFINITY,
		entryCount: entries,
		agentCount: agents,
		deciderCount: deciders,
		nodeArguments: {entry: nodeFlagsOf(deployFile, 'entry'), agent: nodeFlagsOf(deployFile, 'agent')},
		onEvent(event) {
			if (event.kind === 'started') {
				observed.push({part: 'restart', subject: event.taskId, atMs: event.atMs});
			}
		},
		onAppended(appendedTopic, record) {
			const mark = appendedTopic === topic ? markOfRecord(record, performance.now()) : undefined;
			if (mark) {
				observed.push(mark);
			}
		},
	});
	try {
		await Promise.all(site.entries.map(async entry => waitUntil(`${entry.name} is ready`, startTimeoutMs, async () => await isReady(entry) || undefined)));
		const clients = createClients(site.entries, {pick: values => values[0]!});
		for (let job = 0; job < tasks; job++) {
			clients.submit({jobId: job.toString(16).padStart(16, '0'), isLasting: true}, {
				spec: '', steps: [{
					count: agents, cpu: 1000, memMb: 10, longRunning: true,
				}],
			});
		}

		const taskCount = tasks * agents;
		await waitUntil('all tasks run', startTimeoutMs, () => new Set(observed.filter(({part}) => part === 'restart').map(({subject}) => subject)).size >= taskCount || undefined);
		await clients.close();
		for (let run = 1; run <= runs; run++) {
			await delay(settleMs);
			const loadBefore = loadavg()[0]!;
			const lag = monitorEventLoopDelay();
			lag.enable();
			const marks = await losePower(site, observed, {darkMs, taskCount});
			lag.disable();
			printFigures({
				bench: 'recovery',
				run,
				processes: entries + agents,
				entries,
				agents,
				deciders,
				tasks: taskCount,
				loadBefore,
				spawnedMs: marks.find(({part}) => part === 'spawned')!.atMs,
				ownLagP99Ms: lag.percentile(99) / nanosecondsPerMs,
			});
			const times = timesByPart(marks);
			for (const part of parts) {
				const found = times.get(part);
				if (found) {
					printFigures({
						bench: 'recovery', run, part, ...found,
					});
				}
			}
		}
	} finally {
		if (logs !== undefined) {
			await mkdir(logs, {recursive: true});
			await Promise.all([...site.logs()].map(async ([name, lines]) => writeFile(path.join(logs, `${name}.log`), lines.join('\n'))));
		}

		await site.close();
		if (bundles === undefined) {
			await rm(directory, {recursive: true, force: true});
		}
	}
}
