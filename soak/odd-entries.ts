import {Buffer} from 'node:buffer';
import {request as sendRequest} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {deflateSync} from 'node:zlib';
import fc from 'fast-check';
import {waitUntil} from '../demo/process-runner.js';
import {entriesTopic} from '../platform/entry-registry.js';
import {parseObject} from '../platform/parse-object.js';
import {encodeClusterState} from '../src/cluster/cluster-state-codec.js';
import {emptyClusterState} from '../src/cluster/reduce-cluster.js';
import {jsonWithOddField, oddBytes, oddJson} from '../src/validation/odd-values.js';
import {runGoodJob} from './run-good-job.js';
import {
	queuePrefix, service, type Site, type SiteAgent, type SiteEntry,
} from './site.js';

/** Returns values of an arbitrary; the same seed gives the same ones. */
type Sample = <Value>(arbitrary: fc.Arbitrary<Value>, count: number) => readonly Value[];

/** Odd entries of another writer in one place. */
type OddEntries = Readonly<{
	leave: (site: Site, sample: Sample) => Promise<void> | void;
	/** Checks beside the good jobs. */
	check?: (site: Site) => Promise<void>;
	/** Processes that are killed and started again after the odd entries. */
	restarts?: (site: Site) => ReadonlyArray<SiteEntry | SiteAgent>;
}>;

/** Bound of a good job while all processes run, and after some of them were restarted. */
const goodJobTimeoutMs = 5000;
const restartTimeoutMs = 10_000;

/** Agents read the announcements of entries every 3 s. */
const discoveryWaitMs = 3200;

const callTimeoutMs = 5000;
const depth = 50_000;
const nested = `${'['.repeat(depth)}${']'.repeat(depth)}`;
const longText = 'x'.repeat(200_000);
const notText = Buffer.from([0xFF, 0xFE, 0x00, 0xC3, 0x28, 0x5B]);

const logTopic = 'arbutushinge';
const snapshotTopic = 'arbutushinge-snapshots';
const operatorTopic = 'keyed.op';

const oddAddresses = ['127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1:0', '127.0.0.1', '127.0.0.1:', '', ':', '127.0.0.1:80:80', '999.1.1.1:80', '[::', 'http://127.0.0.1:80', longText];

const envelope = (record: unknown): Readonly<Record<string, unknown>> => ({
	writer: 'entry-9', incarnation: 'e5f0', sequence: 1, record,
});

const registeredVm = {
	kind: 'vm-registered', vmId: 'vm-9', agentIncarnation: 'agent-9', workerIncarnation: 'worker-9', failureDomain: 'zone-9', rack: 'rack-9',
	requestAddress: '127.0.0.1:80', capacity: {processorsMilli: 1000, memoryMb: 1000, accelerators: 0}, runningTasks: [{taskId: 'a.0.0.0', attempt: 1}],
	service: 'elsewhere', labels: ['large', 'rack-9'], workerStartedAtMs: 1,
};

const registeredEntry = {
	kind: 'entry-registered', entryId: 'entry-9', failureDomain: 'zone-9', operatorAddress: '127.0.0.1:80', processorsMilli: 1000,
};

const submittedJob = {
	kind: 'job-submitted',
	job: {
		jobId: 'ffffffffffffffff', teamId: 'elsewhere', workClass: 'batch', priority: 'normal', tasks: [],
		workflow: {
			queue: '127.0.0.1/elsewhere/', service: 'elsewhere', payload: 'odd', maxFailures: 1, objective: {submittedAtMs: 1, stretchMilli: 1, slackMs: 1},
			steps: [{
				count: 1, demand: {processorsMilli: 1, memoryMb: 1, accelerators: 0}, declaredRunTimeMs: 1, longRunning: true, latencyTargetMs: 1,
			}],
		},
	},
};

const claimedTask = [
	'entry-9', 'e5f0', 1, 'task-claimed', 'a.0.0.0', 1, 'vm-1', 'agent-9', [1, 1, 0], ['b.0.0.0'], ['least-harm', 1, 1, [['vm-1', 1, 1, [1, 1, 0], {packs: true}]], 2, 2],
];

const announcedEntry = (fields: Readonly<Record<string, unknown>>): string => JSON.stringify({
	agentAddress: '127.0.0.1:1', processorsMilli: 1000, announcedAtMs: Date.now(), ...fields,
});

const job = (step: Readonly<Record<string, unknown>>, fields: Readonly<Record<string, unknown>> = {}): string =>
	JSON.stringify({
		spec: 'odd', steps: [{
			count: 1, cpu: 1, memMb: 1, estimatedMs: 1, ...step,
		}], ...fields,
	});

/** Replaces the text `"odd"` in JSON by another text, since JSON has no way to write every odd value. */
const withOdd = (json: string, odd: string): string => json.replace('"odd"', odd);

