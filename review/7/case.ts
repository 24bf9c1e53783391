import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {runCase} from '../harness-2/case-run.js';

/** How long the store is out of reach for one entry. */
const cutMs = 4000;

/** Time between the cut and the job. */
const handInAfterMs = 300;

/** Bounds of the pages: a cancelled job starts no task after `cancelMs`; the machines are in touch again `stableWindowMs` after the cut. */
const cancelMs = 3000;
const stableWindowMs = 3000;

const taskMs = 1500;
const steps = Array.from({length: 6}, (_, index) => ({
	count: 2, cpu: 500, memMb: 256, estimatedMs: taskMs, ...(index > 0 && {dependsOn: [index - 1]}),
}));

const warmUpTimeoutMs = 10_000;
const cancelTimeoutMs = 10_000;
const watchMs = 16_000;

const newJobId = (): string => randomBytes(8).toString('hex');

const starts: Array<Readonly<{taskId: string; run: number; atMs: number}>> = [];

await runCase('review/7', {
	entryCount: 4,
	agentCount: 3,
	deciderCount: 4,
	runTimeMs: () => taskMs,
	onEvent({kind, taskId, run, atMs}) {
		if (kind === 'started') {
			starts.push({taskId, run, atMs});
		}
	},
}, async ({site, call, note, breach, hasTrouble}) => {
	const [first, second] = [site.entries[0]!, site.entries[1]!];

	// Shows that the site runs what it accepts.
	const warmUp = newJobId();
	await call(first, 'POST', warmUp, {spec: 'warm-up', steps: steps.slice(0, 1)});
	const warmUpEndMs = performance.now() + warmUpTimeoutMs;
	for (let state = ''; !state.includes('completed');) {
		if (performance.now() > warmUpEndMs) {
			throw new Error('the first job is not completed');
		}

		await delay(200);
		const answer = await call(second, 'GET', warmUp);
		state = answer.text;
	}

	const cutAtMs = performance.now();
	if (hasTrouble) {
		note(`${first.name} is partitioned from the store`);
		first.links.store.setFault({kind: 'silence'});
		setTimeout(() => {
			note(`${first.name} reaches the store again`);
			first.links.store.setFault({kind: 'none'});
		}, cutMs);
	}

	await delay(handInAfterMs);
	const jobId = newJobId();
	const submitted = await call(first, 'POST', jobId, {spec: 'cancelled', steps});
	if (submitted.status === 429 || submitted.status === 503) {
		throw new Error('the job was refused');
	}

	// The client wants the job no more. It asks any node until the cancelling is acknowledged.
	let acknowledgedAtMs: number | undefined;
	const cancelEndMs = performance.now() + cancelTimeoutMs;
	while (acknowledgedAtMs === undefined) {
		const {status} = await call(second, 'DELETE', jobId);
		if (status === 410 || (status !== undefined && status >= 200 && status < 300)) {
			acknowledgedAtMs = performance.now();
		} else if (performance.now() > cancelEndMs) {
			throw new Error('the cancelling was not acknowledged');
		} else {
			await delay(300);
		}
	}

	note('the cancelling is acknowledged');
	await delay(watchMs);
	await call(second, 'GET', jobId);
	const late = starts.filter(({taskId, atMs}) => taskId.startsWith(jobId) && atMs > acknowledgedAtMs + cancelMs);
	const calmAtMs = cutAtMs + cutMs + stableWindowMs;
	for (const {taskId, run, atMs} of late) {
		const calm = hasTrouble ? `, ${Math.round(atMs - calmAtMs)} ms after all machines were in touch again` : '';
		breach(`UNASKED: run ${run} of ${taskId} started ${Math.round(atMs - acknowledgedAtMs)} ms after the cancelling was acknowledged${calm}`);
	}
});
