import {createServer, request as sendRequest} from 'node:http';
import {json} from 'node:stream/consumers';

const endsPerPage = 500;
const tickMs = 20;

/**
Starts a stand-in of an executor: starts, stops, lists, fencing tokens and the lease as on the page. `runTimeMs` of a start is told from its `spec`;
infinity for a task that lasts. While `isFailing` holds, each run that it starts ends `failed` at once. It announces itself at `control` each `heartbeatMs`. `onRun` is called with each start and each end.
*/
export async function startExecutor({host, port, control, service, id, zone, labels, capacity, holdMaxMs, heartbeatMs, runTimeMs, isFailing = () => false, onRun}) {
	const born = Date.now();
	const startedAtMs = performance.now();
	const running = new Map();
	const newestRuns = new Map();
	const waiting = new Set();
	let finished = [];
	let endNumber = 0;
	let fence = 0;
	let leaseUntilMs = 0;
	let sequence = 0;

	const clockMs = () => Math.round(performance.now() - startedAtMs);

	function end(task, how) {
		const {run} = running.get(task);
		running.delete(task);
		finished.push([++endNumber, task, run, how, '']);
		onRun({
			executor: id, event: how, task, run,
		});
		for (const wake of waiting) {
			wake();
		}
	}

	function extendLease(untilMs) {
		leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, clockMs() + holdMaxMs));
	}

	function start({task, run, spec, untilMs}) {
		if (running.get(task)?.run === run) {
			return {status: 200, body: {}};
		}

		if (run <= (newestRuns.get(task) ?? 0)) {
			extendLease(untilMs);
			return {status: 409, body: {reason: 'old'}};
		}

		if (untilMs <= clockMs()) {
			return {status: 409, body: {reason: 'late'}};
		}

		extendLease(untilMs);
		newestRuns.set(task, run);
		const fails = isFailing(id);
		running.set(task, {run, endsAtMs: performance.now() + (fails ? 0 : runTimeMs(spec)), how: fails ? 'failed' : 'done'});
		onRun({
			executor: id, event: 'start', task, run,
		});
		return {status: 200, body: {}};
	}

	function stop({task, run}) {
		newestRuns.set(task, Math.max(run, newestRuns.get(task) ?? 0));
		if (running.has(task) && running.get(task).run <= run) {
			end(task, 'stopped');
		}

		return {status: 200, body: {}};
	}

	async function hold({ackCursor = 0, untilMs = 0, waitMs = 0}) {
		extendLease(untilMs);
		finished = finished.filter(([number]) => number > ackCursor);
		if (finished.length === 0 && waitMs > 0) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, Math.min(2000, waitMs));
				waiting.add(wake);
			});
		}

		return {
			status: 200, body: {
				born, running: [...running].map(([task, {run}]) => [task, run, '', 100, 0]), finished: finished.slice(0, endsPerPage),
			},
		};
	}

	const calls = {
		'run-start': start, 'run-stop': stop, hold, pace: () => ({status: 200, body: {}}),
	};

	async function handle(request, response) {
		const body = await json(request);
		const call = calls[request.url.split('/').at(-1)];
		let answer = {status: 400, body: {}};
		if (request.headers['expected-instance'] !== undefined && request.headers['expected-instance'] !== id) {
			answer = {status: 421, body: {}};
		} else if ((body.fencingToken ?? 0) < fence) {
			answer = {status: 409, body: {reason: 'fence'}};
		} else if (call) {
			fence = body.fencingToken ?? 0;
			answer = await call(body);
		}

		response.writeHead(answer.status, {'content-type': 'application/json'});
		response.end(JSON.stringify({clockMs: clockMs(), ...answer.body}));
	}

	const server = createServer({keepAliveTimeout: 60_000}, (request, response) => {
		handle(request, response).catch(() => {
			response.destroy();
		});
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});

	const tickTimer = setInterval(() => {
		for (const [task, {endsAtMs, how}] of running) {
			if (leaseUntilMs <= clockMs()) {
				end(task, 'lapsed');
			} else if (endsAtMs <= performance.now()) {
				end(task, how);
			}
		}
	}, tickMs);
	const pingTimer = setInterval(() => {
		const [controlHost, controlPort] = control.split(':');
		const sent = sendRequest({
			host: controlHost, port: controlPort, method: 'PUT', path: `/arbutushinge/executors/${id}`, headers: {'content-type': 'application/json'}, timeout: 1000,
		}, response => {
			response.resume();
		});
		sent.on('timeout', () => {
			sent.destroy();
		});
		sent.on('error', () => undefined);
		sequence++;
		sent.end(JSON.stringify({
			service, address: `${host}:${port}`, zone, version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, capacity, labels, clockMs: clockMs(), seq: sequence, born,
		}));
	}, heartbeatMs);
	return {
		id,
		runningTasks: () => [...running.keys()],
		close() {
			clearInterval(tickTimer);
			clearInterval(pingTimer);
			server.closeAllConnections();
			server.close();
		},
	};
}
