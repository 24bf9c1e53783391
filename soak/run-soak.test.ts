import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {bundlePrograms} from '../scripts/bundle-programs.js';
import {runSoak} from './run-soak.js';

for (const [seed, size, title] of [
	[8, {}, 'two entries that decide'],
	[9, {entryCount: 4, deciderCount: 2}, 'two entries that decide and two that relay'],
	[1, {hasRecuts: true}, 'executors that start again under their IDs and are cut off, with tasks that outlast their lease'],
	[301, {losses: ['executor', 'restart']}, 'executors that are gone for good and a calm in which tasks that last run again'],
	[4, {hasOverload: true, entryCount: 3}, 'more jobs than the memory for them bears'],
] as const) {
	test(`the real programs keep their promises to callers while faults come from outside, with ${title}, seed ${seed}`, async t => {
		const bundleDirectory = await mkdtemp(path.join(tmpdir(), 'arbutushinge-bundle-'));
		try {
			await bundlePrograms(bundleDirectory);
			const {failures, jobs, faults} = await runSoak({seed, bundleDirectory, ...size});
			t.deepEqual(failures, []);
			t.true(jobs > 0 && faults > 0);
		} finally {
			await rm(bundleDirectory, {recursive: true, force: true});
		}
	});
}
