import {randomBytes} from 'node:crypto';
import {call, forEachAtMost, waitUntilReady} from './client.js';
import {sleep} from './site.js';

const service = 'huvo11a';
export const host = 'nony24.example';
export const prefix = '/pule252/';

/** Config of the operator: one queue for jobs. */
export const config = {
	version: 7,
	routes: [{
		name: 'r-1', host, pathPrefix: prefix, type: 'non_idempotent', timeoutMs: 3000, sloMs: 2500, priority: 0, service, attempts: 3, stretch: 2.2,
	}],
	services: [{
		name: service, healthPath: '/health', maxConns: 64, protocol: 'h1', tls: false, admissionCheck: true, spare: false,
	}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};

/** A job of one task that lasts; its `spec` has 4,000 bytes. */
export function newJob(number) {
	return {
		number, id: randomBytes(8).toString('hex'), body: {
			spec: randomBytes(3000).toString('base64'), steps: [{
				count: 1, cpu: 15, memMb: 64, estimatedMs: 1000, longRunning: true,
			}],
		},
	};
}

/** A job of short tasks; with `requirements`, they need an executor with this label. */
export function newShortJob(number, {count, requirements = ''}) {
	return {
		number, id: randomBytes(8).toString('hex'), body: {
			spec: '', steps: [{
				count, cpu: 240, memMb: 480, estimatedMs: 800, ...(requirements !== '' && {requirements}),
			}],
		},
	};
}

/** Submits a job at one entry after the other until it is accepted; returns whether it was. */
export async function submit(site, job, log) {
	for (let tries = 0; tries < 5; tries++) {
		const node = site.edges[(job.number + tries) % site.edges.length];
		const {status} = await call(site.frontendOf(node), {
			method: 'POST', path: prefix + job.id, host, body: job.body,
		});
		log(`POST ${job.id} at ${node}: ${status}`);
		if (status === 200) {
			return true;
		}

		await sleep(300);
	}

	return false;
}

/** Asks for jobs at all entries in turn until each is shown or the time is over; returns the jobs that were not shown. */
export async function askFor(site, jobs, durationMs, log) {
	const untilMs = performance.now() + durationMs;
	let open = jobs;
	for (let round = 0; open.length > 0 && performance.now() < untilMs; round++) {
		const answers = new Map();
		await forEachAtMost(open, 40, async ({id, number}) => {
			const node = site.edges[(number + round) % site.edges.length];
			const {status, body} = await call(site.frontendOf(node), {method: 'GET', path: prefix + id, host});
			answers.set(id, `${status} ${status === 200 ? body : ''}`.trim());
		});
		const counts = new Map();
		for (const answer of answers.values()) {
			counts.set(answer, 1 + (counts.get(answer) ?? 0));
		}

		log(`GET of ${open.length} jobs: ${[...counts].map(([answer, count]) => `${count} times ${answer}`).join('; ')}`);
		open = open.filter(({id}) => !answers.get(id).startsWith('200'));
		await sleep(500);
	}

	return open;
}

/** Logs whether the deployment still accepts jobs and is ready. */
export async function logUse(site, log) {
	log(`running tasks: ${site.executors.map(executor => executor.runningTasks().length).join(', ')}`);
	log(`a new job is accepted: ${await submit(site, newJob(0), log)}`);
	log(`all entries are ready: ${await waitUntilReady(site, 1000)}`);
}
