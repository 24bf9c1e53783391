import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Agent, request} from 'undici';
import {echoAnswerSchema, hashBody} from './echo-answer.js';
import {type CallerJournal} from './journal.js';

export type CallerLoadOptions = Readonly<{
	/** Addresses at which the entries accept callers, such as `127.0.0.1:8080`. */
	entries: readonly string[];
	service: string;
	/** Prefix of all request IDs; must be unique among callers. */
	name?: string;
	seed?: number;
	/** Number of requests after which the load ends. It also ends when `signal` aborts, once the requests in flight are complete. */
	requests?: number;
	concurrency?: number;
	/** Pause of each of the concurrent request loops after a request. */
	pauseMs?: number;
	/** Share of keyed orders in thousandths; requests that are neither orders nor large are lookups. */
	ordersMilli?: number;
	/** Priority class of all requests; without it, the entry's default applies. */
	priority?: string;
	/** One-way delay between this client and the entries. */
	clientDelayMs?: number;
	/** Share of requests with large bodies in thousandths. */
	largeMilli?: number;
	largeBodyBytes?: number;
	/** Maximum number of attempts per request, including the first. */
	attempts?: number;
	timeoutMs?: number;
	signal?: AbortSignal;
}>;

type RequestKind = 'lookup' | 'order' | 'large';

type Attempt = Readonly<{kind: RequestKind; requestId: string; body: string | undefined; attempt: number}>;

/** Result of one attempt; `no-answer` means a lost connection or a timeout. */
type Outcome = Readonly<{result: 'answered' | 'refused' | 'unknown' | 'failed' | 'wrong' | 'no-answer'; detail: string}>;

const pathByKind: Readonly<Record<RequestKind, string>> = {lookup: 'lookups', order: 'orders', large: 'documents'};

/** Results after which a request is sent again. A failed order has run, so it is not repeated. */
const retriedResultsByKind: Readonly<Record<RequestKind, ReadonlySet<Outcome['result']>>> = {
	lookup: new Set(['no-answer', 'unknown', 'failed']),
	order: new Set(['no-answer', 'unknown']),
	large: new Set(['no-answer', 'unknown', 'failed']),
};

function headersOf(attempt: Attempt, caller: string, priority: string | undefined): Record<string, string> {
	const headers: Record<string, string> = {'x-arbutushinge-caller': caller};
	if (priority !== undefined) {
		headers['x-arbutushinge-priority'] = priority;
	}

	if (attempt.body !== undefined) {
		headers['content-type'] = 'application/json';
	}

	if (attempt.kind === 'order') {
		headers['idempotency-key'] = attempt.requestId;
		if (attempt.attempt === 1) {
			headers['x-arbutushinge-attempt'] = '1';
		}
	}

	if (attempt.kind === 'large') {
		headers['x-arbutushinge-idempotent'] = 'true';
	}

	return headers;
}

/** Checks that an answer is complete and belongs to the request; returns a description of the problem, or an empty string. */
export function checkAnswer(text: string, requestId: string, body: string): string {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return 'the answer is not whole';
	}

	const answer = echoAnswerSchema.safeParse(value);
	if (!answer.success) {
		return 'the answer does not come from a backend server';
	}

	if (answer.data.requestId !== requestId) {
		return `the answer belongs to ${answer.data.requestId}`;
	}

	if (answer.data.bodyHash !== hashBody(body) || answer.data.padding.length !== Buffer.byteLength(body)) {
		return 'the backend server received another body';
	}

	return '';
}

