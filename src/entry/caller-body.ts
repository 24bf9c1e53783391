import {type Buffer} from 'node:buffer';
import {Readable} from 'node:stream';

/** A caller's body that is streamed, and kept from its first byte while it is small, so that it can be sent again. */
export type CallerBody = Readonly<{
	/** Opens the body from its first byte; `undefined` when a part of it is no longer kept. One reader at a time. */
	open: () => Readable | undefined;
	canResend: () => boolean;
	/** Bytes that the caller sent so far. */
	receivedBytes: () => number;
}>;

/** The caller sent more than the limit. */
export class BodyTooLargeError extends Error {
	override name = 'BodyTooLargeError';
}

/**
Makes a body that reads its source only as fast as it is read, and fails with {@link BodyTooLargeError} beyond `limitBytes`.

@example
createCallerBody(request, {keepBytes: 65_536, limitBytes: 1_048_576}).open()?.pipe(process.stdout);
*/
export function createCallerBody(source: Readable, limits: Readonly<{keepBytes: number; limitBytes: number}>): CallerBody {
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

	const canResend = () => receivedBytes <= Math.min(limits.keepBytes, limits.limitBytes);

	async function * read(): AsyncGenerator<Buffer, void, undefined> {
		for (let index = 0; ; index++) {
			while (index === chunks.length && !hasEnded) {
				// A reader that was cancelled may still wait for this chunk; its successor waits for the same one.
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
Makes a body of bytes that were read already.

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
