import {setTimeout as delay} from 'node:timers/promises';
import {
	findUnavailableSteps, jobId, runCase, untilReady,
} from '../harness/site.mjs';

/** `roll_term` of trouble-2: first all entries, then a share of 0.45 of them, one at a time, 2 s between two. */
const rolls = [4, 2];
const gapMs = 2000;
/** From the end of a process to the start of the next one. */
const startAgainMs = 300;
const mayMiss = 1;
const startupMs = 300;
const shortEveryMs = 240;
const lastingEveryMs = 200;
const short = {
	spec: 'ms=1000 cpu=100 mem=50', steps: [{
		count: 36, cpu: 100, memMb: 50, estimatedMs: 1000,
	}],
};
const lasting = {
	spec: `startup=${startupMs} cpu=30 mem=50`, steps: [{
		count: 12, cpu: 30, memMb: 50, estimatedMs: 500, longRunning: true, mayMiss,
	}],
};

await runCase({caseFolder: import.meta.dirname, entryCount: 4, executorCount: 8}, async (site, {hasTrouble}) => {
	const {entries, events, record} = site;
	await untilReady(site);
	const traffic = new AbortController();
	const calls = [];
	const lastingIds = [];
	async function submitEvery(pauseMs, first, job, onAccepted = () => undefined) {
		for (let number = 0; !traffic.signal.aborted; number++) {
			const id = jobId(first + number);
			calls.push((async () => {
				if (await site.submit(id, job) === 200) {
					onAccepted(id);
				}
			})());
			await delay(pauseMs);
		}
	}

	const submitting = [
		submitEvery(shortEveryMs, 0x10_00, short),
		submitEvery(lastingEveryMs, 0x90_00, lasting, id => {
			lastingIds.push(id);
		}),
	];
	await delay(5000);
	for (const count of rolls) {
		for (const entry of entries.slice(0, count)) {
			if (hasTrouble) {
				record('trouble', {stop: entry.node});
				entry.signal('SIGTERM');
				await entry.ended();
				await delay(startAgainMs);
				entry.start();
			}

			await delay(gapMs);
		}
	}

	await delay(5000);
	traffic.abort();
	await Promise.all([...submitting, ...calls]);
	record('lasting', {jobs: lastingIds.length});
	if (lastingIds.length === 0) {
		throw new Error('no job that lasts was accepted');
	}

	return lastingIds.flatMap(id => findUnavailableSteps(events, {isOfStep: task => task.startsWith(id), mayMiss, startupMs}));
});
