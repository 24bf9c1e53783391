import {create, type MessageInitShape} from '@bufbuild/protobuf';
import test from 'ava';
import fc from 'fast-check';
import {Map as immutableMap} from 'immutable';
import {type ClusterRecord, clusterRecordSchema} from '../cluster/cluster-record.js';
import {AgentMessageSchema, TaskOutcome} from '../generated/arbutushinge/v1/agent_pb.js';
import {emptyStateFixture, taskFixture, vmFixture} from '../operator/state-fixture.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {type EntryEvent} from './entry-event.js';
import {initialEntryState} from './entry-state.js';
import {reduceEntry} from './reduce-entry.js';
import {usableAgentMessage} from './usable-agent-message.js';

type Message = NonNullable<MessageInitShape<typeof AgentMessageSchema>['message']>;

const settings = entrySettingsSchema.parse({
	role: 'entry', entryId: 'e1', failureDomain: 'a', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', agentAddress: '127.0.0.1:3',
});

const {vmId, agentIncarnation} = vmFixture;
const {taskId} = taskFixture.spec;
const {attempt} = taskFixture;

const goodHello = {
	vmId, agentIncarnation, failureDomain: 'a', rack: 'r', requestAddress: '127.0.0.1:9', workerIncarnation: 'w1', capacity: {processorsMilli: 1000}, runningTasks: [],
};

/** A registered entry that has a VM with one task; it receives messages as its stream server passes them on. */
function createEntry() {
	const own = {
		entryId: 'e1', incarnation: 'own', failureDomain: 'a', operatorAddress: '127.0.0.1:2', processorsMilli: 1000, lastOffset: 0, appliedOffset: 0,
	};
	let state = {
		...initialEntryState('own'), cluster: {
			...emptyStateFixture, entries: immutableMap([['own', own]]), vms: immutableMap([[vmId, vmFixture]]), tasks: immutableMap([[taskId, taskFixture]]),
		},
	};
	let nowMs = 1000;

	function dispatch(event: EntryEvent): readonly ClusterRecord[] {
		nowMs++;
		const transition = reduceEntry(state, event, {
			nowMs, wallTimeMs: nowMs, seed: 1, pendingAppends: 0,
		}, settings);
		state = transition.state;
		return transition.effects.flatMap(effect => effect.kind === 'append-record' ? [effect.record] : []);
	}

	return {
		latencyImpacts: () => [...state.placement.latencyImpacts.latencyImpactByPair.values()],
		/** Returns the records that the entry appends. */
		receive(body: Message, sessionId = 's1'): readonly ClusterRecord[] {
			const {message} = usableAgentMessage(create(AgentMessageSchema, {message: body}).message);
			switch (message?.case) {
				case 'hello': {
					return dispatch({kind: 'agent-hello', sessionId, hello: message.value});
				}

				case 'heartbeat': {
					return dispatch({kind: 'agent-heartbeat', sessionId, heartbeat: message.value});
				}

				case 'taskEvents': {
					return dispatch({kind: 'agent-task-events', sessionId, events: message.value.events});
				}

				case undefined: {
					return [];
				}
			}
		},
	};
}

/** Returns the first problem of records that readers of the log would skip. */
function problemOf(records: readonly ClusterRecord[]): string | undefined {
	for (const record of records) {
		const parsed = clusterRecordSchema.safeParse(structuredClone(record));
		if (!parsed.success) {
			return `${record.kind}: ${parsed.error.issues[0]?.path.join('.')}`;
		}
	}

	return undefined;
}

const text = fc.constantFrom('', 'x'.repeat(200_000), '__proto__', '\u0000', '\uD800', 'a b', '../x', 'ok-1', vmId, taskId, '10.1.0.13:99999', '10.1.0.13:-1');
const uint32 = fc.constantFrom(0, 1, attempt, 0x7F_FF_FF_FF, 0xFF_FF_FF_FF);
const uint64 = fc.constantFrom(0n, 1n, 9_007_199_254_740_993n, 0xFF_FF_FF_FF_FF_FF_FF_FFn);
const double = fc.constantFrom(Number.NaN, Number.POSITIVE_INFINITY, Number.NEGATIVE_INFINITY, -1, 1e300, 0, 0.5);
const resources = fc.record({processorsMilli: uint32, memoryMb: uint32, accelerators: uint32});
const orGood = <Value>(odd: fc.Arbitrary<Value>, good: Value): fc.Arbitrary<Value> => fc.oneof({weight: 1, arbitrary: odd}, {weight: 4, arbitrary: fc.constant(good)});

const hello = fc.record({
	vmId: orGood(text, 'vm-2'),
	agentIncarnation: orGood(text, 'agent-2'),
	failureDomain: orGood(text, 'a'),
	rack: orGood(text, 'r'),
	requestAddress: orGood(text, '127.0.0.1:9'),
	workerIncarnation: orGood(text, 'w1'),
	service: orGood(text, 's'),
	labels: fc.array(text, {maxLength: 3}),
	workerStartedAtMs: uint64,
	workerLost: fc.boolean(),
	capacity: fc.option(resources, {nil: undefined}),
	runningTasks: fc.array(fc.record({taskId: text, attempt: uint32, limit: resources}), {maxLength: 3}),
});

