import {setTimeout as delay} from 'node:timers/promises';

/**
Waits for a connection for at most `timeoutMs`, and until `signal` is aborted. The address of a VM that is down does not answer, and the
operating system retries it for minutes.

@example
if (await connectWithin(sessionManager.connect(), {timeoutMs: 2000, signal}) === 'error') {
	sessionManager.abort();
}
*/
export async function connectWithin<Outcome extends string>(
	connecting: Promise<Outcome>,
	{timeoutMs, signal}: Readonly<{timeoutMs: number; signal: AbortSignal}>,
): Promise<Outcome | 'error'> {
	const ended = new AbortController();
	const timeOut = async (): Promise<'error'> => {
		try {
			await delay(timeoutMs, undefined, {signal: AbortSignal.any([signal, ended.signal])});
		} catch {
			// Aborted: either the connection attempt has ended or it is no longer needed.
		}

		return 'error';
	};

	try {
		return await Promise.race([connecting, timeOut()]);
	} finally {
		ended.abort();
	}
}
