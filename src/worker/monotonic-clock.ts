import process from 'node:process';

/**
Reads the machine's monotonic clock, which all processes of a VM share; lease deadlines are stated on it.

@example
const deadlineMs = monotonicMs() + 15_000;
*/
export function monotonicMs(): number {
	// Microseconds fit into a double for 285 years of uptime.
	return Number(process.hrtime.bigint() / 1000n) / 1000;
}
