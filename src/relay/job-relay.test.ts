import {once} from 'node:events';
import {createServer as createTcpServer, type Server, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {err, ok} from 'true-myth/result';
import {findFreeAddresses} from '../../demo/free-addresses.js';
import {type Readiness} from '../entry/caller-server.js';
import {type SubmitOrigin} from '../entry/entry-event.js';
import {type JobInterface} from '../entry/job-interface.js';
import {type EventLog} from '../telemetry/event-log.js';
import {type Metrics} from '../telemetry/metrics.js';
import {createJobRelay, type JobRelay} from './job-relay.js';
import {createRelayServer} from './relay-server.js';

const ignore = (): void => undefined;
const eventLog: EventLog = {
	debug: ignore, info: ignore, warn: ignore, error: ignore,
};
const metrics: Metrics = {
	increment: ignore, gauge: ignore, timingMs: ignore, close: async () => undefined,
};
const ready: Readiness = {isReady: true, reason: ''};
const refusal = {status: 503, error: {kind: 'state-stale', message: 'the log is out of reach', remedy: 'ask again'}, retryAfterMs: 1000};

/** Listens on a free port and returns the address. */
async function listenOn(server: Server): Promise<string> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	return `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
}

async function freeAddress(): Promise<string> {
	const [address = ''] = await findFreeAddresses(1);
	return address;
}

/** Starts a decider that records the jobs that it accepts. */
async function startDecider(t: ExecutionContext, {jobs = {}, readiness = () => ready, decides = () => true}: Readonly<{
	jobs?: Partial<JobInterface>; readiness?: () => Readiness; decides?: () => boolean;
}> = {}) {
	const accepted: unknown[] = [];
	const address = await freeAddress();
	const all: JobInterface = {
		async submit(job) {
			accepted.push(job);
			return ok({});
		},
		find: async jobId => ok({jobId, phase: 'running', tasks: []}),
		cancel: async () => ok({}),
		countPending: async () => ok(7),
		...jobs,
	};
	const server = createRelayServer({
		address, eventLog, readiness, jobs: () => decides() ? all : undefined,
	});
	await server.listen();
	t.teardown(server.close);
	return {address, accepted, server};
}

/** Starts a server that takes connections and bytes and never answers, like a frozen process. */
async function startSilent(t: ExecutionContext): Promise<string> {
	const sockets = new Set<Socket>();
	const server = createTcpServer(socket => {
		sockets.add(socket);
		socket.on('data', ignore);
		socket.on('error', ignore);
	});
	t.teardown(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	return listenOn(server);
}

function relayTo(t: ExecutionContext, addresses: readonly string[], submitsByJob = true): JobRelay {
	const relay = createJobRelay({
		entryId: 'front', nowMs: () => performance.now(), eventLog, metrics, submitsByJob,
	});
	t.teardown(relay.close);
	relay.setDeciders(addresses.map((relayAddress, index) => ({entryId: `d${index}`, relayAddress})));
	return relay;
}

test('calls are answered by a decider, with its values and its errors', async t => {
	const decider = await startDecider(t, {jobs: {cancel: async () => err({status: 404, error: {kind: 'job-unknown', message: 'no job', remedy: 'check the id'}})}});
	const relay = relayTo(t, [decider.address]);
	const submitted = await relay.jobs.submit({jobId: 'j'});
	t.true(submitted.isOk);
	t.deepEqual(decider.accepted, [{jobId: 'j'}]);
	const [found, counted] = await Promise.all([relay.jobs.find('j'), relay.jobs.countPending('q')]);
	t.deepEqual(found.unwrapOr(undefined), {jobId: 'j', phase: 'running', tasks: []});
	t.is(counted.unwrapOr(-1), 7);
	const cancelled = await relay.jobs.cancel('j');
	t.like(cancelled.isErr && cancelled.error, {status: 404, error: {kind: 'job-unknown'}});
	t.true(relay.readiness().isReady);
});

test('a caller is served by another decider when one is gone, frozen, not ready, cannot read the log or does not decide', async t => {
	const good = await startDecider(t);
	const refusing = await startDecider(t, {jobs: {submit: async () => err(refusal)}});
	const front = await startDecider(t, {decides: () => false});
	const others = [await freeAddress(), await startSilent(t), refusing.address, front.address];
	for (const other of others) {
		for (const addresses of [[good.address, other], [other, good.address]]) {
			const relay = relayTo(t, addresses);
			await delay(50);
			const startMs = performance.now();
			const submitted = await relay.jobs.submit({jobId: 'j'});
			t.true(submitted.isOk);
			t.true(performance.now() - startMs < 2600);
		}
	}
});

test('a caller is refused at once and told when to come back when every decider refuses or is gone', async t => {
	const refusing = await startDecider(t, {jobs: {submit: async () => err(refusal)}});
	const relay = relayTo(t, [refusing.address, await freeAddress()]);
	const submitted = await relay.jobs.submit({jobId: 'j'});
	t.like(submitted.isErr && submitted.error, {status: 503, retryAfterMs: 1000});
	const without = await relayTo(t, []).jobs.submit({jobId: 'j'});
	t.like(without.isErr && without.error, {status: 503, error: {kind: 'no-decider'}, retryAfterMs: 1000});
	t.false(relayTo(t, []).readiness().isReady);
});

test('a caller whose job may have been accepted by a frozen decider is not told that it has not run', async t => {
	const refusing = await startDecider(t, {jobs: {submit: async () => err(refusal)}});
	const silent = await startSilent(t);
	const relay = relayTo(t, [silent]);
	const submitted = await relay.jobs.submit({jobId: 'j'});
	t.is(submitted.isErr && submitted.error.status, 504);
	const both = relayTo(t, [silent, refusing.address]);
	const statuses = new Set<number | false>();
	for (let tries = 0; tries < 3; tries++) {
		const tried = await both.jobs.submit({jobId: 'j'});
		statuses.add(tried.isErr && tried.error.status);
	}

	t.false(statuses.has(false));
	t.false(statuses.has(409));
});

test('a front is not ready while no decider is, and is again when one is', async t => {
	let isReady = false;
	const decider = await startDecider(t, {readiness: () => isReady ? ready : {isReady: false, reason: 'the log was not read'}});
	const relay = relayTo(t, [decider.address]);
	await delay(100);
	t.false(relay.readiness().isReady);
	isReady = true;
	for (let tries = 0; tries < 100 && !relay.readiness().isReady; tries++) {
		await delay(50);
	}

	t.true(relay.readiness().isReady);
});

test('thousands of callers do not wait for a frozen decider', async t => {
	const relay = relayTo(t, [await startSilent(t)]);
	const submitted = await Promise.all(Array.from({length: 700}, async (_, index) => relay.jobs.submit({jobId: `j${index}`})));
	const refused = submitted.filter(result => result.isErr && result.error.error.kind === 'relay-full');
	t.is(refused.length, 700 - 512);
});

test('bytes that are no call do not end a decider', async t => {
	const decider = await startDecider(t);
	for (const body of ['', 'no json', '[]', '{"kind":"unknown"}', '{"kind":"find","jobId":7}', `{"kind":"submit","job":"${'x'.repeat(2_000_000)}"}`]) {
		const response = await fetch(`http://${decider.address}/jobs`, {method: 'POST', body}).catch(() => undefined);
		t.true(response === undefined || response.status === 400);
	}

	const submitted = await relayTo(t, [decider.address]).jobs.submit({jobId: 'j'});
	t.true(submitted.isOk);
});

