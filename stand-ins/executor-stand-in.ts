import {once} from 'node:events';
import {createServer, request as sendRequest, type ServerResponse} from 'node:http';
import {json} from 'node:stream/consumers';
import * as z from 'zod';

/** What an executor saw; times are of the monotonic clock of its process. */
export type ExecutorEvent = Readonly<{atMs: number; executorId: string; taskId: string; run: number}> & (
	| Readonly<{kind: 'started'; payload: string}>
	| Readonly<{kind: 'ended'; outcome: string}>
	/** The end is acknowledged; `hasLapsed` tells whether the executor's lease has expired since the end. */
	| Readonly<{kind: 'noted'; outcome: string; hasLapsed: boolean}>
);

/** A running stand-in of the platform's executor. It implements starts, stops, leases, fencing, throttling, lists and announcements. */
export type ExecutorStandIn = Readonly<{
	/** Returns the number of tasks that have ended so far. */
	endedCount: () => number;
	/** Returns how long the lease still lasts, in milliseconds; 0 without one. */
	leaseMs: () => number;
	/** Returns the newest announcement, with its `born` and `seq`. */
	announcement: () => Readonly<{seq: number; born: number; capacity: Readonly<Record<string, number>>} & Record<string, unknown>>;
	/** Adds JSON texts as rows to the lists, and replaces fields of the answers to list requests by JSON texts. */
	setOddAnswers: (odd: OddAnswers) => void;
	/** Leaves starts without an answer. Those of the current incarnation are carried out by `carryOutLateStarts`. */
	setLateStarts: (isLate: boolean) => void;
	carryOutLateStarts: () => Promise<void>;
	/** Ends all tasks without a trace. The executor is gone until `startAgain`. */
	crash: () => void;
	/** Starts a new incarnation after a crash; it announces itself first after `announceAfterMs`, or with the next interval. */
	startAgain: (options?: Readonly<{announceAfterMs?: number}>) => void;
	close: () => Promise<void>;
}>;

/** JSON texts in the answers to list requests. */
export type OddAnswers = Readonly<{running?: readonly string[]; finished?: readonly string[]; fields?: Readonly<Record<string, string>>}>;

const bodySchema = z.object({
	task: z.string().default(''),
	run: z.number().default(0),
	spec: z.string().default(''),
	percent: z.number().default(100),
	ackCursor: z.number().default(0),
	waitMs: z.number().default(0),
	untilMs: z.number().default(0),
	fencingToken: z.number().default(0),
}).readonly();

type Task = Readonly<{attempt: number; endsAtMs: number; percent: number}>;
type Body = z.infer<typeof bodySchema>;
type TaskEnd = readonly [endNumber: number, taskId: string, attempt: number, outcome: string, checkpoint: string];

type EventDetails = Readonly<{kind: 'started'; payload: string}> | Readonly<{kind: 'ended'; outcome: string}> | Readonly<{kind: 'noted'; outcome: string; hasLapsed: boolean}>;
type Answer = Readonly<{status: number; text: string}>;

/** Interval between two checks for tasks whose run time is over. */
const endCheckIntervalMs = 20;

/** Ends that an answer lists at most. */
const endsPerPage = 500;

/** Longest lease. */
const maxHoldMs = 10_000;

