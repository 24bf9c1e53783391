import {Buffer} from 'node:buffer';
import PQueue from 'p-queue';
import {err, ok, type Result} from 'true-myth/result';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type TypedError} from '../errors/typed-error.js';
import {describeThrown} from '../validation/describe-thrown.js';
import {backoffMs} from './backoff.js';
import {systemClock, type Clock} from './clock.js';
import {encodeLogValue} from './log-value.js';
import {recordOverheadBytes, type LogError, type LogService} from './log-service.js';

export type LogWriterError = TypedError<'log-writer-full' | 'log-writer-closed' | 'log-record-too-large'>;

/** Result of one append attempt; `failures` counts the failed attempts of the batch so far. */
export type LogWriterStatus
	= | Readonly<{kind: 'appended'; firstOffset: number; records: number; failures: number; durationMs: number}>
		| Readonly<{kind: 'failed'; error: LogError; failures: number; pendingCount: number}>;

/** A record with its encoded form. */
type PendingRecord = Readonly<{record: ClusterRecord; value: string; bytes: number}>;

export type LogWriterOptions = Readonly<{
	service: LogService;
	stream: string;
	writer: string;
	incarnation: string;
	/** Shortest time between the starts of two appends, in milliseconds. */
	appendIntervalMs: number;
	maxBatchRecords: number;
	/** Largest encoded record, in bytes; that of the service by default. */
	maxRecordBytes?: number;
	/** Largest batch, in bytes, with the overhead of each record; that of the service by default. A batch has at least one record. */
	maxBatchBytes?: number;
	/** Most pending records, including those in flight. */
	maxPendingRecords?: number;
	/** How long `close` continues to append, in milliseconds. */
	closeTimeoutMs?: number;
	onStatus?: (status: LogWriterStatus) => void;
	clock?: Clock;
	/** Random numbers in [0, 1) for the backoff. */
	random?: () => number;
}>;

export type LogWriter = Readonly<{
	/** Queues a record and returns its sequence. Throws for a record that cannot be encoded. A record that the log does not take (`log-record-too-large`) is not queued and has no sequence. */
	append: (record: ClusterRecord) => Result<number, LogWriterError>;
	/** Number of records whose append is not confirmed, including those in flight. */
	pendingCount: () => number;
	/** Removes records that were never sent, and returns how many. */
	drop: (predicate: (record: ClusterRecord) => boolean) => number;
	/** Accepts no more records and resolves when the pending ones are in the log, or after `closeTimeoutMs`. */
	close: () => Promise<void>;
}>;

/**
Creates a writer that appends one process's records in order. Records that arrive while a batch is in flight form the next batch.
After any error the same batch is sent again unchanged, since it may have taken effect; readers apply each sequence once.

@example
const writer = createLogWriter({service, stream: 'arbutushinge', writer: 'entry-1', incarnation, appendIntervalMs: 20, maxBatchRecords: 500});
writer.append({kind: 'entry-alive', appliedOffset: 0}); // => Ok(1)
await writer.close();
*/
export function createLogWriter(options: LogWriterOptions): LogWriter {
	const {
		service, stream, writer, incarnation, appendIntervalMs, maxBatchRecords, maxPendingRecords = 50_000, closeTimeoutMs = 5000,
		maxRecordBytes = service.limits.recordBytes, maxBatchBytes = service.limits.appendBytes,
		onStatus = () => undefined, clock = systemClock, random = Math.random,
	} = options;
	const queue = new PQueue({concurrency: 1});
	const closeTimedOut = new AbortController();
	let waiting: PendingRecord[] = [];
	let inFlightCount = 0;
	let nextSequence = 1;
	let isFlushQueued = false;
	let isClosed = false;
	let nextAppendMs = Number.NEGATIVE_INFINITY;

	const pendingCount = () => waiting.length + inFlightCount;

	/** An append that throws may have taken effect, so that its batch is sent again like one without an answer. */
	async function tryToAppend(values: readonly string[]): Promise<Result<number, LogError>> {
		try {
			return await service.append(stream, values);
		} catch (error) {
			return err({kind: 'log-maybe-applied', message: `an append failed: ${describeThrown(error).reason}`, remedy: 'the same records are sent again'});
		}
	}

	async function appendBatch(values: readonly string[]): Promise<void> {
		for (let failures = 0; !closeTimedOut.signal.aborted;) {
			const startMs = clock.nowMs();
			nextAppendMs = startMs + appendIntervalMs;
			const result = await tryToAppend(values);
			if (result.isOk) {
				onStatus({
					kind: 'appended', firstOffset: result.value, records: values.length, failures, durationMs: clock.nowMs() - startMs,
				});
				return;
			}

			failures++;
			onStatus({
				kind: 'failed', error: result.error, failures, pendingCount: pendingCount(),
			});
			await clock.sleep(Math.max(backoffMs(failures, random()), nextAppendMs - clock.nowMs()), closeTimedOut.signal);
		}
	}

	/** Returns how many of the waiting records the next batch takes. */
	function countForBatch(): number {
		let batchBytes = 0;
		const end = waiting.slice(0, maxBatchRecords).findIndex(({bytes}, index) => {
			batchBytes += bytes + recordOverheadBytes;
			return index > 0 && batchBytes > maxBatchBytes;
		});
		return end === -1 ? maxBatchRecords : end;
	}

	async function flush(): Promise<void> {
		const waitMs = nextAppendMs - clock.nowMs();
		if (waitMs > 0) {
			await clock.sleep(waitMs, closeTimedOut.signal);
		}

		isFlushQueued = false;
		const batch = waiting.slice(0, countForBatch());
		waiting = waiting.slice(batch.length);
		if (batch.length > 0 && !closeTimedOut.signal.aborted) {
			inFlightCount = batch.length;
			await appendBatch(batch.map(({value}) => value));
			inFlightCount = 0;
			queueFlush();
		}
	}

	function queueFlush(): void {
		if (!isFlushQueued && waiting.length > 0 && !closeTimedOut.signal.aborted) {
			isFlushQueued = true;
			void queue.add(flush);
		}
	}

	return {
		append(record) {
			if (isClosed) {
				return err({kind: 'log-writer-closed', message: 'the log writer is closed', remedy: 'start a process with a new incarnation'});
			}

			if (pendingCount() >= maxPendingRecords) {
				return err({
					kind: 'log-writer-full',
					message: `${pendingCount()} records wait for the log service`,
					remedy: 'refuse new work until the log service takes appends again',
				});
			}

			const sequence = nextSequence;
			// A record that cannot be encoded is its caller's to report; it must not take a batch with it.
			const value = encodeLogValue({
				writer, incarnation, sequence, record,
			});
			const bytes = Buffer.byteLength(value);
			if (bytes > maxRecordBytes) {
				return err({
					kind: 'log-record-too-large',
					message: `a record ${record.kind} has ${bytes} bytes; the log takes ${maxRecordBytes}`,
					remedy: 'split what it records into smaller parts',
				});
			}

			nextSequence++;
			waiting.push({record, value, bytes});
			queueFlush();
			return ok(sequence);
		},
		pendingCount,
		drop(predicate) {
			const retained = waiting.filter(({record}) => !predicate(record));
			const dropped = waiting.length - retained.length;
			waiting = retained;
			return dropped;
		},
		async close() {
			isClosed = true;
			const closeTimer = new AbortController();
			void (async () => {
				await clock.sleep(closeTimeoutMs, closeTimer.signal);
				closeTimedOut.abort();
			})();

			await queue.onIdle();
			closeTimer.abort();
		},
	};
}
