import {once} from 'node:events';
import {createServer, request as sendRequest} from 'node:http';
import {json} from 'node:stream/consumers';
import * as z from 'zod';

/** The platform's executor, as far as starts, ends, lists and announcements go; tasks end after a fixed time. */
export type ExecutorStandIn = Readonly<{
	/** Tasks that ended so far. */
	endedCount: () => number;
	close: () => Promise<void>;
}>;

const bodySchema = z.object({
	task: z.string().default(''), run: z.number().default(0), percent: z.number().default(100), ackCursor: z.number().default(0), waitMs: z.number().default(0),
}).readonly();

type Task = Readonly<{attempt: number; endsAtMs: number; percent: number}>;
type Body = z.infer<typeof bodySchema>;
type End = readonly [endNumber: number, taskId: string, attempt: number, how: string, checkpoint: string];

/** Time between two looks for tasks that end. */
const lookMs = 20;

const startedAtMs = Date.now();

/**
Starts a stand-in of the platform's executor that announces itself to an agent.

@example
const executor = await createExecutorStandIn({address: '127.0.0.1:8080', controlAddress: '127.0.0.1:8166', service: 'huvo11a', runTimeMs: 300, announceMs: 500});
await executor.close();
*/
export async function createExecutorStandIn({address, controlAddress, service, runTimeMs, announceMs}: Readonly<{
	address: string;
	/** Where the agent takes announcements. */
	controlAddress: string;
	service: string;
	runTimeMs: number;
	announceMs: number;
}>): Promise<ExecutorStandIn> {
	const running = new Map<string, Task>();
	const waiting = new Set<() => void>();
	let ends: readonly End[] = [];
	let endNumber = 0;
	let sequence = 0;

	const clockMs = (): number => Math.round(performance.now());

	async function waitForEnd(waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = (): void => {
				clearTimeout(timer);
				waiting.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, waitMs);
			waiting.add(finish);
		});
	}

	const handlers: Readonly<Record<string, (body: Body) => Promise<Readonly<Record<string, unknown>>>>> = {
		async hold({ackCursor, waitMs}) {
			ends = ends.filter(([number]) => number > ackCursor);
			if (ends.length === 0 && waitMs > 0) {
				await waitForEnd(waitMs);
			}

			return {born: startedAtMs, running: [...running].map(([taskId, {attempt, percent}]) => [taskId, attempt, '', percent, 250]), finished: ends};
		},
		async 'run-start'({task, run}) {
			running.set(task, {attempt: run, endsAtMs: performance.now() + runTimeMs, percent: 100});
			return {};
		},
		async 'run-stop'({task}) {
			end(task, 'stopped');
			return {};
		},
		async pace({task, percent}) {
			const known = running.get(task);
			if (known) {
				running.set(task, {...known, percent});
			}

			return {};
		},
	};

	function end(taskId: string, how: string): void {
		const task = running.get(taskId);
		if (task && running.delete(taskId)) {
			ends = [...ends, [++endNumber, taskId, task.attempt, how, '']];
			for (const finish of waiting) {
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
				end(taskId, 'done');
			}
		}
	}, lookMs);
	const [controlHost, controlPort] = controlAddress.split(':');
	const announceTimer = setInterval(() => {
		const announcement = sendRequest({
			host: controlHost, port: controlPort, path: '/arbutushinge/executors/i-1', method: 'PUT', headers: {'content-type': 'application/json'},
		}, answer => {
			answer.resume();
		});
		// The agent may not listen yet; the next announcement follows.
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
