import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {bundleForTests} from './bundle-for-tests.js';
import {isAnswered} from './hostile-site.js';
import {watchMemory} from './memory-watch.js';
import {runGoodJob} from './run-good-job.js';
import {queuePrefix, startSite, type SiteEntry} from './site.js';

/*
Guards against entries whose memory the accepted jobs exhaust: every entry that decides holds all of them, and reads them again when it starts.
The heaps are those of the deployment, on VMs of 250 MB.
*/

const nodeArguments = {
	entry: ['--min-semi-space-size=8', '--max-old-space-size=220'],
	agent: ['--min-semi-space-size=4', '--max-old-space-size=140'],
};

const entryVmMb = 250;
const knownJobs = 5;
const callTimeoutMs = 3000;

/** Long enough for a busy machine to read the jobs and to write a snapshot of them. */
const settleMs = 8000;
const waitMs = 30_000;

type Body = Readonly<{spec: string; steps: ReadonlyArray<Readonly<Record<string, unknown>>>} & Record<string, unknown>>;

/** Tasks with this description do not end. */
const lasting = 'lasting';

/** Of the executor's 16 processors, which other jobs need as well. */
const step = {cpu: 9000, memMb: 1, estimatedMs: 1000};
const stepsOf = (steps: number, count: number): Body['steps'] => Array.from({length: steps}, () => ({...step, count}));

/** Jobs that are handed in one after the other; `isCancelled` when each is cancelled as soon as it is answered. */
type JobCrowd = Readonly<{title: string; jobs: number; pauseMs: number; body: Body; isCancelled?: boolean}>;

const crowds: readonly JobCrowd[] = [
	{
		title: 'one job of 256,000 tasks', jobs: 1, pauseMs: 0, body: {spec: lasting, steps: stepsOf(256, 1000)},
	},
	{
		title: '256 jobs of 4,000 tasks each', jobs: 256, pauseMs: 50, body: {spec: lasting, steps: stepsOf(4, 1000)},
	},
	{
		title: '4,000 jobs with the longest description', jobs: 4000, pauseMs: 5, body: {spec: lasting.padEnd(4000), steps: stepsOf(1, 1)},
	},
	{
		title: '400 jobs of the most steps and dependencies', jobs: 400, pauseMs: 30, body: {
			spec: lasting, steps: stepsOf(250, 1).map((each, index) => ({...each, dependsOn: Array.from({length: index}, (_, dependency) => dependency)})),
		},
	},
	{
		title: 'four jobs of 256,000 tasks that demand nothing', jobs: 4, pauseMs: 0, body: {spec: lasting, steps: stepsOf(256, 1000).map(each => ({...each, cpu: 0, memMb: 0}))},
	},
	{
		title: '2,000 scheduled jobs of 100,000 occurrences', jobs: 2000, pauseMs: 10, body: {
			spec: lasting, steps: stepsOf(5, 36), repeatCount: 100_000, firstRunMs: 1, intervalMs: 1,
		},
	},
	{
		title: '1,500 jobs of 4,000 tasks that are cancelled at once', jobs: 1500, pauseMs: 15, body: {spec: lasting, steps: stepsOf(4, 1000)}, isCancelled: true,
	},
	{
		title: '1,500 jobs of 180 tasks each', jobs: 1500, pauseMs: 15, body: {spec: lasting, steps: stepsOf(5, 36)},
	},
];

/** Hands in a job and returns the status of the answer, 0 without one. */
async function submit({queueAddress}: SiteEntry, jobId: string, {body, isCancelled = false}: JobCrowd): Promise<number> {
	const url = `http://${queueAddress}${queuePrefix}${jobId}`;
	const call = async (init: RequestInit): Promise<number> => {
		const answer = await fetch(url, {...init, signal: AbortSignal.timeout(callTimeoutMs)});
		await answer.arrayBuffer();
		return answer.status;
	};

	try {
		const status = await call({method: 'POST', body: JSON.stringify(body)});
		if (isCancelled) {
			await call({method: 'DELETE'});
		}

		return status;
	} catch {
		return 0;
	}
}

/** Returns the state that an entry gives of a job. */
async function stateOf({queueAddress}: SiteEntry, jobId: string): Promise<string> {
	const answer = await fetch(`http://${queueAddress}${queuePrefix}${jobId}`, {signal: AbortSignal.timeout(callTimeoutMs)});
	return answer.text();
}

const newJobId = (): string => randomBytes(8).toString('hex');

async function checkJobs(t: ExecutionContext, crowd: JobCrowd): Promise<void> {
	const {jobs, pauseMs} = crowd;
	const running = new Set<string>();
	const site = await startSite({
		bundleDirectory: bundle.directory(), runTimeMs: payload => payload.startsWith(lasting) ? Number.POSITIVE_INFINITY : 150, entryCount: 2, agentCount: 1, nodeArguments,
		onEvent({kind, taskId}) {
			if (kind === 'started') {
				running.add(taskId);
			} else if (kind === 'ended') {
				running.delete(taskId);
			}
		},
		// As deployed.
		entrySettings: {jobAdmission: {enabled: true}},
	});
	const first = site.entries[0]!;
	const second = site.entries[1]!;
	const stops = site.entries.map(entry => watchMemory(() => entry.current().pid, [entry.queueAddress]));
	try {
		await runGoodJob(site, first, {timeoutMs: waitMs});
		const known = Array.from({length: knownJobs}, () => newJobId());
		for (const jobId of known) {
			t.true(await isAnswered(first.current(), `http://${first.queueAddress}${queuePrefix}${jobId}`, {method: 'POST', body: JSON.stringify({spec: lasting, steps: [{...step, cpu: 100, longRunning: true}]})}));
		}

		const statuses = new Map<number, number>();
		const answers: Array<Promise<void>> = [];
		for (let index = 0; index < jobs; index++) {
			answers.push(submit(index % 2 === 0 ? first : second, newJobId(), crowd).then(status => {
				statuses.set(status, (statuses.get(status) ?? 0) + 1);
			}));
			await delay(pauseMs);
		}

		await Promise.all(answers);
		await delay(settleMs);
		// The next one starts from the snapshot and the log behind it.
		second.kill();
		await second.startAgain();
		await runGoodJob(site, second, {timeoutMs: waitMs});
		await runGoodJob(site, first, {timeoutMs: waitMs});
		for (const jobId of known) {
			t.true(await isAnswered(second.current(), `http://${second.queueAddress}${queuePrefix}${jobId}`), 'a job that was accepted before is known');
			t.is(await stateOf(second, jobId), '{"state":"running"}', 'a job that was accepted before goes on');
			t.true(running.has(`${jobId}.0.0.0`), 'its task runs');
		}

		const peaks = stops.map(stop => stop());
		t.log([...statuses], peaks);
		t.true((statuses.get(200) ?? 0) > 0, 'the first of the jobs is accepted');
		t.deepEqual(site.ownEnds(), [], 'the processes are alive');
		t.true(peaks.every(({totalMb}) => totalMb <= entryVmMb), 'the memory of the VM is not exceeded');
	} finally {
		for (const stop of stops) {
			stop();
		}

		await site.close();
	}
}

const bundle = bundleForTests(test);

for (const crowd of crowds) {
	test.serial(`entries outlive ${crowd.title}`, checkJobs, crowd);
}
