import {type ServerResponse} from 'node:http';
import {type CallerBody} from './caller-body.js';

/** A caller's request with the response that belongs to it alone. */
export type CallerExchange = Readonly<{
	requestId: string;
	service: string;
	method: string;
	/** Path and query below the service, as the caller wrote it, with a leading slash. */
	target: string;
	/** Headers that pass to the backend server, as name and value in turn. */
	headers: readonly string[];
	keyHash?: string;
	bodyHash?: string;
	/** `undefined` for requests without a body. */
	body: CallerBody | undefined;
	response: ServerResponse;
}>;

/** Exchanges without a whole answer, by request id. */
export type CallerExchanges = Map<string, CallerExchange>;

const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

/** Headers of the system itself: callers and backend servers cannot set them for the other side. */
const ownPrefix = 'x-arbutushinge-';

/**
Tells which headers end at this hop: the standard ones, those that `Connection` names and those of the system itself.

@example
isHopByHop('Keep-Alive', undefined); // => true
*/
export function isHopByHop(name: string, connection: string | undefined): boolean {
	const lowerCase = name.toLowerCase();
	return hopByHopHeaders.has(lowerCase)
		|| lowerCase.startsWith(ownPrefix)
		|| connection?.toLowerCase().split(',').some(token => token.trim() === lowerCase) === true;
}
