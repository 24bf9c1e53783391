import {
	mkdir, mkdtemp, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import cac from 'cac';
import PQueue from 'p-queue';
import {bundlePrograms} from '../scripts/bundle-programs.js';
import {lossKinds, type LossKind} from './losses.js';
import {runSoak, type SoakResult} from './run-soak.js';

const cli = cac('soak');
cli.option('--seeds <range>', 'First and last seed', {default: '1-10'});
cli.option('--jobs <number>', 'Seeds that run at the same time', {default: 1});
cli.option('--entries <number>', 'Entries of the site', {default: 2});
cli.option('--vms <number>', 'VMs of the site; 2 without it, or 6 with --losses or --recuts');
cli.option('--losses [kinds]', `Losses for good (${lossKinds.join(', ')}) and signals in series; a calm follows in which tasks that last have to run again`);
cli.option('--late-starts', 'Executors also carry out starts seconds late, those of their next lives among them');
cli.option('--recuts', 'Executors also start again under their IDs and are cut off soon after, while tasks run for longer than their lease');
cli.option('--cancels', 'Clients cancel two fifths of the jobs, also before they are accepted');
cli.option('--overload', 'A client hands in large jobs that do not end, more than the memory for jobs bears');
cli.option('--evacuations', 'The operator evacuates failure domains; nothing may start there from 5 s after the request');
cli.option('--deciders <number>', 'Entries that decide; all of them without it');
cli.option('--logs <directory>', 'Where the logs of failing seeds are written', {default: 'soak-logs'});
cli.option('--bundles <directory>', 'Programs to run in place of those of this tree');
cli.help();
const {options} = cli.parse();

/** Returns the kinds of losses that `--losses` names, or all of them. */
function lossesOf(option: unknown): readonly LossKind[] {
	if (option === true) {
		return lossKinds;
	}

	const names = new Set(String(option).split(','));
	const kinds = lossKinds.filter(kind => names.has(kind));
	if (kinds.length < names.size) {
		throw new Error(`--losses takes ${lossKinds.join(', ')}`);
	}

	return kinds;
}

async function writeLogs(directory: string, {journal, logs, failures}: SoakResult): Promise<void> {
	await mkdir(directory, {recursive: true});
	await writeFile(path.join(directory, 'journal.txt'), [...failures, ...journal].join('\n'));
	await Promise.all([...logs].map(async ([name, lines]) => writeFile(path.join(directory, `${name}.log`), lines.join('\n'))));
}

if (options.help !== true) {
	// Exiting kills the processes that this one has started.
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.on(signal, () => {
			process.exit(1);
		});
	}

	const [first = 1, last = first] = String(options.seeds).split('-').map(Number);
	const built = await mkdtemp(path.join(tmpdir(), 'arbutushinge-bundle-'));
	const bundleDirectory = options.bundles === undefined ? built : path.resolve(String(options.bundles));
	if (options.bundles === undefined) {
		await bundlePrograms(built);
	}

	const queue = new PQueue({concurrency: Number(options.jobs)});
	await queue.addAll(Array.from({length: last - first + 1}, (_, index) => async () => {
		const seed = first + index;
		const result = await runSoak({
			seed, bundleDirectory, entryCount: Number(options.entries), hasLateStarts: options.lateStarts === true, hasRecuts: options.recuts === true, hasCancels: options.cancels === true, hasEvacuations: options.evacuations === true, hasOverload: options.overload === true, ...(options.losses !== undefined && {losses: lossesOf(options.losses)}),
			...(options.vms !== undefined && {agentCount: Number(options.vms)}), ...(options.deciders !== undefined && {deciderCount: Number(options.deciders)}),
		});
		const {failures, jobs, faults, durationMs, longestWaitMs, ownLagMs} = result;
		const fields = {
			seed, jobs, faults, longestWaitS: (longestWaitMs / 1000).toFixed(1), ownLagMs: ownLagMs.toFixed(0), durationS: (durationMs / 1000).toFixed(1), failures: failures.length,
		};
		process.stdout.write(`${Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ')}\n`);
		if (failures.length > 0) {
			process.exitCode = 1;
			process.stdout.write(`${failures.slice(0, 10).map(failure => `  ${failure}`).join('\n')}\n`);
			await writeLogs(path.join(String(options.logs), String(seed)), result);
		}
	}));
	await rm(built, {recursive: true, force: true});
}
