import {createHash, type BinaryLike} from 'node:crypto';
import {z} from 'zod';

/** The answer of a backend server; a caller checks from it that the answer is whole and its own. */
export const echoAnswerSchema = z.strictObject({
	requestId: z.string(),
	bodyHash: z.string(),
	bodyBytes: z.int(),
	backendServerId: z.string(),
	/** As many characters as the body has bytes, so that large requests get large answers. */
	padding: z.string(),
});

export type EchoAnswer = z.infer<typeof echoAnswerSchema>;

/** Hashes a body for comparison between caller and backend server. */
export function hashBody(body: BinaryLike): string {
	return createHash('sha256').update(body).digest('base64url');
}

/**
Takes the caller's identifier of a request from its path: the last segment.

@example
requestIdOf('/orders/c1-17?x=1');
// => 'c1-17'
*/
export function requestIdOf(path: string): string {
	return path.split('?', 1)[0]!.split('/').at(-1)!;
}
