import {type Result} from 'true-myth/result';
import {type TypedError} from '../errors/typed-error.js';

/** `maybe-applied` means that the answer was lost: the write may have taken effect. */
export type LogErrorKind = 'log-unavailable' | 'log-rate-limited' | 'log-maybe-applied' | 'log-protocol';

export type LogError = TypedError<LogErrorKind>;

/** One value with its offset in a stream. */
export type StreamValue = Readonly<{offset: number; value: string}>;

/** Result of a read; it reached the tail when `nextOffset` equals `tailOffset`. */
export type StreamPage = Readonly<{
	values: readonly StreamValue[];
	/** Offset from which to continue. */
	nextOffset: number;
	/** The offset that the next append gets, as of this answer. */
	tailOffset: number;
	firstRetainedOffset: number;
}>;

/** Largest sizes that a log service takes, in bytes of UTF-8. */
export type LogLimits = Readonly<{
	/** Of one value. */
	recordBytes: number;
	/** Of all values of one append, each with {@link recordOverheadBytes}; at least that of one value. */
	appendBytes: number;
}>;

/** Counted for each value of an append in addition to its text, such as for a length or a separator. */
export const recordOverheadBytes = 16;

/** The platform's append-only log service. Every call resolves; failures are values. */
export type LogService = Readonly<{
	limits: LogLimits;
	/** Appends all values or none; returns the offset of the first. */
	append: (stream: string, values: readonly string[]) => Promise<Result<number, LogError>>;
	/** Reads from `fromOffset`; waits up to `waitMs` for a first value when there is none. */
	read: (stream: string, fromOffset: number, options: Readonly<{limit: number; waitMs: number}>) => Promise<Result<StreamPage, LogError>>;
	/** Returns the bounds of a stream. */
	bounds: (stream: string) => Promise<Result<Readonly<{firstRetainedOffset: number; tailOffset: number}>, LogError>>;
}>;
