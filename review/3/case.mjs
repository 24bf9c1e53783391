import {setTimeout as delay} from 'node:timers/promises';
import {
	findDoubleRuns, jobId, runCase, until, untilReady,
} from '../harness/site.mjs';

const jobCount = 12;
const tasksPerJob = 100;
/** The store is down for this long; the site files have 4.5 s. */
const outageMs = 4500;
/** Time within which the running tasks finish once their input ends. */
const endWithinMs = 4000;
const completionMs = 30_000;

await runCase({caseFolder: import.meta.dirname}, async (site, {hasTrouble}) => {
	const {store, executors, events, record} = site;
	await untilReady(site);
	const ids = Array.from({length: jobCount}, (_, index) => jobId(0xA1_00 + index));
	const answers = await Promise.all(ids.map(async id => site.submit(id, {
		spec: 'cpu=20 mem=40', steps: [{
			count: tasksPerJob, cpu: 20, memMb: 40, estimatedMs: 9500,
		}],
	})));
	if (answers.some(status => status !== 200)) {
		throw new Error(`a job was not accepted: ${answers.join(' ')}`);
	}

	await until('all tasks run', () => events.filter(({kind}) => kind === 'start').length >= jobCount * tasksPerJob, 20_000);
	record('running', {tasks: executors.map(each => each.runningCount()).join('+')});
	if (executors.every(each => each.runningCount() <= 500)) {
		throw new Error('no executor runs more tasks than it lists ends at a time');
	}

	if (hasTrouble) {
		record('trouble', {store: 'down (busy)', forMs: outageMs});
		store.setTrouble('busy');
	}

	for (const executor of executors) {
		executor.endInput(endWithinMs);
	}

	if (hasTrouble) {
		await delay(outageMs);
		store.setTrouble();
		record('trouble', {store: 'serves again'});
	}

	const lastMs = site.nowMs() + completionMs;
	for (const id of ids) {
		const state = await site.waitForState(id, 'completed', Math.max(1000, lastMs - site.nowMs()));
		record('state', {id, state});
	}

	await delay(1000);
	return findDoubleRuns(events);
});