test('an answer in an unknown form counts as unknown, not as a refusal', async t => {
	const odd = createTcpServer(socket => {
		socket.on('error', ignore);
		socket.on('data', () => {
			socket.end('HTTP/1.1 200 OK\r\ncontent-length: 18\r\nconnection: close\r\n\r\n{"result":"other"}');
		});
	});
	t.teardown(() => {
		odd.close();
	});
	const submitted = await relayTo(t, [await listenOn(odd)]).jobs.submit({jobId: 'j'});
	t.is(submitted.isErr && submitted.error.status, 504);
});

test('a call that a stop interrupts is answered as unknown at once, and is not left without an answer', async t => {
	const relay = relayTo(t, [await startSilent(t), await startSilent(t)]);
	const submitting = relay.jobs.submit({jobId: 'j'});
	await delay(100);
	const startMs = performance.now();
	relay.close();
	const submitted = await submitting;
	t.is(submitted.isErr && submitted.error.status, 504);
	t.true(performance.now() - startMs < 200);
});

test('a decider that cannot read the log counts as unavailable like one that does not answer, until it can', async t => {
	let isReady = false;
	const turnedAway = await startDecider(t, {readiness: () => isReady ? ready : {isReady: false, reason: 'the log was not read'}});
	const good = await startDecider(t);
	const relay = relayTo(t, [turnedAway.address, good.address, await startSilent(t)]);
	const waitFor = async (ids: readonly string[]): Promise<void> => {
		const sorted = (): readonly string[] => [...relay.unavailableIds()].toSorted();
		for (let tries = 0; tries < 100 && sorted().join(',') !== ids.join(','); tries++) {
			await delay(100);
		}

		t.deepEqual(sorted(), ids);
	};

	await waitFor(['d0', 'd2']);
	isReady = true;
	await waitFor(['d2']);
});

