import process from 'node:process';
import cac from 'cac';
import {messageOf} from '../src/errors/message-of.js';

type Bench = Readonly<{description: string; load: () => Promise<Readonly<{runBench: () => Promise<void>}>>}>;

/** One line a bench; a bench prints lines of key=value pairs and is loaded only when it runs. */
const benches: Readonly<Record<string, Bench>> = {
	'control-entry': {description: 'One entry process with up to 1,400 agent streams', load: async () => import('./control-entry.js')},
	scale: {description: 'Decision logic alone at 10%, 50% and 100% of the design size', load: async () => import('./scale.js')},
};

const cli = cac('bench');
for (const [name, {description, load}] of Object.entries(benches)) {
	cli.command(name, description).action(async () => {
		const {runBench} = await load();
		await runBench();
	});
}

cli.help();

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
