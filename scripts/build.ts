import {execFileSync} from 'node:child_process';
import {
	chmod, copyFile, mkdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {build, type BuildOptions} from 'esbuild';
import {inject} from 'postject';

const directory = 'dist';
const bundleFile = path.join(directory, 'arbutushinge.cjs');
const agentBundleFile = path.join(directory, 'arbutushinge-agent.cjs');
const launcherFile = path.join(directory, 'launcher.cjs');
const configurationFile = path.join(directory, 'sea-config.json');
const blobFile = path.join(directory, 'arbutushinge.blob');
const binaryFile = path.join(directory, 'arbutushinge');

/** The mark in Node's own binary that postject replaces when a program is put in. */
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

await rm(directory, {recursive: true, force: true});
await mkdir(directory);

const common = {
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifySyntax: true,
	minifyWhitespace: true,
	metafile: true,
	logLevel: 'warning',
} as const satisfies BuildOptions;

// An optional addition of hot-shots for Unix sockets, which is loaded only when one is configured.
const optionalModules = ['unix-dgram'];

// CommonJS files; modules that are imported dynamically are evaluated only when they are first asked for.
const [whole, agent, launcher] = await Promise.all([
	build({
		...common, entryPoints: ['src/main.ts'], outfile: bundleFile, external: optionalModules,
	}),
	// The agent's command line never reaches these modules, and their source alone would take memory.
	build({
		...common,
		entryPoints: ['src/main.ts'],
		outfile: agentBundleFile,
		external: [
			...optionalModules,
			'./entry/*',
			'./entry-settings.js',
			'./deployment-settings.js',
			...['plan', 'confirm', 'status', 'explain', 'timeline', 'replay', 'check-settings'].map(name => `./${name}-command.js`),
			'./replay-functions.js',
		],
	}),
	build({...common, entryPoints: ['src/worker/launcher.ts'], outfile: launcherFile}),
]);

/** Parts of the system that the agent's bundle must not hold. */
const foreignModule = /^src\/(?:entry|requests|placement|dispatch|log)\/|node_modules\/undici\//v;
const foreign = Object.keys(agent.metafile.inputs).filter(name => foreignModule.test(name));
if (foreign.length > 0) {
	throw new Error(`the agent's bundle holds modules that are not the agent's: ${foreign.join(', ')}`);
}

await writeFile(configurationFile, JSON.stringify({
	main: launcherFile,
	output: blobFile,
	disableExperimentalSEAWarning: true,
	useSnapshot: false,
	useCodeCache: false,
	assets: {[path.basename(bundleFile)]: bundleFile, [path.basename(agentBundleFile)]: agentBundleFile},
}));
execFileSync(process.execPath, ['--experimental-sea-config', configurationFile], {stdio: ['ignore', 'ignore', 'inherit']});
await copyFile(process.execPath, binaryFile);
await chmod(binaryFile, 0o755);
await inject(binaryFile, 'NODE_SEA_BLOB', await readFile(blobFile), {sentinelFuse: SENTINEL_FUSE});
await Promise.all([rm(configurationFile), rm(blobFile)]);

for (const {metafile} of [whole, agent, launcher]) {
	for (const [file, {bytes}] of Object.entries(metafile.outputs)) {
		console.log(`${file}: ${Object.keys(metafile.inputs).length} modules, ${Math.round(bytes / 1024)} KB of program`);
	}
}
