import {type Writable} from 'node:stream';
import {pino} from 'pino';
import * as pinoLogfmt from 'pino-logfmt';
import {type EventFields, type EventLog} from './event-log.js';

/** Keys of every line; a field with one of these names gets the suffix `Field`, so that it does not replace them. */
const reservedNames = new Set(['time', 'level', 'event', 'process']);

/** `destination` is a file descriptor or a file name; standard output by default. */
export type EventLogOptions = Readonly<{
	process: string;
	level: 'debug' | 'info' | 'warn' | 'error';
	destination?: number | string;
}>;

/** An event log that can be flushed at the end of the process. */
export type ClosableEventLog = EventLog & Readonly<{close: () => Promise<void>}>;

/**
Creates the event log of a process: one key=value line per event with `time`, `level`, `event` and `process`.
Lines are formatted and written on the same thread; `close` resolves when all of them are written.

@example
const eventLog = await createEventLog({process: 'entry-1', level: 'info'});
eventLog.info('task-claimed', {taskId: 't1', vmId: 'vm-3'});
// level=info time=2026-01-01T00:00:00.000Z process=entry-1 taskId=t1 vmId=vm-3 event=task-claimed
*/
export async function createEventLog(options: EventLogOptions): Promise<ClosableEventLog> {
	const stream = await logfmtStreamFactory()({destination: options.destination ?? 1, sync: true});
	const logger = pino({
		level: options.level,
		base: {process: options.process},
		messageKey: 'event',
		timestamp: pino.stdTimeFunctions.isoTime,
		formatters: {level: label => ({level: label})},
	}, stream);
	const write = (level: EventLogOptions['level']) => (event: string, fields: EventFields = {}): void => {
		if (logger.isLevelEnabled(level)) {
			logger[level](escapeFields(fields), escapeControlCharacters(event));
		}
	};

	return {
		debug: write('debug'),
		info: write('info'),
		warn: write('warn'),
		error: write('error'),
		async close() {
			await new Promise<void>(resolve => {
				stream.once('close', resolve);
				stream.end();
			});
		},
	};
}

type LogfmtStreamFactory = (options: Readonly<pinoLogfmt.LogFmtTransportOptions>) => Promise<Writable>;

/** The type declarations of pino-logfmt leave out its default export. */
function logfmtStreamFactory(): LogfmtStreamFactory {
	const factory: unknown = 'default' in pinoLogfmt ? pinoLogfmt.default : undefined;
	if (!isLogfmtStreamFactory(factory)) {
		throw new TypeError('pino-logfmt exports no stream; install the version that package-lock.json names');
	}

	return factory;
}

function isLogfmtStreamFactory(value: unknown): value is LogfmtStreamFactory {
	return typeof value === 'function';
}

function escapeFields(fields: EventFields): EventFields {
	return Object.fromEntries(Object.entries(fields)
		.filter(([, value]) => value !== undefined)
		.map(([name, value]) => [
			reservedNames.has(name) ? `${name}Field` : name,
			typeof value === 'string' ? escapeControlCharacters(value) : value,
		]));
}

/** Escapes control characters, so that a value can neither start a new line nor control a terminal. */
function escapeControlCharacters(text: string): string {
	return text.replaceAll(/[\p{Cc}\u2028\u2029]/gv, character => String.raw`\u${character.codePointAt(0)!.toString(16).padStart(4, '0')}`);
}