async function send(address: string, method: string, path: string, body: string | Uint8Array): Promise<number> {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		const request = sendRequest({
			host, port, path, method, headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)}, signal: AbortSignal.timeout(callTimeoutMs),
		}, response => {
			response.resume();
			response.once('error', reject);
			response.once('end', () => {
				resolve(response.statusCode ?? 0);
			});
		});
		request.once('error', reject);
		request.end(body);
	});
}

/** Sends bodies to the agent's control address as announcements of its executor; how they are answered is up to the agent. */
async function announce({controlAddress, executorId}: SiteAgent, bodies: ReadonlyArray<string | Uint8Array>): Promise<void> {
	for (const body of bodies) {
		await send(controlAddress, 'PUT', `/arbutushinge/executors/${executorId}`, body).catch(() => undefined);
	}
}

/** Submits jobs at every entry; throws when one gets no answer or that of a failed server. */
async function submitAll({entries}: Site, bodies: ReadonlyArray<string | Uint8Array>): Promise<void> {
	const failures: string[] = [];
	await Promise.all(entries.map(async (entry, entryIndex) => Promise.all(bodies.map(async (body, index) => {
		const jobId = (((entryIndex + 1) * 0x1_00_00) + index).toString(16).padStart(16, 'e');
		const status = await send(entry.queueAddress, 'POST', `${queuePrefix}${jobId}`, body).catch(String);
		if (typeof status === 'string' || status >= 500) {
			failures.push(`${status} for ${Buffer.from(body).subarray(0, 150).toString()}`);
		}
	}))));
	if (failures.length > 0) {
		throw new Error(`submissions without a final answer: ${failures.join('; ')}`);
	}
}

const oddSnapshotPrefix = 'odd-';

function isGoodSnapshot(record: Buffer): boolean {
	const {snapshotId} = parseObject(record.toString());
	return typeof snapshotId === 'string' && !snapshotId.startsWith(oddSnapshotPrefix);
}

function snapshotChunk(coversOffset: unknown, content: string | Uint8Array): string {
	return JSON.stringify({
		snapshotId: `${oddSnapshotPrefix}${String(coversOffset)}`, coversOffset, index: 0, count: 1, data: deflateSync(content).toString('base64'),
	});
}

/** Leaves chunks as the newest snapshots, and lets the records expire that the newest good one covers. */
async function leaveSnapshots({store}: Site, chunks: readonly string[]): Promise<void> {
	const newest = await waitUntil('an entry has written a snapshot', 10_000, () => store.records(snapshotTopic).findLast(record => isGoodSnapshot(record)));
	store.expire(logTopic, Number(parseObject(newest.toString()).coversOffset) + 1);
	for (const chunk of chunks) {
		store.append(snapshotTopic, chunk);
	}
}

const restartBoth = ({entries, agents}: Site): ReadonlyArray<SiteEntry | SiteAgent> => [entries[0]!, agents[0]!];
const restartEntry = ({entries}: Site): readonly SiteEntry[] => [entries[0]!];
const restartAgent = ({agents}: Site): readonly SiteAgent[] => [agents[0]!];

