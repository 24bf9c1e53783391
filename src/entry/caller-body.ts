import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {type IntakePart} from '../intake/intake.js';

/** A caller's body that is streamed. It is retained from its first byte while it is small, so that it can be sent again. */
export type CallerBody = Readonly<{
	/** Opens the body at its first byte; returns undefined when a part of it is no longer retained. Only one reader at a time. */
	open: () => Readable | undefined;
	canResend: () => boolean;
	/** Returns the number of bytes received so far. */
	receivedBytes: () => number;
}>;

/** The caller's body exceeds the limit. */
export class BodyTooLargeError extends Error {
	override name = 'BodyTooLargeError';
}

/** First buffer of a retained body; one page of memory. */
const firstBufferBytes = 4096;

/**
Creates a body that reads its source on demand and fails with {@link BodyTooLargeError} beyond `limitBytes`. What is retained is one buffer
that counts among the process's open bodies; a body that has to make room for others there is streamed without being retained.

@example
createCallerBody(request, {retainBytes: 65_536, limitBytes: 1_048_576, bodies: intake.bodies('callers')}).open()?.pipe(process.stdout);
*/
export function createCallerBody(source: Readable, {retainBytes, limitBytes, bodies}: Readonly<{retainBytes: number; limitBytes: number; bodies: IntakePart}>): CallerBody {
	const iterator = source.iterator({destroyOnReturn: false});
	let retained = Buffer.alloc(0);
	let retainedBytes = 0;
	let isRetained = true;
	/** The newest chunk of a body that is not retained, until the reader takes it. */
	let passingChunk: Buffer | undefined;
	let receivedBytes = 0;
	let hasEnded = false;
	let nextChunk: Promise<void> | undefined;
	const member = {
		shed() {
			isRetained = false;
		},
	};

	/** Appends to the retained bytes; returns false when they have no room. */
	function retain(chunk: Buffer): boolean {
		const neededBytes = retainedBytes + chunk.length;
		if (neededBytes > retained.length) {
			const bytes = Math.min(retainBytes, Math.max(neededBytes, 2 * retained.length, firstBufferBytes));
			if (neededBytes > retainBytes || !bodies.claim(member, bytes)) {
				return false;
			}

			const larger = Buffer.allocUnsafeSlow(bytes);
			retained.copy(larger, 0, 0, retainedBytes);
			retained = larger;
		}

		chunk.copy(retained, retainedBytes);
		retainedBytes = neededBytes;
		return true;
	}

	async function receive(): Promise<void> {
		const result: IteratorResult<Buffer, unknown> = await iterator.next();
		nextChunk = undefined;
		if (result.done) {
			hasEnded = true;
			// What waits for its answer is not shed.
			bodies.complete(member);
			return;
		}

		receivedBytes += result.value.length;
		if (receivedBytes > limitBytes) {
			throw new BodyTooLargeError(`the body exceeds ${limitBytes} bytes`);
		}

		isRetained &&= retain(result.value);
		if (!isRetained) {
			passingChunk = result.value;
			bodies.release(member);
		}
	}

	const canRead = (position: number): boolean => position < retainedBytes || passingChunk !== undefined;

	async function * read(): AsyncGenerator<Buffer, void, undefined> {
		let position = 0;
		for (;;) {
			while (!canRead(position) && !hasEnded) {
				// A cancelled reader may still wait for this chunk; the next reader then shares its promise.
				nextChunk ??= receive();
				await nextChunk;
			}

			if (position < retainedBytes) {
				const chunk = retained.subarray(position, retainedBytes);
				position = retainedBytes;
				yield chunk;
			} else if (passingChunk === undefined) {
				return;
			} else {
				const chunk = passingChunk;
				passingChunk = undefined;
				retained = Buffer.alloc(0);
				yield chunk;
			}
		}
	}

	const canResend = () => isRetained && receivedBytes <= limitBytes;
	source.once('close', () => {
		bodies.release(member);
	});
	return {
		open: () => canResend() ? Readable.from(read(), {objectMode: false}) : undefined,
		canResend,
		receivedBytes: () => receivedBytes,
	};
}

/**
Creates a body from bytes in memory.

@example
bufferedCallerBody(Buffer.from('{}')).canResend(); // => true
*/
export function bufferedCallerBody(bytes: Buffer): CallerBody {
	return {
		open: () => Readable.from([bytes], {objectMode: false}),
		canResend: () => true,
		receivedBytes: () => bytes.length,
	};
}
