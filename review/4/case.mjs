import {setTimeout as delay} from 'node:timers/promises';
import {jobId, runCase, untilReady} from '../harness/site.mjs';

/** One of seven executors fails all that it starts, for as long as the site file has it. */
const failingMs = 6500;
const executorCount = 7;
/** Time without trouble after which all is calm: `stableWindowMs`. */
const calmMs = 3000;
/** `finish_s`, and the 3 s for which a job may have nothing running. */
const finishMs = 14_000 + 3000;
const step = {
	count: 4, cpu: 200, memMb: 100, estimatedMs: 300,
};
const spec = 'ms=300 cpu=200 mem=100';

await runCase({
	caseFolder: import.meta.dirname, entryCount: 2, executorCount, labelsOf: index => [index === 0 ? 'b' : 'a', `r1-${index + 1}`],
}, async (site, {hasTrouble}) => {
	const {executors: [executor], events, record} = site;
	await untilReady(site);
	const traffic = new AbortController();
	let submitted = 0;
	const calls = [];
	const submitting = (async () => {
		while (!traffic.signal.aborted) {
			calls.push(site.submit(jobId(0x10_00 + submitted++), {spec, steps: [step]}));
			await delay(100);
		}
	})();
	await delay(3000);
	if (hasTrouble) {
		record('trouble', {failing: executor.id, forMs: failingMs});
		executor.setFailing(true);
	}

	await delay(failingMs);
	executor.setFailing(false);
	record('trouble', {failing: 'none'});
	await delay(500);
	traffic.abort();
	await submitting;
	await Promise.all(calls);
	await delay(calmMs - 500);
	if (hasTrouble && !events.some(({kind, how}) => kind === 'end' && how === 'failed')) {
		throw new Error('no task failed on the executor');
	}

	const id = jobId(0xA2);
	const status = await site.submit(id, {spec, steps: [{...step, requirements: 'b'}]});
	if (status !== 200) {
		throw new Error(`the job was not accepted: ${status}`);
	}

	const state = await site.waitForState(id, 'completed', finishMs);
	record('state', {id, state});
	const hasStarted = events.some(({kind, task}) => kind === 'start' && task.startsWith(id));
	return state === 'completed' || hasStarted ? [] : [`accepted job ${id} is ${state} and has run nothing for ${finishMs} ms, with its executor ready and idle`];
});
