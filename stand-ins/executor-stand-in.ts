import {once} from 'node:events';
import {createServer, request as sendRequest} from 'node:http';
import {json} from 'node:stream/consumers';
import * as z from 'zod';

/** A running stand-in of the platform's executor. It implements starts, stops, throttling, lists and announcements; tasks end after a fixed run time. */
export type ExecutorStandIn = Readonly<{
	/** Returns the number of tasks that have ended so far. */
	endedCount: () => number;
	close: () => Promise<void>;
}>;

const bodySchema = z.object({
	task: z.string().default(''), run: z.number().default(0), percent: z.number().default(100), ackCursor: z.number().default(0), waitMs: z.number().default(0),
}).readonly();

type Task = Readonly<{attempt: number; endsAtMs: number; percent: number}>;
type Body = z.infer<typeof bodySchema>;
type TaskEnd = readonly [endNumber: number, taskId: string, attempt: number, outcome: string, checkpoint: string];

/** Interval between two checks for tasks whose run time is over. */
const endCheckIntervalMs = 20;

const startedAtMs = Date.now();

/**
Starts a stand-in of the platform's executor that announces itself to an agent.

@example
const executor = await createExecutorStandIn({address: '127.0.0.1:8080', controlAddress: '127.0.0.1:8166', service: 'huvo11a', runTimeMs: 300, announceMs: 500});
await executor.close();
*/
export async function createExecutorStandIn({address, controlAddress, service, runTimeMs, announceMs}: Readonly<{
	address: string;
	/** Address at which the agent receives announcements. */
	controlAddress: string;
	service: string;
	runTimeMs: number;
	announceMs: number;
}>): Promise<ExecutorStandIn> {
	const running = new Map<string, Task>();
	const waitingPolls = new Set<() => void>();
	let taskEnds: readonly TaskEnd[] = [];
	let endNumber = 0;
	let sequence = 0;

	const clockMs = (): number => Math.round(performance.now());

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

	const handlers: Readonly<Record<string, (body: Body) => Promise<Readonly<Record<string, unknown>>>>> = {
		async hold({ackCursor, waitMs}) {
			taskEnds = taskEnds.filter(([number]) => number > ackCursor);
			if (taskEnds.length === 0 && waitMs > 0) {
				await waitForEnd(waitMs);
			}

			return {born: startedAtMs, running: [...running].map(([taskId, {attempt, percent}]) => [taskId, attempt, '', percent, 250]), finished: taskEnds};
		},
		async 'run-start'({task, run}) {
			running.set(task, {attempt: run, endsAtMs: performance.now() + runTimeMs, percent: 100});
			return {};
		},
		async 'run-stop'({task}) {
			endTask(task, 'stopped');
			return {};
		},
		async pace({task, percent}) {
			const current = running.get(task);
			if (current) {
				running.set(task, {...current, percent});
			}

			return {};
		},
	};

	function endTask(taskId: string, outcome: string): void {
		const task = running.get(taskId);
		if (task && running.delete(taskId)) {
			taskEnds = [...taskEnds, [++endNumber, taskId, task.attempt, outcome, '']];
			for (const finish of waitingPolls) {
				finish();
			}
		}
	}

	const server = createServer((request, response) => {
		void (async () => {
			const answer = await handlers[request.url?.split('/').at(-1) ?? '']?.(bodySchema.parse(await json(request)));
			response.writeHead(answer === undefined ? 404 : 200, {'content-type': 'application/json'});
			response.end(JSON.stringify({clockMs: clockMs(), ...answer}));
		})();
	});
	const [host, port] = address.split(':');
	server.listen(Number(port), host);
	await once(server, 'listening');

	const endTimer = setInterval(() => {
		for (const [taskId, {endsAtMs}] of running) {
			if (endsAtMs <= performance.now()) {
				endTask(taskId, 'done');
			}
		}
	}, endCheckIntervalMs);
	const [controlHost, controlPort] = controlAddress.split(':');
	const announceTimer = setInterval(() => {
		const announcement = sendRequest({
			host: controlHost, port: controlPort, path: '/arbutushinge/executors/i-1', method: 'PUT', headers: {'content-type': 'application/json'},
		}, answer => {
			answer.resume();
		});
		// The agent may not listen yet; the next announcement is the retry.
		announcement.on('error', () => undefined);
		announcement.end(JSON.stringify({
			service, address, state: 'ready', seq: ++sequence, born: startedAtMs, clockMs: clockMs(), capacity: {cpu: 16_000, memMb: 60_000, gpu: 0}, labels: ['large', 'rack-1'],
		}));
	}, announceMs);

	return {
		endedCount: () => endNumber,
		async close() {
			clearInterval(endTimer);
			clearInterval(announceTimer);
			server.closeAllConnections();
			server.close();
			await once(server, 'close');
		},
	};
}
