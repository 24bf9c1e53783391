import {setTimeout as delay} from 'node:timers/promises';
import {jobId, runCase, untilReady} from '../harness/site.mjs';

/** One of five executors is cut from the address that takes its pings, for as long as the page of kinds has it. */
const cutMs = 5000;
const drainMs = 3000;
/** The next life of the executor starts this long after the one before has ended. */
const startAgainMs = 1500;
/** Time after the cut after which all is calm: `stableWindowMs`. */
const calmMs = 3000;
/** `finish_s`, and the 3 s for which a job may have nothing running. */
const finishMs = 14_000 + 3000;
const step = {
	count: 2, cpu: 200, memMb: 100, estimatedMs: 300, requirements: 'b',
};

await runCase({
	caseFolder: import.meta.dirname, entryCount: 2, executorCount: 5, labelsOf: index => [index === 0 ? 'b' : 'a', `r1-${index + 1}`],
}, async (site, {hasTrouble}) => {
	const {executors: [executor], controlLinks: [link], events, record} = site;
	await untilReady(site);

	/** Hands in a job that only this executor may run, and returns its last state. */
	async function runJob(number, forMs) {
		const id = jobId(number);
		const status = await site.submit(id, {spec: 'ms=300 cpu=200 mem=100', steps: [step]});
		if (status !== 200) {
			throw new Error(`the job was not accepted: ${status}`);
		}

		const state = await site.waitForState(id, 'completed', forMs);
		record('state', {id, state});
		return {id, state};
	}

	const {state: stateBefore} = await runJob(0xA1, 10_000);
	if (stateBefore !== 'completed') {
		throw new Error('the first job was not completed');
	}

	const leaving = executor.leave(drainMs);
	await delay(drainMs - 100);
	if (hasTrouble) {
		record('trouble', {cut: executor.id, forMs: cutMs});
		link.cut();
	}

	await leaving;
	await delay(startAgainMs);
	await executor.startAgain();
	await delay(cutMs - startAgainMs - 100);
	link.heal();
	record('trouble', {cut: 'none'});
	await delay(calmMs);
	if (!events.some(({kind}) => kind === 'left')) {
		throw new Error('the call of the executor that left was not answered');
	}

	const {id, state} = await runJob(0xA2, finishMs);
	const hasStarted = events.some(({kind, task}) => kind === 'start' && task.startsWith(id));
	return state === 'completed' || hasStarted ? [] : [`accepted job ${id} is ${state} and has run nothing for ${finishMs} ms, with its executor ready and idle`];
});
