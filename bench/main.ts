import process from 'node:process';
import cac from 'cac';
import {messageOf} from '../src/errors/message-of.js';

type Run = () => Promise<void>;

type Bench = Readonly<{description: string; load: () => Promise<Run>}>;

/** A bench prints lines of key=value pairs and is loaded only when it runs. */
const benches: Readonly<Record<string, Bench>> = {
	'control-entry': {
		description: 'One entry process with up to 1,400 agent streams',
		async load() {
			const {runBench} = await import('./control-entry.js');
			return runBench;
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
	outage: {
		description: 'The log service down for longer than a lease, then back',
		async load() {
			const {runOutage} = await import('./outage.js');
			return runOutage;
		},
	},
};

const cli = cac('bench');
for (const [name, {description, load}] of Object.entries(benches)) {
	cli.command(name, description).action(async () => {
		const run = await load();
		await run();
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
