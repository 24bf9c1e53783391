import {err, ok, type Result} from 'true-myth/result';
import {type TypedError} from '../errors/typed-error.js';
import {isOffset} from '../validation/bounds.js';
import {describeThrown} from '../validation/describe-thrown.js';
import {backoffMs} from './backoff.js';
import {systemClock, type Clock} from './clock.js';
import {type LoggedRecord} from './log-envelope.js';
import {decodeLogValue} from './log-value.js';
import {
	type LogError, type LogService, type StreamPage, type StreamValue,
} from './log-service.js';

export type LogReaderError = LogError | TypedError<'log-record-unreadable' | 'log-page-failed' | 'log-reader-closed' | 'log-retention-passed'>;

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
	/** The reads go on when it throws; the page counts as delivered. */
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

function parse({offset, value}: StreamValue, {nextOffset}: StreamPage): Result<LoggedRecord, LogReaderError> {
	// A record at a later offset than its page's would make the state ignore the records before it.
	const decoded = isOffset(offset) && offset < nextOffset ? decodeLogValue(value) : err(`its page ends before offset ${nextOffset}`);
	return decoded
		.map(envelope => ({offset, envelope}))
		.mapErr(reason => ({
			kind: 'log-record-unreadable',
			message: `the value at offset ${offset} is not a record that this version can use: ${reason}`,
			remedy: 'check which program and version wrote it; it is skipped',
		}));
}

/** Returns an error for a page with offsets that cannot be true: they would move the reader past records. */
function checkPage({values, nextOffset, tailOffset, firstRetainedOffset}: StreamPage, fromOffset: number): Result<void, LogReaderError> {
	const isPossible = [nextOffset, tailOffset, firstRetainedOffset].every(offset => isOffset(offset))
		&& nextOffset <= Math.max(fromOffset, tailOffset, firstRetainedOffset) + values.length;
	return isPossible
		? ok(undefined)
		: err({
			kind: 'log-protocol',
			message: `the page from offset ${fromOffset} names offsets that cannot be true: next ${nextOffset}, tail ${tailOffset}, first ${firstRetainedOffset}`,
			remedy: 'check the log service; the page is read again',
		});
}

function describePollFailure(error: unknown): LogReaderError {
	const {reason, at} = describeThrown(error);
	return {kind: 'log-page-failed', message: `a step of reading the log failed: ${reason} (${at})`, remedy: 'report the failure; the reads go on after a pause'};
}

/**
Shortest pause after a page, as a factor on the time that its handling took. On a slow or throttled processor, a reader that asks for the
next records at once gets small pages, whose fixed costs leave no time for anything else.
*/
const pausePerHandling = 2;
const maxHandlingPauseMs = 150;

/** Reads of the tail that may bring neither a record nor the tail, after which the call fails. */
const maxEmptyTailReads = 3;

