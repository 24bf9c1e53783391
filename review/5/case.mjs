import {setTimeout as delay} from 'node:timers/promises';
import {
	findUnavailableSteps, jobId, runCase, until, untilReady,
} from '../harness/site.mjs';

const startupMs = 300;
const mayMiss = 1;
const taskCount = 6;
/** The store turns two of the seven machines away for this long; the site files have 9 s for a share of 0.35. */
const refusalMs = 9000;
/** Two of the four entries: edge-z2-1, to which no agent has a stream at first, and edge-z3-1, to which the agents have one. */
const refusedMachines = new Set([1, 2]);

await runCase({caseFolder: import.meta.dirname, entryCount: 4, executorCount: 3}, async (site, {hasTrouble}) => {
	const {store, events, record} = site;
	await untilReady(site);
	const first = jobId(0xA1);
	await site.submit(first, {
		spec: 'ms=300 cpu=100 mem=40', steps: [{
			count: 30, cpu: 100, memMb: 40, estimatedMs: 300,
		}],
	});
	await site.waitForState(first, 'completed', 10_000);
	if (hasTrouble) {
		record('trouble', {store: 'turns away (busy) two entries', forMs: refusalMs});
		store.setTrouble('busy', ({machine}) => refusedMachines.has(machine));
	}

	await delay(500);
	const lasting = jobId(0xA2);
	const status = await site.submit(lasting, {
		spec: `startup=${startupMs} cpu=500 mem=100`, steps: [{
			count: taskCount, cpu: 500, memMb: 100, estimatedMs: 500, longRunning: true, mayMiss,
		}],
	});
	if (status !== 200) {
		throw new Error(`the job was not accepted: ${status}`);
	}

	await until('all tasks run', () => events.filter(({kind, task}) => kind === 'start' && task.startsWith(lasting)).length >= taskCount, 10_000);
	await delay(refusalMs);
	store.setTrouble();
	record('trouble', {store: 'serves all'});
	await delay(4000);
	return findUnavailableSteps(events, {isOfStep: task => task.startsWith(lasting), mayMiss, startupMs});
});
