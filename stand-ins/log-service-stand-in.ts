import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {startJsonServer, type JsonAnswer} from './json-server.js';
import {LogStream, type Retention} from './log-stream.js';

/** Faults that the log service injects; they can be changed at any time. */
export const logFaultsSchema = z.strictObject({
	/** Every call is answered with status 503, including reads that wait for a new record. */
	down: z.boolean(),
	/** Additional delay of every call; an append takes effect after the delay. */
	delayMs: z.int().min(0),
	/** Every n-th append is applied, but its connection is closed without an answer; 0 for none. */
	loseAnswerEvery: z.int().min(0),
	/** Delay after which an append whose answer did not reach the writer is applied a second time; 0 for never. */
	delayedDuplicateMs: z.int().min(0),
});

export type LogFaults = z.infer<typeof logFaultsSchema>;

export type LogServiceStandInOptions = Readonly<{
	port?: number;
	appendsPerSecond?: number;
	/** Retention of the streams without an entry in `streamRetention`. */
	retention?: Retention;
	streamRetention?: Readonly<Record<string, Retention>>;
	/** Clock for the retention and the rate limit; `Date.now` by default. */
	nowMs?: () => number;
}>;

/** A running stand-in of the log service; faults are changed with `setFaults`. */
export type LogServiceStandIn = Readonly<{
	url: string;
	faults: Readonly<LogFaults>;
	setFaults: (faults: Partial<LogFaults>) => void;
	/** Returns the number of appends that exceeded the rate limit and were answered with status 429. */
	rateLimited: () => number;
	close: () => Promise<void>;
}>;

const appendSchema = z.strictObject({records: z.array(z.string()).min(1).readonly()});

const readQuerySchema = z.object({
	from: z.coerce.number().int().min(0).default(0),
	limit: z.coerce.number().int().min(1).max(10_000).default(1000),
	waitMs: z.coerce.number().int().min(0).max(60_000).default(0),
});

const unavailable: JsonAnswer = {status: 503, body: {error: 'unavailable'}};

/**
Starts a stand-in of the platform's append-only log service that stores its streams in memory.

@example
const log = await createLogServiceStandIn();
log.setFaults({down: true});
await log.close();
*/
export async function createLogServiceStandIn(options: LogServiceStandInOptions = {}): Promise<LogServiceStandIn> {
	const nowMs = options.nowMs ?? Date.now;
	const appendsPerSecond = options.appendsPerSecond ?? 400;
	const retention = options.retention ?? {maxRecords: 100_000, maxAgeMs: 600_000};
	const faults: LogFaults = {
		down: false, delayMs: 0, loseAnswerEvery: 0, delayedDuplicateMs: 0,
	};
	const streams = new Map<string, LogStream>();
	const duplicateTimers = new Set<NodeJS.Timeout>();
	let appends = 0;
	let windowStartMs = nowMs();
	let appendsInWindow = 0;
	let rateLimited = 0;

	function streamOf(name: string): LogStream {
		const existing = streams.get(name);
		if (existing) {
			return existing;
		}

		const stream = new LogStream(options.streamRetention?.[name] ?? retention, nowMs);
		streams.set(name, stream);
		return stream;
	}

	/** Counts an append and returns whether it exceeds the rate limit. */
	function exceedsRateLimit(): boolean {
		if (nowMs() - windowStartMs >= 1000) {
			windowStartMs = nowMs();
			appendsInWindow = 0;
		}

		appendsInWindow++;
		return appendsInWindow > appendsPerSecond;
	}

	function setFaults(changes: Partial<LogFaults>): void {
		Object.assign(faults, logFaultsSchema.partial().parse(changes));
		for (const stream of streams.values()) {
			stream.wakeWaiters();
		}
	}

	function applyAgainLater(stream: LogStream, records: readonly string[]): void {
		if (faults.delayedDuplicateMs === 0) {
			return;
		}

		const timer = setTimeout(() => {
			duplicateTimers.delete(timer);
			stream.append(records);
		}, faults.delayedDuplicateMs);
		duplicateTimers.add(timer);
	}

	const server = await startJsonServer([
		{method: 'GET', path: '/faults', handle: () => ({status: 200, body: faults})},
		{
			method: 'PUT', path: '/faults', handle(_request, body) {
				setFaults(logFaultsSchema.partial().parse(body));
				return {status: 200, body: faults};
			},
		},
		{
			method: 'POST', path: '/streams/:stream/records', async handle(request, body) {
				const {records} = appendSchema.parse(body);
				const stream = streamOf(request.params.stream!);
				if (faults.down) {
					return unavailable;
				}

				if (exceedsRateLimit()) {
					rateLimited++;
					return {status: 429, body: {error: `more than ${appendsPerSecond} appends a second`}};
				}

				if (faults.delayMs > 0) {
					await delay(faults.delayMs);
				}

				appends++;
				const firstOffset = stream.append(records);
				if (faults.loseAnswerEvery > 0 && appends % faults.loseAnswerEvery === 0) {
					applyAgainLater(stream, records);
					return 'cut';
				}

				if (request.socket.destroyed) {
					applyAgainLater(stream, records);
				}

				return {status: 200, body: {firstOffset}};
			},
		},
		{
			method: 'GET', path: '/streams/:stream/records', async handle(request) {
				const {from, limit, waitMs} = readQuerySchema.parse(request.query);
				const stream = streamOf(request.params.stream!);
				if (faults.delayMs > 0) {
					await delay(faults.delayMs);
				}

				if (!faults.down && waitMs > 0 && stream.tailOffset <= from) {
					const disconnected = new AbortController();
					const abort = (): void => {
						disconnected.abort();
					};

					request.socket.once('close', abort);
					await stream.waitForAppend(waitMs, disconnected.signal);
					request.socket.off('close', abort);
				}

				if (faults.down) {
					return unavailable;
				}

				const records = stream.read(from, limit);
				const {firstRetainedOffset, tailOffset} = stream;
				return {
					status: 200,
					body: {
						records, nextOffset: records.length > 0 ? records.at(-1)!.offset + 1 : Math.max(from, firstRetainedOffset), tailOffset, firstRetainedOffset,
					},
				};
			},
		},
		{
			method: 'GET', path: '/streams/:stream', async handle(request) {
				if (faults.delayMs > 0) {
					await delay(faults.delayMs);
				}

				if (faults.down) {
					return unavailable;
				}

				const stream = streamOf(request.params.stream!);
				return {status: 200, body: {firstRetainedOffset: stream.firstRetainedOffset, nextOffset: stream.tailOffset}};
			},
		},
	], options.port ?? 0);

	return {
		url: server.url,
		faults,
		setFaults,
		rateLimited: () => rateLimited,
		async close() {
			for (const timer of duplicateTimers) {
				clearTimeout(timer);
			}

			for (const stream of streams.values()) {
				stream.wakeWaiters();
			}

			await server.close();
		},
	};
}