const overloadRefusal = {status: 429, error: {kind: 'job-refused-overload', message: 'no capacity', remedy: 'come back'}, retryAfterMs: 7000};

test('a refusal in overload reaches the caller with its time', async t => {
	const origins: unknown[] = [];
	// With one decider, the attempt has the time of the whole call, also on a busy machine.
	const decider = await startDecider(t, {
		jobs: {
			async submit(_job, origin) {
				origins.push(origin);
				return err(overloadRefusal);
			},
		},
	});
	const submitted = await relayTo(t, [decider.address]).jobs.submit({jobId: 'j'}, {callerFailureDomain: 'b'});
	t.like(submitted.isErr && submitted.error, {status: 429, retryAfterMs: 7000});
	t.deepEqual(origins, [{callerFailureDomain: 'b', mayHaveRun: undefined}]);
});

test('after a decider without an answer, the next one learns that the job may have run, and a refusal of one that ignores it is no refusal', async t => {
	const origins: Array<SubmitOrigin | undefined> = [];
	const refusing = await startDecider(t, {
		jobs: {
			async submit(_job, origin) {
				origins.push(origin);
				return err(overloadRefusal);
			},
		},
	});
	const silent = await startSilent(t);
	// The silent decider comes first for some of the jobs: their callers get 504, and never 429.
	const relay = relayTo(t, [silent, refusing.address]);
	const answers = await Promise.all(Array.from({length: 12}, async (_, index) => relay.jobs.submit({jobId: `j${index}`})));
	const refusals = answers.filter(answer => answer.isErr && answer.error.status === 429).length;
	t.true(answers.every(answer => answer.isErr && [429, 504].includes(answer.error.status)));
	t.true(refusals < answers.length);
	t.true(refusals <= origins.filter(origin => origin?.mayHaveRun === undefined).length);
	t.true(origins.some(origin => origin?.mayHaveRun === true));
});

test('a job whose refusal could not be proven is not offered to the next decider, and the decider that answered stays the first', async t => {
	const answered = [0, 0];
	const decider = async (index: number) => startDecider(t, {
		jobs: {
			async submit() {
				answered[index]!++;
				return err({status: 504, error: {kind: 'job-outcome-unknown', message: 'no capacity, no proof', remedy: 'ask again'}, retryAfterMs: 4000});
			},
		},
	});
	const [first, second] = [await decider(0), await decider(1)];
	const relay = relayTo(t, [first.address, second.address]);
	for (let calls = 0; calls < 4; calls++) {
		const submitted = await relay.jobs.submit({jobId: 'j'});
		t.like(submitted.isErr && submitted.error, {status: 504, retryAfterMs: 4000});
	}

	t.deepEqual(answered.toSorted((left, right) => left - right), [0, 4]);
});

test('submissions go to the decider that the front prefers, and to one by the job only while the admission of jobs promises slots', async t => {
	for (const submitsByJob of [false, true]) {
		const deciders = [await startDecider(t), await startDecider(t)];
		const relay = relayTo(t, deciders.map(({address}) => address), submitsByJob);
		for (let index = 0; index < 12; index++) {
			await relay.jobs.submit({jobId: `j${index}`});
		}

		t.is(deciders.some(({accepted}) => accepted.length === 0), !submitsByJob);
	}
});
