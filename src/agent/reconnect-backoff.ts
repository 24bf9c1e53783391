/** Pause after a stream that an entry has answered, in milliseconds. */
const firstBackoffMs = 100;

/** Pause while quick tries last, half of it jitter: all agents that meet an entry within 100 ms of its start keep it from registering itself. */
const quickBackoffMs = 250;

/** Shorter than the time after which entries revoke an unreachable VM. */
const maxBackoffMs = 1000;

/**
Quick tries in a row at an entry while the agent has no stream at all. After a loss of power, entries listen 0.5 to 2 s after the agents try first; the
tries last for 7 to 15 s. An agent has few addresses open at a time, so that its tries stay in the tens a second.
*/
const maxQuickTries = 60;

/** State of the tries to open a stream to one entry. */
export type ReconnectBackoff = Readonly<{backoffMs: number; quickTries: number}>;

/** The state before the first try. */
export const initialReconnectBackoff: ReconnectBackoff = {backoffMs: firstBackoffMs, quickTries: 0};

/**
Returns the pause before the next try, without jitter. It doubles with each stream that the entry does not answer, except while the agent has no
stream to any entry: nothing runs on its VM then, so that it tries often, for a bounded number of times.

@example
nextReconnectBackoff(initialReconnectBackoff, {wasAnswered: false, hasStream: true}).backoffMs; // => 200
*/
export function nextReconnectBackoff(
	{backoffMs, quickTries}: ReconnectBackoff,
	{wasAnswered, hasStream}: Readonly<{wasAnswered: boolean; hasStream: boolean}>,
): ReconnectBackoff {
	if (wasAnswered) {
		return initialReconnectBackoff;
	}

	return !hasStream && quickTries < maxQuickTries
		? {backoffMs: quickBackoffMs, quickTries: quickTries + 1}
		: {backoffMs: Math.min(maxBackoffMs, backoffMs * 2), quickTries};
}
