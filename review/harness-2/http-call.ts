import {Buffer} from 'node:buffer';
import {createHttpConnections} from '../../src/worker/http-connections.js';

/** Answer to a call; `status` is undefined when no whole answer arrived in time. */
export type CallAnswer = Readonly<{status: number | undefined; text: string}>;

/**
Makes one HTTP call on a connection of its own.

@example
await callOnce('127.0.0.1:20001', {method: 'GET', path: '/q/5c0e7a21d94b36f8', timeoutMs: 3000}); // => {status: 200, text: '{"state":"running"}'}
*/
export async function callOnce(address: string, {method, path, timeoutMs, body}: Readonly<{method: string; path: string; timeoutMs: number; body?: unknown}>): Promise<CallAnswer> {
	const connections = createHttpConnections({address, connections: 1});
	const text = body === undefined ? undefined : JSON.stringify(body);
	try {
		return await connections.exchange({
			method, path, timeoutMs, headers: text === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}, ...(text !== undefined && {body: text}),
		});
	} catch (error) {
		return {status: undefined, text: String(error)};
	} finally {
		connections.destroy();
	}
}
