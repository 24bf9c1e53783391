import process from 'node:process';
import cac from 'cac';
import {messageOf} from '../src/errors/message-of.js';

type Run = (options: Readonly<Record<string, unknown>>) => Promise<void>;

type Bench = Readonly<{description: string; options?: ReadonlyArray<readonly [flag: string, description: string]>; load: () => Promise<Run>}>;

/** A bench prints lines of key=value pairs and is loaded only when it runs. */
const benches: Readonly<Record<string, Bench>> = {
	control: {
		description: 'One agent, then one entry with up to 1,400 agent streams: memory, processor time and traffic',
		async load() {
			const [agent, entry] = await Promise.all([import('./control-agent.js'), import('./control-entry.js')]);
			return async () => {
				await agent.runBench();
				await entry.runBench();
			};
		},
	},
	scale: {
		description: 'Decision logic alone at 10%, 50% and 100% of the design size',
		async load() {
			const {runBench} = await import('./scale.js');
			return runBench;
		},
	},
	bakehouse: {
		description: 'The Bakehouse\'s workload with each placement policy',
		async load() {
			const {runBakehouse} = await import('./bakehouse.js');
			return runBakehouse;
		},
	},
	tankwright: {
		description: 'Tankwright\'s workload with each placement policy',
		async load() {
			const {runTankwright} = await import('./tankwright.js');
			return runTankwright;
		},
	},
	'entry-cost': {
		description: 'Processor time of entries and agents by part, as separate processes under a steady load',
		options: [
			['--entries <count>', 'Entries (default: 6)'],
			['--agents <count>', 'Agents (default: 18)'],
			['--deciders <count>', 'Entries that decide (default: all)'],
			['--seconds <number>', 'Length of the load (default: 30)'],
			['--jobs <number>', 'Jobs of eight tasks a second (default: 4)'],
			['--keep <directory>', 'Existing empty directory in which the profiles are kept'],
		],
		async load() {
			const {runEntryCost} = await import('./entry-cost.js');
			return runEntryCost;
		},
	},
	recovery: {
		description: 'All processes lose power at once and start again: when each part of the recovery is over',
		options: [
			['--entries <count>', 'Entries (default: 6)'],
			['--agents <count>', 'Agents (default: 12)'],
			['--deciders <count>', 'Entries that decide (default: 4)'],
			['--tasks <count>', 'Long-running tasks for each agent (default: 12)'],
			['--dark-ms <number>', 'Time without power in milliseconds (default: 700)'],
			['--runs <count>', 'Losses of power in a row (default: 1)'],
			['--bundles <directory>', 'Programs to run in place of those of this tree'],
			['--logs <directory>', 'Where the logs of all processes are written'],
		],
		async load() {
			const {runRecovery} = await import('./recovery.js');
			return runRecovery;
		},
	},
	outage: {
		description: 'The log service down for longer than a lease, then back',
		async load() {
			const {runOutage} = await import('./outage.js');
			return runOutage;
		},
	},
	filling: {
		description: 'Filling work beside serving tasks in virtual time, with a model of their interference',
		options: [
			['--site <name>', 'small, grown or heavy (default: small)'],
			['--seeds <count>', 'Number of days (default: 20)'],
			['--first-seed <seed>', 'Seed of the first day (default: 1)'],
			['--planning', 'With the setting planning.enabled'],
			['--load <factor>', 'Factor on the arrivals of filling jobs (default: 1)'],
			['--heavy-share <share>', 'Part of the pairs of images that interfere heavily (default: 0.125)'],
			['--heavy-press <factor>', 'Factor on the interference of heavy pairs (default: 1)'],
			['--total', 'Print the means only'],
		],
		async load() {
			const {runFillingWork} = await import('./filling-work.js');
			return runFillingWork;
		},
	},
	waits: {
		description: 'Waits that the platform forbids, on days of lasting and short work with floods and losses in virtual time',
		options: [
			['--seeds <count>', 'Number of days (default: 20)'],
			['--first-seed <seed>', 'Seed of the first day (default: 1)'],
			['--no-floods', 'Leave the floods of short work out'],
			['--no-events', 'Leave the losses and restarts out'],
			['--details', 'Print a line for each wait'],
		],
		async load() {
			const {runWaits} = await import('./waits.js');
			return runWaits;
		},
	},
};

const cli = cac('bench');
for (const [name, {description, options = [], load}] of Object.entries(benches)) {
	const command = cli.command(name, description);
	for (const [flag, text] of options) {
		command.option(flag, text);
	}

	command.action(async (given: Readonly<Record<string, unknown>>) => {
		const run = await load();
		await run(given);
	});
}

cli.help();

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	// The runner kills its process groups when this process exits.
	process.on(signal, () => process.exit(1));
}

try {
	cli.parse(process.argv, {run: false});
	if (cli.matchedCommand) {
		await cli.runMatchedCommand();
	} else if (!cli.options.help) {
		cli.outputHelp();
		process.exitCode = 2;
	}
} catch (error) {
	process.stderr.write(`${messageOf(error)}\n`);
	process.exitCode = 2;
}
