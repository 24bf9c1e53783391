/** Limits of the records that a stream retains; the oldest are dropped first. */
export type Retention = Readonly<{maxRecords: number; maxAgeMs: number}>;

/** A value and its offset in the stream. */
export type StreamRecord = Readonly<{offset: number; value: string}>;

type RetainedRecord = Readonly<{value: string; appendedAtMs: number}>;

/** One stream of the log service in memory, with offsets from 0 and limited retention. */
export class LogStream {
	/** Retained records; the one at index 0 has the offset `first`. */
	private records: RetainedRecord[] = [];
	private first = 0;
	private readonly waiters = new Set<() => void>();

	private readonly retention: Retention;
	private readonly nowMs: () => number;

	public constructor(retention: Retention, nowMs: () => number) {
		this.retention = retention;
		this.nowMs = nowMs;
	}

	public get firstRetainedOffset(): number {
		this.trim();
		return this.first;
	}

	/** Offset of the next value to be appended. */
	public get tailOffset(): number {
		return this.first + this.records.length;
	}

	/** Appends the values and returns the offset of the first one. */
	public append(values: readonly string[]): number {
		const firstOffset = this.tailOffset;
		const appendedAtMs = this.nowMs();
		for (const value of values) {
			this.records.push({value, appendedAtMs});
		}

		this.wakeWaiters();
		return firstOffset;
	}

	/** Returns up to `limit` records from `fromOffset` on; records that are no longer retained are skipped. */
	public read(fromOffset: number, limit: number): readonly StreamRecord[] {
		this.trim();
		const start = Math.max(fromOffset, this.first);
		return this.records
			.slice(start - this.first, start - this.first + limit)
			.map((record, index) => ({offset: start + index, value: record.value}));
	}

	/** Resolves at the next append, when `wakeWaiters` is called, after `waitMs` or when `signal` aborts. */
	public async waitForAppend(waitMs: number, signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = (): void => {
				clearTimeout(timer);
				this.waiters.delete(wake);
				signal.removeEventListener('abort', wake);
				resolve();
			};

			const timer = setTimeout(wake, waitMs);
			this.waiters.add(wake);
			signal.addEventListener('abort', wake);
		});
	}

	public wakeWaiters(): void {
		for (const wake of this.waiters) {
			wake();
		}
	}

	private trim(): void {
		const oldestMs = this.nowMs() - this.retention.maxAgeMs;
		let dropped = Math.max(0, this.records.length - this.retention.maxRecords);
		while (dropped < this.records.length && this.records[dropped]!.appendedAtMs < oldestMs) {
			dropped++;
		}

		if (dropped > 0) {
			this.records = this.records.slice(dropped);
			this.first += dropped;
		}
	}
}
