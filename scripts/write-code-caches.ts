import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {findFreeAddresses} from '../demo/free-addresses.js';
import {createExecutorStandIn} from '../stand-ins/executor-stand-in.js';
import {createStoreStandIn} from '../stand-ins/store-stand-in.js';
import {agentBundleName, wholeBundleName} from './bundle-programs.js';

const service = 'warm-up';
const host = '127.0.0.1';

/** Time for the processes to connect; an entry places tasks only after it has read the log for a while. */
const connectWaitMs = 3000;

/** Duration for which jobs are submitted, so that V8 compiles most functions that scheduling needs. */
const submissionMs = 4000;

const jobPauseMs = 100;
const exitTimeoutMs = 5000;

/**
Returns the Node.js flags in the `run` line of a role of the deploy file; V8 ignores a code cache that was made with other flags.

@example
nodeFlagsOf('[roles.agent]\nrun = "node --max-old-space-size=140 target/launcher.cjs agent"', 'agent'); // => ['--max-old-space-size=140']
*/
export function nodeFlagsOf(deployFile: string, role: string): readonly string[] {
	const run = new RegExp(String.raw`^\[roles\.${role}\]\nrun = "node (?<words>[^"]*)"`, 'mv').exec(deployFile)?.groups?.words ?? '';
	return run.split(' ').filter(word => word.startsWith('--') && word !== '--settings');
}

async function submitJobs(queueAddress: string): Promise<void> {
	const endMs = performance.now() + submissionMs;
	for (let number = 0; performance.now() < endMs; number++) {
		const isFilling = number % 2 === 0;
		try {
			const answer = await fetch(`http://${queueAddress}/q/${number.toString(16).padStart(16, '0')}`, {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					spec: 'warm-up', steps: [{
						count: 2, cpu: 500, memMb: 100, estimatedMs: 300, image: isFilling ? 'filling' : 'serving', fills: isFilling, targetMs: isFilling ? 0 : 400,
					}],
				}),
			});
			await answer.text();
		} catch {
			// When the entry is not ready in time, fewer functions are compiled and the cache is smaller.
		}

		await delay(jobPauseMs);
	}
}

async function stop(child: ChildProcess): Promise<void> {
	if (child.exitCode === null) {
		child.stdin?.end();
		await Promise.race([once(child, 'exit'), delay(exitTimeoutMs)]);
		child.kill('SIGKILL');
	}
}

/**
Writes a code cache next to each bundled program. An entry and an agent run jobs on the loopback interface first, so that V8 has compiled
the functions that they need. A program without a code cache also runs, but compiles its functions at run time.

@example
await writeCodeCaches('target');
*/
export async function writeCodeCaches(directory: string): Promise<void> {
	const deployFile = await readFile('deploy/system.toml', 'utf8');
	const settingsDirectory = await mkdtemp(path.join(tmpdir(), 'arbutushinge-build-'));
	const [
		agentAddress = '', callerAddress = '', operatorAddress = '', queueAddress = '', readinessAddress = '', controlAddress = '', workerAddress = '', requestAddress = '',
	] = await findFreeAddresses(8);
	const store = await createStoreStandIn();
	store.putKey('keyed.op', 'config', JSON.stringify({
		version: 1, routes: [{
			host, pathPrefix: '/q/', service, stretch: 4, sloMs: 5000,
		}],
	}));
	const executor = await createExecutorStandIn({
		address: workerAddress, controlAddress, service, runTimeMs: 300, announceMs: 500,
	});

	async function run(role: 'entry' | 'agent', program: string, settings: unknown): Promise<ChildProcess> {
		const settingsFile = path.join(settingsDirectory, `${role}.yaml`);
		await writeFile(settingsFile, JSON.stringify(settings));
		return spawn(process.execPath, [...nodeFlagsOf(deployFile, role), '--import=tsx', 'scripts/write-code-cache.ts', path.join(directory, program), role, '--settings', settingsFile], {
			stdio: ['pipe', 'ignore', 'inherit'],
		});
	}

	const children = await Promise.all([
		run('entry', wholeBundleName, {
			role: 'entry',
			entryId: 'entry-1',
			failureDomain: 'a',
			callerAddress,
			operatorAddress,
			agentAddress,
			platform: {storeAddress: store.address, queueAddress, readinessAddress},
			timings: {
				appendIntervalMs: 25, pagePauseMs: 20, snapshotEveryMs: 4000, minSnapshotIntervalMs: 2000,
			},
		}),
		run('agent', agentBundleName, {
			role: 'agent',
			vmId: 'vm-1',
			failureDomain: 'a',
			rack: 'unknown',
			requestAddress,
			entryStreams: 3,
			platform: {
				storeAddress: store.address, seedAddresses: [agentAddress], entryAgentPort: Number(agentAddress.split(':')[1]), controlAddress, workerAddress, service,
			},
			timings: {workerPollMs: 250},
		}),
	]);
	try {
		await delay(connectWaitMs);
		await submitJobs(queueAddress);
	} finally {
		await Promise.all(children.map(async child => stop(child)));
		await Promise.all([store.close(), executor.close(), rm(settingsDirectory, {recursive: true, force: true})]);
	}

	console.log(`code caches: ${executor.endedCount()} tasks ended during the warm-up`);
}
