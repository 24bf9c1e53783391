import process from 'node:process';
import {forEachAtMost, waitUntilReady} from '../harness-3/client.js';
import {
	askFor, config, logUse, newJob, submit,
} from '../harness-3/jobs.js';
import {log, runCase} from '../harness-3/record.js';
import {sleep, startSite} from '../harness-3/site.js';

const isTroubled = process.env.TROUBLE !== '0';
const jobCount = 600;
/** History of the store of the site, in seconds. */
const keepS = 20;
/** Pause between the restarts of two entries. */
const gapMs = 2000;
const finishMs = 14_000;

await runCase(import.meta.dirname, async () => {
	const site = await startSite({
		edges: 4, sides: 3, capacity: {cpu: 16_000, memMb: 64_000, gpu: 0}, keepS, config, log, runTimeMs: () => Number.POSITIVE_INFINITY,
		onRun({executor, event, task, run: attempt}) {
			log(`${executor}: ${event} ${task} run ${attempt}`);
		},
	});
	try {
		if (!await waitUntilReady(site, 20_000)) {
			log('the entries are not ready');
			return 2;
		}

		log('ready');
		const accepted = [];
		await forEachAtMost(Array.from({length: jobCount}, (_, number) => newJob(number)), 8, async job => {
			if (await submit(site, job, log)) {
				accepted.push(job);
			}
		});
		log(`${accepted.length} of ${jobCount} jobs were accepted`);
		if (accepted.length < jobCount) {
			return 2;
		}

		await sleep(1000 * (keepS + 4));
		log(`running tasks: ${site.executors.map(executor => executor.runningTasks().length).join(', ')}`);
		if (isTroubled) {
			for (const node of site.edges) {
				await site.stop(node, 'SIGTERM');
				site.start(node);
				await sleep(gapMs);
			}
		}

		const unknown = await askFor(site, accepted, finishMs, log);
		await logUse(site, log);
		log(`${unknown.length} of ${accepted.length} accepted jobs aren't known or have no answer within ${finishMs / 1000} s`);
		return unknown.length > 0 ? 1 : 0;
	} finally {
		await site.close();
	}
});