/**
Creates a reader that reads a stream by long polls and delivers each record once and in order. It retries failed reads with backoff
from the same position, and gets past what it cannot use: a value that is no record, and a page whose handler throws. `confirmTail` reads while a long poll is open; records that both return are delivered once.

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

	/** Returns `undefined` for a value that was delivered before. */
	function tryToParse(value: StreamValue, page: StreamPage): Result<LoggedRecord, LogReaderError> | undefined {
		try {
			return value.offset < position ? undefined : parse(value, page);
		} catch (error) {
			return err({
				kind: 'log-record-unreadable',
				message: `a value of the page before offset ${page.nextOffset} cannot be decoded: ${describeThrown(error).reason}`,
				remedy: 'report the failure; the value is skipped',
			});
		}
	}

	function deliver(page: StreamPage, readSentAtMs: number): void {
		const records: LoggedRecord[] = [];
		for (const value of page.values) {
			const parsed = tryToParse(value, page);
			if (parsed?.isOk) {
				records.push(parsed.value);
			} else if (parsed) {
				unreadableValues++;
				report(parsed.error);
			}
		}

		position = Math.max(position, page.nextOffset);
		try {
			onPage({
				records, readSentAtMs, reachedTail: position >= page.tailOffset, nextOffset: position, tailOffset: page.tailOffset,
			});
		} catch (error) {
			const {reason, at} = describeThrown(error);
			report({
				kind: 'log-page-failed',
				message: `the handler of the page before offset ${position} failed: ${reason} (${at})`,
				remedy: 'report the failure; the records of the page may not have been applied',
			});
		}
	}

	function report(error: LogReaderError): void {
		try {
			onError(error);
		} catch {
			// There is nothing else to report it to, and it must not end the reads.
		}
	}

	/** Reads a page whose offsets are possible; a read that throws has failed. */
	async function readPage(fromOffset: number, pageWaitMs: number): Promise<Result<StreamPage, LogReaderError>> {
		try {
			const read = await service.read(stream, fromOffset, {limit: pageLimit, waitMs: pageWaitMs});
			return read.isOk ? checkPage(read.value, fromOffset).map(() => read.value) : err(read.error);
		} catch (error) {
			return err({kind: 'log-protocol', message: `a read of the log failed: ${describeThrown(error).reason}`, remedy: 'check the log service; the read is tried again'});
		}
	}

	/** Returns the offset to continue from after a loss of records; the present one when it cannot be determined. */
	async function continueFrom(firstRetainedOffset: number): Promise<number> {
		try {
			const offset = await onRetentionPassed(firstRetainedOffset);
			return isOffset(offset) ? Math.max(position, offset) : position;
		} catch (error) {
			report({kind: 'log-page-failed', message: `the state before offset ${firstRetainedOffset} was not loaded: ${describeThrown(error).reason}`, remedy: 'it is tried again'});
			return position;
		}
	}

	/** Reads and delivers one page and pauses; returns the number of failures in a row. */
	async function poll(failuresBefore: number): Promise<number> {
		const readSentAtMs = clock.nowMs();
		const fromOffset = position;
		const result = await readPage(fromOffset, waitMs);
		if (closed.signal.aborted) {
			return failuresBefore;
		}

		if (result.isErr) {
			report(result.error);
			await backOff(failuresBefore + 1);
			return failuresBefore + 1;
		}

		const {values, firstRetainedOffset, tailOffset} = result.value;
		if (firstRetainedOffset > fromOffset && firstRetainedOffset > position) {
			position = await continueFrom(firstRetainedOffset);
			if (position >= firstRetainedOffset) {
				return 0;
			}

			await backOff(failuresBefore + 1);
			return failuresBefore + 1;
		}

		const deliveredAtMs = clock.nowMs();
		deliver(result.value, readSentAtMs);
		const handlingMs = clock.nowMs() - deliveredAtMs;
		// An answer without the records that it names is not repeated at once.
		if (position === fromOffset && tailOffset > position) {
			await backOff(failuresBefore + 1);
			return failuresBefore + 1;
		}

		const pause = values.length > 0 ? Math.max(pauseMs(), Math.min(maxHandlingPauseMs, pausePerHandling * handlingMs)) : 0;
		if (pause > 0) {
			await clock.sleep(pause, closed.signal);
		}

		return 0;
	}

	/** Waits after a failure; never rejects, and waits also when the options' clock fails. */
	async function backOff(failures: number): Promise<void> {
		try {
			await clock.sleep(backoffMs(failures, random()), closed.signal);
		} catch (error) {
			report(describePollFailure(error));
			await systemClock.sleep(backoffMs(failures, 1), closed.signal);
		}
	}

	async function longPoll(): Promise<void> {
		for (let failures = 0; !closed.signal.aborted;) {
			try {
				failures = await poll(failures);
			} catch (error) {
				failures++;
				report(describePollFailure(error));
				await backOff(failures);
			}
		}
	}

	/** Reads until the position reaches the tail as of the first answer. */
	async function readTail(): Promise<Result<TailConfirmation, LogReaderError>> {
		const readSentAtMs = clock.nowMs();
		let tailOffset: number | undefined;
		let emptyReads = 0;
		while (!closed.signal.aborted) {
			const fromOffset = position;
			const sentAtMs = clock.nowMs();
			const result = await readPage(fromOffset, 0);
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

			emptyReads = position === fromOffset ? emptyReads + 1 : 0;
			if (emptyReads === maxEmptyTailReads) {
				return err({kind: 'log-protocol', message: `the log names the tail ${tailOffset} and gives no records from offset ${position}`, remedy: 'check the log service'});
			}
		}

		return err({kind: 'log-reader-closed', message: 'the log reader was closed', remedy: 'ask another entry'});
	}

	async function tryToReadTail(): Promise<Result<TailConfirmation, LogReaderError>> {
		try {
			return await readTail();
		} catch (error) {
			return err(describePollFailure(error));
		}
	}

	async function confirm(): Promise<void> {
		// Calls in the same turn of the event loop share the read.
		await Promise.resolve();
		while (waiters.length > 0) {
			const sharing = waiters;
			waiters = [];
			const result = await tryToReadTail();
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
