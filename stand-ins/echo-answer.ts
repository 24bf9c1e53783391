import {createHash, type BinaryLike} from 'node:crypto';
import {z} from 'zod';

/** Answer of the backend server stand-in; callers use it to check that the answer is complete and belongs to their request. */
export const echoAnswerSchema = z.strictObject({
	requestId: z.string(),
	bodyHash: z.string(),
	bodyBytes: z.int(),
	backendServerId: z.string(),
	/** As many characters as the request body has bytes, so that large requests have large answers. */
	padding: z.string(),
});

export type EchoAnswer = z.infer<typeof echoAnswerSchema>;

/** Returns the hash of a request body, so that a caller can compare the body that the backend server received. */
export function hashBody(body: BinaryLike): string {
	return createHash('sha256').update(body).digest('base64url');
}

/**
Returns the caller's request ID, which is the last segment of the path.

@example
requestIdOf('/orders/c1-17?x=1');
// => 'c1-17'
*/
export function requestIdOf(path: string): string {
	return path.split('?', 1)[0]!.split('/').at(-1)!;
}
