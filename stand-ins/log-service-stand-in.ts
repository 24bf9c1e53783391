import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {startJsonServer, type JsonAnswer} from './json-server.js';
import {LogStream, type Retention} from './log-stream.js';

/** Faults of the log service; they can be changed at any time. */
export const logFaultsSchema = z.strictObject({
	/** Every call, also one that waits for a value, is answered 503. */
	down: z.boolean(),
	/** Every call takes this much longer; an append takes effect at the end of it. */
	delayMs: z.int().min(0),
	/** Every n-th append is applied and its connection is then cut; 0 for none. */
	loseAnswerEvery: z.int().min(0),
	/** An append whose answer did not reach the writer is applied again this much later; 0 for never. */
	delayedDuplicateMs: z.int().min(0),
});

export type LogFaults = z.infer<typeof logFaultsSchema>;

export type LogServiceStandInOptions = Readonly<{
	port?: number;
	appendsPerSecond?: number;
	/** Retention of each stream that `streamRetention` does not name. */
	retention?: Retention;
	streamRetention?: Readonly<Record<string, Retention>>;
	/** Clock for the retention and the rate limit; tests pass their own. */
	nowMs?: () => number;
}>;

/** A running stand-in; changes of `faults` take effect through `setFaults`. */
export type LogServiceStandIn = Readonly<{
	url: string;
	faults: Readonly<LogFaults>;
	setFaults: (faults: Partial<LogFaults>) => void;
	/** Number of appends that were answered 429 because of the rate limit. */
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
Starts a stand-in of the platform's append-only log service with its streams in memory.

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
		const known = streams.get(name);
		if (known) {
			return known;
		}

		const stream = new LogStream(options.streamRetention?.[name] ?? retention, nowMs);
		streams.set(name, stream);
		return stream;
	}

	function overRateLimit(): boolean {
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

				if (overRateLimit()) {
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
					const gone = new AbortController();
					const abort = (): void => {
						gone.abort();
					};

					request.socket.once('close', abort);
					await stream.waitForAppend(waitMs, gone.signal);
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