const heartbeat = fc.record({
	sequence: uint64,
	appliedConfigurationOffset: uint64,
	backendServers: fc.array(fc.record({
		backendServerId: orGood(text, 'b1'),
		service: orGood(text, 's'),
		phase: fc.integer({min: 0, max: 9}),
		slots: uint32,
		connections: uint32,
		latencyP99Ms: uint32,
	}), {maxLength: 3}),
	usage: fc.option(fc.record({
		measuredAgeMs: uint32, processorsUsedMilli: uint32, memoryUsedMb: uint32, tasks: fc.array(fc.record({
			taskId: text, processorsUsedMilli: uint32, memoryUsedMb: uint32, relativeSpeedMilli: uint32,
		}), {maxLength: 3}),
	}), {nil: undefined}),
	leaving: fc.boolean(),
	workerLeaving: fc.boolean(),
	presses: fc.array(fc.record({
		servingImage: text, fillingImage: text, press: double, variance: double,
	}), {maxLength: 3}),
	fillingRoomMilli: uint32,
});

const taskEvents = fc.record({
	events: fc.array(fc.record({
		eventId: uint64,
		taskId: orGood(text, taskId),
		attempt: orGood(uint32, attempt),
		outcome: fc.oneof(
			fc.constant({case: 'started' as const, value: {}}),
			fc.record({case: fc.constant('ended' as const), value: fc.record({outcome: fc.integer({min: -1, max: 99}), reason: text})}),
			fc.record({case: fc.constant('checkpointed' as const), value: fc.record({checkpoint: text, reason: text})}),
		),
	}), {maxLength: 3}),
});

const oddMessage: fc.Arbitrary<Message> = fc.oneof(
	hello.map(value => ({case: 'hello' as const, value})),
	heartbeat.map(value => ({case: 'heartbeat' as const, value})),
	taskEvents.map(value => ({case: 'taskEvents' as const, value})),
);

test('an entry appends no record that readers of the log would skip, whatever agents send', t => {
	fc.assert(fc.property(fc.array(oddMessage, {maxLength: 4}), messages => {
		const entry = createEntry();
		t.is(problemOf(entry.receive({case: 'hello', value: goodHello})), undefined);
		for (const message of messages) {
			const problem = problemOf(entry.receive(message));
			if (problem !== undefined) {
				throw new Error(problem);
			}
		}

		if (entry.latencyImpacts().some(({mean, variance}) => !(mean >= 0 && mean < 1000 && variance > 0 && variance < 1000))) {
			throw new Error('an estimate is out of range');
		}

		// Good messages behind the odd ones are used.
		const good = {...goodHello, vmId: 'vm-3', agentIncarnation: 'agent-3'};
		if (!entry.receive({case: 'hello', value: good}, 's3').some(record => record.kind === 'vm-registered' && record.vmId === 'vm-3')) {
			throw new Error('a good hello is not used');
		}
	}));
});

const ended = (value: Readonly<{outcome: number; reason: string}>) => ({
	case: 'taskEvents' as const, value: {
		events: [{
			eventId: 1n, taskId, attempt, outcome: {case: 'ended' as const, value},
		}],
	},
});

test('an end with an outcome that this version does not know frees the claim', t => {
	const entry = createEntry();
	entry.receive({case: 'hello', value: goodHello});
	const records = entry.receive(ended({outcome: 99, reason: 'x'.repeat(200_000)}));
	t.is(problemOf(records), undefined);
	t.like(records[0], {kind: 'task-ended', outcome: 'failed'});
	t.true(JSON.stringify(records).length < 2000);
});

test('a checkpoint that is too long for the log frees the claim, and the task starts over', t => {
	const entry = createEntry();
	entry.receive({case: 'hello', value: goodHello});
	const records = entry.receive({
		case: 'taskEvents', value: {
			events: [{
				eventId: 1n, taskId, attempt, outcome: {case: 'checkpointed', value: {checkpoint: 'x'.repeat(1025), reason: 'evicted'}},
			}],
		},
	});
	t.is(problemOf(records), undefined);
	t.like(records[0], {kind: 'task-checkpointed', checkpoint: ''});
});

test('a known outcome keeps its reason', t => {
	const entry = createEntry();
	entry.receive({case: 'hello', value: goodHello});
	t.like(entry.receive(ended({outcome: TaskOutcome.FINISHED, reason: 'done'}))[0], {kind: 'task-ended', outcome: 'finished', reason: 'done'});
});

test('a hello that cannot be registered is refused with a short reason', t => {
	for (const odd of [{vmId: ''}, {vmId: 'x'.repeat(200_000)}, {requestAddress: '10.1.0.13:99999'}, {requestAddress: ''}, {failureDomain: 'a b'}, {rack: ''}, {agentIncarnation: ''}]) {
		const {message, problems} = usableAgentMessage(create(AgentMessageSchema, {message: {case: 'hello', value: {...goodHello, ...odd}}}).message);
		t.is(message, undefined);
		t.is(problems.length, 1);
		t.true(problems.join('').length < 300);
	}
});