/** Odd entries by the place where they are left and the failure that they may cause. */
export const oddEntriesByCase: Readonly<Record<string, OddEntries>> = {
	'a log record whose kind is nested deeply ends no entry': {
		leave({store}) {
			store.append(logTopic, `["w","i",1,${nested}]`);
			store.append(logTopic, withOdd(JSON.stringify(envelope({kind: 'odd'})), nested));
			store.append(logTopic, nested);
		},
		restarts: restartBoth,
	},
	'log records with odd fields end no entry': {
		leave({store}, sample) {
			store.append(logTopic, '');
			store.append(logTopic, notText);
			for (const valid of [claimedTask, ['entry-9', 'e5f0', 1, 'task-started', 'a.0.0.0', 1, 'agent-9'], envelope(registeredVm), envelope(registeredEntry), envelope(submittedJob)]) {
				for (const record of sample(jsonWithOddField(valid), 12)) {
					store.append(logTopic, record);
				}
			}

			for (const record of [...sample(oddJson(), 12), ...sample(oddBytes(), 6)]) {
				store.append(logTopic, record);
			}
		},
		restarts: restartEntry,
	},
	'log records with addresses that cannot be used end no entry': {
		leave({store}) {
			for (const [index, address] of oddAddresses.entries()) {
				store.append(logTopic, JSON.stringify({...envelope({...registeredEntry, entryId: `entry-9${index}`, operatorAddress: address}), writer: `entry-9${index}`}));
				store.append(logTopic, JSON.stringify(envelope({...registeredVm, vmId: `vm-9${index}`, requestAddress: address})));
			}
		},
		restarts: restartEntry,
	},
	'a snapshot that covers more records than there are stops no entry': {
		async leave(site) {
			await leaveSnapshots(site, [
				snapshotChunk(Number.MAX_SAFE_INTEGER, JSON.stringify({...encodeClusterState(emptyClusterState), offset: Number.MAX_SAFE_INTEGER})),
				snapshotChunk(1_000_000, JSON.stringify({...encodeClusterState(emptyClusterState), offset: 1_000_000})),
			]);
		},
		restarts: restartEntry,
	},
	'a snapshot that cannot be decoded hides no good one': {
		async leave(site) {
			const coversOffset = site.store.records(logTopic).length;
			await leaveSnapshots(site, [snapshotChunk(coversOffset, nested), snapshotChunk(coversOffset + 1, withOdd('{"version":3,"vms":"odd"}', nested)), nested]);
		},
		restarts: restartEntry,
	},
	'an entry\'s announcement with an address that cannot be used ends no agent': {
		async leave({store}) {
			for (const [index, agentAddress] of oddAddresses.entries()) {
				store.putKey(entriesTopic, `entry-9${index}`, announcedEntry({agentAddress}));
			}

			await delay(discoveryWaitMs);
		},
		restarts: restartAgent,
	},
	'odd announcements of entries keep no agent from the good ones': {
		leave({store}, sample) {
			const aYearAhead = Date.now() + 31_536_000_000;
			const values = [
				announcedEntry({announcedAtMs: aYearAhead}),
				announcedEntry({announcedAtMs: 1e300, agentAddress: '127.0.0.1:2'}),
				announcedEntry({processorsMilli: 1e300, agentAddress: '127.0.0.1:3'}),
				announcedEntry({processorsMilli: -1, agentAddress: '127.0.0.1:4'}),
				withOdd(announcedEntry({agentAddress: 'odd'}), nested),
				nested,
				'null',
				'[null]',
				notText,
				...sample(jsonWithOddField({agentAddress: '127.0.0.1:5', processorsMilli: 1000, announcedAtMs: Date.now()}), 12),
			];
			for (const [index, value] of values.entries()) {
				store.putKey(entriesTopic, `odd-${index}`, value);
			}

			store.putKey(entriesTopic, 'k'.repeat(255), announcedEntry({agentAddress: '127.0.0.1:6'}));
			store.putKey(entriesTopic, '\uD800\u0000', 'null');
		},
		restarts: restartAgent,
	},
	'odd entries under the operator\'s keys stop no reader of the configuration': {
		leave({store}, sample) {
			for (const value of [nested, 'null', '[null]', notText, ...sample(oddJson(), 12), ...sample(jsonWithOddField({version: '2', routes: [{host: '127.0.0.1'}]}), 6)]) {
				store.putKey(operatorTopic, 'config', value);
			}

			for (const key of ['', 'wave/1', 'k'.repeat(255), '\u0000', 'config ']) {
				store.putKey(operatorTopic, key, nested);
			}

			store.append(operatorTopic, Buffer.from([200, 1, 2]));
			store.append(operatorTopic, notText);
		},
		check: checkNextConfiguration,
	},
	'a configuration with a version out of range does not stay in force': {
		leave({store}) {
			for (const version of ['9007199254740993', '1e300', '1e400', '-1', '0.5']) {
				store.putKey(operatorTopic, 'config', `{"version":${version},"routes":[]}`);
			}
		},
		check: checkNextConfiguration,
	},
	'an announcement of an executor with resources out of range keeps it from no work': {
		async leave({agents}) {
			const capacities = [{cpu: 1e300}, {memMb: -5}, {gpu: 4_294_967_296}, {cpu: 0.5}, {cpu: 9_007_199_254_740_991}];
			for (const capacity of capacities) {
				const {executor} = agents[0]!;
				const announcement = executor.announcement();
				await announce(agents[0]!, [JSON.stringify({...announcement, seq: announcement.seq + 1, capacity: {...announcement.capacity, ...capacity}})]);
				await delay(100);
			}
		},
	},
	'announcements of an executor that cannot be read end no agent': {
		async leave({agents}, sample) {
			const announcement = {...agents[0]!.executor.announcement(), seq: 0};
			await announce(agents[0]!, [
				nested,
				'',
				'null',
				notText,
				withOdd(JSON.stringify({...announcement, state: 'odd'}), nested),
				withOdd(JSON.stringify({...announcement, labels: 'odd'}), nested),
				JSON.stringify({...announcement, service: longText}),
				JSON.stringify({...announcement, service: 'elsewhere', seq: 1_000_000}),
				JSON.stringify({...announcement, address: ''}),
				...sample(jsonWithOddField(announcement), 20),
			]);
		},
	},
	'an announcement that was born far ahead or has a number out of range ends no life of the executor': {
		async leave({agents}) {
			const announcement = agents[0]!.executor.announcement();
			await announce(agents[0]!, [
				JSON.stringify({...announcement, seq: 9_007_199_254_740_992}),
				JSON.stringify({...announcement, born: 8_640_000_000_000_001}),
				JSON.stringify({...announcement, born: Date.now() + 31_536_000_000}),
			]);
		},
	},
	'odd rows in the lists of an executor stop no agent': {
		leave({agents}, sample) {
			const rows = [nested, 'null', '[]', '[null]', '{}', `[${nested},1,"",1,1]`, `["${longText}",1,"",1,1]`, '["a.0.0.0",1e300,"",1,1]', '["a.0.0.0",-1,"",-5,-5]'];
			agents[0]!.executor.setOddAnswers({
				running: [...rows, '["b.0.0.0",1,"",1e300,1e300]', ...sample(jsonWithOddField(['c.0.0.0', 1, '', 100, 250]), 10)],
				finished: [...rows, '[-5,"d.0.0.0",1,"done",""]', `[4294967296,"e.0.0.0",1,"failed","${longText}"]`, ...sample(jsonWithOddField([9, 'f.0.0.0', 1, 'lapsed', '']), 10)],
			});
		},
	},
	'lists of an executor with odd fields stop no agent': {
		async leave({agents}) {
			const {executor} = agents[0]!;
			for (const [name, odd] of [['clockMs', '1e300'], ['clockMs', '1e400'], ['clockMs', nested], ['born', 'null'], ['born', '1e300'], ['running', nested], ['finished', 'null']] as const) {
				executor.setOddAnswers({fields: {[name]: odd}});
				await delay(300);
			}

			executor.setOddAnswers({});
		},
	},
	'jobs that cannot be read end no entry': {
		async leave(site, sample) {
			await submitAll(site, [
				nested,
				'',
				'null',
				notText,
				'{"steps":[null]}',
				withOdd(JSON.stringify({steps: 'odd'}), nested),
				withOdd(job({dependsOn: 'odd'}), nested),
				withOdd(job({}), nested),
				...sample(jsonWithOddField({
					spec: 'odd', steps: [{
						count: 1, cpu: 1, memMb: 1, dependsOn: [0],
					}], repeatCount: 0,
				}), 20),
			]);
		},
	},
	'jobs with numbers out of range get a final answer and end no entry': {
		async leave(site) {
			await submitAll(site, [
				...[{cpu: 1e300}, {memMb: 1e300}, {gpu: 4_294_967_296}, {estimatedMs: 1e300}, {count: 1001}, {count: 2_147_483_648}, {targetMs: 1e300}].map(step => job(step)),
				...[{mayMiss: 9_007_199_254_740_991}, {antiAffinity: 9_007_199_254_740_991}, {dependsOn: [4_294_967_296]}, {requirements: longText}, {image: longText}].map(step => job(step)),
				job({}, {repeatCount: 9_007_199_254_740_991, intervalMs: 1}),
				job({}, {repeatCount: 2, firstRunMs: -9_007_199_254_740_991, intervalMs: 9_007_199_254_740_991}),
				job({}, {spec: longText}),
				JSON.stringify({steps: Array.from({length: 1000}, () => ({cpu: 1}))}),
			]);
		},
	},
};

