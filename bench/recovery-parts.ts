import {percentile} from './percentile.js';

/** Something that happened in a recovery; `atMs` is the time since the processes were started again. */
export type RecoveryMark = Readonly<{part: string; subject: string; atMs: number}>;

/** Times of one part of a recovery in milliseconds since the processes were started again. */
export type PartTimes = Readonly<{count: number; firstMs: number; medianMs: number; lastMs: number}>;

const linePattern = / time=(?<time>\S+) process=(?<process>\S+) .*\bevent=(?<event>[\w\-]+)/v;

/** Parts that log lines show, in the order of a recovery, by event. */
const partByEvent: Readonly<Record<string, string>> = {
	'configuration-applied': 'configuration',
	'entry-decides': 'role',
	'state-loaded': 'state',
	'agent-started': 'agentStart',
	'entry-connected': 'stream',
	'executor-registered': 'announcement',
	'registration-requested': 'list',
	'first-lease-granted': 'lease',
};

/**
Returns the marks of the log lines of one process that were written after the start, in Unix milliseconds.

@example
marksOfLines(['level=info time=2026-01-01T00:00:01.200Z process=vm-1 vmId=vm-1 event=agent-started'], Date.parse('2026-01-01T00:00:01Z'));
// => [{part: 'agentStart', subject: 'vm-1', atMs: 200}]
*/
export function marksOfLines(lines: readonly string[], startUnixMs: number): readonly RecoveryMark[] {
	return lines.flatMap(line => {
		const {time = '', process: subject = '', event = ''} = linePattern.exec(line)?.groups ?? {};
		const part = partByEvent[event];
		const atMs = Date.parse(time) - startUnixMs;
		// An agent applies configurations as well, of its entries.
		return part === undefined || atMs < 0 || (part === 'configuration' && !line.includes(' version=')) ? [] : [{part, subject, atMs}];
	});
}

/**
Returns the times at which each subject first passed each part.

@example
timesByPart([{part: 'lease', subject: 'vm-1', atMs: 900}]).get('lease'); // => {count: 1, firstMs: 900, medianMs: 900, lastMs: 900}
*/
export function timesByPart(marks: readonly RecoveryMark[]): ReadonlyMap<string, PartTimes> {
	const firstByPart = new Map<string, Map<string, number>>();
	for (const {part, subject, atMs} of marks) {
		const firstBySubject = firstByPart.get(part) ?? new Map<string, number>();
		firstBySubject.set(subject, Math.min(atMs, firstBySubject.get(subject) ?? Number.POSITIVE_INFINITY));
		firstByPart.set(part, firstBySubject);
	}

	return new Map([...firstByPart].map(([part, firstBySubject]) => {
		const times = [...firstBySubject.values()];
		return [part, {
			count: times.length, firstMs: Math.min(...times), medianMs: percentile(times, 0.5), lastMs: Math.max(...times),
		}];
	}));
}
