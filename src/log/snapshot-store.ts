import {Buffer} from 'node:buffer';
import {promisify} from 'node:util';
import {deflate, inflate} from 'node:zlib';
import {err, ok, type Result} from 'true-myth/result';
import {z} from 'zod';
import {type TypedError} from '../errors/typed-error.js';
import {describeThrown} from '../validation/describe-thrown.js';
import {type LogError, type LogService, type StreamValue} from './log-service.js';

const deflateAsync = promisify(deflate);
const inflateAsync = promisify(inflate);

/** Most characters of one chunk's data. */
const CHUNK_CHARACTERS = 131_072;

/** Most chunks of one snapshot, so that its append stays below 9 MB. */
const MAX_CHUNKS = 64;

/** Largest uncompressed snapshot that is loaded. */
const MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024;

/** Number of newest snapshots that a load compares. The newest may not cover the most records, since two entries may write at the same time. */
const MAX_COMPARED_SNAPSHOTS = 3;

/** Most characters of a snapshot's ID. */
const MAX_ID_CHARACTERS = 128;

const chunkSchema = z.strictObject({
	snapshotId: z.string().max(MAX_ID_CHARACTERS),
	coversOffset: z.int().min(-1),
	index: z.int().min(0),
	count: z.int().positive().max(MAX_CHUNKS),
	data: z.string().max(CHUNK_CHARACTERS),
});

type Chunk = z.infer<typeof chunkSchema>;

export type SnapshotError = LogError | TypedError<'snapshot-too-large'>;

/** A JSON-able value with the offset of the last record that it covers. */
export type Snapshot = Readonly<{coversOffset: number; value: unknown}>;

/** Returns what a caller makes of a snapshot, or a short reason for which it cannot use it. */
export type UseSnapshot<Value> = (snapshot: Snapshot) => Result<Value, string> | Promise<Result<Value, string>>;

export type SnapshotStore = Readonly<{
	/** Appends a snapshot as one atomic batch. `snapshotId` must be new; an append whose answer was lost may be repeated. */
	write: (snapshot: Snapshot & Readonly<{snapshotId: string}>) => Promise<Result<void, SnapshotError>>;
	/** Loads the snapshot near the stream's tail that is complete and covers the most records; `undefined` when there is none. */
	loadNewest: () => Promise<Result<Snapshot | undefined, LogError>>;
	/**
	Loads snapshots like `loadNewest` until one can be used, and returns what `use` made of it; `undefined` when there is none. `onPassedOver` is
	called with each snapshot that cannot be used, and with the reason.
	*/
	loadNewestUsable: <Value>(options: Readonly<{
		use: UseSnapshot<Value>;
		onPassedOver: (snapshot: PassedOverSnapshot) => void;
	}>) => Promise<Result<Value | undefined, LogError>>;
}>;

/** A snapshot that cannot be used; `reason` is short. */
export type PassedOverSnapshot = Readonly<{coversOffset: number; reason: string}>;

function parseChunk(value: string): Chunk | undefined {
	try {
		return chunkSchema.parse(JSON.parse(value));
	} catch {
		return undefined;
	}
}

/** Returns the snapshot in the given chunks, or the reason for which it cannot be restored. */
async function restore(chunks: readonly Chunk[]): Promise<Result<Snapshot, string>> {
	try {
		const text = await inflateAsync(Buffer.from(chunks.map(({data}) => data).join(''), 'base64'), {maxOutputLength: MAX_SNAPSHOT_BYTES});
		const value: unknown = JSON.parse(text.toString());
		return ok({coversOffset: chunks[0]!.coversOffset, value});
	} catch (error) {
		return err(describeThrown(error).reason);
	}
}

/** Returns what a caller makes of a snapshot, or the reason for which it cannot use it. */
async function tryToUse<Value>(use: UseSnapshot<Value>, snapshot: Snapshot): Promise<Result<Value, string>> {
	try {
		return await use(snapshot);
	} catch (error) {
		return err(describeThrown(error).reason);
	}
}

/** Returns the consecutive chunks from an offset on, up to the first gap or value that is not a chunk. */
function chunksFrom(values: readonly StreamValue[], offset: number): readonly Chunk[] {
	const chunks: Chunk[] = [];
	for (const [index, value] of values.entries()) {
		const chunk = value.offset === offset + index ? parseChunk(value.value) : undefined;
		if (!chunk) {
			break;
		}

		chunks.push(chunk);
	}

	return chunks;
}

/** Position of a snapshot in the stream, with its last chunk. */
type SnapshotLocation = Readonly<{firstOffset: number; last: Chunk}>;

