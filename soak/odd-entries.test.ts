import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test from 'ava';
import PQueue from 'p-queue';
import {bundlePrograms} from '../scripts/bundle-programs.js';
import {leaveOddEntries, oddEntriesByCase} from './odd-entries.js';
import {goodTaskMs, runGoodJob} from './run-good-job.js';
import {startSite, type Site} from './site.js';

/** `SOAK_SEED` overrides it. */
const seed = Number(process.env.SOAK_SEED ?? 20_261_205);

const startTimeoutMs = 20_000;
const queue = new PQueue({concurrency: 3});

/** Sites on which every case so far passed. */
const idleSites: Site[] = [];

let bundleDirectory = '';

async function startReadySite(): Promise<Site> {
	const site = await startSite({bundleDirectory, runTimeMs: payload => payload === 'good' ? goodTaskMs : 10});
	for (const entry of site.entries) {
		await runGoodJob(site, entry, {timeoutMs: startTimeoutMs});
	}

	return site;
}

test.before(async () => {
	bundleDirectory = await mkdtemp(path.join(tmpdir(), 'arbutushinge-bundle-'));
	await bundlePrograms(bundleDirectory);
});

test.after.always(async () => {
	await Promise.all(idleSites.map(async site => site.close()));
	await rm(bundleDirectory, {recursive: true, force: true});
});

for (const [title, oddEntries] of Object.entries(oddEntriesByCase)) {
	test(`${title}, seed ${seed}`, async t => {
		const ends = await queue.add(async () => {
			const site = idleSites.pop() ?? await startReadySite();
			try {
				await leaveOddEntries(site, oddEntries, seed);
			} catch (error) {
				await site.close();
				throw error;
			}

			idleSites.push(site);
			return site.ownEnds();
		});
		t.deepEqual(ends, []);
	});
}
