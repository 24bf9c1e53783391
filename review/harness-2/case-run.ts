import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	queuePrefix, startSite, type Site, type SiteEntry,
} from '../../soak/site.js';
import {callOnce, type CallAnswer} from './http-call.js';

/** Exit status of a case, which `run.sh` translates: the rule held, it was broken, or the case could not run. */
const exitStatuses = {held: 0, broken: 10, unable: 2} as const;

/** What a client saw of one call, with its times since the case began. */
export type Answer = CallAnswer & Readonly<{sentAtMs: number; endedAtMs: number}>;

/** A running case: its site, its clock, and the record of what was sent, answered and run. */
export type CaseRun = Readonly<{
	site: Site;
	/** Whether the case adds its disruption. */
	hasTrouble: boolean;
	/** Milliseconds since the case began. */
	nowMs: () => number;
	note: (line: string) => void;
	/** Sends a call of a client and notes it. */
	call: (entry: SiteEntry, method: 'POST' | 'GET' | 'DELETE', jobId: string, body?: unknown) => Promise<Answer>;
	/** Notes a breach of the rule. */
	breach: (line: string) => void;
}>;

type SiteOptions = Parameters<typeof startSite>[0];

/** The run lines of the deploy file. */
const nodeArguments = {
	entry: ['--min-semi-space-size=8', '--max-old-space-size=220'], agent: ['--min-semi-space-size=4', '--max-old-space-size=140'],
} as const;

/** Time budget of a client's call, in milliseconds. */
const callTimeoutMs = 3000;

const readyTimeoutMs = 20_000;
const longestRunMs = 115_000;

/** Returns whether the entry's readiness address answers 200. */
async function isReady({readinessAddress}: SiteEntry): Promise<boolean> {
	const {status} = await callOnce(readinessAddress, {method: 'GET', path: '/arbutushinge/ready', timeoutMs: 1000});
	return status === 200;
}

/**
Waits until every entry is ready.

@example
await waitUntilReady(site.entries);
*/
export async function waitUntilReady(entries: readonly SiteEntry[]): Promise<void> {
	const deadlineMs = performance.now() + readyTimeoutMs;
	const waiting = new Set(entries);
	while (waiting.size > 0) {
		for (const entry of waiting) {
			if (await isReady(entry)) {
				waiting.delete(entry);
			}
		}

		if (performance.now() > deadlineMs) {
			throw new Error(`not ready: ${[...waiting].map(({name}) => name).join(', ')}`);
		}

		await delay(100);
	}
}

/**
Runs a case, writes `record.txt` to its folder, ends all processes and exits with the case's status.

@example
await runCase('review/6', {runTimeMs: () => 1000}, async ({site, call}) => {
	await call(site.entries[0]!, 'GET', '5c0e7a21d94b36f8');
});
*/
export async function runCase(
	folder: string,
	options: Readonly<Omit<SiteOptions, 'bundleDirectory' | 'nodeArguments'>>,
	play: (run: CaseRun) => Promise<void>,
): Promise<void> {
	const startMs = performance.now();
	const nowMs = (): number => performance.now() - startMs;
	const lines: string[] = [];
	const breaches: string[] = [];
	const hasTrouble = process.env.TROUBLE !== '0';
	const note = (line: string): void => {
		lines.push(`${(nowMs() / 1000).toFixed(3)} ${line}`);
	};

	let site: Site | undefined;
	let outcome: keyof typeof exitStatuses = 'unable';
	const finish = (): void => {
		lines.push(...breaches.map(line => `BROKEN ${line}`), `result: ${outcome}, trouble: ${hasTrouble}`);
		writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		process.stdout.write(`${[...breaches.slice(0, 10), `${folder}: ${outcome}, ${breaches.length} breaches`].join('\n')}\n`);
	};

	const watchdog = setTimeout(() => {
		note('the case took too long');
		outcome = 'unable';
		finish();
		process.exit(exitStatuses.unable); // eslint-disable-line unicorn/no-process-exit -- The handler of `exit` ends the processes.
	}, longestRunMs);

	// The handler of `exit` ends the processes that were started.
	for (const signal of ['SIGINT', 'SIGTERM'] as const) {
		process.on(signal, () => {
			process.exit(exitStatuses.unable);
		});
	}

	try {
		site = await startSite({
			...options,
			bundleDirectory: 'target',
			nodeArguments,
			onEvent(event) {
				const {kind, executorId, taskId, run} = event;
				note(`executor ${executorId} ${kind} ${taskId} run ${run}${'outcome' in event ? ` ${event.outcome}` : ''}`);
				options.onEvent?.(event);
			},
		});
		await waitUntilReady(site.entries);
		note('all entries are ready');
		await play({
			site,
			hasTrouble,
			nowMs,
			note,
			breach(line) {
				breaches.push(line);
			},
			async call(entry, method, jobId, body) {
				const sentAtMs = nowMs();
				const answer = await callOnce(entry.queueAddress, {
					method, path: `${queuePrefix}${jobId}`, timeoutMs: callTimeoutMs, body,
				});
				note(`client ${method} ${jobId} at ${entry.name}, sent at ${(sentAtMs / 1000).toFixed(3)}: ${answer.status ?? 'no answer'} ${answer.text.slice(0, 120)}`);
				return {...answer, sentAtMs, endedAtMs: nowMs()};
			},
		});
		const ownEnds = site.ownEnds();
		for (const line of ownEnds) {
			note(line);
		}

		outcome = breaches.length > 0 ? 'broken' : 'held';
	} catch (error) {
		note(`the case could not run: ${String(error)}`);
		outcome = 'unable';
	} finally {
		clearTimeout(watchdog);
		for (const [name, output] of process.env.LOGS === undefined || !site ? [] : site.logs()) {
			writeFileSync(path.join(process.env.LOGS!, `${name}.log`), `${output.join('\n')}\n`);
		}

		await site?.close();
		finish();
	}

	process.exit(exitStatuses[outcome]); // eslint-disable-line unicorn/no-process-exit -- The case is a program of its own.
}