/**
Creates a store of snapshots on a stream of their own. Writes and loads are bounded, since entries on slow links load a snapshot when they
start. A snapshot has at most 64 chunks; a load reads one snapshot and the last chunks of two more from the end of the stream, and older ones only
when none of these can be used.

@example
const store = createSnapshotStore({service, stream: 'arbutushinge-snapshots'});
await store.write({snapshotId: 's1', coversOffset: state.offset, value: encodeClusterState(state)});
const newest = await store.loadNewest(); // => Ok({coversOffset, value})
*/
export function createSnapshotStore({service, stream}: Readonly<{service: LogService; stream: string}>): SnapshotStore {
	/** Returns the chunk at an offset, or `undefined` when the value is not a chunk. */
	async function readChunk(offset: number): Promise<Result<Chunk | undefined, LogError>> {
		const page = await service.read(stream, offset, {limit: 1, waitMs: 0});
		return page.map(({values}) => chunksFrom(values.slice(0, 1), offset)[0]);
	}

	/** Locates the next older snapshots backwards from an offset; the last chunk of each determines where it begins. */
	async function locateBefore(beforeOffset: number, oldestOffset: number): Promise<Result<readonly SnapshotLocation[], LogError>> {
		const located: SnapshotLocation[] = [];
		for (let endOffset = beforeOffset; endOffset > oldestOffset && located.length < MAX_COMPARED_SNAPSHOTS;) {
			const last = await readChunk(endOffset - 1);
			if (last.isErr) {
				return err(last.error);
			}

			const chunk = last.value;
			const firstOffset = endOffset - (chunk?.count ?? 1);
			if (chunk?.index === endOffset - firstOffset - 1 && firstOffset >= oldestOffset) {
				located.push({firstOffset, last: chunk});
				endOffset = firstOffset;
			} else {
				endOffset--;
			}
		}

		return ok(located);
	}

	/** Loads a located snapshot; the inner result holds the reason for which it cannot be restored. */
	async function load({firstOffset, last}: SnapshotLocation): Promise<Result<Result<Snapshot, string>, LogError>> {
		const chunks: Chunk[] = [];
		while (chunks.length < last.count - 1) {
			const offset = firstOffset + chunks.length;
			const page = await service.read(stream, offset, {limit: last.count - 1 - chunks.length, waitMs: 0});
			if (page.isErr) {
				return err(page.error);
			}

			const read = chunksFrom(page.value.values, offset).slice(0, last.count - 1 - chunks.length);
			if (read.length === 0 || read.some(({snapshotId}) => snapshotId !== last.snapshotId)) {
				return ok(err(`the chunk at offset ${offset} is missing or of another snapshot`));
			}

			chunks.push(...read);
		}

		return ok(await restore([...chunks, last]));
	}

	async function loadNewestUsable<Value>({use, onPassedOver}: Readonly<{
		use: UseSnapshot<Value>;
		onPassedOver: (snapshot: PassedOverSnapshot) => void;
	}>): Promise<Result<Value | undefined, LogError>> {
		const bounds = await service.bounds(stream);
		if (bounds.isErr) {
			return err(bounds.error);
		}

		const {firstRetainedOffset, tailOffset} = bounds.value;
		if (!Number.isSafeInteger(tailOffset) || !Number.isSafeInteger(firstRetainedOffset)) {
			return err({kind: 'log-protocol', message: `the bounds of the snapshots cannot be true: ${firstRetainedOffset} to ${tailOffset}`, remedy: 'check the log service'});
		}

		const oldestOffset = Math.max(0, firstRetainedOffset, tailOffset - (2 * MAX_CHUNKS));
		for (let beforeOffset = tailOffset; ;) {
			const located = await locateBefore(beforeOffset, oldestOffset);
			if (located.isErr) {
				return err(located.error);
			}

			if (located.value.length === 0) {
				return ok(undefined);
			}

			for (const candidate of located.value.toSorted((left, right) => right.last.coversOffset - left.last.coversOffset)) {
				const loaded = await load(candidate);
				if (loaded.isErr) {
					return err(loaded.error);
				}

				const used = loaded.value.isOk ? await tryToUse(use, loaded.value.value) : err(loaded.value.error);
				if (used.isOk) {
					return ok(used.value);
				}

				onPassedOver({coversOffset: candidate.last.coversOffset, reason: used.error});
			}

			beforeOffset = located.value.at(-1)!.firstOffset;
		}
	}

	return {
		async write({snapshotId, coversOffset, value}) {
			const compressed = await deflateAsync(JSON.stringify(value));
			const data = compressed.toString('base64');
			const count = Math.ceil(data.length / CHUNK_CHARACTERS);
			if (count > MAX_CHUNKS) {
				return err({
					kind: 'snapshot-too-large',
					message: `the snapshot of offset ${coversOffset} has ${data.length} characters; the limit is ${MAX_CHUNKS * CHUNK_CHARACTERS}`,
					remedy: 'raise the number of chunks, or reduce queued work and task payloads',
				});
			}

			const values = Array.from({length: count}, (_, index) => JSON.stringify({
				snapshotId, coversOffset, index, count, data: data.slice(index * CHUNK_CHARACTERS, (index + 1) * CHUNK_CHARACTERS),
			} satisfies Chunk));
			const appended = await service.append(stream, values);
			return appended.isOk ? ok(undefined) : err(appended.error);
		},
		loadNewest: async () => loadNewestUsable({use: snapshot => ok(snapshot), onPassedOver: () => undefined}),
		loadNewestUsable,
	};
}
