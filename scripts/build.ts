import {execFileSync} from 'node:child_process';
import {
	chmod, copyFile, mkdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';
import {inject} from 'postject';

const directory = 'dist';
const bundleFile = path.join(directory, 'arbutushinge.cjs');
const configurationFile = path.join(directory, 'sea-config.json');
const blobFile = path.join(directory, 'arbutushinge.blob');
const binaryFile = path.join(directory, 'arbutushinge');

/** The mark in Node's own binary that postject replaces when a program is put in. */
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

await rm(directory, {recursive: true, force: true});
await mkdir(directory);

// One CommonJS file; modules that are imported dynamically are evaluated only when they are first asked for.
const result = await build({
	entryPoints: ['src/main.ts'],
	outfile: bundleFile,
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifySyntax: true,
	minifyWhitespace: true,
	// An optional addition of hot-shots for Unix sockets, which is loaded only when one is configured.
	external: ['unix-dgram'],
	metafile: true,
	logLevel: 'warning',
});

await writeFile(configurationFile, JSON.stringify({
	main: bundleFile, output: blobFile, disableExperimentalSEAWarning: true, useSnapshot: false, useCodeCache: false,
}));
execFileSync(process.execPath, ['--experimental-sea-config', configurationFile], {stdio: ['ignore', 'ignore', 'inherit']});
await copyFile(process.execPath, binaryFile);
await chmod(binaryFile, 0o755);
await inject(binaryFile, 'NODE_SEA_BLOB', await readFile(blobFile), {sentinelFuse: SENTINEL_FUSE});
await Promise.all([rm(configurationFile), rm(blobFile)]);

const [bundle] = Object.values(result.metafile.outputs);
console.log(`${binaryFile}: ${Object.keys(result.metafile.inputs).length} modules, ${Math.round((bundle?.bytes ?? 0) / 1024)} KB of program`);
