import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {err, ok, type Result} from 'true-myth/result';
import type {Intake, RefusalReason} from './intake.js';
import {smallBodyBytes} from './intake-limits.js';
import type {IntakeGroup} from './intake-shares.js';

/** Why a body was not read, with the HTTP status of the answer. Nothing has been done with it. */
export type BodyRefusal = Readonly<{status: 400 | 408 | 413 | 503; reason: RefusalReason; message: string}>;

/** Limits of a body: its size, and the time within which all of it has to arrive. */
export type BodyLimits = Readonly<{maxBytes: number; timeoutMs: number}>;

const refusals = {
	tooLarge: {status: 413, reason: 'body-too-large', message: 'the body is too large'},
	tooSlow: {status: 408, reason: 'body-too-slow', message: 'the body did not arrive in time'},
	cut: {status: 400, reason: 'body-cut', message: 'the body is broken off'},
	full: {status: 503, reason: 'bodies-full', message: 'too many bodies are being received'},
} as const satisfies Readonly<Record<string, BodyRefusal>>;

/** Chunks after which a body counts as finely chunked if their mean is below the second bound. */
const minFineChunks = 512;
const maxMeanFineChunkBytes = 256;

/** First buffer of a body without a length; one page of memory. */
const firstBufferBytes = 4096;

/**
Reads a whole body into one buffer, whose memory counts in the account of the process. A refused body is read no further; the server that
answers it has to close the connection with `closeAfterAnswer`.

@returns a refusal when the body is too large (413), too slow (408) or broken off (400), or has to make room for others (503).
@example
const body = await readBody(request, {intake, group: 'callers', maxBytes: 262_144, timeoutMs: 3000});
*/
export async function readBody(request: IncomingMessage, {intake, group, maxBytes, timeoutMs, heldUntil}: BodyLimits & Readonly<{
	intake: Intake;
	group: IntakeGroup;
	/** A body larger than the small ones counts until this response is sent, since what was decoded from it is held as long. */
	heldUntil?: ServerResponse;
}>): Promise<Result<Buffer, BodyRefusal>> {
	const bodies = intake.bodies(group);
	const finelyChunkedBodies = intake.finelyChunkedBodies(group);
	const declaredBytes = Number(request.headers['content-length'] ?? 0);
	return new Promise(resolve => {
		let buffer = Buffer.alloc(0);
		let size = 0;
		let chunks = 0;
		let isFinished = false;
		const member = {
			shed() {
				refuse(refusals.full);
			},
		};

		function finish(result: Result<Buffer, BodyRefusal>): void {
			isFinished = true;
			finelyChunkedBodies.release(member);
			clearTimeout(timer);
			request.off('data', onData);
			request.off('end', onEnd);
			buffer = Buffer.alloc(0);
			resolve(result);
		}

		function refuse(refusal: BodyRefusal): void {
			if (isFinished) {
				return;
			}

			bodies.release(member);
			// A body that is full is recorded by the account.
			if (refusal.reason !== refusals.full.reason) {
				intake.recordRefusal(group, refusal.reason);
			}

			request.pause();
			finish(err(refusal));
		}

		/** Counts a chunk; returns false when the body was refused for too many small ones. */
		function countChunk(): boolean {
			chunks++;
			if (chunks === minFineChunks && size < chunks * maxMeanFineChunkBytes && !finelyChunkedBodies.claim(member, 1)) {
				refuse(refusals.full);
				return false;
			}

			return true;
		}

		/** Replaces the buffer by one with at least this size; returns false when the body was refused instead. */
		function grow(neededBytes: number): boolean {
			const bytes = Math.min(maxBytes, Math.max(neededBytes, 2 * buffer.length, declaredBytes, firstBufferBytes));
			if (!bodies.claim(member, bytes)) {
				refuse(refusals.full);
				return false;
			}

			const larger = Buffer.allocUnsafeSlow(bytes);
			buffer.copy(larger, 0, 0, size);
			buffer = larger;
			return true;
		}

		function onData(chunk: Buffer): void {
			const neededBytes = size + chunk.length;
			if (neededBytes > maxBytes) {
				refuse(refusals.tooLarge);
				return;
			}

			if (countChunk() && (neededBytes <= buffer.length || grow(neededBytes))) {
				chunk.copy(buffer, size);
				size = neededBytes;
			}
		}

		function onEnd(): void {
			if (heldUntil && !heldUntil.closed && buffer.length > smallBodyBytes) {
				bodies.complete(member);
				heldUntil.once('close', () => {
					bodies.release(member);
				});
			} else {
				bodies.release(member);
			}

			finish(ok(buffer.subarray(0, size)));
		}

		const timer = setTimeout(() => {
			refuse(refusals.tooSlow);
		}, timeoutMs);
		// Stays after the end: an error without a listener would end the process.
		request.on('error', () => {
			refuse(refusals.cut);
		});
		request.once('close', () => {
			refuse(refusals.cut);
		});
		if (declaredBytes > maxBytes) {
			refuse(refusals.tooLarge);
			return;
		}

		request.on('data', onData);
		request.once('end', onEnd);
	});
}
