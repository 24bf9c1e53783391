import type {IncomingMessage} from 'node:http';

/**
Returns whether a request has a body, by its headers.

@example
hasBody(request); // => false for a GET
*/
export function hasBody({headers}: Pick<IncomingMessage, 'headers'>): boolean {
	return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}
