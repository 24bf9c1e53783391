import {Buffer} from 'node:buffer';
import {readdirSync, readFileSync} from 'node:fs';

/** Peaks of a process over all samples. */
export type MemoryPeaks = Readonly<{
	/** Resident memory together with the unread bytes of the same sample, at least the peak of resident memory. */
	totalMb: number;
	/** Peak that the kernel keeps, between the samples as well. */
	residentMb: number;
	/** Bytes that the kernel has received on connections to the process and the process has not read. */
	unreadMb: number;
	descriptors: number;
}>;

const sampleIntervalMs = 50;

const bytesPerMb = 1_048_576;

/** State of a listening socket in `/proc/net/tcp`, whose queue counts connections. */
const listeningState = '0A';

/** Returns an address as `/proc/net/tcp` writes it on a little-endian machine: the IP number in reverse, and the port. */
function kernelAddress(address: string): string {
	const [host = '', port] = address.split(':');
	const ip = Buffer.from(host.split('.').toReversed().map(Number)).toString('hex');
	return `${ip}:${Number(port).toString(16).padStart(4, '0')}`.toUpperCase();
}

/**
Returns the bytes that the kernel holds unread on the connections to some addresses, those that no process has accepted among them.

@example
readUnreadBytes(['127.0.0.1:20001']); // => 65536
*/
export function readUnreadBytes(addresses: readonly string[]): number {
	const watched = new Set(addresses.map(address => kernelAddress(address)));
	let sum = 0;
	for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1)) {
		const [, local = '', , state, queues = ''] = line.trim().split(/\s+/v);
		if (state !== listeningState && watched.has(local)) {
			sum += Number.parseInt(queues.split(':')[1] ?? '0', 16);
		}
	}

	return sum;
}

/** Returns the resident memory of a process and its peak. */
function readResident(pid: number): Readonly<{residentMb: number; peakMb: number}> {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	const megabytesOf = (field: string): number => Math.round(Number(new RegExp(String.raw`${field}:\s+(?<kb>\d+)`, 'v').exec(status)?.groups?.kb ?? 0) / 1024);
	return {residentMb: megabytesOf('VmRSS'), peakMb: megabytesOf('VmHWM')};
}

/**
Samples the memory and the open descriptors of the process that has the ID at that time, until the returned function is called, which returns the peaks.

@example
const stopWatching = watchMemory(() => child.pid, ['127.0.0.1:20001']);
stopWatching().totalMb;
*/
export function watchMemory(pidOf: () => number, addresses: readonly string[]): () => MemoryPeaks {
	let peaks: MemoryPeaks = {
		totalMb: 0, residentMb: 0, unreadMb: 0, descriptors: 0,
	};

	function sample(): void {
		try {
			const pid = pidOf();
			const {residentMb, peakMb} = readResident(pid);
			const unreadMb = Math.round(readUnreadBytes(addresses) / bytesPerMb);
			peaks = {
				totalMb: Math.max(peaks.totalMb, residentMb + unreadMb, peakMb),
				residentMb: Math.max(peaks.residentMb, peakMb),
				unreadMb: Math.max(peaks.unreadMb, unreadMb),
				descriptors: Math.max(peaks.descriptors, readdirSync(`/proc/${pid}/fd`).length),
			};
		} catch {
			// A process that has ended has no memory; the test reports its end.
		}
	}

	const timer = setInterval(sample, sampleIntervalMs);
	return () => {
		clearInterval(timer);
		sample();
		return peaks;
	};
}