/**
Sends a mix of lookups, keyed orders and large bodies through the entries and counts the results of the requests.

@example
const journal = await runCallerLoad({entries: ['127.0.0.1:8080'], service: 'loaf-ordering', requests: 100, seed: 7});
*/
export async function runCallerLoad(options: CallerLoadOptions): Promise<CallerJournal> {
	const name = options.name ?? 'caller';
	const random = xoroshiro128plus(options.seed ?? 1);
	const latencies = build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3});
	const connections = new Agent({connections: options.concurrency ?? 16, keepAliveTimeout: 1000});
	const maxRequests = options.requests ?? Number.POSITIVE_INFINITY;
	const countByResult: Record<Outcome['result'], number> = {
		answered: 0, refused: 0, unknown: 0, failed: 0, wrong: 0, 'no-answer': 0,
	};
	const ordersAnswered: string[] = [];
	const ordersRefused: string[] = [];
	const examples: string[] = [];
	let requests = 0;
	let retries = 0;
	let attemptCount = 0;

	async function attemptOnce(attempt: Attempt): Promise<Outcome> {
		attemptCount++;
		const entry = options.entries[attemptCount % options.entries.length]!;
		try {
			const answer = await request(`http://${entry}/services/${options.service}/${pathByKind[attempt.kind]}/${attempt.requestId}`, {
				method: attempt.body === undefined ? 'GET' : 'POST',
				headers: headersOf(attempt, name, options.priority),
				body: attempt.body ?? null,
				dispatcher: connections,
				signal: AbortSignal.timeout(options.timeoutMs ?? 15_000),
			});
			const text = await answer.body.text();
			const outcome = answer.headers['x-arbutushinge-outcome'];
			const detail = `${answer.statusCode} ${text.slice(0, 200)}`;
			if (outcome === 'done' && answer.statusCode === 200) {
				const wrong = checkAnswer(text, attempt.requestId, attempt.body ?? '');
				return wrong === '' ? {result: 'answered', detail} : {result: 'wrong', detail: wrong};
			}

			return {result: outcome === 'refused-not-run' ? 'refused' : (outcome === 'outcome-unknown' ? 'unknown' : 'failed'), detail};
		} catch (error) {
			return {result: 'no-answer', detail: error instanceof Error ? error.message : String(error)};
		}
	}

	async function attemptWithClientDelay(attempt: Attempt): Promise<Outcome> {
		const clientDelayMs = options.clientDelayMs ?? 0;
		if (clientDelayMs === 0) {
			return attemptOnce(attempt);
		}

		await delay(clientDelayMs);
		const outcome = await attemptOnce(attempt);
		await delay(clientDelayMs);
		return outcome;
	}

	function nextAttempt(): Attempt {
		requests++;
		const drawnMilli = uniformInt(random, 0, 999);
		const ordersMilli = options.ordersMilli ?? 300;
		const largeMilli = options.largeMilli ?? 50;
		const kind: RequestKind = drawnMilli < ordersMilli ? 'order' : (drawnMilli < ordersMilli + largeMilli ? 'large' : 'lookup');
		const requestId = `${name}-${requests}`;
		const bodyByKind: Readonly<Record<RequestKind, () => string | undefined>> = {
			lookup: () => undefined,
			order: () => JSON.stringify({order: requestId, loaves: uniformInt(random, 1, 400)}),
			large: () => JSON.stringify({document: requestId, text: String.fromCodePoint(uniformInt(random, 97, 122)).repeat(options.largeBodyBytes ?? 262_144)}),
		};
		return {
			kind, requestId, body: bodyByKind[kind](), attempt: 1,
		};
	}

	async function sendOne(): Promise<void> {
		let attempt = nextAttempt();
		const startedAtMs = performance.now();
		let outcome = await attemptWithClientDelay(attempt);
		while (retriedResultsByKind[attempt.kind].has(outcome.result) && attempt.attempt < (options.attempts ?? 6)) {
			retries++;
			await delay(100 * attempt.attempt);
			attempt = {...attempt, attempt: attempt.attempt + 1};
			outcome = await attemptWithClientDelay(attempt);
		}

		countByResult[outcome.result]++;
		if (outcome.result === 'answered') {
			latencies.recordValue(Math.max(1, Math.round((performance.now() - startedAtMs) * 1000)));
		} else if (examples.length < 10) {
			examples.push(`${attempt.requestId} (${attempt.kind}, attempt ${attempt.attempt}): ${outcome.result}: ${outcome.detail}`);
		}

		if (attempt.kind === 'order' && outcome.result === 'answered') {
			ordersAnswered.push(attempt.requestId);
		}

		if (attempt.kind === 'order' && outcome.result === 'refused') {
			ordersRefused.push(attempt.requestId);
		}
	}

	function isFinished(): boolean {
		return requests >= maxRequests || (options.signal?.aborted ?? false);
	}

	async function sendSequentially(): Promise<void> {
		while (!isFinished()) {
			await sendOne();
			await delay(options.pauseMs ?? 10);
		}
	}

	await Promise.all(Array.from({length: options.concurrency ?? 16}, sendSequentially));
	await connections.close();
	const quantileMs = (quantile: number): number => latencies.getValueAtPercentile(quantile) / 1000;
	return {
		requests,
		answered: countByResult.answered,
		refused: countByResult.refused,
		unknown: countByResult.unknown + countByResult['no-answer'],
		failed: countByResult.failed,
		wrong: countByResult.wrong,
		retries,
		p50Ms: quantileMs(50),
		p99Ms: quantileMs(99),
		p999Ms: quantileMs(99.9),
		maxMs: latencies.maxValue / 1000,
		ordersAnswered,
		ordersRefused,
		examples,
	};
}
