import {setTimeout as delay} from 'node:timers/promises';
import type {ClosableEventLog} from './telemetry/create-event-log.js';
import type {Metrics} from './telemetry/metrics.js';
import {describeThrown} from './validation/describe-thrown.js';

/** Time between two lines on unhandled rejections. */
const logIntervalMs = 1000;

/** Longest wait for the last lines of a process that ends. */
const defaultFlushTimeoutMs = 1000;

type ErrorEvent = 'unhandledRejection' | 'uncaughtException';

/**
Handles the errors that nothing else in a process handles. An unhandled rejection is the failure of one call that nobody awaits, while state
changes in the reducer alone: it is logged and counted, and the process goes on. Without a handler it would end the process, again after each
start while another process's value causes it. After an uncaught exception an event may be half applied, so that the process ends with
status 1 once its lines are written.

@example
handleProcessErrors({emitter: process, eventLog, metrics, exit: process.exit, nowMs: monotonicMs});
*/
export function handleProcessErrors({emitter, eventLog, metrics, exit, nowMs, flushTimeoutMs = defaultFlushTimeoutMs}: Readonly<{
	emitter: Readonly<{on: (event: ErrorEvent, listener: (error: unknown) => void) => unknown}>;
	eventLog: ClosableEventLog;
	metrics: Pick<Metrics, 'increment'>;
	exit: (status: 1) => void;
	nowMs: () => number;
	flushTimeoutMs?: number;
}>): void {
	let rejections = 0;
	let loggedAtMs = Number.NEGATIVE_INFINITY;
	let isEnding = false;

	async function end(): Promise<void> {
		try {
			await Promise.race([eventLog.close(), delay(flushTimeoutMs)]);
		} finally {
			exit(1);
		}
	}

	emitter.on('unhandledRejection', error => {
		rejections++;
		metrics.increment('process.rejections.unhandled');
		if (nowMs() - loggedAtMs >= logIntervalMs) {
			loggedAtMs = nowMs();
			eventLog.error('rejection-unhandled', {...describeThrown(error), count: rejections});
		}
	});
	emitter.on('uncaughtException', error => {
		eventLog.error('exception-uncaught', describeThrown(error));
		if (!isEnding) {
			isEnding = true;
			void end();
		}
	});
}
