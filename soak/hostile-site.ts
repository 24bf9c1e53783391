import {setTimeout as delay} from 'node:timers/promises';
import {type ExecutionContext} from 'ava';
import {type RunnerProcess, waitUntil} from '../demo/process-runner.js';
import {type HostileLoad, sendHostileLoad} from './hostile-load.js';
import {watchMemory} from './memory-watch.js';
import {type Site, startSite} from './site.js';

/*
Checks a process while clients outside the limits press on it. The checks do not depend on the speed of the machine: the process is alive,
its memory with the unread bytes of its connections and its open descriptors are bounded, and it answers an ordinary request while the
connections are still open.
*/

type Role = 'entry' | 'agent';

/** A quarter to a third of the deployed heaps, so that a small load shows what a large one does to a deployment. */
const nodeArguments = {
	entry: ['--min-semi-space-size=8', '--max-old-space-size=64'],
	agent: ['--min-semi-space-size=4', '--max-old-space-size=48'],
};

/** An entry without load has a peak of 123 MB and an agent one of 72 MB; their smallest VMs have 250 MB and 218 MB. */
const bounds = {
	entry: {totalMb: 200, descriptors: 2300},
	agent: {totalMb: 150, descriptors: 1200},
};

/** Long enough for a busy machine to start the processes, and to read the load. */
const waitMs = 30_000;

/** A load at one address; `send` returns a function that ends it. */
export type SiteLoad = Readonly<{address: string; send: () => Promise<() => void>}>;

/**
Returns a load of connections that all send the same bytes.

@example
connectionsLoad({address: '127.0.0.1:20001', connections: 500, bytes: unfinishedHead(8192)});
*/
export const connectionsLoad = (load: HostileLoad): SiteLoad => ({address: load.address, send: async () => sendHostileLoad(load)});

/** Time between two rounds of a load, longer than a refused connection stays open. */
const roundPauseMs = 1000;

/** Token of the entry's operator interface. */
export const operatorToken = 'hostile-clients-operator-token-0123456789';

export const jobPath = '/q/5c0e7a21d94b36f8';
export const announcementPath = '/arbutushinge/executors/i-1';

const job = {
	spec: 'text', steps: [{
		count: 1, cpu: 500, memMb: 256, estimatedMs: 100,
	}],
};

/**
Sends a request again until it is answered with 200, as callers and executors do. Returns false when the process has ended or none is.

@example
await isAnswered(site.entries[0].current(), 'http://127.0.0.1:20001/q/5c0e7a21d94b36f8');
*/
export async function isAnswered(target: RunnerProcess, url: string, init: RequestInit = {}): Promise<boolean> {
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

const ordinaryRequests: Readonly<Record<Role, (site: Site, target: RunnerProcess) => Promise<boolean>>> = {
	entry: async ({entries: [entry]}, target) => await isAnswered(target, `http://${entry!.queueAddress}${jobPath}`, {method: 'POST', body: JSON.stringify(job)})
		&& isAnswered(target, `http://${entry!.readinessAddress}/arbutushinge/ready`),
	agent: async ({agents: [agent]}, target) => isAnswered(target, `http://${agent!.controlAddress}${announcementPath}`, {method: 'PUT', body: JSON.stringify(agent!.executor.announcement())}),
};

/**
Starts a site with one agent, sends the loads to it or to the first entry, and checks the bounds of that process.

@example
await checkUnderLoad(t, {bundleDirectory, role: 'entry', loadsOn: ({entries: [entry]}) => [connectionsLoad({address: entry!.queueAddress, connections: 500, bytes})]});
*/
export async function checkUnderLoad(t: ExecutionContext, {bundleDirectory, role, loadsOn, entryCount = 1, rounds = 1, prepare = async () => async () => undefined, whilePressed = async () => undefined}: Readonly<{
	bundleDirectory: string;
	role: Role;
	/** Loads that are sent at once. */
	loadsOn: (site: Site) => readonly SiteLoad[];
	entryCount?: number;
	/** How often they are sent, each time over new connections. */
	rounds?: number;
	/** Called before the loads; returns a function that is called after the checks. */
	prepare?: (site: Site) => Promise<() => Promise<void>>;
	/** Called while the loads press; fails the test when it is not as it should be. */
	whilePressed?: (site: Site) => Promise<void>;
}>): Promise<void> {
	const site = await startSite({
		bundleDirectory, runTimeMs: () => 100, entryCount, agentCount: 1, nodeArguments, operatorToken,
	});
	let stops: ReadonlyArray<() => void> = [];
	let cleanUp = async (): Promise<void> => undefined;
	const stopLoads = (): void => {
		for (const stop of stops) {
			stop();
		}
	};

	try {
		const [agent] = site.agents;
		const target = {entry: site.entries[0]!, agent: agent!}[role].current;
		await agent!.current().waitForLine(/event=worker-regained/v, waitMs);
		t.true(await ordinaryRequests[role](site, target()), 'the process answers before the load');
		cleanUp = await prepare(site);

		const loads = loadsOn(site);
		const stopWatching = watchMemory(() => target().pid, loads.map(({address}) => address));
		for (let round = 1; round <= rounds; round++) {
			stopLoads();
			stops = await Promise.all(loads.map(async ({send}) => send()));
			if (round < rounds) {
				await delay(roundPauseMs);
			}
		}

		await whilePressed(site);
		const isServed = await ordinaryRequests[role](site, target());
		const peaks = stopWatching();
		t.log(peaks);
		t.deepEqual(site.ownEnds(), [], 'the process is alive');
		t.true(isServed, 'an ordinary request is answered');
		t.true(peaks.totalMb <= bounds[role].totalMb, `resident memory and unread bytes of ${peaks.totalMb} MB`);
		t.true(peaks.descriptors <= bounds[role].descriptors, `${peaks.descriptors} open descriptors`);
	} finally {
		stopLoads();
		await cleanUp();
		await site.close();
	}
}
