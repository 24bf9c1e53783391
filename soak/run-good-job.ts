import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {parseObject} from '../platform/parse-object.js';
import {messageOf} from '../src/errors/message-of.js';
import {queuePrefix, type Site, type SiteEntry} from './site.js';

/** Interval between two tries of a submission or two requests of a job's state. */
const pollMs = 50;

const callTimeoutMs = 2000;

/** Runs at least this long, so that a second task finds the first one's executor taken. */
export const goodTaskMs = 150;

async function exchange(url: string, body?: unknown): Promise<Readonly<{status: number; state: string}>> {
	const answer = await fetch(url, {
		signal: AbortSignal.timeout(callTimeoutMs), ...(body !== undefined && {method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(body)}),
	});
	const {state} = parseObject(await answer.text());
	return {status: answer.status, state: typeof state === 'string' ? state : ''};
}

/**
Submits jobs at an entry until one was completed that ran on every executor. Throws when a process of the site ends by itself or when
this takes too long.

@example
await runGoodJob(site, site.entries[0], {timeoutMs: 5000});
*/
export async function runGoodJob(site: Site, entry: SiteEntry, {timeoutMs, prefix = queuePrefix}: Readonly<{timeoutMs: number; prefix?: string}>): Promise<void> {
	const deadlineMs = performance.now() + timeoutMs;
	const job = {
		spec: 'good', steps: [{
			count: site.agents.length, antiAffinity: 1, cpu: 100, memMb: 10, estimatedMs: goodTaskMs,
		}],
	};
	let jobId = randomBytes(8).toString('hex');
	let isAccepted = false;
	let seen = '';
	while (performance.now() < deadlineMs) {
		const ends = site.ownEnds();
		if (ends.length > 0) {
			throw new Error(ends.join('; '));
		}

		try {
			const {status, state} = await exchange(`http://${entry.queueAddress}${prefix}${jobId}`, isAccepted ? undefined : job);
			isAccepted ||= status === 200;
			const executors = [...site.executorsOf(jobId)].join(',');
			seen = `${isAccepted ? 'accepted' : 'not accepted'}, last answer ${status} ${state}, ran on ${executors}`;
			if (state === 'completed') {
				if (site.executorsOf(jobId).size === site.agents.length) {
					return;
				}

				jobId = randomBytes(8).toString('hex');
				isAccepted = false;
			}
		} catch (error) {
			seen = messageOf(error);
		}

		await delay(pollMs);
	}

	throw new Error(`no good job at ${entry.name} was completed on all executors within ${timeoutMs} ms: ${seen}`);
}