/** Checks that the operator's next configuration is applied: a queue that it adds takes jobs. */
async function checkNextConfiguration(site: Site): Promise<void> {
	const prefix = '/next/';
	const route = {
		host: '127.0.0.1', service, priority: 1, attempts: 50, stretch: 4, sloMs: 5000,
	};
	site.configure({routes: [queuePrefix, prefix].map(pathPrefix => ({...route, pathPrefix}))});
	for (const entry of site.entries) {
		await runGoodJob(site, entry, {timeoutMs: goodJobTimeoutMs, prefix});
	}

	site.configure();
}

/**
Leaves the odd entries of a case and checks that no process ends, that a good job behind them is completed at each entry, and that
restarted processes serve again.

@example
await leaveOddEntries(site, oddEntriesByCase['a log record whose kind is nested deeply ends no entry'], 1);
*/
export async function leaveOddEntries(site: Site, {leave, check, restarts}: OddEntries, seed: number): Promise<void> {
	const runAll = async (timeoutMs: number): Promise<void> => {
		for (const entry of site.entries) {
			await runGoodJob(site, entry, {timeoutMs});
		}
	};

	await leave(site, (arbitrary, count) => fc.sample(arbitrary, {seed, numRuns: count}));
	await runAll(goodJobTimeoutMs);
	await check?.(site);
	const restarted = restarts?.(site) ?? [];
	for (const process of restarted) {
		process.kill();
	}

	await Promise.all(restarted.map(async process => process.startAgain()));
	if (restarted.length > 0) {
		await runAll(restartTimeoutMs);
	}

	for (const {executor} of site.agents) {
		executor.setOddAnswers({});
	}
}
