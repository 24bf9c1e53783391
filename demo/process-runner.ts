import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** Exit code or signal of a process; the code is 0 after a graceful exit. */
export type ProcessExit = Readonly<{code: number | undefined; signal: string | undefined}>;

/** A process that a runner started in its own process group. */
export type RunnerProcess = Readonly<{
	name: string;
	pid: number;
	/** Returns the lines of standard output so far. */
	lines: () => readonly string[];
	/** Returns the lines of standard error so far. */
	errorLines: () => readonly string[];
	/** Returns undefined while the process runs. */
	exit: () => ProcessExit | undefined;
	/** Returns the match of the first line of standard output that matches; throws when the process ends or the wait times out before. */
	waitForLine: (pattern: RegExp, timeoutMs: number) => Promise<RegExpExecArray>;
	/** Returns how the process ended; throws when it still runs after `timeoutMs`. */
	waitForExit: (timeoutMs: number) => Promise<ProcessExit>;
	/** Sends SIGTERM to the process. */
	terminate: () => void;
	/** Sends SIGHUP to the process. */
	hangUp: () => void;
	/** Sends SIGKILL to the process group. */
	kill: () => void;
	/** Sends SIGSTOP to the process group. */
	pause: () => void;
	/** Sends SIGCONT to the process group. */
	resume: () => void;
}>;

export type ProcessRunner = Readonly<{
	/** Starts Node.js with the runner's common arguments and these. */
	start: (name: string, nodeArguments: readonly string[]) => RunnerProcess;
	/** Starts a process with the name and the arguments of an earlier process of this runner. */
	startAgain: (earlier: RunnerProcess) => RunnerProcess;
	processes: () => readonly RunnerProcess[];
	/** Kills the process groups that still run and waits until they have ended; nothing can be started afterwards. */
	killAll: () => Promise<void>;
}>;

/** Interval between two checks of `waitUntil`. */
const checkIntervalMs = 100;

/**
Calls `check` until it returns a value other than undefined; throws after `timeoutMs`.

@example
await waitUntil('the entry is ready', 10_000, async () => await isReady() ? true : undefined);
*/
export async function waitUntil<Value>(description: string, timeoutMs: number, check: () => Promise<Value | undefined> | Value | undefined): Promise<Value> {
	const deadlineMs = performance.now() + timeoutMs;
	for (;;) {
		const value = await check();
		if (value !== undefined) {
			return value;
		}

		if (performance.now() > deadlineMs) {
			throw new Error(`timed out after ${timeoutMs} ms: ${description}`);
		}

		await new Promise<void>(resolve => {
			setTimeout(resolve, checkIntervalMs);
		});
	}
}

function collectLines(stream: NodeJS.ReadableStream): string[] {
	const lines: string[] = [];
	createInterface({input: stream}).on('line', line => {
		lines.push(line);
	});
	return lines;
}

function signalGroup(pid: number, signal: NodeJS.Signals): void {
	try {
		process.kill(-pid, signal);
	} catch {
		// The process group has ended already.
	}
}

function wrap(name: string, child: ChildProcess): RunnerProcess {
	const {pid, stdout, stderr} = child;
	if (pid === undefined || !stdout || !stderr) {
		throw new Error(`${name} did not start`);
	}

	const lines = collectLines(stdout);
	const errorLines = collectLines(stderr);
	let exit: ProcessExit | undefined;
	// `close` is emitted after the last output; `exit` may be emitted before it.
	const closed = once(child, 'close');
	child.once('close', (code: number | null, signal: string | null) => {
		exit = {code: code ?? undefined, signal: signal ?? undefined};
	});

	return {
		name,
		pid,
		lines: () => lines,
		errorLines: () => errorLines,
		exit: () => exit,
		async waitForLine(pattern, timeoutMs) {
			return waitUntil(`${name} prints ${String(pattern)}`, timeoutMs, () => {
				for (const line of lines) {
					const match = pattern.exec(line);
					if (match) {
						return match;
					}
				}

				if (exit) {
					throw new Error(`${name} ended with ${exit.signal ?? `code ${exit.code}`} before it printed ${String(pattern)}`);
				}

				return undefined;
			});
		},
		async waitForExit(timeoutMs) {
			const timeoutController = new AbortController();
			const timer = setTimeout(() => {
				timeoutController.abort();
			}, timeoutMs);
			const timedOut = once(timeoutController.signal, 'abort');
			await Promise.race([closed, timedOut]);
			clearTimeout(timer);
			if (!exit) {
				throw new Error(`${name} still runs after ${timeoutMs} ms`);
			}

			return exit;
		},
		terminate() {
			child.kill('SIGTERM');
		},
		hangUp() {
			child.kill('SIGHUP');
		},
		kill() {
			signalGroup(pid, 'SIGKILL');
		},
		pause() {
			signalGroup(pid, 'SIGSTOP');
		},
		resume() {
			signalGroup(pid, 'SIGCONT');
		},
	};
}

/**
Creates a runner of Node.js processes, which load TypeScript unless `commonArguments` are given. When this process exits, the process
groups that still run are killed.

@example
const runner = createProcessRunner();
const log = runner.start('log', ['stand-ins/main.ts', 'log-service']);
const [, url] = await log.waitForLine(/^ready url=(\S+)/v, 10_000);
await runner.killAll();
*/
export function createProcessRunner({commonArguments = ['--import', 'tsx']}: Readonly<{
	/** Arguments of Node.js before those of each process. */
	commonArguments?: readonly string[];
}> = {}): ProcessRunner {
	const processes: RunnerProcess[] = [];
	const argumentsOf = new Map<RunnerProcess, readonly string[]>();
	let isClosed = false;

	function killRunning(): void {
		for (const running of processes) {
			if (!running.exit()) {
				running.kill();
			}
		}
	}

	process.on('exit', killRunning);

	function start(name: string, nodeArguments: readonly string[]): RunnerProcess {
		if (isClosed) {
			throw new Error(`${name} cannot start: the runner is closed`);
		}

		const child = spawn(process.execPath, [...commonArguments, ...nodeArguments], {detached: true, stdio: ['ignore', 'pipe', 'pipe']});
		const started = wrap(name, child);
		processes.push(started);
		argumentsOf.set(started, nodeArguments);
		return started;
	}

	return {
		start,
		startAgain(earlier) {
			const nodeArguments = argumentsOf.get(earlier);
			if (!nodeArguments) {
				throw new Error(`${earlier.name} was not started by this runner`);
			}

			return start(earlier.name, nodeArguments);
		},
		processes: () => processes,
		async killAll() {
			isClosed = true;
			killRunning();
			await Promise.all(processes.map(async running => running.waitForExit(10_000)));
			process.off('exit', killRunning);
		},
	};
}
