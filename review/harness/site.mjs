/* eslint-disable unicorn/no-process-exit -- A case is a command line, and nothing that it left open may keep it running. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	appendFileSync, openSync, readFileSync, writeFileSync,
} from 'node:fs';
import {mkdtemp, rm} from 'node:fs/promises';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {startExecutor} from './executor.mjs';
import {startLink} from './link.mjs';
import {startStore} from './store.mjs';

const repository = path.join(import.meta.dirname, '..', '..');
export const service = 'loaves';
export const routeHost = 'orders.example';
export const routePrefix = '/orders/';
const clientTimeoutMs = 3000;

const maxRecordedBreaches = 20;
/** Bounds of tankwright-ops. */
const stopMs = 900;

/** A case runs for 120 s at most. */
const timeLimitMs = 110_000;

/** Returns the words of a role's `run` line in the deploy file, with the path of the settings. */
function commandOf(role, settingsFile) {
	const deployFile = readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
	const section = deployFile.split(`[roles.${role}]`)[1];
	const line = /^run = "(?<command>[^"]*)"$/mv.exec(section).groups.command;
	return line.replace('/etc/arbutushinge/settings.yaml', settingsFile).split(' ');
}

/** Fills in a template of the deploy file. */
function fillIn(template, fields) {
	const valueOf = name => {
		let value = fields;
		for (const key of name.split('.')) {
			value = value?.[key];
		}

		return value;
	};

	return readFileSync(path.join(repository, 'deploy', template), 'utf8').replaceAll(/\{\{(?<name>[\w.]+)(?<asJson>\|json)?\}\}/gv, (_match, name, asJson) => {
		const value = valueOf(name);
		return asJson ? JSON.stringify(value) : String(value ?? '');
	});
}

