import process from 'node:process';
import cac from 'cac';
import {messageOf} from '../src/errors/message-of.js';

type Run = () => Promise<void>;

type Bench = Readonly<{description: string; load: () => Promise<Run>}>;

/** One line a bench; a bench prints lines of key=value pairs and is loaded only when it runs. */
const benches: Readonly<Record<string, Bench>> = {
	scale: {description: 'Decision logic alone at 10%, 50% and 100% of the design size', load: async () => (await import('./scale.js')).runBench},
	bakehouse: {description: 'The Bakehouse\'s workload with each placement policy', load: async () => (await import('./bakehouse.js')).runBakehouse},
	tankwright: {description: 'Tankwright\'s workload with each placement policy', load: async () => (await import('./tankwright.js')).runTankwright},
	outage: {description: 'The log service down for longer than a lease, then back', load: async () => (await import('./outage.js')).runOutage},
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
