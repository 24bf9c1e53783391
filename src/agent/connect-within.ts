import {setTimeout as delay} from 'node:timers/promises';

/**
Waits for a connection, but no longer than `timeoutMs` and not after `signal` is aborted: an address whose VM is gone answers
nothing, and the operating system tries it for minutes.

@example
if (await connectWithin(sessionManager.connect(), {timeoutMs: 2000, signal}) === 'error') {
	sessionManager.abort();
}
*/
export async function connectWithin<Outcome extends string>(
	connecting: Promise<Outcome>,
	{timeoutMs, signal}: Readonly<{timeoutMs: number; signal: AbortSignal}>,
): Promise<Outcome | 'error'> {
	const settled = new AbortController();
	const limit = async (): Promise<'error'> => {
		try {
			await delay(timeoutMs, undefined, {signal: AbortSignal.any([signal, settled.signal])});
		} catch {
			// Aborted: either the connection is decided or nobody wants it any more.
		}

		return 'error';
	};

	try {
		return await Promise.race([connecting, limit()]);
	} finally {
		settled.abort();
	}
}
