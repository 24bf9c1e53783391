import {readFileSync} from 'node:fs';

/** Clock ticks a second in /proc; the kernel reports processor time to programs in units of 10 ms. */
const TICKS_PER_SECOND = 100;

/** Memory, processor time and threads of a process, from /proc. */
export type ProcessSample = Readonly<{
	residentMb: number;
	anonymousMb: number;
	fileMappedMb: number;
	/** Largest resident size since the start. */
	peakResidentMb: number;
	processorMs: number;
	threads: number;
}>;

/**
Reads the memory and the processor time of a process.

@example
readProcess(process.pid).residentMb; // => 85.2
*/
export function readProcess(pid: number): ProcessSample {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	const fieldOf = (name: string): number => Number(new RegExp(String.raw`^${name}:\s+(\d+)`, 'mv').exec(status)?.[1] ?? Number.NaN);
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	// The name in parentheses may hold spaces; user and system time are the 12th and 13th fields after it.
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return {
		residentMb: fieldOf('VmRSS') / 1024,
		anonymousMb: fieldOf('RssAnon') / 1024,
		fileMappedMb: fieldOf('RssFile') / 1024,
		peakResidentMb: fieldOf('VmHWM') / 1024,
		processorMs: (Number(fields[11]) + Number(fields[12])) * 1000 / TICKS_PER_SECOND,
		threads: fieldOf('Threads'),
	};
}
