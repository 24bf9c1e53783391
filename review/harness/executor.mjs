import {once} from 'node:events';
import {createServer, request as sendRequest} from 'node:http';
import {json} from 'node:stream/consumers';

/** Ends that one answer lists at most. */
const endsAtATime = 500;
const maxHoldMs = 10_000;

/** When a late order is carried out after its arrival. */
const minLateMs = 2000;
const maxLateMs = 12_000;
const checkMs = 10;

/** Run time of a task that starts after the end of its input. */
const shortRunMs = 300;

/** Reads what a task does from its spec, such as `ms=1000 cpu=20 mem=32`. Without `ms` it works until its input ends. */
function readSpec(spec) {
	const number = name => Number(new RegExp(String.raw`${name}=(?<value>\d+)`, 'v').exec(spec)?.groups.value ?? 0);
	return {
		cpu: number('cpu'), memMb: number('mem'), startupMs: number('startup'), runMs: number('ms') || Number.POSITIVE_INFINITY,
	};
}

/**
Starts an executor as PROTOCOL.md describes it. `record` takes what it saw. `crash` ends it without a trace, `startAgain` starts the next
incarnation under the same ID and address.
*/
export async function startExecutor({id, host, port, controlAddress, service, zone, capacity, labels, heartbeatMs, stopMs, record}) {
	let isUp = true;
	let born = Date.now();
	let clockZeroMs = performance.now();
	let running = new Map();
	let newestRuns = new Map();
	let finished = [];
	let endNumber = 0;
	let fencingToken = 0;
	let leaseUntilMs = 0;
	let sequence = 0;
	let state = 'ready';
	let isInputOver = false;
	let lateShare = 0;
	let isFailing = false;
	const waiting = new Set();

	const clockMs = () => Math.floor(performance.now() - clockZeroMs);

	function endTask(task, how) {
		const {run} = running.get(task);
		running.delete(task);
		finished.push([++endNumber, task, run, how, '']);
		record('end', {
			executor: id, born, task, run, how, number: endNumber,
		});
		for (const resolve of waiting) {
			resolve();
		}
	}

	async function waitForEnd(waitMs) {
		await new Promise(resolve => {
			const done = () => {
				clearTimeout(timer);
				waiting.delete(done);
				resolve();
			};

			const timer = setTimeout(done, waitMs);
			waiting.add(done);
		});
	}

	function extendLease(untilMs) {
		leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, clockMs() + maxHoldMs));
	}

	function usedRoom() {
		let [cpu, memMb] = [0, 0];
		for (const task of running.values()) {
			cpu += task.cpu;
			memMb += task.memMb;
		}

		return {cpu, memMb};
	}

	const refusal = reason => [409, {reason}];

	const handlers = {
		async hold({ackCursor = 0, untilMs = 0, waitMs = 0}) {
			extendLease(untilMs);
			for (const [number, task, run, how] of finished) {
				if (number <= ackCursor) {
					record('noted', {
						executor: id, born, task, run, how, number,
					});
				}
			}

			finished = finished.filter(([number]) => number > ackCursor);
			if (finished.length === 0 && waitMs > 0) {
				await waitForEnd(waitMs);
			}

			return [200, {
				born, running: [...running].map(([task, {run, percent, atWorkAtMs}]) => [task, run, '', performance.now() < atWorkAtMs ? 0 : percent, 0]), finished: finished.slice(0, endsAtATime),
			}];
		},
		async 'run-start'({task, run, spec = '', untilMs = 0}) {
			if (running.get(task)?.run === run) {
				extendLease(untilMs);
				return [200, {}];
			}

			if (run <= (newestRuns.get(task) ?? 0)) {
				extendLease(untilMs);
				return refusal('old');
			}

			if (untilMs <= clockMs()) {
				return refusal('late');
			}

			const wanted = readSpec(spec);
			const used = usedRoom();
			if (used.cpu + wanted.cpu > capacity.cpu || used.memMb + wanted.memMb > capacity.memMb) {
				extendLease(untilMs);
				return refusal('room');
			}

			extendLease(untilMs);
			newestRuns.set(task, run);
			const runMs = isInputOver || isFailing ? Math.min(wanted.runMs, shortRunMs) : wanted.runMs;
			running.set(task, {
				run, ...wanted, endsAtMs: performance.now() + runMs, atWorkAtMs: performance.now() + wanted.startupMs, percent: 100, stopping: false,
			});
			record('start', {
				executor: id, born, task, run,
			});
			return [200, {}];
		},
		async 'run-stop'({task, run}) {
			newestRuns.set(task, Math.max(run, newestRuns.get(task) ?? 0));
			const current = running.get(task);
			record('stop', {
				executor: id, born, task, run, hasTask: current?.run === run,
			});
			if (current?.run === run && !current.stopping) {
				current.stopping = true;
				current.stopAtMs = performance.now() + (stopMs / 2);
			}

			return [200, {}];
		},
		async pace({task, run, percent}) {
			const current = running.get(task);
			if (current?.run === run) {
				current.percent = percent;
			}

			return [200, {}];
		},
	};

	async function carryOut(name, expected, body) {
		if (expected !== undefined && expected !== id) {
			return [421, {}];
		}

		const handler = handlers[name];
		if (!handler) {
			return [404, {}];
		}

		if ((body.fencingToken ?? 0) < fencingToken) {
			return refusal('fence');
		}

		fencingToken = body.fencingToken ?? 0;
		return handler(body);
	}

	/** Returns undefined for an order that gets no answer and is carried out later. */
	async function answer(request) {
		const body = await json(request);
		const [name, expected, life] = [request.url.split('/').at(-1), request.headers['expected-instance'], born];
		if (!name.startsWith('run-') || Math.random() >= lateShare) {
			return carryOut(name, expected, body);
		}

		const lateMs = minLateMs + (Math.random() * (maxLateMs - minLateMs));
		record('late', {
			executor: id, order: name, task: body.task, run: body.run, lateMs: Math.round(lateMs),
		});
		setTimeout(() => {
			if (isUp && life === born) {
				carryOut(name, expected, body).catch(() => undefined);
			}
		}, lateMs);
	}

	const server = createServer((request, response) => {
		const life = born;
		answer(request).then(answered => {
			if (answered && isUp && life === born) {
				const [status, body] = answered;
				response.writeHead(status, {'content-type': 'application/json'});
				response.end(JSON.stringify({clockMs: clockMs(), ...body}));
			}
		}).catch(() => {
			response.destroy();
		});
	});
	server.listen(port, host);
	await once(server, 'listening');

	const checkTimer = setInterval(() => {
		if (!isUp) {
			return;
		}

		for (const [task, {endsAtMs, stopping, stopAtMs}] of running) {
			if (leaseUntilMs <= clockMs()) {
				endTask(task, 'lapsed');
			} else if (stopping && stopAtMs <= performance.now()) {
				endTask(task, 'stopped');
			} else if (!stopping && endsAtMs <= performance.now()) {
				endTask(task, isFailing ? 'failed' : 'done');
			}
		}
	}, checkMs);

	const [controlHost, controlPort] = controlAddress.split(':');
	function ping() {
		if (!isUp) {
			return;
		}

		const sent = sendRequest({
			host: controlHost, port: controlPort, path: `/arbutushinge/executors/${id}`, method: 'PUT', headers: {'content-type': 'application/json'}, timeout: 1000,
		}, response => {
			response.resume();
		});
		// The agent may not listen yet; the next ping follows.
		sent.on('error', () => undefined);
		sent.on('timeout', () => {
			sent.destroy();
		});
		sent.end(JSON.stringify({
			service, address: `${host}:${port}`, zone, version: 'v1', slots: 8, state, coldLeftMs: 0, capacity, labels, clockMs: clockMs(), seq: ++sequence, born,
		}));
	}

	let pingTimer = setInterval(ping, heartbeatMs);
	return {
		id,
		runningCount: () => running.size,
		hasTask: task => running.has(task),
		/** The input of the running tasks ends: each finishes within `withinMs`. */
		endInput(withinMs) {
			isInputOver = true;
			for (const task of running.values()) {
				task.endsAtMs = Math.min(task.endsAtMs, performance.now() + (Math.random() * withinMs));
			}
		},
		/** A share of the orders gets no answer and is carried out 2 to 12 s later. */
		setLateShare(share) {
			lateShare = share;
		},
		/** Fails all that it starts, while its pings and lists are good. */
		setFailing(next) {
			isFailing = next;
		},
		setState(next) {
			state = next;
			ping();
		},
		/** Leaves as the platform's page describes it: says so, serves on, sends its last call and ends. */
		async leave(drainMs) {
			state = 'draining';
			ping();
			record('draining', {executor: id, born});
			await new Promise(resolve => {
				setTimeout(resolve, drainMs);
			});
			const life = born;
			const sent = sendRequest({
				host: controlHost, port: controlPort, path: `/arbutushinge/executors/${id}`, method: 'DELETE',
			}, response => {
				response.resume();
				record('left', {executor: id, born: life, status: response.statusCode});
			});
			sent.on('error', () => undefined);
			sent.end();
			record('leaves', {executor: id, born: life});
			this.crash();
		},
		/** Ends without a trace: the port refuses connections and all tasks are gone. */
		crash() {
			isUp = false;
			for (const [task, {run}] of running) {
				record('end', {
					executor: id, born, task, run, how: 'crashed',
				});
			}

			running = new Map();
			newestRuns = new Map();
			finished = [];
			endNumber = 0;
			fencingToken = 0;
			leaseUntilMs = 0;
			sequence = 0;
			server.close();
			server.closeAllConnections();
		},
		/** Starts the next life, perhaps with other labels; its first ping follows within the time between two. */
		async startAgain(firstPingMs = 0, nextLabels = labels) {
			labels = nextLabels;
			born = Date.now();
			clockZeroMs = performance.now();
			isUp = true;
			state = 'ready';
			server.listen(port, host);
			await once(server, 'listening');
			record('life', {executor: id, born});
			clearInterval(pingTimer);
			setTimeout(() => {
				ping();
				pingTimer = setInterval(ping, heartbeatMs);
			}, firstPingMs);
		},
		close() {
			clearInterval(checkTimer);
			clearInterval(pingTimer);
			isUp = false;
			server.close();
			server.closeAllConnections();
		},
	};
}
