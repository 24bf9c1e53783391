import {setTimeout as delay} from 'node:timers/promises';
import {Client} from 'undici';
import {messageOf} from '../src/errors/message-of.js';
import {isConnectFailure} from '../src/worker/http-connections.js';
import {queuePrefix, type SiteEntry} from './site.js';

/** A call of a client; `status` is undefined when it got no whole answer. */
export type Call = Readonly<{entry: SiteEntry; pid: number; method: string; jobId: string; sentAtMs: number; endedAtMs: number; status: number | undefined; text: string}>;

type Job = Readonly<{jobId: string; isLasting: boolean}>;

export type Clients = Readonly<{
	/** Submits a job until it is accepted or refused for good. */
	submit: (job: Job, body: unknown) => void;
	/** Cancels a job at any entries until the cancellation is acknowledged, whatever became of its submission. */
	cancel: (jobId: string) => void;
	/** Returns the times at which cancellations were acknowledged, by job. */
	cancelledAtMs: () => ReadonlyMap<string, number>;
	/** Returns the calls so far, without those for which no connection was opened. */
	calls: () => readonly Call[];
	acceptedAtMs: () => ReadonlyMap<string, number>;
	refusedJobs: () => ReadonlySet<string>;
	/** Returns the accepted jobs that do not last, that no client cancels and whose state is not `completed` within a time. */
	waitForCompletion: (timeoutMs: number) => Promise<readonly string[]>;
	/** Sends nothing more, and waits for the open calls. */
	close: () => Promise<void>;
}>;

const callTimeoutMs = 5000;
const retryPauseMs = 300;
const maxTries = 3;
const pollMs = 150;
/** Connections to each entry; more are opened when all of them are busy. */
const connections = 8;

/** Mean time between two requests for the state of an accepted job. */
const statePauseMs = 100;

function connect({queueAddress}: SiteEntry): Client {
	return new Client(`http://${queueAddress}`, {headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: 60_000});
}

/**
Creates clients that keep their connections to all entries open.

@example
const clients = createClients(site.entries, {pick});
clients.submit({jobId: '5c0e7a21d94b36f8', isLasting: false}, {spec: '', steps: [{count: 1}]});
*/
export function createClients(entries: readonly SiteEntry[], {pick}: Readonly<{pick: <Value>(values: readonly Value[]) => Value}>): Clients {
	const connectionsOf = new Map(entries.map(entry => [entry, Array.from({length: connections}, () => connect(entry))]));
	const busyConnections = new Set<Client>();
	const calls: Call[] = [];
	const acceptedAtMs = new Map<string, number>();
	const lastingJobs = new Set<string>();
	const cancelledJobs = new Set<string>();
	const cancelledAtMs = new Map<string, number>();
	const refusedJobs = new Set<string>();
	const open = new Set<Promise<void>>();
	const closing = new AbortController();
	const {signal} = closing;

	/** Returns any of the idle connections, so that all of them stay in use, also while the entry stops. No call waits for another one. */
	function pickConnection(entry: SiteEntry): Client {
		const all = connectionsOf.get(entry)!;
		const idle = all.filter(connection => !busyConnections.has(connection));
		if (idle.length > 0) {
			return pick(idle);
		}

		const added = connect(entry);
		all.push(added);
		return added;
	}

	async function call(entry: SiteEntry, method: 'GET' | 'POST' | 'DELETE', jobId: string, body?: unknown): Promise<Call> {
		const begun = {
			entry, pid: entry.current().pid, method, jobId, sentAtMs: performance.now(),
		};
		let answer: Pick<Call, 'status' | 'text'>;
		const connection = pickConnection(entry);
		busyConnections.add(connection);
		try {
			const response = await connection.request({
				method, path: `${queuePrefix}${jobId}`, signal: AbortSignal.timeout(callTimeoutMs),
				...(body !== undefined && {headers: {'content-type': 'application/json'}, body: JSON.stringify(body)}),
			});
			answer = {text: await response.body.text(), status: response.statusCode};
		} catch (error) {
			answer = {text: messageOf(error), status: undefined};
			if (isConnectFailure(error)) {
				return {...begun, ...answer, endedAtMs: performance.now()};
			}
		} finally {
			busyConnections.delete(connection);
		}

		const ended: Call = {...begun, ...answer, endedAtMs: performance.now()};
		calls.push(ended);
		return ended;
	}

	async function submitUntilDecided({jobId, isLasting}: Job, body: unknown): Promise<void> {
		if (isLasting) {
			lastingJobs.add(jobId);
		}

		let isRefusedAlways = true;
		for (let tries = 1; !signal.aborted && !acceptedAtMs.has(jobId) && !cancelledJobs.has(jobId); tries++) {
			const {status, endedAtMs} = await call(pick(entries), 'POST', jobId, body);
			if (status === 200) {
				acceptedAtMs.set(jobId, endedAtMs);
			} else {
				isRefusedAlways &&= status === 429 || status === 503;
				if (!isLasting && isRefusedAlways && tries === maxTries) {
					refusedJobs.add(jobId);
					return;
				}

				await delay(retryPauseMs);
			}
		}
	}

	async function cancelUntilAcknowledged(jobId: string): Promise<void> {
		while (!signal.aborted) {
			const {status, endedAtMs} = await call(pick(entries), 'DELETE', jobId);
			if (status === 200 || status === 410) {
				cancelledAtMs.set(jobId, endedAtMs);
				return;
			}

			await delay(retryPauseMs);
		}
	}

	async function askForStates(): Promise<void> {
		while (!signal.aborted) {
			const accepted = [...acceptedAtMs.keys()];
			if (accepted.length > 0) {
				await call(pick(entries), 'GET', pick(accepted));
			}

			await delay(statePauseMs);
		}
	}

	function track(promise: Promise<void>): void {
		open.add(promise);
		void promise.finally(() => {
			open.delete(promise);
		});
	}

	track(askForStates());
	return {
		submit(job, body) {
			track(submitUntilDecided(job, body));
		},
		cancel(jobId) {
			cancelledJobs.add(jobId);
			track(cancelUntilAcknowledged(jobId));
		},
		cancelledAtMs: () => cancelledAtMs,
		calls: () => calls,
		acceptedAtMs: () => acceptedAtMs,
		refusedJobs: () => refusedJobs,
		async waitForCompletion(timeoutMs) {
			const deadlineMs = performance.now() + timeoutMs;
			const waiting = new Set<string>();
			const completed = new Set<string>();
			for (;;) {
				for (const jobId of acceptedAtMs.keys()) {
					if (!lastingJobs.has(jobId) && !cancelledJobs.has(jobId) && !completed.has(jobId)) {
						waiting.add(jobId);
					}
				}

				for (const jobId of cancelledJobs) {
					waiting.delete(jobId);
				}

				await Promise.all([...waiting].map(async jobId => {
					const {text} = await call(pick(entries), 'GET', jobId);
					if (text === '{"state":"completed"}') {
						waiting.delete(jobId);
						completed.add(jobId);
					}
				}));
				if (waiting.size === 0 || performance.now() > deadlineMs) {
					return [...waiting];
				}

				await delay(pollMs);
			}
		},
		async close() {
			closing.abort();
			await Promise.all(open);
			await Promise.all([...connectionsOf.values()].flat().map(async connection => connection.destroy()));
		},
	};
}
