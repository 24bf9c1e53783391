import {create, toBinary} from '@bufbuild/protobuf';
import test from 'ava';
import fc from 'fast-check';
import {Result} from 'true-myth';
import {AgentMessageSchema, EntryMessageSchema, type EntryMessage} from '../generated/arbutushinge/v1/agent_pb.js';
import {agentSettingsSchema} from '../settings/agent-settings.js';
import type {WorkerTasks, WorkerUsage} from '../worker/worker-answers.js';
import type {AgentEffect} from './agent-effect.js';
import type {AgentEvent} from './agent-event.js';
import {initialAgentState} from './agent-state.js';
import {reduceAgent} from './reduce-agent.js';
import type {Worker} from './worker.js';
import {createWorkerDriver} from './worker-driver.js';

const settings = agentSettingsSchema.parse({
	role: 'agent', vmId: 'vm-1', failureDomain: 'a', rack: 'r1', requestAddress: '127.0.0.1:1', entryAddresses: ['127.0.0.1:2'],
});

const done = async () => Result.ok(undefined);

/** An agent whose worker answers with the values of the test. */
function createAgent() {
	let state = initialAgentState(settings, 'i0');
	let nowMs = 1000;
	let incarnations = 0;
	let list: WorkerTasks | undefined;
	let usage: WorkerUsage | undefined;
	const sent: Uint8Array[] = [];
	const lines: string[] = [];
	const record = (event: string): void => {
		lines.push(event);
	};

	const silence = {kind: 'worker-unavailable' as const, message: 'no answer', remedy: 'none'};
	const worker: Worker = {
		startTask: done,
		deleteTask: done,
		setLease: done,
		checkpointTask: done,
		throttleTask: done,
		stopTask: done,
		listTasks: async () => list === undefined ? Result.err(silence) : Result.ok(list),
		readUsage: async () => usage === undefined ? Result.err(silence) : Result.ok(usage),
	};
	const driver = createWorkerDriver({
		worker,
		eventLog: {
			debug: record, info: record, warn: record, error: record,
		},
		nowMs: () => nowMs,
		dispatch,
	});

	function dispatch(event: AgentEvent): void {
		const reduced = reduceAgent(state, event);
		state = reduced.state;
		for (const effect of reduced.effects) {
			execute(effect);
		}
	}

	function execute(effect: AgentEffect): void {
		if (effect.kind === 'send') {
			sent.push(toBinary(AgentMessageSchema, create(AgentMessageSchema, {message: effect.message})));
			return;
		}

		if (effect.kind === 'create-incarnation') {
			incarnations++;
			dispatch({kind: 'incarnation-created', nowMs, incarnation: `i${incarnations}`});
		}

		if (effect.kind === 'log') {
			record(effect.event);
		}
	}

	dispatch({kind: 'entry-connected', nowMs, entryAddress: '127.0.0.1:2'});
	return {
		lines,
		sent,
		state: () => state,
		message(init: NonNullable<Parameters<typeof create<typeof EntryMessageSchema>>[1]>) {
			const {message}: EntryMessage = create(EntryMessageSchema, init);
			dispatch({
				kind: 'entry-message', nowMs, entryAddress: '127.0.0.1:2', message,
			});
		},
		tick(): void {
			nowMs += 1000;
			dispatch({kind: 'tick', nowMs, latencies: []});
		},
		/** Polls the worker and sends the heartbeat; throws for a message that cannot be encoded. */
		async poll(answers: Readonly<{list?: WorkerTasks; usage?: WorkerUsage}>): Promise<void> {
			({list, usage} = answers);
			nowMs += 6000;
			await driver.poll();
			dispatch({kind: 'tick', nowMs, latencies: []});
		},
	};
}

const capacity = {processorsMilli: 4000, memoryMb: 4096, accelerators: 0};

const goodTask = {
	taskId: 't9', attempt: 1, phase: 'running' as const, limit: capacity, latencyCritical: true, checkpoint: '', reason: '',
};

const goodList: WorkerTasks = {
	workerIncarnation: 'w1', capacity, tasks: [goodTask], listedEnds: 'all',
};

const number = fc.constantFrom(Number.NaN, Number.POSITIVE_INFINITY, Number.NEGATIVE_INFINITY, -1, -5, 0, 0.5, 1, 1e300, -1e300, 4_294_967_296, 2 ** 60);
const text = fc.constantFrom('', 't1', '__proto__', '\u0000', '\uD800', 'x'.repeat(200_000));
const resources = fc.record({processorsMilli: number, memoryMb: number, accelerators: number});
const orGood = <Value>(odd: fc.Arbitrary<Value>, good: Value): fc.Arbitrary<Value> => fc.oneof({weight: 1, arbitrary: odd}, {weight: 2, arbitrary: fc.constant(good)});

