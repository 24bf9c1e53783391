import {
	mkdtemp, readdir, readFile, rm,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {z} from 'zod';
import {waitUntil, type RunnerProcess} from '../demo/process-runner.js';
import {bundlePrograms} from '../scripts/bundle-programs.js';
import {nodeFlagsOf, writeCodeCaches} from '../scripts/write-code-caches.js';
import {createClients} from '../soak/clients.js';
import {startSite, type Site} from '../soak/site.js';
import {costByPart, profileSchema} from './cost-by-part.js';
import {printFigures} from './print-figures.js';

const optionsSchema = z.object({
	entries: z.coerce.number().int().min(1).max(40).default(6),
	agents: z.coerce.number().int().min(1).max(60).default(18),
	deciders: z.coerce.number().int().min(1).optional(),
	seconds: z.coerce.number().min(1).max(600).default(30),
	jobs: z.coerce.number().min(0).max(100).default(4),
	keep: z.string().optional(),
});

const startTimeoutMs = 60_000;
const stopTimeoutMs = 20_000;
const taskMs = 900;
const tasksPerJob = 8;
const seed = 1;

async function isReady({readinessAddress}: Site['entries'][number]): Promise<true | undefined> {
	try {
		const {status} = await fetch(`http://${readinessAddress}/arbutushinge/ready`);
		return status === 200 ? true : undefined;
	} catch {
		return undefined;
	}
}

async function stopGracefully(processes: readonly RunnerProcess[]): Promise<void> {
	for (const running of processes) {
		running.terminate();
	}

	await Promise.all(processes.map(async running => running.waitForExit(stopTimeoutMs)));
}

/**
Runs entries and agents as separate processes under a steady load and prints the processor time that each process spends in each of its
parts, from profiles of the processes. Start-up counts, since it delays the first answer.

@example
await runEntryCost({entries: 6, agents: 18, deciders: 4});
*/
export async function runEntryCost(given: Readonly<Record<string, unknown>>): Promise<void> {
	const {entries, agents, deciders, seconds, jobs, keep} = optionsSchema.parse(given);
	const directory = keep ?? await mkdtemp(path.join(tmpdir(), 'arbutushinge-entry-cost-'));
	const deployFile = await readFile('deploy/system.toml', 'utf8');
	await bundlePrograms(directory);
	await writeCodeCaches(directory);
	const profiled = (role: 'entry' | 'agent'): readonly string[] => [
		...nodeFlagsOf(deployFile, role), '--cpu-prof', `--cpu-prof-dir=${path.join(directory, `profiles-${role}`)}`, '--cpu-prof-interval=1000',
	];
	const site = await startSite({
		bundleDirectory: directory,
		runTimeMs: () => taskMs,
		entryCount: entries,
		agentCount: agents,
		...(deciders !== undefined && {deciderCount: deciders}),
		nodeArguments: {entry: profiled('entry'), agent: profiled('agent')},
	});
	try {
		await Promise.all(site.entries.map(async entry => waitUntil(`${entry.name} is ready`, startTimeoutMs, async () => isReady(entry))));
		const startMs = performance.now();
		const generator = xoroshiro128plus(seed);
		const clients = createClients(site.entries, {pick: values => values[uniformInt(generator, 0, values.length - 1)]!});
		for (let job = 0; performance.now() - startMs < 1000 * seconds; job++) {
			clients.submit({jobId: job.toString(16).padStart(16, '0'), isLasting: false}, {
				spec: '', steps: [{
					count: tasksPerJob, cpu: 500, memMb: 10, estimatedMs: taskMs,
				}],
			});
			await delay(jobs === 0 ? 1000 : 1000 / jobs);
		}

		const accepted = clients.acceptedAtMs().size;
		await clients.close();
		const lengthS = (performance.now() - startMs) / 1000;
		await stopGracefully([...site.entries, ...site.agents].map(({current}) => current()));
		printFigures({
			bench: 'entry-cost', entries, agents, deciders: deciders ?? entries, lengthS, jobsAccepted: accepted,
		});
		for (const role of ['entry', 'agent']) {
			const profileDirectory = path.join(directory, `profiles-${role}`);
			const names = await readdir(profileDirectory);
			for (const name of names.toSorted().slice(0, role === 'entry' ? entries : 1)) {
				const profile = profileSchema.parse(JSON.parse(await readFile(path.join(profileDirectory, name), 'utf8')));
				const figures = Object.fromEntries(Object.entries(costByPart(profile)).map(([part, ms]) => [`${part}Ms`, ms]));
				printFigures({
					bench: 'entry-cost', role, ...figures,
				});
			}
		}
	} finally {
		await site.close();
		if (keep === undefined) {
			await rm(directory, {recursive: true, force: true});
		}
	}
}
