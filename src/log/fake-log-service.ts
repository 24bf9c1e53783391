import {err, ok} from 'true-myth/result';
import {type Clock} from './clock.js';
import {type LogErrorKind, type LogService, type StreamValue} from './log-service.js';

/**
Fault of a call. `lost-answer` writes and then fails. `late` fails, and its values are written after those of the next append that
succeeds. The others fail and write nothing.
*/
export type Fault = 'none' | 'unavailable' | 'rate-limited' | 'lost-answer' | 'late';

export type FakeLog = Readonly<{
	service: LogService;
	/** Faults of the next appends and reads, in order; calls beyond them succeed. A read fails as `unavailable` whatever its fault. */
	appendFaults: Fault[];
	readFaults: Fault[];
	/** Returns all values ever written to a stream, also those that are no longer retained. */
	values: (stream: string) => readonly StreamValue[];
	/** Every attempted append, with its time. */
	appends: ReadonlyArray<Readonly<{atMs: number; values: readonly string[]}>>;
	reads: ReadonlyArray<Readonly<{atMs: number; fromOffset: number; waitMs: number}>>;
	/** Stops retaining the values before an offset. */
	retainFrom: (firstRetainedOffset: number) => void;
}>;

const kindByFault: Readonly<Record<Exclude<Fault, 'none'>, LogErrorKind>> = {
	unavailable: 'log-unavailable',
	'rate-limited': 'log-rate-limited',
	'lost-answer': 'log-maybe-applied',
	late: 'log-maybe-applied',
};

const failure = (fault: Exclude<Fault, 'none'>) => err({kind: kindByFault[fault], message: `fault ${fault}`, remedy: ''});

/**
Creates an in-memory log service for tests, with faults on demand.

@example
const log = createFakeLogService(clock);
log.appendFaults.push('lost-answer');
*/
export function createFakeLogService(clock: Clock): FakeLog {
	const streams = new Map<string, string[]>();
	const appendFaults: Fault[] = [];
	const readFaults: Fault[] = [];
	const appends: Array<Readonly<{atMs: number; values: readonly string[]}>> = [];
	const reads: Array<Readonly<{atMs: number; fromOffset: number; waitMs: number}>> = [];
	let lateWrites: Array<() => void> = [];
	let firstRetainedOffset = 0;
	let wakeReaders = new AbortController();

	const streamOf = (name: string): string[] => {
		const stream = streams.get(name) ?? [];
		streams.set(name, stream);
		return stream;
	};

	const write = (name: string, values: readonly string[]): number => {
		const firstOffset = streamOf(name).push(...values) - values.length;
		wakeReaders.abort();
		wakeReaders = new AbortController();
		return firstOffset;
	};

	const service: LogService = {
		limits: {recordBytes: Number.POSITIVE_INFINITY, appendBytes: Number.POSITIVE_INFINITY},
		async append(stream, values) {
			appends.push({atMs: clock.nowMs(), values});
			const fault = appendFaults.shift() ?? 'none';
			if (fault === 'late') {
				lateWrites.push(() => {
					write(stream, values);
				});
			}

			if (fault !== 'none' && fault !== 'lost-answer') {
				return failure(fault);
			}

			const firstOffset = write(stream, values);
			if (fault === 'lost-answer') {
				return failure(fault);
			}

			for (const writeLate of lateWrites) {
				writeLate();
			}

			lateWrites = [];
			return ok(firstOffset);
		},
		async read(stream, fromOffset, {limit, waitMs}) {
			reads.push({atMs: clock.nowMs(), fromOffset, waitMs});
			const fault = readFaults.shift() ?? 'none';
			if (fault !== 'none') {
				return failure('unavailable');
			}

			if (waitMs > 0 && streamOf(stream).length <= fromOffset) {
				await clock.sleep(waitMs, wakeReaders.signal);
			}

			const start = Math.max(fromOffset, firstRetainedOffset);
			const values = streamOf(stream).slice(start, start + limit).map((value, index) => ({offset: start + index, value}));
			return ok({
				values, nextOffset: start + values.length, tailOffset: streamOf(stream).length, firstRetainedOffset,
			});
		},
		async bounds(stream) {
			return ok({firstRetainedOffset, tailOffset: streamOf(stream).length});
		},
	};

	return {
		service,
		appendFaults,
		readFaults,
		appends,
		reads,
		values: stream => streamOf(stream).map((value, offset) => ({offset, value})),
		retainFrom(offset) {
			firstRetainedOffset = offset;
		},
	};
}
