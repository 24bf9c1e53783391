import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {waitUntilReady} from '../harness-3/client.js';
import {
	askFor, config, logUse, newJob, submit,
} from '../harness-3/jobs.js';
import {log, runCase} from '../harness-3/record.js';
import {restartEnded, sleep, startSite} from '../harness-3/site.js';

const isTroubled = process.env.TROUBLE !== '0';
const jobCount = 20;
const stepsOfLargeJob = 256;
const tasksOfStep = 1000;
/** Pause before the platform starts an ended process again. */
const restartMs = 1000;
const troubleMs = 30_000;
/** `finish_s`. */
const finishMs = 14_000;

await runCase(import.meta.dirname, async () => {
	let isOver = false;
	const site = await startSite({
		edges: 4, sides: 3, capacity: {cpu: 16_000, memMb: 64_000, gpu: 0}, keepS: 300, config, log, runTimeMs: () => Number.POSITIVE_INFINITY,
		onRun({executor, event, task, run: attempt}) {
			log(`${executor}: ${event} ${task} run ${attempt}`);
		},
	});
	const ends = site.edges.map(node => restartEnded(site, node, {pauseMs: restartMs, isOver: () => isOver, log}));
	try {
		if (!await waitUntilReady(site, 20_000)) {
			log('the entries are not ready');
			return 2;
		}

		log('ready');
		const accepted = [];
		for (let number = 0; number < jobCount; number++) {
			const job = newJob(number);
			if (await submit(site, job, log)) {
				accepted.push(job);
			}
		}

		log(`${accepted.length} of ${jobCount} jobs were accepted`);
		if (accepted.length < jobCount) {
			return 2;
		}

		await sleep(5000);
		const large = {
			number: 0, id: randomBytes(8).toString('hex'), body: {
				spec: '', steps: Array.from({length: isTroubled ? stepsOfLargeJob : 1}, () => ({
					count: tasksOfStep, cpu: 1000, memMb: 1000, estimatedMs: 1000,
				})),
			},
		};
		log(`a job of ${large.body.steps.length} steps of ${tasksOfStep} tasks each, a body of ${JSON.stringify(large.body).length} bytes, is accepted: ${await submit(site, large, log)}`);
		await sleep(troubleMs);
		log(`ends of entries by themselves: ${ends.map(count => count()).join(', ')}`);
		const unknown = await askFor(site, accepted, finishMs, log);
		await logUse(site, log);
		log(`ends of entries by themselves: ${ends.map(count => count()).join(', ')}`);
		log(`${unknown.length} of ${accepted.length} accepted jobs aren't known or have no answer within ${finishMs / 1000} s`);
		return unknown.length > 0 ? 1 : 0;
	} finally {
		isOver = true;
		await site.close();
	}
});
