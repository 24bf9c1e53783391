import {execFileSync} from 'node:child_process';
import {
	chmod, copyFile, mkdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {inject} from 'postject';
import {
	agentBundleName, bundlePrograms, launcherName, wholeBundleName,
} from './bundle-programs.js';

const directory = 'dist';
const bundleFile = path.join(directory, wholeBundleName);
const agentBundleFile = path.join(directory, agentBundleName);
const launcherFile = path.join(directory, launcherName);
const configurationFile = path.join(directory, 'sea-config.json');
const blobFile = path.join(directory, 'arbutushinge.blob');
const binaryFile = path.join(directory, 'arbutushinge');

/** Sentinel in the Node.js binary that postject changes to mark the binary as containing a program. */
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

await rm(directory, {recursive: true, force: true});
await mkdir(directory);

const metafiles = await bundlePrograms(directory);

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

for (const {inputs, outputs} of metafiles) {
	for (const [file, {bytes}] of Object.entries(outputs)) {
		console.log(`${file}: ${Object.keys(inputs).length} modules, ${Math.round(bytes / 1024)} KB of program`);
	}
}