const oddList = fc.record({
	workerIncarnation: orGood(text, 'w1'),
	capacity: orGood(resources, capacity),
	tasks: fc.array(fc.record({
		taskId: orGood(text, 't2'),
		attempt: orGood(number, 1),
		phase: fc.constantFrom('running' as const, 'finished' as const, 'checkpointed' as const),
		limit: orGood(resources, capacity),
		latencyCritical: fc.boolean(),
		checkpoint: text,
		reason: text,
	}), {maxLength: 3}),
	listedEnds: fc.constantFrom('all' as const, 'some' as const),
	startedAtMs: number,
	rack: text,
	service: text,
	labels: fc.array(text, {maxLength: 2}),
});

const oddUsage = fc.record({
	measuredAtMonotonicMs: orGood(number, 5000),
	processorsUsedMilli: number,
	memoryUsedMb: number,
	tasks: fc.array(fc.record({
		taskId: text, processorsUsedMilli: number, memoryUsedMb: number, relativeSpeedMilli: number, latencyTailMs: number,
	}), {maxLength: 3}),
});

test('every message of an agent can be encoded, whatever its worker reports, and a good list behind an odd one is used', async t => {
	await t.notThrowsAsync(async () => fc.assert(fc.asyncProperty(fc.array(fc.record({list: oddList, usage: oddUsage}), {maxLength: 3}), async answers => {
		const agent = createAgent();
		for (const answer of answers) {
			await agent.poll(answer);
		}

		if (agent.lines.includes('worker-answer-unusable') || agent.lines.includes('worker-poll-failed')) {
			throw new Error('an answer could not be used');
		}

		await agent.poll({list: {...goodList, workerIncarnation: 'w-good'}});
		await agent.poll({list: {...goodList, workerIncarnation: 'w-good'}});
		if (agent.state().ledger.capacity.processorsMilli !== 4000 || agent.state().tasks.get('t9')?.phase !== 'running' || agent.state().phase !== 'active') {
			throw new Error('the good list is not used');
		}
	})));
});

test('a worker with an odd capacity is logged once', async t => {
	const agent = createAgent();
	const list = {...goodList, capacity: {processorsMilli: 1e300, memoryMb: -5, accelerators: 0.5}};
	await agent.poll({list});
	await agent.poll({list});
	t.is(agent.lines.filter(line => line === 'worker-value-out-of-range').length, 1);
});

test('a lease that no settings allow is not accepted', async t => {
	const agent = createAgent();
	await agent.poll({list: goodList});
	const grant = (durationMs: number): void => {
		agent.message({message: {case: 'leaseGrant', value: {heartbeatSequence: BigInt(agent.state().heartbeatSequence), durationMs}}});
	};

	grant(0xFF_FF_FF_FF);
	t.is(agent.state().lease.deadlineMs, undefined);
	t.true(agent.lines.includes('entry-message-unusable'));
	grant(15_000);
	t.is(typeof agent.state().lease.deadlineMs, 'number');
});

test('a configuration with an offset beyond the log leaves later ones in use', async t => {
	const agent = createAgent();
	await agent.poll({list: goodList});
	agent.message({message: {case: 'configuration', value: {offset: 0xFF_FF_FF_FF_FF_FF_FF_FFn, vmDraining: true}}});
	agent.tick();
	agent.message({message: {case: 'configuration', value: {offset: 7n}}});
	t.is(agent.state().configuration.offset, 7);
	t.false(agent.state().configuration.vmDraining);
});

test('a start whose ID, attempt or claim no log can have is left out, and the next one runs', async t => {
	const agent = createAgent();
	await agent.poll({list: goodList});
	agent.message({message: {case: 'configuration', value: {offset: 0n}}});
	agent.message({message: {case: 'leaseGrant', value: {heartbeatSequence: BigInt(agent.state().heartbeatSequence), durationMs: 15_000}}});
	const start = (value: Readonly<{taskId: string; attempt: number; claimOffset: bigint}>): void => {
		agent.message({message: {case: 'startTask', value: {agentIncarnation: agent.state().incarnation, ...value}}});
	};

	start({taskId: '', attempt: 1, claimOffset: 1n});
	start({taskId: 't5', attempt: 0, claimOffset: 1n});
	start({taskId: 't6', attempt: 1, claimOffset: 0xFF_FF_FF_FF_FF_FF_FF_FFn});
	start({taskId: 't7', attempt: 1, claimOffset: 1n});
	t.deepEqual([...agent.state().tasks.keys()].toSorted(), ['t7', 't9']);
});
