import {setTimeout as delay} from 'node:timers/promises';
import {
	findDoubleRuns, jobId, runCase, untilReady,
} from '../harness/site.mjs';

/** `srv_crash` with a share of 0.14: one of seven executors at a time. */
const executorCount = 7;
const crashes = 3;
/** `applied_late`: 0.5 is the default of `kinds`, and the site file has it for 5.5 s. */
const lateShare = 0.3;
const lateMs = 5500;
/** A crashed executor is back after this time, under its ID, with another kind. Its first ping comes before the time between two has passed. */
const downMs = 500;
const firstPingMs = 1000;
const betweenMs = 900;
const jobIntervalMs = 120;
const step = {
	count: 36, cpu: 100, memMb: 50, estimatedMs: 6000, requirements: 'a',
};

await runCase({
	caseFolder: import.meta.dirname, entryCount: 2, executorCount,
}, async (site, {hasTrouble}) => {
	const {executors, events, record} = site;
	await untilReady(site);
	const calls = [];
	const traffic = new AbortController();
	const submitting = (async () => {
		while (!traffic.signal.aborted) {
			calls.push(site.submit(jobId(0x10_00 + calls.length), {spec: 'ms=6000 cpu=100 mem=50', steps: [step]}));
			await delay(jobIntervalMs);
		}
	})();
	await delay(6000);
	if (hasTrouble) {
		record('trouble', {late: lateShare, forMs: lateMs});
		for (const each of executors) {
			each.setLateShare(lateShare);
		}

		const lateUntilMs = site.nowMs() + lateMs;
		for (const executor of executors.slice(0, crashes)) {
			await delay(betweenMs);
			record('trouble', {crash: executor.id, forMs: downMs});
			executor.crash();
			await delay(downMs);
			await executor.startAgain(firstPingMs, ['b', 'r1-1']);
		}

		await delay(Math.max(0, lateUntilMs - site.nowMs()));
		for (const each of executors) {
			each.setLateShare(0);
		}
	} else {
		await delay(lateMs);
	}

	await delay(2000);
	traffic.abort();
	await submitting;
	await Promise.all(calls);
	await delay(16_000);
	if (hasTrouble && !events.some(({kind}) => kind === 'late')) {
		throw new Error('no order was late');
	}

	return findDoubleRuns(events);
});
