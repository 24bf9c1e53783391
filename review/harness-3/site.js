import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {createWriteStream} from 'node:fs';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {startExecutor} from './executor.js';
import {startStore} from './store.js';

/** Longest time that a stopped process has, as `graceS` of the settings. */
const graceMs = 6000;

export const sleep = async durationMs => new Promise(resolve => {
	setTimeout(resolve, durationMs);
});

async function isFree(host, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Returns a part of the loopback range, as `127.a.b`, of which no address is in use here. */
async function findFreeNet(ports) {
	for (let tries = 0; tries < 50; tries++) {
		const net = `127.${randomInt(16, 250)}.${randomInt(1, 250)}`;
		const free = await Promise.all([1, 2, 11, 21].flatMap(host => ports.map(async port => isFree(`${net}.${host}`, port))));
		if (free.every(Boolean)) {
			return net;
		}
	}

	throw new Error('no free loopback addresses');
}

/** Fills a template of settings as the deploy page says, for the placeholders that the templates use. */
function fill(template, fields) {
	return template.replaceAll(/\{\{([\w.]+)(\|json)?\}\}/gv, (_match, name, asJson) => {
		let value = fields;
		for (const part of name.split('.')) {
			value = value?.[part];
		}

		return asJson ? JSON.stringify(value) : String(value ?? '');
	});
}

/** Starts a machine's process again, after a pause, whenever it has ended by itself, until `isOver` holds; returns a function that tells the number of ends. */
export function restartEnded(site, node, {pauseMs, isOver, log}) {
	let ends = 0;
	async function watch() {
		while (!isOver()) {
			await site.waitForEnd(node);
			if (!isOver()) {
				ends++;
				log(`${node} has ended by itself, ${ends} times so far`);
				await sleep(pauseMs);
				if (!isOver()) {
					site.start(node);
				}
			}
		}
	}

	watch();
	return () => ends;
}

/**
Starts a small deployment: a store, executors, and the project's programs with the commands and templates of the deploy file. Each machine has a
loopback address of its own. Ports differ from machine to machine only where the programs listen at 127.0.0.1.
*/
export async function startSite({
	edges, sides, capacity, keepS, config, kindOf = () => 'a', runTimeMs, isFailing, onRun, log,
}) {
	const root = path.resolve(import.meta.dirname, '..', '..');
	const directory = await mkdtemp(path.join(tmpdir(), 'arbutushinge-review-'));
	const basePort = randomInt(20_000, 28_000);
	const ports = {
		frontend: basePort, readiness: basePort + 1, control: basePort + 2, app: basePort + 3, store: basePort + 4, range: basePort + 10,
	};
	const net = await findFreeNet([ports.frontend, ports.readiness, ports.control, ports.app, ports.store, 9464]);
	const deploy = await readFile(path.join(root, 'deploy/system.toml'), 'utf8');
	const {service} = config.routes[0];
	const platform = {
		address: `${net}.1:${ports.store}`, form: 'log', recordBytes: 262_144, callBytes: 2_097_152, ...Object.fromEntries([['keep_s', keepS]]), partMb: 200, appendMs: 2,
	};
	const store = await startStore({
		host: `${net}.1`, port: ports.store, keepMs: 1000 * keepS, recordBytes: platform.recordBytes, callBytes: platform.callBytes, appendMs: platform.appendMs,
		onAppended({topic, totalBytes}) {
			if (topic.includes('snapshot')) {
				log(`a snapshot of ${totalBytes} bytes is stored`);
			}
		},
		onRefused(refused) {
			log(`store refused an append: ${JSON.stringify(refused)}`);
		},
	});
	store.putKey('keyed.op', 'config', JSON.stringify(config));
	const zones = ['kalgoorlie', 'coolgardie', 'kambalda', 'menzies'];
	const edgeIps = Array.from({length: edges}, (_, index) => `${net}.${11 + index}`);
	const machines = new Map();
	const executors = [];

	function fieldsOf(index, {kind, ip, number}) {
		const zone = zones[number % zones.length];
		return {
			node: `${kind}-${zone}-${1 + Math.floor(number / zones.length)}`,
			ip, zone, region: 'wa-goldfields',
			listen: {frontend: `${ip}:${ports.frontend}`, readiness: `${ip}:${ports.readiness}`, control: `${ip}:${ports.control}`},
			portRange: [ports.range + (2 * index), ports.range + (2 * index) + 1],
			seeds: edgeIps.slice(0, 3).map(seed => `${seed}:${ports.control}`),
			limits: {cpuShare: kind === 'edge' ? 0.675 : 0.405, cores: 1},
			bounds: {holdMaxMs: 10_000},
			app: `${ip}:${ports.app}`, service, platform, advice: '', cloud: {address: ''},
		};
	}

	async function prepare(index, machine) {
		const fields = fieldsOf(index, machine);
		const role = machine.kind === 'edge' ? 'entry' : 'agent';
		const template = await readFile(path.join(root, `deploy/${role}.yaml`), 'utf8');
		const settings = path.join(directory, `${fields.node}.yaml`);
		// The agents' seeds name the port that an entry listens at for streams; here it is that of the first entry.
		const filled = fill(template, role === 'agent' ? {...fields, portRange: [ports.range, fields.portRange[1]]} : fields);
		await writeFile(settings, filled);
		const command = new RegExp(String.raw`\[roles\.${role}\]\s+run = "(?<run>[^"]+)"`, 'v').exec(deploy).groups.run;
		const [program, ...words] = command.replace('/etc/arbutushinge/settings.yaml', settings).split(' ');
		machines.set(fields.node, {
			...machine, fields, program, words, child: undefined,
		});
		return fields.node;
	}

	function start(node) {
		const machine = machines.get(node);
		const output = createWriteStream(path.join(directory, `${node}.log`), {flags: 'a'});
		const child = spawn(machine.program, machine.words, {cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, HOME: directory, LANG: 'C'}});
		child.stdout.pipe(output, {end: false});
		child.stderr.pipe(output, {end: false});
		const ended = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				log(`${node} ended with ${code ?? signal}`);
				resolve();
			});
		});
		machine.child = child;
		machine.ended = ended;
		log(`${node} starts`);
	}

	/** Sends a signal to a process; after SIGTERM, SIGKILL follows when `graceS` has passed. */
	async function stop(node, signal) {
		const {child, ended} = machines.get(node);
		log(`${node} gets ${signal}`);
		child.kill(signal);
		const timer = setTimeout(() => {
			child.kill('SIGKILL');
		}, graceMs);
		await ended;
		clearTimeout(timer);
	}

	for (const [index, ip] of edgeIps.entries()) {
		await prepare(index, {kind: 'edge', ip, number: index});
	}

	for (let index = 0; index < sides; index++) {
		await prepare(edges + index, {kind: 'side', ip: `${net}.${21 + index}`, number: index});
	}

	const nodes = [...machines.keys()];
	for (const node of nodes) {
		const {kind, fields} = machines.get(node);
		start(node);
		if (kind === 'side') {
			executors.push(await startExecutor({
				host: fields.ip, port: ports.app, control: fields.listen.control, service, id: `i-${fields.node}`, zone: fields.zone, labels: [kindOf(executors.length), `r-${fields.zone}`], capacity,
				holdMaxMs: 10_000, heartbeatMs: 1100, runTimeMs, isFailing, onRun,
			}));
		}
	}

	return {
		store, executors, directory,
		edges: nodes.filter(node => machines.get(node).kind === 'edge'),
		sides: nodes.filter(node => machines.get(node).kind === 'side'),
		frontendOf: node => machines.get(node).fields.listen.frontend,
		readinessOf: node => machines.get(node).fields.listen.readiness,
		start, stop,
		/** Resolves when the present process of a machine has ended. */
		waitForEnd: async node => machines.get(node).ended,
		async close(keepLogs = false) {
			await Promise.all([...machines.values()].map(async ({child, ended}) => {
				child.kill('SIGKILL');
				await ended;
			}));
			for (const executor of executors) {
				executor.close();
			}

			store.close();
			if (!keepLogs) {
				await rm(directory, {recursive: true, force: true});
			}
		},
	};
}
