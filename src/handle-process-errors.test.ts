import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {handleProcessErrors} from './handle-process-errors.js';
import type {EventFields} from './telemetry/event-log.js';

const ignore = (): void => undefined;

function start(close: () => Promise<void> = async () => undefined) {
	const listeners = new Map<string, (error: unknown) => void>();
	const emitter = {
		on(event: string, listener: (error: unknown) => void): void {
			listeners.set(event, listener);
		},
		emit(event: string, error: unknown): void {
			listeners.get(event)?.(error);
		},
	};
	const lines: Array<Readonly<{event: string; fields: EventFields | undefined}>> = [];
	const steps: string[] = [];
	let nowMs = 0;
	handleProcessErrors({
		emitter,
		eventLog: {
			debug: ignore,
			info: ignore,
			warn: ignore,
			error(event, fields) {
				lines.push({event, fields});
			},
			async close() {
				steps.push('close');
				await close();
			},
		},
		metrics: {
			increment(name) {
				steps.push(name);
			},
		},
		exit(status) {
			steps.push(`exit ${status}`);
		},
		nowMs: () => nowMs,
		flushTimeoutMs: 20,
	});
	return {
		emitter, lines, steps,
		pass(durationMs: number): void {
			nowMs += durationMs;
		},
	};
}

/** A list whose conversion to text exceeds the stack. */
function nestedList(): unknown {
	let list: unknown = [];
	for (let depth = 0; depth < 50_000; depth++) {
		list = [list];
	}

	return list;
}

test('an unhandled rejection is logged with a short reason, and the process goes on', t => {
	const {emitter, lines, steps, pass} = start();
	for (const reason of [new Error('x'.repeat(200_000)), nestedList(), undefined, Object.create(null) as unknown, Symbol('odd')]) {
		emitter.emit('unhandledRejection', reason);
		pass(2000);
	}

	t.is(lines.length, 5);
	for (const {event, fields} of lines) {
		t.is(event, 'rejection-unhandled');
		t.true(JSON.stringify(fields).length < 1000);
	}

	t.deepEqual(steps, Array.from({length: 5}, () => 'process.rejections.unhandled'));
});

test('a flood of unhandled rejections is one line a second, with their number', t => {
	const {emitter, lines, pass} = start();
	for (let index = 0; index < 1000; index++) {
		emitter.emit('unhandledRejection', new Error('odd'));
		pass(1);
	}

	pass(500);
	emitter.emit('unhandledRejection', new Error('odd'));
	t.deepEqual(lines.map(({fields}) => fields?.count), [1, 1001]);
});

test('an uncaught exception ends the process with status 1 once its line is written, also when the log does not close', async t => {
	const written = start();
	written.emitter.emit('uncaughtException', new Error('odd'));
	written.emitter.emit('uncaughtException', new Error('another'));
	await delay(5);
	t.deepEqual(written.lines.map(({event}) => event), ['exception-uncaught', 'exception-uncaught']);
	t.deepEqual(written.steps, ['close', 'exit 1']);

	const stuck = start(async () => new Promise(ignore));
	stuck.emitter.emit('uncaughtException', new Error('odd'));
	await delay(60);
	t.deepEqual(stuck.steps, ['close', 'exit 1']);
});
