import {err, ok, type Result} from 'true-myth/result';
import {type TypedError} from '../errors/typed-error.js';
import {backoffMs} from './backoff.js';
import {systemClock, type Clock} from './clock.js';
import {type LoggedRecord} from './log-envelope.js';
import {decodeLogValue} from './log-value.js';
import {
	type LogError, type LogService, type StreamPage, type StreamValue,
} from './log-service.js';

export type LogReaderError = LogError | TypedError<'log-record-unreadable' | 'log-reader-closed' | 'log-retention-passed'>;

/** Records in log order; a page without records only reports the reader's position and the tail. */
export type LogPage = Readonly<{
	records: readonly LoggedRecord[];
	/** When the read was sent, on the clock's monotonic time in milliseconds. */
	readSentAtMs: number;
	/** Whether the reader's position is the tail as of this read's answer. */
	reachedTail: boolean;
	/** The reader's position after this page. */
	nextOffset: number;
	/** The tail as of this read's answer. */
	tailOffset: number;
}>;

/** A read of the tail that was sent after it was requested; all its records are delivered. */
export type TailConfirmation = Readonly<{tailOffset: number; readSentAtMs: number}>;

export type LogReaderOptions = Readonly<{
	service: LogService;
	stream: string;
	fromOffset: number;
	onPage: (page: LogPage) => void;
	onError?: (error: LogReaderError) => void;
	/** Called when records before `firstRetainedOffset` were lost; returns the offset to continue from, such as the one after the newest snapshot. */
	onRetentionPassed: (firstRetainedOffset: number) => number | Promise<number>;
	/** Most values of one read. */
	pageLimit?: number;
	/** How long one read waits for a first value, in milliseconds; it bounds the age of the newest read of the tail. */
	waitMs?: number;
	/** Pause after a page with records, in milliseconds, so that the next page holds more of them and fewer calls are made. */
	pauseMs?: () => number;
	clock?: Clock;
	random?: () => number;
}>;

export type LogReader = Readonly<{
	/** Reads the tail; all calls before the read is sent share it. Fails without a retry when the log cannot be read. */
	confirmTail: () => Promise<Result<TailConfirmation, LogReaderError>>;
	/** The offset that the next page starts at. */
	nextOffset: () => number;
	/** Number of values that were skipped because they could not be parsed. */
	unreadableCount: () => number;
	/** Stops the delivery of pages; resolves when no read is open. */
	close: () => Promise<void>;
}>;

type Waiter = (result: Result<TailConfirmation, LogReaderError>) => void;

function parse({offset, value}: StreamValue): Result<LoggedRecord, LogReaderError> {
	return decodeLogValue(value)
		.map(envelope => ({offset, envelope}))
		.mapErr(reason => ({
			kind: 'log-record-unreadable',
			message: `the value at offset ${offset} is not a record that this version can decode: ${reason.slice(0, 300)}`,
			remedy: 'check which program and version wrote it; it is skipped',
		}));
}

/**
Creates a reader that reads a stream by long polls and delivers each record once and in order. It retries failed reads with backoff
from the same position. `confirmTail` reads while a long poll is open; records that both return are delivered once.

@example
const reader = createLogReader({service, stream: 'arbutushinge', fromOffset: 0, onPage, onRetentionPassed: offset => offset});
const confirmation = await reader.confirmTail(); // => Ok({tailOffset: 12, readSentAtMs: 1503})
*/
export function createLogReader(options: LogReaderOptions): LogReader {
	const {
		service, stream, onPage, onError = () => undefined, onRetentionPassed,
		pageLimit = 1000, waitMs = 500, pauseMs = () => 0, clock = systemClock, random = Math.random,
	} = options;
	const closed = new AbortController();
	let position = options.fromOffset;
	let unreadableValues = 0;
	let waiters: Waiter[] = [];
	let confirming: Promise<void> | undefined;

	function deliver(page: StreamPage, readSentAtMs: number): void {
		const records: LoggedRecord[] = [];
		for (const value of page.values) {
			if (value.offset >= position) {
				const parsed = parse(value);
				if (parsed.isOk) {
					records.push(parsed.value);
				} else {
					unreadableValues++;
					onError(parsed.error);
				}
			}
		}

		position = Math.max(position, page.nextOffset);
		onPage({
			records, readSentAtMs, reachedTail: position >= page.tailOffset, nextOffset: position, tailOffset: page.tailOffset,
		});
	}

	async function longPoll(): Promise<void> {
		let failures = 0;
		while (!closed.signal.aborted) {
			const readSentAtMs = clock.nowMs();
			const fromOffset = position;
			const result = await service.read(stream, fromOffset, {limit: pageLimit, waitMs});
			if (closed.signal.aborted) {
				return;
			}

			if (result.isErr) {
				failures++;
				onError(result.error);
				await clock.sleep(backoffMs(failures, random()), closed.signal);
			} else if (result.value.firstRetainedOffset > fromOffset && result.value.firstRetainedOffset > position) {
				position = Math.max(position, await onRetentionPassed(result.value.firstRetainedOffset));
				failures = position < result.value.firstRetainedOffset ? failures + 1 : 0;
				if (failures > 0) {
					await clock.sleep(backoffMs(failures, random()), closed.signal);
				}
			} else {
				failures = 0;
				deliver(result.value, readSentAtMs);
				const pause = result.value.values.length > 0 ? pauseMs() : 0;
				if (pause > 0) {
					await clock.sleep(pause, closed.signal);
				}
			}
		}
	}

	/** Reads until the position reaches the tail as of the first answer. */
	async function readTail(): Promise<Result<TailConfirmation, LogReaderError>> {
		const readSentAtMs = clock.nowMs();
		let tailOffset: number | undefined;
		while (!closed.signal.aborted) {
			const fromOffset = position;
			const sentAtMs = clock.nowMs();
			const result = await service.read(stream, fromOffset, {limit: pageLimit, waitMs: 0});
			if (closed.signal.aborted) {
				break;
			}

			if (result.isErr) {
				return err(result.error);
			}

			const page = result.value;
			if (page.firstRetainedOffset > position) {
				return err({
					kind: 'log-retention-passed',
					message: `the reader is at offset ${position}, but the log retains records only from ${page.firstRetainedOffset}`,
					remedy: 'retry after the newest snapshot is loaded',
				});
			}

			deliver(page, sentAtMs);
			tailOffset ??= page.tailOffset;
			if (position >= tailOffset) {
				return ok({tailOffset, readSentAtMs});
			}
		}

		return err({kind: 'log-reader-closed', message: 'the log reader was closed', remedy: 'ask another entry'});
	}

	async function confirm(): Promise<void> {
		// Calls in the same turn of the event loop share the read.
		await Promise.resolve();
		while (waiters.length > 0) {
			const sharing = waiters;
			waiters = [];
			const result = await readTail();
			for (const waiter of sharing) {
				waiter(result);
			}
		}

		confirming = undefined;
	}

	const longPolling = longPoll();
	return {
		async confirmTail() {
			return new Promise(resolve => {
				waiters.push(resolve);
				confirming ??= confirm();
			});
		},
		nextOffset: () => position,
		unreadableCount: () => unreadableValues,
		async close() {
			closed.abort();
			await Promise.all([longPolling, confirming]);
		},
	};
}
