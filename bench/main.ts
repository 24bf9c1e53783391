import process from 'node:process';
import cac from 'cac';

type Bench = () => Promise<void>;

/** Benches by name; each prints key=value lines. */
const benches: Readonly<Record<string, () => Promise<Bench>>> = {
	async bakehouse() {
		const {runBakehouse} = await import('./bakehouse.js');
		return runBakehouse;
	},
	async tankwright() {
		const {runTankwright} = await import('./tankwright.js');
		return runTankwright;
	},
	async outage() {
		const {runOutage} = await import('./outage.js');
		return runOutage;
	},
};

const cli = cac('bench');
cli.command('<name>', `Run a bench: ${Object.keys(benches).join(', ')}`).action(async (name: string) => {
	const load = Object.hasOwn(benches, name) ? benches[name] : undefined;
	if (!load) {
		throw new Error(`there is no bench ${name}; choose one of ${Object.keys(benches).join(', ')}`);
	}

	const run = await load();
	await run();
});
cli.help();

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	// The runner kills its process groups when this process exits.
	process.on(signal, () => process.exit(1));
}

try {
	cli.parse(process.argv, {run: false});
	await cli.runMatchedCommand();
} catch (error) {
	process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
	process.exitCode = 2;
}
