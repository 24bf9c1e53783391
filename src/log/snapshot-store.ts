import {Buffer} from 'node:buffer';
import {promisify} from 'node:util';
import {deflate, inflate} from 'node:zlib';
import {err, ok, type Result} from 'true-myth/result';
import {z} from 'zod';
import {type TypedError} from '../errors/typed-error.js';
import {type LogError, type LogService} from './log-service.js';

const deflateAsync = promisify(deflate);
const inflateAsync = promisify(inflate);

/** Characters of one chunk's data. */
const CHUNK_CHARACTERS = 131_072;

/** Chunks of one snapshot; together they stay below 9 MB in one append. */
const MAX_CHUNKS = 64;

/** Size of a snapshot before compression up to which it is loaded. */
const MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024;

/** Values read at once while a snapshot is looked for. */
const READ_LIMIT = 32;

const chunkSchema = z.strictObject({
	snapshotId: z.string(),
	coversOffset: z.int(),
	index: z.int().min(0),
	count: z.int().positive().max(MAX_CHUNKS),
	data: z.string(),
});

type Chunk = z.infer<typeof chunkSchema>;

export type SnapshotError = LogError | TypedError<'snapshot-too-large'>;

/** A JSON-able value with the offset of the last record that it covers. */
export type Snapshot = Readonly<{coversOffset: number; value: unknown}>;

export type SnapshotStore = Readonly<{
	/** Appends a snapshot as one atomic batch. `snapshotId` must be new; an append whose answer was lost may be repeated. */
	write: (snapshot: Snapshot & Readonly<{snapshotId: string}>) => Promise<Result<void, SnapshotError>>;
	/** Loads the whole snapshot near the stream's tail that covers the most, or `undefined` when there is none. */
	loadNewest: () => Promise<Result<Snapshot | undefined, LogError>>;
}>;

function parseChunk(value: string): Chunk | undefined {
	try {
		return chunkSchema.parse(JSON.parse(value));
	} catch {
		return undefined;
	}
}

/** Restores a snapshot from its chunks; `undefined` when one is missing or damaged. */
async function restore(chunks: ReadonlyMap<number, Chunk>): Promise<Snapshot | undefined> {
	const [first] = chunks.values();
	if (chunks.size !== first?.count) {
		return undefined;
	}

	const data = [...chunks.values()].toSorted((a, b) => a.index - b.index).map(chunk => chunk.data).join('');
	try {
		const text = await inflateAsync(Buffer.from(data, 'base64'), {maxOutputLength: MAX_SNAPSHOT_BYTES});
		return {coversOffset: first.coversOffset, value: JSON.parse(text.toString())};
	} catch {
		return undefined;
	}
}

/**
Creates the store of snapshots on a stream of their own. Both a write and a load are bounded: a snapshot has at most 64 chunks,
and a load reads as many values as two such snapshots from the end of the stream.

@example
const store = createSnapshotStore({service, stream: 'arbutushinge-snapshots'});
await store.write({snapshotId: 's1', coversOffset: state.offset, value: encodeClusterState(state)});
const newest = await store.loadNewest(); // => Ok({coversOffset, value})
*/
export function createSnapshotStore({service, stream}: Readonly<{service: LogService; stream: string}>): SnapshotStore {
	return {
		async write({snapshotId, coversOffset, value}) {
			const compressed = await deflateAsync(JSON.stringify(value));
			const data = compressed.toString('base64');
			const count = Math.ceil(data.length / CHUNK_CHARACTERS);
			if (count > MAX_CHUNKS) {
				return err({
					kind: 'snapshot-too-large',
					message: `the snapshot of offset ${coversOffset} has ${data.length} characters; ${MAX_CHUNKS * CHUNK_CHARACTERS} fit`,
					remedy: 'raise the number of chunks, or reduce queued work and task payloads',
				});
			}

			const values = Array.from({length: count}, (_, index) => JSON.stringify({
				snapshotId, coversOffset, index, count, data: data.slice(index * CHUNK_CHARACTERS, (index + 1) * CHUNK_CHARACTERS),
			} satisfies Chunk));
			const appended = await service.append(stream, values);
			return appended.isOk ? ok(undefined) : err(appended.error);
		},
		async loadNewest() {
			const bounds = await service.bounds(stream);
			if (bounds.isErr) {
				return err(bounds.error);
			}

			const {firstRetainedOffset, tailOffset} = bounds.value;
			const chunksById = new Map<string, Map<number, Chunk>>();
			let offset = Math.max(firstRetainedOffset, tailOffset - (2 * MAX_CHUNKS));
			while (offset < tailOffset) {
				const page = await service.read(stream, offset, {limit: READ_LIMIT, waitMs: 0});
				if (page.isErr) {
					return err(page.error);
				}

				for (const {value} of page.value.values) {
					const chunk = parseChunk(value);
					if (chunk) {
						const chunks = chunksById.get(chunk.snapshotId) ?? new Map<number, Chunk>();
						chunksById.set(chunk.snapshotId, chunks.set(chunk.index, chunk));
					}
				}

				if (page.value.nextOffset <= offset) {
					break;
				}

				offset = page.value.nextOffset;
			}

			const candidates = [...chunksById.values()].toSorted((a, b) =>
				(b.values().next().value?.coversOffset ?? -1) - (a.values().next().value?.coversOffset ?? -1));
			for (const chunks of candidates) {
				const snapshot = await restore(chunks);
				if (snapshot) {
					return ok(snapshot);
				}
			}

			return ok(undefined);
		},
	};
}
