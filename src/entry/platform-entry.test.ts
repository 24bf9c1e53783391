import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {ok} from 'true-myth/result';
import {findFreeAddresses} from '../../demo/free-addresses.js';
import {noResources} from '../cluster/resources.js';
import {createFakeLogService} from '../log/fake-log-service.js';
import {systemClock} from '../log/clock.js';
import {type RegisteredEntry} from '../membership/entry-registry.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {type EventLog} from '../telemetry/event-log.js';
import {createTimeline} from '../telemetry/create-timeline.js';
import {type Metrics} from '../telemetry/metrics.js';
import {type EntryPlatform} from './entry-platform.js';
import {type JobInterface} from './job-interface.js';
import {startPlatformEntry} from './platform-entry.js';

const ignore = (): void => undefined;
const metrics: Metrics = {
	increment: ignore, gauge: ignore, timingMs: ignore, close: async () => undefined,
};

// An entry loads this module when it begins to decide. Compiling it beside other tests takes longer than the next candidate waits.
test.before(async () => {
	await import('./entry-process.js');
});

/** Starts entries that share a registry and a log, one after the other. */
async function startSite(t: ExecutionContext, {count, deciderCount}: Readonly<{count: number; deciderCount: number}>) {
	const {service} = createFakeLogService(systemClock);
	const registered = new Map<string, RegisteredEntry>();
	const lines: string[] = [];
	let nextOffset = 0;

	async function start(entryId: string) {
		const record = (event: string): void => {
			lines.push(`${entryId} ${event}`);
		};

		const eventLog: EventLog = {
			debug: ignore, info: record, warn: record, error: record,
		};
		let parts: Parameters<EntryPlatform['open']>[0] | undefined;
		const platform: EntryPlatform = {
			logService: service,
			registry: {
				async announce(entry) {
					registered.set(entry.entryId, {...entry, offset: nextOffset++});
					return ok(undefined);
				},
				read: async () => ok([...registered.values()]),
			},
			async open(opened) {
				parts = opened;
			},
			announceToAgents: ignore,
			isConfigured: () => true,
			evacuationRequests: () => ({byFailureDomain: new Map(), listedEndOffset: 0}),
			close: async () => undefined,
		};
		const [callerAddress, operatorAddress, agentAddress, relayAddress] = await findFreeAddresses(4);
		const settings = entrySettingsSchema.parse({
			role: 'entry', entryId, failureDomain: 'a', callerAddress, operatorAddress, agentAddress, deciders: {count: deciderCount, relayAddress}, timings: {shutdownDelayMs: 0},
		});
		const started = await startPlatformEntry({
			settings, eventLog, metrics, timeline: createTimeline({process: entryId}), platform,
		});
		const stop = started.isOk ? started.value.stop : async () => undefined;
		t.teardown(stop);
		return {
			entryId, stop, jobs: parts!.jobs, readiness: parts!.readiness,
		};
	}

	const entries = await Promise.all(Array.from({length: count}, async (_, index) => start(`e${index}`)));
	return {entries, lines, start};
}

async function waitFor(t: ExecutionContext, description: string, check: () => boolean): Promise<void> {
	for (let tries = 0; tries < 1000 && !check(); tries++) {
		await delay(20);
	}

	t.true(check(), description);
}

const job = {
	jobId: 'j1',
	teamId: 't',
	workClass: 'batch',
	priority: 'normal',
	tasks: [],
	workflow: {
		queue: 'q', service: 's', payload: '', steps: [{count: 1, demand: noResources, declaredRunTimeMs: 100}], maxFailures: 1,
	},
};

/** Submits the job as callers do: one that was refused as not run comes back. */
async function submitAsCaller(jobs: JobInterface): ReturnType<JobInterface['submit']> {
	for (let tries = 0; ; tries++) {
		const submitted = await jobs.submit(job);
		if (submitted.isOk || submitted.error.status !== 503 || tries === 100) {
			return submitted;
		}

		await delay(100);
	}
}

test('a job that is accepted through any entry is known to all of them, also to those that do not decide', async t => {
	const {entries, lines} = await startSite(t, {count: 3, deciderCount: 1});
	await waitFor(t, 'all entries are ready', () => entries.every(({readiness}) => readiness().isReady));
	t.is(lines.filter(line => line.endsWith('entry-decides')).length, 1);
	const submitted = await submitAsCaller(entries[0]!.jobs);
	t.true(submitted.isOk);
	for (const {jobs} of entries) {
		const found = await jobs.find('j1');
		t.is(found.isOk && found.value.phase, 'queued');
	}
});

test('an entry that decided does so again when it restarts, and another one takes over when it does not', async t => {
	const {entries, lines, start} = await startSite(t, {count: 2, deciderCount: 1});
	await waitFor(t, 'both entries are ready', () => entries.every(({readiness}) => readiness().isReady));
	const decided = (entryId: string): number => lines.filter(line => line === `${entryId} entry-decides`).length;
	const decider = entries.find(({entryId}) => decided(entryId) === 1)!;
	const front = entries.find(({entryId}) => decided(entryId) === 0)!;
	await decider.stop();
	const restarted = await start(decider.entryId);
	await waitFor(t, 'the decider is ready again', () => restarted.readiness().isReady);
	t.deepEqual([decided(decider.entryId), decided(front.entryId)], [2, 0]);
	await restarted.stop();
	await waitFor(t, 'the other entry decides', () => decided(front.entryId) === 1);
	const submitted = await submitAsCaller(front.jobs);
	t.true(submitted.isOk);
});
