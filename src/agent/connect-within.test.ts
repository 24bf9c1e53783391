import test from 'ava';
import {connectWithin} from './connect-within.js';

const never: Promise<'open'> = Promise.race([]);

/** Guards against an agent that stops too late because the address of a VM that is down does not answer. */
test('a stop does not wait for a connection attempt that never ends', async t => {
	const closing = new AbortController();
	const connecting = connectWithin(never, {timeoutMs: 60_000, signal: closing.signal});
	closing.abort();
	t.is(await connecting, 'error');
	t.is(await connectWithin(never, {timeoutMs: 60_000, signal: closing.signal}), 'error');
});

/** Guards against an entry that is not tried again for minutes after its VM lost power. */
test('a connection attempt that does not end in time counts as failed', async t => {
	t.is(await connectWithin(never, {timeoutMs: 1, signal: new AbortController().signal}), 'error');
	t.is(await connectWithin(Promise.resolve('open'), {timeoutMs: 60_000, signal: new AbortController().signal}), 'open');
});
