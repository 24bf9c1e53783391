import {type ServerResponse} from 'node:http';
import {type CallerBody} from './caller-body.js';

/** A caller's request with its response. */
export type CallerExchange = Readonly<{
	requestId: string;
	service: string;
	method: string;
	/** Path and query below the service, as the caller wrote it, with a leading slash. */
	target: string;
	/** Headers to forward to the backend server, as alternating names and values. */
	headers: readonly string[];
	keyHash?: string;
	bodyHash?: string;
	/** Undefined for requests without a body. */
	body: CallerBody | undefined;
	response: ServerResponse;
}>;

/** Exchanges whose response is still open, by request ID. */
export type CallerExchanges = Map<string, CallerExchange>;

const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

/** Prefix of the system's own headers, which callers and backend servers cannot send to each other. */
const ownPrefix = 'x-arbutushinge-';

/**
Returns whether a header must not be forwarded: a standard hop-by-hop header, one that `Connection` names or one of the system's own.

@example
isHopByHop('Keep-Alive', undefined); // => true
*/
export function isHopByHop(name: string, connection: string | undefined): boolean {
	const lowerCase = name.toLowerCase();
	return hopByHopHeaders.has(lowerCase)
		|| lowerCase.startsWith(ownPrefix)
		|| connection?.toLowerCase().split(',').some(token => token.trim() === lowerCase) === true;
}
