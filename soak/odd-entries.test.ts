import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test from 'ava';
import {bundlePrograms} from '../scripts/bundle-programs.js';
import {leaveOddEntries, oddEntriesByCase} from './odd-entries.js';
import {goodTaskMs, runGoodJob} from './run-good-job.js';
import {startSite, type Site} from './site.js';

/** `SOAK_SEED` overrides it. */
const seed = Number(process.env.SOAK_SEED ?? 20_261_205);

const startTimeoutMs = 20_000;

/** Cases that end or stop a process; see `KNOWN-RED.txt`. */
const knownFaults: ReadonlySet<string> = new Set([
	'a log record whose kind is nested deeply ends no entry',
	'a snapshot that covers more records than there are stops no entry',
	'a snapshot that cannot be decoded hides no good one',
	'an entry\'s announcement with an address that cannot be used ends no agent',
	'odd announcements of entries keep no agent from the good ones',
	'a configuration with a version out of range does not stay in force',
	'an announcement that was born far ahead or has a number out of range ends no life of the executor',
	'odd rows in the lists of an executor stop no agent',
	'lists of an executor with odd fields stop no agent',
]);

let bundleDirectory = '';
let site: Site | undefined;

/** Cases share a site until one fails. */
async function readySite(): Promise<Site> {
	if (!site) {
		site = await startSite({bundleDirectory, runTimeMs: payload => payload === 'good' ? goodTaskMs : 10});
		for (const entry of site.entries) {
			await runGoodJob(site, entry, {timeoutMs: startTimeoutMs});
		}
	}

	return site;
}

async function closeSite(): Promise<void> {
	const closing = site;
	site = undefined;
	await closing?.close();
}

test.before(async () => {
	bundleDirectory = await mkdtemp(path.join(tmpdir(), 'arbutushinge-bundle-'));
	await bundlePrograms(bundleDirectory);
});

test.after.always(async () => {
	await closeSite();
	await rm(bundleDirectory, {recursive: true, force: true});
});

for (const [title, oddEntries] of Object.entries(oddEntriesByCase)) {
	const declare = knownFaults.has(title) ? test.serial.failing : test.serial;
	declare(`${title}, seed ${seed}`, async t => {
		const running = await readySite();
		try {
			await leaveOddEntries(running, oddEntries, seed);
		} catch (error) {
			await closeSite();
			throw error;
		}

		t.deepEqual(running.ownEnds(), []);
	});
}
