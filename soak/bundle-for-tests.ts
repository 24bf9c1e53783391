import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {type TestFn} from 'ava';
import {bundlePrograms} from '../scripts/bundle-programs.js';

/**
Bundles the programs before the tests of a file and removes them after. To be called at the top of the file.

@example
const bundle = bundleForTests(test);
const site = await startSite({bundleDirectory: bundle.directory(), runTimeMs: () => 100});
*/
export function bundleForTests(test: TestFn): Readonly<{directory: () => string}> {
	let directory = '';
	test.before(async () => {
		directory = await mkdtemp(path.join(tmpdir(), 'arbutushinge-bundle-'));
		await bundlePrograms(directory);
	});
	test.after.always(async () => {
		await rm(directory, {recursive: true, force: true});
	});
	return {directory: () => directory};
}
