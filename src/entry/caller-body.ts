import {type Buffer} from 'node:buffer';
import {Readable} from 'node:stream';

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

/**
Creates a body that reads its source on demand and fails with {@link BodyTooLargeError} beyond `limitBytes`.

@example
createCallerBody(request, {retainBytes: 65_536, limitBytes: 1_048_576}).open()?.pipe(process.stdout);
*/
export function createCallerBody(source: Readable, limits: Readonly<{retainBytes: number; limitBytes: number}>): CallerBody {
	const chunks: Array<Buffer | undefined> = [];
	const iterator = source.iterator({destroyOnReturn: false});
	let receivedBytes = 0;
	let hasEnded = false;
	let nextChunk: Promise<void> | undefined;

	async function receive(): Promise<void> {
		const result: IteratorResult<Buffer, unknown> = await iterator.next();
		nextChunk = undefined;
		if (result.done) {
			hasEnded = true;
			return;
		}

		receivedBytes += result.value.length;
		if (receivedBytes > limits.limitBytes) {
			throw new BodyTooLargeError(`the body exceeds ${limits.limitBytes} bytes`);
		}

		chunks.push(result.value);
	}

	const canResend = () => receivedBytes <= Math.min(limits.retainBytes, limits.limitBytes);

	async function * read(): AsyncGenerator<Buffer, void, undefined> {
		for (let index = 0; ; index++) {
			while (index === chunks.length && !hasEnded) {
				// A cancelled reader may still wait for this chunk; the next reader then shares its promise.
				nextChunk ??= receive();
				await nextChunk;
			}

			const chunk = chunks[index];
			if (chunk === undefined) {
				return;
			}

			if (!canResend()) {
				chunks.fill(undefined, 0, index + 1);
			}

			yield chunk;
		}
	}

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