/**
Starts a stand-in of the platform's executor that announces itself to an agent.

@example
const executor = await createExecutorStandIn({address: '127.0.0.1:8080', controlAddress: '127.0.0.1:8166', service: 'huvo11a', runTimeMs: 300, announceMs: 500});
await executor.close();
*/
export async function createExecutorStandIn({address, controlAddress, service, runTimeMs, announceMs, executorId = 'i-1', announcedAddress = address, onEvent = () => undefined}: Readonly<{
	address: string;
	/** Address at which the agent receives announcements. */
	controlAddress: string;
	service: string;
	/** Run time of all tasks, or of those with a payload. */
	runTimeMs: number | ((payload: string) => number);
	announceMs: number;
	executorId?: string;
	/** Address in the announcements, if calls reach the executor through another one. */
	announcedAddress?: string;
	onEvent?: (event: ExecutorEvent) => void;
}>): Promise<ExecutorStandIn> {
	let running = new Map<string, Task>();
	const waitingPolls = new Set<() => void>();
	let newestRuns = new Map<string, number>();
	let taskEnds: readonly TaskEnd[] = [];
	let odd: OddAnswers = {};
	let endCount = 0;
	let endNumber = 0;
	let sequence = 0;
	let fencingToken = 0;
	let leaseUntilMs = 0;
	let lapsedAtMs = Number.NEGATIVE_INFINITY;
	let endedAtMsByNumber = new Map<number, number>();
	let startedAtMs = Date.now();
	/** Each incarnation has a clock of its own, which starts at 0. */
	let clockStartMs = performance.now();
	let announcesAfterMs = Number.NEGATIVE_INFINITY;
	let isUp = true;
	let hasLateStarts = false;
	let lateStarts: ReadonlyArray<() => Promise<Answer>> = [];

	const clockMs = (): number => performance.now() - clockStartMs;

	function toAnswer(status: number, body: Readonly<Record<string, unknown>>): Answer {
		return {status, text: JSON.stringify({clockMs: Math.round(clockMs()), ...body})};
	}

	function report(event: Readonly<{taskId: string; run: number}> & EventDetails): void {
		onEvent({...event, atMs: performance.now(), executorId});
	}

	/** Waits until a task ends, for at most `waitMs`. */
	async function waitForEnd(waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = (): void => {
				clearTimeout(timer);
				waitingPolls.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, waitMs);
			waitingPolls.add(finish);
		});
	}

	function extendLease(untilMs: number): void {
		leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, clockMs() + maxHoldMs));
	}

	function listsText(): string {
		const rows = [...running].map(([taskId, {attempt, percent}]) => JSON.stringify([taskId, attempt, '', percent, 250]));
		const fields: Readonly<Record<string, string>> = {
			clockMs: String(Math.round(clockMs())),
			born: String(startedAtMs),
			running: `[${[...rows, ...odd.running ?? []].join(',')}]`,
			finished: `[${[...taskEnds.slice(0, endsPerPage).map(end => JSON.stringify(end)), ...odd.finished ?? []].join(',')}]`,
			...odd.fields,
		};
		return `{${Object.entries(fields).map(([name, text]) => `"${name}":${text}`).join(',')}}`;
	}

	const handlers: Readonly<Record<string, (body: Body) => Promise<Answer>>> = {
		async hold({ackCursor, waitMs, untilMs}) {
			extendLease(untilMs);
			for (const [number, taskId, run, outcome] of taskEnds) {
				if (number <= ackCursor) {
					report({
						kind: 'noted', taskId, run, outcome, hasLapsed: lapsedAtMs >= (endedAtMsByNumber.get(number) ?? 0),
					});
				}
			}

			taskEnds = taskEnds.filter(([number]) => number > ackCursor);
			if (taskEnds.length === 0 && waitMs > 0) {
				await waitForEnd(waitMs);
			}

			return {status: 200, text: listsText()};
		},
		async 'run-start'({task, run, spec, untilMs}) {
			if (running.get(task)?.attempt === run) {
				return toAnswer(200, {});
			}

			if (run <= (newestRuns.get(task) ?? 0)) {
				extendLease(untilMs);
				return toAnswer(409, {reason: 'old'});
			}

			if (untilMs <= clockMs()) {
				return toAnswer(409, {reason: 'late'});
			}

			extendLease(untilMs);
			const timeMs = typeof runTimeMs === 'number' ? runTimeMs : runTimeMs(spec);
			running.set(task, {attempt: run, endsAtMs: performance.now() + timeMs, percent: 100});
			newestRuns.set(task, run);
			report({
				kind: 'started', taskId: task, run, payload: spec,
			});
			return toAnswer(200, {});
		},
		async 'run-stop'({task, run}) {
			newestRuns.set(task, Math.max(run, newestRuns.get(task) ?? 0));
			endTask(task, 'stopped');
			return toAnswer(200, {});
		},
		async pace({task, percent}) {
			const current = running.get(task);
			if (current) {
				running.set(task, {...current, percent});
			}

			return toAnswer(200, {});
		},
	};

	function endTask(taskId: string, outcome: string): void {
		const task = running.get(taskId);
		if (task && running.delete(taskId)) {
			endCount++;
			taskEnds = [...taskEnds, [++endNumber, taskId, task.attempt, outcome, '']];
			endedAtMsByNumber.set(endNumber, performance.now());
			report({
				kind: 'ended', taskId, run: task.attempt, outcome,
			});
			for (const finish of waitingPolls) {
				finish();
			}
		}
	}

	async function answer(path: string, instance: unknown, body: Body): Promise<Answer> {
		const handler = handlers[path];
		if (!handler) {
			return toAnswer(404, {});
		}

		if (typeof instance === 'string' && instance !== executorId) {
			return toAnswer(421, {});
		}

		if (body.fencingToken < fencingToken) {
			return toAnswer(409, {reason: 'fence'});
		}

		fencingToken = body.fencingToken;
		return handler(body);
	}

	async function respond(request: AsyncIterable<Uint8Array> & Readonly<{url?: string | undefined; headers: Readonly<Record<string, unknown>>}>, response: ServerResponse): Promise<void> {
		const incarnation = startedAtMs;
		const body = bodySchema.safeParse(await json(request));
		const path = request.url?.split('/').at(-1) ?? '';
		const carryOut = async (): Promise<Answer> => body.success ? answer(path, request.headers['expected-instance'], body.data) : toAnswer(400, {});
		if (hasLateStarts && path === 'run-start') {
			lateStarts = [...lateStarts, carryOut];
			return;
		}

		const {status, text} = await carryOut();
		if (isUp && incarnation === startedAtMs) {
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(text);
		}
	}

	const server = createServer((request, response) => {
		respond(request, response).catch(() => {
			response.destroy();
		});
	});
	const [host, port] = address.split(':');
	server.listen(Number(port), host);
	await once(server, 'listening');

	const endTimer = setInterval(() => {
		const hasLapsed = leaseUntilMs <= clockMs();
		lapsedAtMs = hasLapsed ? performance.now() : lapsedAtMs;
		for (const [taskId, {endsAtMs}] of running) {
			if (hasLapsed) {
				endTask(taskId, 'lapsed');
			} else if (endsAtMs <= performance.now()) {
				endTask(taskId, 'done');
			}
		}
	}, endCheckIntervalMs);
	const announcement = (): ReturnType<ExecutorStandIn['announcement']> => ({
		service,
		address: announcedAddress,
		state: 'ready',
		seq: sequence,
		born: startedAtMs,
		clockMs: Math.round(clockMs()),
		capacity: {cpu: 16_000, memMb: 60_000, gpu: 0},
		labels: ['large', 'rack-1'],
	});
	const [controlHost, controlPort] = controlAddress.split(':');
	const announceTimer = setInterval(() => {
		if (!isUp || performance.now() < announcesAfterMs) {
			return;
		}

		sequence++;
		const sent = sendRequest({
			host: controlHost, port: controlPort, path: `/arbutushinge/executors/${executorId}`, method: 'PUT', headers: {'content-type': 'application/json'},
		}, response => {
			response.resume();
		});
		// The agent may not listen yet; the next announcement is the retry.
		sent.on('error', () => undefined);
		sent.end(JSON.stringify(announcement()));
	}, announceMs);

	return {
		endedCount: () => endCount,
		leaseMs: () => Math.max(0, leaseUntilMs - clockMs()),
		announcement,
		setOddAnswers(next) {
			odd = next;
		},
		setLateStarts(isLate) {
			hasLateStarts = isLate;
		},
		async carryOutLateStarts() {
			const starts = lateStarts;
			lateStarts = [];
			await Promise.all(starts.map(async start => start()));
		},
		crash() {
			isUp = false;
			lateStarts = [];
			for (const [taskId, {attempt}] of running) {
				report({
					kind: 'ended', taskId, run: attempt, outcome: 'crashed',
				});
			}

			running = new Map();
			newestRuns = new Map();
			taskEnds = [];
			endedAtMsByNumber = new Map();
			endNumber = 0;
			sequence = 0;
			fencingToken = 0;
			leaseUntilMs = 0;
			server.closeAllConnections();
			server.close();
		},
		startAgain({announceAfterMs = 0} = {}) {
			startedAtMs = Date.now();
			clockStartMs = performance.now();
			announcesAfterMs = performance.now() + announceAfterMs;
			isUp = true;
			server.listen(Number(port), host);
		},
		async close() {
			clearInterval(endTimer);
			clearInterval(announceTimer);
			if (server.listening) {
				server.closeAllConnections();
				server.close();
				await once(server, 'close');
			}
		},
	};
}
