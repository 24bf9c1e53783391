import process from 'node:process';

/**
Returns the time of the VM's monotonic clock in milliseconds. All processes of a VM share this clock; lease deadlines are times on it.

@example
const deadlineMs = monotonicMs() + 15_000;
*/
export function monotonicMs(): number {
	// Microseconds fit into a double for 285 years of uptime.
	return Number(process.hrtime.bigint() / 1000n) / 1000;
}