async function isFree(host, port) {
	const server = createServer();
	server.listen(port, host);
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.once('listening', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Finds ports that are free on all addresses of the site; they are the same on all machines. */
async function findPorts(hosts, count) {
	for (let tries = 0; tries < 100; tries++) {
		const first = 20_000 + Math.floor(Math.random() * 10_000);
		const ports = Array.from({length: count}, (_, index) => first + index);
		const checks = await Promise.all(hosts.flatMap(host => ports.map(async port => isFree(host, port))));
		if (checks.every(Boolean)) {
			return ports;
		}
	}

	throw new Error('no free ports');
}

/**
Starts a small deployment: entries and agents with the commands and the templates of the deploy file, each machine with an address of its own
on the loopback interface, and the platform's stand-ins in this process. `record.txt` in the case's folder takes what was sent, answered and run.
*/
export async function startSite({
	caseFolder, entryCount = 2, executorCount = 2, capacity = {cpu: 32_000, memMb: 128_000, gpu: 0}, labelsOf = index => ['a', `r1-${index + 1}`], heartbeatMs = 1500, keepMs,
}) {
	const recordFile = path.join(caseFolder, 'record.txt');
	writeFileSync(recordFile, '');
	const startMs = performance.now();
	const events = [];
	function record(kind, fields) {
		const atMs = Math.round(performance.now() - startMs);
		events.push({atMs, kind, ...fields});
		appendFileSync(recordFile, `${atMs} ${kind} ${Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ')}\n`);
	}

	const directory = await mkdtemp(path.join(tmpdir(), 'review-'));
	const net = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
	const hostOf = index => `${net}.${index + 1}`;
	const hosts = Array.from({length: 1 + entryCount + executorCount}, (_, index) => hostOf(index));
	const [storePort, frontendPort, readinessPort, controlPort, firstPort, lastPort, appPort, metricsPort, closedPort, linkPort] = await findPorts(hosts, 10);
	// The store has an address for each machine, those of the entries first.
	const storeAddresses = hosts.slice(1).map((_, index) => `${hostOf(100 + index)}:${storePort}`);
	const store = await startStore({addresses: storeAddresses, keepMs});
	const processes = [];
	let isClosing = false;

	function fieldsOf(node, ip, zone, machine) {
		return {
			node, ip, zone, region: 'here', limits: {cores: 1, cpuShare: 0.675},
			listen: {frontend: `${ip}:${frontendPort}`, readiness: `${ip}:${readinessPort}`, control: `${ip}:${controlPort}`},
			portRange: [firstPort, lastPort],
			seeds: Array.from({length: Math.min(3, entryCount)}, (_, index) => `${hostOf(1 + index)}:${controlPort}`),
			platform: {address: storeAddresses[machine]}, advice: `${hostOf(0)}:${closedPort}`, cloud: {address: `${hostOf(0)}:${closedPort}`},
			app: `${ip}:${appPort}`, service,
		};
	}

	function createProcess(role, fields) {
		const {node, ip} = fields;
		const file = path.join(directory, `${node}.yaml`);
		// Processes of several machines share 127.0.0.1 here, so that each has these two addresses on its own machine's address.
		writeFileSync(file, fillIn(`${role}.yaml`, fields).replaceAll(':9464"', `:${metricsPort}"`).replaceAll('"127.0.0.1:', `"${ip}:`)
			.replace(`operatorAddress: "${ip}:${firstPort}"`, `operatorAddress: "${ip}:${closedPort}"`).replace(`callerAddress: "${ip}:${lastPort}"`, `callerAddress: "${ip}:${appPort}"`));
		const log = openSync(path.join(directory, `${node}.log`), 'a');
		let child;
		const handle = {
			node, ip,
			start() {
				if (isClosing) {
					return;
				}

				const [program, ...words] = commandOf(role, file);
				child = spawn(program === 'node' ? process.execPath : program, words, {
					cwd: repository, env: {PATH: process.env.PATH, HOME: directory}, stdio: ['ignore', log, log],
				});
				record('process', {node, did: 'started', pid: child.pid});
			},
			signal(name) {
				if (child.exitCode === null && child.signalCode === null) {
					record('process', {node, did: name});
					child.kill(name);
				}
			},
			async ended() {
				if (child.exitCode === null && child.signalCode === null) {
					await once(child, 'exit');
				}
			},
		};
		processes.push(handle);
		handle.start();
		return handle;
	}

	const entries = [];
	for (let index = 0; index < entryCount; index++) {
		entries.push(createProcess('entry', fieldsOf(`edge-z${index + 1}-1`, hostOf(1 + index), `z${index + 1}`, index)));
	}

	const agents = [];
	const executors = [];
	/** The executors' links to the addresses that take their pings. */
	const controlLinks = [];
	for (let index = 0; index < executorCount; index++) {
		const ip = hostOf(1 + entryCount + index);
		const zone = `z${(index % 4) + 1}`;
		const fields = fieldsOf(`side-${zone}-${index + 1}`, ip, zone, entryCount + index);
		agents.push(createProcess('agent', fields));
		controlLinks.push(await startLink({host: ip, port: linkPort, target: fields.listen.control}));
		executors.push(await startExecutor({
			id: `i-${index + 1}`, host: ip, port: appPort, controlAddress: `${ip}:${linkPort}`, service, zone, capacity, labels: labelsOf(index),
			heartbeatMs, stopMs, record,
		}));
	}

	let version = 0;
	function configure() {
		version += 7;
		store.putKey('keyed.op', 'config', JSON.stringify({
			version, routes: [{
				name: 'orders', host: routeHost, pathPrefix: routePrefix, service, type: 'jobs', timeoutMs: 3000, sloMs: 1000, attempts: 3, priority: 0, stretch: 2,
			}], services: [{name: service, admissionCheck: true}], limits: {maxBodyBytes: 262_144},
		}));
	}

	configure();

	/** Sends one request and waits for at most `clientTimeoutMs`; the status is undefined when there is no complete answer. */
	async function call(method, entry, id, body) {
		const sentAtMs = Math.round(performance.now() - startMs);
		let status;
		let text = '';
		try {
			[status, text] = await new Promise((resolve, reject) => {
				const sent = request({
					host: entry.ip,
					port: frontendPort,
					path: `${routePrefix}${id}`,
					method,
					headers: {host: routeHost, 'content-type': 'application/json', 'deadline-ms': String(clientTimeoutMs)}, timeout: clientTimeoutMs,
				}, response => {
					let received = '';
					response.setEncoding('utf8');
					response.on('data', chunk => {
						received += chunk;
					});
					response.on('end', () => {
						resolve([response.statusCode, received]);
					});
					response.on('error', reject);
				});
				sent.on('error', reject);
				sent.on('timeout', () => {
					sent.destroy(new Error('timeout'));
				});
				sent.end(body === undefined ? undefined : JSON.stringify(body));
			});
		} catch (error) {
			text = error.message;
		}

		record('call', {
			method, entry: entry.node, id: id || '-', sentAtMs, status: status ?? 'none', text: text.slice(0, 60).replaceAll(/\s+/gv, ' '),
		});
		return {status, text};
	}

	/** Submits a job as a client does: again after no answer, 502, 504, 429 or 503, at another entry, for at most `forMs`. Returns the status of the last answer. */
	async function submit(id, body, forMs = 15_000) {
		const untilMs = performance.now() + forMs;
		for (let tries = 0; ; tries++) {
			const {status} = await call('POST', entries[tries % entries.length], id, body);
			if (status === 200 || performance.now() > untilMs) {
				return status;
			}

			await delay(300);
		}
	}

	async function stateOf(id, entry = entries[0]) {
		const {status, text} = await call('GET', entry, id);
		return status === 200 ? JSON.parse(text).state : status;
	}

	async function waitForState(id, wanted, forMs) {
		const untilMs = performance.now() + forMs;
		let state;
		while (state !== wanted && performance.now() < untilMs) {
			state = await stateOf(id);
			if (state !== wanted) {
				await delay(200);
			}
		}

		return state;
	}

	return {
		store, entries, agents, executors, controlLinks, events, record, call, submit, stateOf, waitForState, configure, directory, ports: {controlPort, appPort, firstPort},
		nowMs: () => Math.round(performance.now() - startMs),
		async close() {
			isClosing = true;
			for (const handle of processes) {
				handle.signal('SIGKILL');
			}

			await Promise.all(processes.map(async handle => handle.ended()));
			for (const part of [...executors, ...controlLinks]) {
				part.close();
			}

			await store.close();
			if (process.env.KEEP_LOGS === undefined) {
				await rm(directory, {recursive: true, force: true});
			}
		},
	};
}

/** Waits until a condition holds; throws an error when it does not in time. */
export async function until(description, condition, forMs) {
	const untilMs = performance.now() + forMs;
	while (!await condition()) {
		if (performance.now() > untilMs) {
			throw new Error(`not in time: ${description}`);
		}

		await delay(50);
	}
}

/**
Returns the breaches of TWICE: two runs of a task at the same time on executors that are up, or a start after a run has ended `done`, if that end
is taken note of then or later.
*/
export function findDoubleRuns(events) {
	const breaches = [];
	const liveRuns = new Map();
	const doneAtMs = new Map();
	const noted = new Set(events.filter(({kind, how}) => kind === 'noted' && how === 'done').map(({executor, born, number}) => `${executor}/${born}/${number}`));
	for (const {kind, atMs, executor, born, task, run, how, number} of events) {
		const live = liveRuns.get(task) ?? new Map();
		liveRuns.set(task, live);
		if (kind === 'start') {
			// What an executor does with a later run of a task that it runs isn't on the pages, so that such a pair doesn't count.
			for (const [other, otherRun] of [...live].filter(([name]) => name !== executor)) {
				breaches.push(`${atMs} ms: run ${run} of ${task} starts on ${executor} while run ${otherRun} is on ${other}`);
			}

			if (doneAtMs.has(task)) {
				breaches.push(`${atMs} ms: run ${run} of ${task} starts on ${executor}, after a run ended done at ${doneAtMs.get(task)} ms, which was taken note of`);
			}

			live.set(executor, run);
		} else if (kind === 'end') {
			live.delete(executor);
			if (how === 'done' && noted.has(`${executor}/${born}/${number}`)) {
				doneAtMs.set(task, doneAtMs.get(task) ?? atMs);
			}
		}
	}

	return breaches;
}

/**
Returns the breaches of AVAIL: an order to stop ends a task at work on a sound executor while `mayMiss` others of its step are away, that is ended by
such an order or not at work for `noticeMs`. All tasks of the step are expected to be at work `startupMs` after their start.
*/
export function findUnavailableSteps(events, {isOfStep, mayMiss, startupMs, noticeMs = 4500}) {
	const breaches = [];
	const tasks = new Map();
	const stopped = new Set();
	for (const {kind, atMs, executor, task, run, how, hasTask} of events) {
		if (task === undefined || !isOfStep(task)) {
			continue;
		}

		if (kind === 'start') {
			tasks.set(task, {atWorkAtMs: atMs + startupMs, awaySinceMs: tasks.get(task)?.awaySinceMs ?? atMs, isOrdered: tasks.get(task)?.isOrdered ?? false});
		} else if (kind === 'stop' && hasTask) {
			stopped.add(`${task}/${run}`);
		} else if (kind === 'end') {
			const isOrdered = how === 'stopped' && stopped.has(`${task}/${run}`);
			const isAway = other => other.atWorkAtMs === undefined || other.atWorkAtMs > atMs;
			const away = [...tasks].filter(([name, other]) => name !== task && isAway(other) && (other.isOrdered || atMs - other.awaySinceMs >= noticeMs));
			if (isOrdered && !isAway(tasks.get(task)) && away.length >= mayMiss) {
				breaches.push(`${atMs} ms: an order ended run ${run} of ${task} on ${executor} while ${away.length} others of its step were away, and ${mayMiss} may be`);
			}

			tasks.set(task, {atWorkAtMs: undefined, awaySinceMs: atMs, isOrdered});
		}
	}

	return breaches;
}

/** Waits until all entries serve clients. */
export async function untilReady(site) {
	await until('all entries answer', async () => {
		const answers = await Promise.all(site.entries.map(async entry => site.call('GET', entry, '')));
		return answers.every(({status}) => status === 200);
	}, 20_000);
	// The traffic starts seconds after the machines.
	await delay(4000);
}

/** Returns the ID of a job, 16 hexadecimal digits. */
export const jobId = number => number.toString(16).padStart(16, '0');

/** Runs a case and ends the process with 1 when `run` returns breaches of the rule, 0 when there is none, and 2 when the case could not run. */
export async function runCase(options, run) {
	let site;
	let exitCode = 2;
	const stopped = new Promise((_resolve, reject) => {
		const stop = reason => {
			reject(new Error(reason));
		};

		setTimeout(stop, timeLimitMs, 'the time is over');
		process.once('SIGTERM', stop);
		process.once('SIGINT', stop);
	});
	try {
		site = await startSite(options);
		const breaches = await Promise.race([run(site, {hasTrouble: process.env.TROUBLE !== '0'}), stopped]);
		for (const breach of breaches.slice(0, maxRecordedBreaches)) {
			site.record('breach', {text: breach});
		}

		console.log(breaches.length === 0 ? 'the rule held' : `the rule was broken ${breaches.length} times, first: ${breaches[0]}`);
		exitCode = breaches.length === 0 ? 0 : 1;
	} catch (error) {
		console.log(`the case could not run: ${error.stack}`);
	} finally {
		await site?.close();
	}

	process.exit(exitCode);
}
