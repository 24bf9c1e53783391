import {Buffer} from 'node:buffer';
import {
	mkdtemp, readdir, readFile, rm,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test, {type ExecutionContext} from 'ava';
import {type RunnerProcess, waitUntil} from '../demo/process-runner.js';
import {bundlePrograms} from '../scripts/bundle-programs.js';
import {
	type HostileLoad, sendHostileLoad, unfinishedBody, unfinishedHead,
} from './hostile-load.js';
import {type Site, startSite} from './site.js';

/*
Guards against clients that end a process by what they leave open: bodies that stop short of their end, headers without an end, and idle
connections. The checks do not depend on the speed of the machine: the process is alive, its peak of resident memory and its open
descriptors are bounded, and it answers an ordinary request while the connections are still open.
*/

/** A quarter to a third of the deployed heaps, so that a small load shows what a large one does to a deployment. */
const nodeArguments = {
	entry: ['--min-semi-space-size=8', '--max-old-space-size=64'],
	agent: ['--min-semi-space-size=4', '--max-old-space-size=48'],
};

/** An entry without load has a peak of 123 MB and an agent one of 72 MB; their smallest VMs have 250 MB and 218 MB. */
const bounds = {
	entry: {residentMb: 200, descriptors: 2300},
	agent: {residentMb: 150, descriptors: 1200},
};

/** Long enough for a busy machine to start the processes, and to read the load. */
const waitMs = 30_000;

const jobPath = '/q/5c0e7a21d94b36f8';
const announcementPath = '/arbutushinge/executors/i-1';

const idle = Buffer.alloc(0);
const job = {
	spec: 'text', steps: [{
		count: 1, cpu: 500, memMb: 256, estimatedMs: 100,
	}],
};

let bundleDirectory = '';

test.before(async () => {
	bundleDirectory = await mkdtemp(path.join(tmpdir(), 'arbutushinge-bundle-'));
	await bundlePrograms(bundleDirectory);
});

test.after.always(async () => {
	await rm(bundleDirectory, {recursive: true, force: true});
});

/** Sends a request again until it is answered with 200, as callers and executors do, or until the process has ended. */
async function isAnswered(target: RunnerProcess, url: string, init: RequestInit = {}): Promise<boolean> {
	try {
		return await waitUntil(`${url} answers`, waitMs, async () => {
			if (target.exit()) {
				return false;
			}

			try {
				const answer = await fetch(url, {...init, headers: {connection: 'close'}, signal: AbortSignal.timeout(waitMs)});
				await answer.arrayBuffer();
				return answer.status === 200 ? true : undefined;
			} catch {
				return undefined;
			}
		});
	} catch {
		return false;
	}
}

async function readUse(pid: number): Promise<Readonly<{residentMb: number; descriptors: number}>> {
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	const descriptors = await readdir(`/proc/${pid}/fd`);
	return {residentMb: Math.round(Number(/VmHWM:\s+(?<kb>\d+)/v.exec(status)?.groups?.kb) / 1024), descriptors: descriptors.length};
}

async function checkUnderLoad(t: ExecutionContext, role: 'entry' | 'agent', loadsOn: (site: Site) => readonly HostileLoad[]): Promise<void> {
	const site = await startSite({
		bundleDirectory, runTimeMs: () => 100, entryCount: 1, agentCount: 1, nodeArguments,
	});
	const stops: Array<() => void> = [];
	try {
		const entry = site.entries[0]!;
		const agent = site.agents[0]!;
		const target: RunnerProcess = {entry, agent}[role].current();
		const ordinaryRequests: Readonly<Record<'entry' | 'agent', () => Promise<boolean>>> = {
			entry: async () => await isAnswered(target, `http://${entry.queueAddress}${jobPath}`, {method: 'POST', body: JSON.stringify(job)})
				&& isAnswered(target, `http://${entry.readinessAddress}/arbutushinge/ready`),
			agent: async () => isAnswered(target, `http://${agent.controlAddress}${announcementPath}`, {method: 'PUT', body: JSON.stringify(agent.executor.announcement())}),
		};
		await agent.current().waitForLine(/event=worker-regained/v, waitMs);
		t.true(await ordinaryRequests[role](), 'the process answers before the load');

		for (const load of loadsOn(site)) {
			stops.push(await sendHostileLoad(load));
		}

		const isServed = await ordinaryRequests[role]();
		t.deepEqual(site.ownEnds(), [], 'the process is alive');
		const use = await readUse(target.pid);
		t.log(use);
		t.true(isServed, 'an ordinary request is answered');
		t.true(use.residentMb <= bounds[role].residentMb, `resident memory of ${use.residentMb} MB`);
		t.true(use.descriptors <= bounds[role].descriptors, `${use.descriptors} open descriptors`);
	} finally {
		for (const stop of stops) {
			stop();
		}

		await site.close();
	}
}

const bodies = [
	{chunkBytes: 1, entry: {connections: 16, bodyBytes: 60_000}, agent: {connections: 16, bodyBytes: 60_000}},
	{chunkBytes: 100, entry: {connections: 200, bodyBytes: 240_000}, agent: {connections: 400, bodyBytes: 60_000}},
	{chunkBytes: 32_768, entry: {connections: 1000, bodyBytes: 229_376}, agent: {connections: 2000, bodyBytes: 65_536}},
] as const;

for (const {chunkBytes, entry, agent} of bodies) {
	test.serial(`an entry outlives bodies in chunks of ${chunkBytes} bytes that stop short of their end`, async t => {
		await checkUnderLoad(t, 'entry', ({entries}) => [{
			address: entries[0]!.queueAddress,
			connections: entry.connections,
			bytes: unfinishedBody({
				method: 'POST', path: jobPath, bodyBytes: entry.bodyBytes, chunkBytes,
			}),
		}]);
	});

	test.serial(`an agent outlives announcements in chunks of ${chunkBytes} bytes that stop short of their end`, async t => {
		await checkUnderLoad(t, 'agent', ({agents}) => [{
			address: agents[0]!.controlAddress,
			connections: agent.connections,
			bytes: unfinishedBody({
				method: 'PUT', path: announcementPath, bodyBytes: agent.bodyBytes, chunkBytes,
			}),
		}]);
	});
}

test.serial('an entry bounds idle connections and those whose headers never end', async t => {
	await checkUnderLoad(t, 'entry', ({entries}) => [
		{address: entries[0]!.queueAddress, connections: 1500, bytes: idle},
		{address: entries[0]!.readinessAddress, connections: 500, bytes: idle},
		{address: entries[0]!.queueAddress, connections: 1500, bytes: unfinishedHead(8192)},
	]);
});

test.serial('an agent bounds idle connections and those whose headers never end', async t => {
	await checkUnderLoad(t, 'agent', ({agents}) => [
		{address: agents[0]!.controlAddress, connections: 1500, bytes: idle},
		{address: agents[0]!.controlAddress, connections: 1500, bytes: unfinishedHead(8192)},
	]);
});
