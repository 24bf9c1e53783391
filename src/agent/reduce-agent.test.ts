import {create} from '@bufbuild/protobuf';
import test from 'ava';
import fc from 'fast-check';
import {fitsInto, type Resources} from '../cluster/resources.js';
import {EntryMessageSchema, TaskOutcome, type EntryMessage} from '../generated/arbutushinge/v1/agent_pb.js';
import type {WorkerTask} from '../worker/worker-api.js';
import {agentSettingsSchema} from '../settings/agent-settings.js';
import type {AgentEffect, AgentEffectOf} from './agent-effect.js';
import type {
	AgentEvent, AgentEventKind, AgentEventPayloads, RequestSettlement,
} from './agent-event.js';
import {initialAgentState} from './agent-state.js';
import {phaseOf} from './backend-server-table.js';
import {helloMessage} from './entry-messages.js';
import {initialFillingThrottle} from './filling-throttle.js';
import {reduceAgent} from './reduce-agent.js';
import {refusalOf} from './request-outcome.js';

const capacity: Resources = {processorsMilli: 4000, memoryMb: 4096, accelerators: 0};

const leaseMs = 3000;

const settings = agentSettingsSchema.parse({
	role: 'agent', vmId: 'vm-1', failureDomain: 'a', rack: 'r1', requestAddress: '127.0.0.1:1', entryAddresses: ['127.0.0.1:2', '127.0.0.1:3'], workerUrl: 'http://127.0.0.1:4', limits: {backendQueueLimit: 1},
});

/** An agent with a simulated worker; the test controls the clock and the messages. */
class Fixture {
	state = initialAgentState(settings, 'i0');
	nowMs = 1000;
	/** Whether the worker's answers to starts are lost after they took effect. */
	losesAnswers = false;
	/** Number of starts by attempt. */
	readonly started = new Map<string, number>();
	readonly effects: AgentEffect[] = [];
	readonly #tasks = new Map<string, WorkerTask>();
	#incarnations = 0;

	send<Kind extends AgentEventKind>(kind: Kind, payload: AgentEventPayloads[Kind]): readonly AgentEffect[] {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The parameters keep kind and payload together.
		const reduced = reduceAgent(this.state, {kind, nowMs: this.nowMs, ...payload} as AgentEvent);
		this.state = reduced.state;
		this.effects.push(...reduced.effects);
		for (const effect of reduced.effects) {
			this.#carryOut(effect);
		}

		return reduced.effects;
	}

	message(value: NonNullable<Parameters<typeof create<typeof EntryMessageSchema>>[1]>): readonly AgentEffect[] {
		const {message}: EntryMessage = create(EntryMessageSchema, value);
		return this.send('entry-message', {entryAddress: '127.0.0.1:2', message});
	}

	list(): void {
		this.send('worker-tasks', {
			requestedAtMs: this.nowMs, list: {
				workerIncarnation: 'w0', capacity, tasks: [...this.#tasks.values()], listedEnds: 'all',
			},
		});
	}

	/** Connects an entry, lists the worker's tasks, sends the configuration as the entry does at registration and grants a lease. */
	activate(): this {
		this.send('entry-connected', {entryAddress: '127.0.0.1:2'});
		this.list();
		this.configure({});
		this.tick();
		this.grant();
		return this;
	}

	tick(): void {
		this.send('tick', {latencies: []});
	}

	grant(sequence = this.state.heartbeatSequence): void {
		this.message({message: {case: 'leaseGrant', value: {heartbeatSequence: BigInt(sequence), durationMs: leaseMs}}});
	}

	/** Sends a configuration with the given offset, by default the lowest. */
	configure({offset = 0, vmEvacuated = false}: Readonly<{offset?: number; vmEvacuated?: boolean}>): void {
		this.message({message: {case: 'configuration', value: {offset: BigInt(offset), vmEvacuated}}});
	}

	start(taskId: string, attempt: number, processorsMilli = 1000, agentIncarnation = this.state.incarnation): readonly AgentEffect[] {
		return this.message({
			message: {
				case: 'startTask', value: {
					taskId, attempt, agentIncarnation, claimOffset: BigInt(attempt), demand: {processorsMilli, memoryMb: 64},
				},
			},
		});
	}

	announce(demandMilli = 0): void {
		if (demandMilli > 0) {
			const services = [{service: 's', demandPerBackendServer: {processorsMilli: demandMilli}}];
			this.message({message: {case: 'configuration', value: {offset: BigInt(this.state.configuration.offset + 1), services}}});
		}

		this.send('backend-server-announced', {
			announcement: {
				backendServerId: 'b1', service: 's', address: '127.0.0.1:5', slots: 2, connections: 4,
			},
		});
	}

	request(requestId: string, key?: Readonly<{keyHash: string; claimOffset: number; bodyHash?: string}>): readonly AgentEffect[] {
		return this.send('request-arrived', {request: {requestId, backendServerId: 'b1', key: key && {agentIncarnation: this.state.incarnation, bodyHash: 'h', ...key}}});
	}

	end(taskId: string, phase: WorkerTask['phase']): void {
		const task = this.#tasks.get(taskId);
		if (task?.phase === 'running') {
			this.#tasks.set(taskId, {...task, phase});
		}
	}

	/** Makes the worker lose a task, as by a fault of its own, without listing its end. */
	lose(taskId: string): void {
		this.#tasks.delete(taskId);
	}

	/** Starts an attempt as a worker does: at most once while it is listed, and not after its deadline. */
	#startTask({taskId, request: {attempt, limit, leaseDeadlineMonotonicMs}}: AgentEffectOf<'start-task'>): void {
		const isKnown = this.#tasks.get(taskId)?.attempt === attempt;
		const isStarted = isKnown || this.nowMs < leaseDeadlineMonotonicMs;
		if (isStarted && !isKnown) {
			const name = `${taskId}#${attempt}`;
			this.started.set(name, (this.started.get(name) ?? 0) + 1);
			this.#tasks.set(taskId, {
				taskId, attempt, phase: 'running', limit, latencyCritical: false, checkpoint: '', reason: '',
			});
		}

		const result = isStarted ? 'started' : 'refused';
		this.nowMs += 1;
		this.send('start-answered', {
			taskId, attempt, result: this.losesAnswers ? 'unknown' : result, reason: '',
		});
	}

	#carryOut(effect: AgentEffect): void {
		if (effect.kind === 'create-incarnation') {
			this.#incarnations += 1;
			this.send('incarnation-created', {incarnation: `i${this.#incarnations}`});
		}

		if (effect.kind === 'start-task') {
			this.#startTask(effect);
		}

		if (effect.kind === 'checkpoint-task' || effect.kind === 'stop-task') {
			this.end(effect.taskId, effect.kind === 'stop-task' ? 'stopped' : 'checkpointed');
		}

		if (effect.kind === 'delete-task') {
			this.#tasks.delete(effect.taskId);
		}
	}
}

/** Returns the attempts that were reported as not run. */
function refusedAttempts(effects: readonly AgentEffect[]): ReadonlySet<string> {
	return new Set(effects
		.flatMap(effect => effect.kind === 'send' && effect.message.case === 'taskEvents' ? effect.message.value.events ?? [] : [])
		.filter(event => event.outcome?.case === 'ended' && event.outcome.value.outcome === TaskOutcome.REFUSED_NOT_RUN)
		.map(event => `${event.taskId}#${event.attempt}`));
}

const taskIds = fc.constantFrom('t1', 't2', 't3', 't4');

type Action = (fixture: Fixture) => void;

const taskActions: fc.Arbitrary<Action> = fc.oneof(
	fc.record({
		taskId: taskIds, attempt: fc.integer({min: 1, max: 3}), demand: fc.integer({min: 500, max: 3000}), incarnation: fc.constantFrom('i0', 'i1', undefined),
	})
		.map(({taskId, attempt, demand, incarnation}) => (fixture: Fixture) => {
			fixture.start(taskId, attempt, demand, incarnation);
		}),
	fc.tuple(taskIds, fc.constantFrom<WorkerTask['phase']>('finished', 'failed', 'stopped')).map(([taskId, phase]) => (fixture: Fixture) => {
		fixture.end(taskId, phase);
	}),
	fc.integer({min: 500, max: 3000}).map(demand => (fixture: Fixture) => {
		fixture.announce(demand);
	}),
	fc.integer({min: 1, max: 4000}).map(passedMs => (fixture: Fixture) => {
		fixture.nowMs += passedMs;
	}),
	fc.integer({min: 0, max: 3}).map(age => (fixture: Fixture) => {
		fixture.grant(fixture.state.heartbeatSequence - age);
	}),
	fc.tuple(taskIds, fc.integer({min: 1, max: 3})).map(([taskId, attempt]) => (fixture: Fixture) => {
		fixture.message({message: {case: 'evictTask', value: {taskId, attempt, reason: 'drain'}}});
	}),
	fc.constant((fixture: Fixture) => {
		fixture.message({message: {case: 'acknowledgeTaskEvents', value: {eventIds: [...fixture.state.events.pending.keys()].map(BigInt)}}});
	}),
	fc.boolean().map(losesAnswers => (fixture: Fixture) => {
		fixture.losesAnswers = losesAnswers;
	}),
	fc.constant((fixture: Fixture) => {
		fixture.list();
	}),
	fc.constant((fixture: Fixture) => {
		fixture.tick();
	}),
);

/** Guards against overcommitment, a second run of an attempt, and a false "not run" of a task. */
test('commitments stay within the capacity, and an attempt runs once or is truly refused', t => {
	fc.assert(fc.property(fc.array(taskActions, {maxLength: 60}), actions => {
		const fixture = new Fixture().activate();
		for (const act of actions) {
			act(fixture);
			t.true(fitsInto(fixture.state.ledger.committed, capacity));
		}

		t.true([...fixture.started.values()].every(count => count === 1));
		t.true([...refusedAttempts(fixture.effects)].every(name => !fixture.started.has(name)));
	}));
});

/** Guards against a second run through a late duplicate of a start, after the worker has deleted the ended attempt. */
test('a late duplicate of a start runs nothing after the worker has deleted the attempt', t => {
	const fixture = new Fixture().activate();
	fixture.start('t1', 1);
	fixture.end('t1', 'finished');
	fixture.list();
	fixture.message({message: {case: 'acknowledgeTaskEvents', value: {eventIds: [...fixture.state.events.pending.keys()].map(BigInt)}}});
	fixture.nowMs += 1;
	fixture.list();
	t.false(fixture.state.tasks.has('t1'));
	fixture.start('t1', 1);
	t.is(fixture.started.get('t1#1'), 1);
	t.false(refusedAttempts(fixture.effects).has('t1#1'));
});

/** Guards against an agent that continues after a pause as if its lease were live. */
test('after a pause beyond the lease, nothing starts until a new incarnation has a lease', t => {
	fc.assert(fc.property(fc.nat(leaseMs * 2), pauseMs => {
		const fixture = new Fixture().activate();
		fixture.start('t1', 1);
		fixture.nowMs = 1000 + pauseMs;
		fixture.grant();
		fixture.start('t2', 2, 1000, 'i0');
		t.is(fixture.started.has('t2#2'), pauseMs < leaseMs);
		fixture.nowMs += leaseMs;
		fixture.list();
		t.is(fixture.state.incarnation, pauseMs < leaseMs ? 'i0' : 'i1');
	}));
});

/** Guards against a lease that runs from the arrival of the grant. */
test('a lease runs from the sending of the heartbeat that its grant echoes', t => {
	const fixture = new Fixture().activate();
	fixture.nowMs += 1500;
	fixture.grant(1);
	t.is(fixture.state.lease.deadlineMs, 1000 + leaseMs);
});

/** Guards against a job that is reported as failed because of a fault of the worker. */
test('a task that the worker no longer lists is reported as cancelled, not as failed', t => {
	const fixture = new Fixture().activate();
	fixture.start('t1', 1);
	fixture.nowMs += 10;
	fixture.lose('t1');
	fixture.list();
	const outcomes = [...fixture.state.events.pending.values()].map(({outcome}) => outcome.case === 'ended' ? outcome.value.outcome : undefined);
	t.deepEqual(outcomes.filter(outcome => outcome !== undefined), [TaskOutcome.CANCELLED]);
});

/** Guards against claims that outlast a lost worker because entries renew the lease of its agent. */
test('the tasks of a worker that never answers again are abandoned although entries renew the lease of its agent', t => {
	const fixture = new Fixture().activate();
	fixture.start('t1', 1);
	const {incarnation} = fixture.state;
	for (let second = 0; second < 15; second++) {
		fixture.nowMs += 1000;
		fixture.tick();
		fixture.grant();
	}

	const {value} = helloMessage(fixture.state);
	t.not(fixture.state.incarnation, incarnation);
	t.is(fixture.state.phase, 'active');
	t.deepEqual(value, {...value, runningTasks: [], workerIncarnation: 'w0'});
});

/** Guards against renewals of the worker lease while the worker is silent, which delay the restart of its tasks. */
test('the tasks of a silent worker are abandoned once the lease since its last message has expired', t => {
	const fixture = new Fixture();
	const timings = {...fixture.state.settings.timings, workerHoldMs: 7000, workerTimeoutMs: 2500};
	fixture.state = {...fixture.state, settings: {...fixture.state.settings, timings}};
	fixture.activate().start('t1', 1);
	const {incarnation} = fixture.state;
	const lastSeenAtMs = fixture.nowMs;
	while (fixture.state.incarnation === incarnation && fixture.nowMs < lastSeenAtMs + 20_000) {
		fixture.nowMs += 500;
		fixture.tick();
		fixture.message({message: {case: 'leaseGrant', value: {heartbeatSequence: BigInt(fixture.state.heartbeatSequence), durationMs: 9000}}});
	}

	const silenceMs = fixture.nowMs - lastSeenAtMs;
	t.true(silenceMs > 7000 && silenceMs <= 7700, `abandoned after ${silenceMs} ms`);
});

/** Guards against claims that outlast a worker that ends together with its agent's process. */
test('a restarted agent whose worker never answers abandons the tasks of its predecessor', t => {
	const fixture = new Fixture();
	fixture.send('entry-connected', {entryAddress: '127.0.0.1:2'});
	fixture.tick();
	fixture.nowMs += settings.timings.workerHoldMs;
	fixture.tick();
	t.is(fixture.state.phase, 'counting');
	fixture.nowMs += settings.timings.workerHoldMs / 40;
	fixture.tick();
	t.is(fixture.state.phase, 'active');
	t.like(helloMessage(fixture.state).value, {workerLost: true, runningTasks: []});
});

/** Guards against a second run of a task that the worker still runs under the lease that the agent's predecessor renewed. */
test('a task that an agent found running is not abandoned before the worker lease of its predecessor has expired', t => {
	const fixture = new Fixture().activate();
	fixture.start('t1', 1);
	fixture.state = initialAgentState(settings, 'i1');
	fixture.activate();
	const {incarnation} = fixture.state;
	const foundAtMs = fixture.nowMs;
	while (fixture.state.incarnation === incarnation && fixture.nowMs < foundAtMs + (2 * settings.timings.workerHoldMs)) {
		fixture.nowMs += 1000;
		fixture.tick();
		fixture.grant();
	}

	t.true(fixture.nowMs - foundAtMs > settings.timings.workerHoldMs);
});

/** Guards against waiting for a worker lease to expire although the worker process has ended. */
test('the tasks of a worker that refuses connections are abandoned before the worker lease expires', t => {
	const fixture = new Fixture().activate();
	fixture.start('t1', 1);
	const {incarnation} = fixture.state;
	const endedAtMs = fixture.nowMs;
	while (fixture.state.incarnation === incarnation && fixture.nowMs < endedAtMs + leaseMs) {
		fixture.nowMs += 250;
		fixture.send('worker-look-failed', {isConnectionRefused: true});
	}

	t.true(fixture.nowMs - endedAtMs <= 1500, `abandoned after ${fixture.nowMs - endedAtMs} ms`);
	t.like(helloMessage(fixture.state).value, {workerLost: true, runningTasks: []});
	fixture.list();
	t.like(helloMessage(fixture.state).value, {workerLost: false, workerIncarnation: 'w0'});
});

/** Guards against placing tasks, until the next heartbeat, on a VM whose worker process has ended. */
test('a silent worker is reported to entries at once, and its return with the next heartbeat', t => {
	const fixture = new Fixture().activate();
	const silences = (effects: readonly AgentEffect[]) => effects.flatMap(effect => effect.kind === 'send' && effect.message.case === 'heartbeat' ? [effect.message.value.workerSilent] : []);
	t.deepEqual(silences(fixture.send('worker-look-failed', {isConnectionRefused: true})), [true]);
	t.deepEqual(silences(fixture.send('worker-look-failed', {isConnectionRefused: true})), []);
	fixture.list();
	t.deepEqual(silences(fixture.send('tick', {latencies: []})), [false]);
});

/** Guards against claims that cost an attempt each while an announcement leaves it open whether the worker process has ended. */
test('a worker that cannot be connected to is silent at once, but not lost before it is certain that its process has ended', t => {
	const fixture = new Fixture().activate();
	fixture.start('t1', 1);
	const {incarnation} = fixture.state;
	const silences = (effects: readonly AgentEffect[]) => effects.flatMap(effect => effect.kind === 'send' && effect.message.case === 'heartbeat' ? [effect.message.value.workerSilent] : []);
	t.deepEqual(silences(fixture.send('worker-look-failed', {isConnectionRefused: false, isUnreached: true})), [true]);
	// The agent's own lease ends later.
	const endsAtMs = fixture.nowMs + leaseMs - 500;
	while (fixture.nowMs < endsAtMs) {
		fixture.nowMs += 250;
		fixture.send('worker-look-failed', {isConnectionRefused: false, isUnreached: true});
	}

	t.is(fixture.state.incarnation, incarnation);
	fixture.list();
	t.deepEqual(silences(fixture.send('tick', {latencies: []})), [false]);
});

/** Guards against stopping a running task because a repeated start did not reach the worker. */
test('a start that did not reach the worker is refused only when no earlier try of it may run', t => {
	for (const isTriedBefore of [false, true]) {
		const fixture = new Fixture().activate();
		fixture.losesAnswers = isTriedBefore;
		fixture.start('t1', 1);
		const task = fixture.state.tasks.get('t1')!;
		fixture.state = {...fixture.state, tasks: fixture.state.tasks.set('t1', {...task, phase: 'starting'})};
		const effects = fixture.send('start-answered', {
			taskId: 't1', attempt: 1, result: 'unsent', reason: 'no connection',
		});
		t.is(refusedAttempts(effects).has('t1#1'), !isTriedBefore);
		t.false(effects.some(({kind}) => kind === 'checkpoint-task'));
	}
});

/** Guards against a second run of a task whose worker answers slowly. */
test('a worker that stops answering but accepts connections keeps its tasks until its lease has expired', t => {
	const fixture = new Fixture().activate();
	fixture.start('t1', 1);
	const {incarnation} = fixture.state;
	for (let poll = 0; poll < 8; poll++) {
		fixture.nowMs += 250;
		fixture.send('worker-look-failed', {isConnectionRefused: poll % 4 !== 3});
	}

	t.is(fixture.state.incarnation, incarnation);
});

/** Guards against placing tasks on a VM up to a second before its agent has the lease to start them. */
test('an agent that requests registration also sends the heartbeat that its lease will echo', t => {
	const fixture = new Fixture();
	fixture.send('entry-connected', {entryAddress: '127.0.0.1:2'});
	fixture.list();
	const sent = fixture.effects.flatMap(effect => effect.kind === 'send' ? [effect.message.case] : []);
	t.deepEqual(sent, ['hello', 'heartbeat']);
});

/** Guards against a start before the agent has received the worker's task list. */
test('a new agent does not register before the worker has listed its tasks', t => {
	const fixture = new Fixture();
	fixture.send('entry-connected', {entryAddress: '127.0.0.1:2'});
	fixture.tick();
	fixture.start('t1', 1);
	t.deepEqual(fixture.effects.filter(effect => effect.kind === 'send' && effect.message.case !== 'taskEvents'), []);
	t.is(fixture.started.size, 0);
});

/** Guards against the loss of an event together with the one entry to which it was sent. */
test('a task event goes to every entry when the first one does not acknowledge it', t => {
	const fixture = new Fixture().activate();
	fixture.send('entry-connected', {entryAddress: '127.0.0.1:3'});
	fixture.start('t1', 1);
	const receivers = (): string[] => fixture.effects.flatMap(effect => effect.kind === 'send' && effect.message.case === 'taskEvents' ? [effect.entryAddress] : []);
	t.deepEqual(receivers(), ['127.0.0.1:2']);
	fixture.nowMs += 2000;
	fixture.tick();
	t.deepEqual(receivers(), ['127.0.0.1:2', '127.0.0.1:2', '127.0.0.1:3']);
});

/** Callers that retry keyed requests, and what the agent answered for each key. */
class KeyedCallers {
	readonly fixture = new Fixture().activate();
	/** Requests that run. An answer that contradicts them or `mayHaveRun` counts as a false claim. */
	readonly running: Array<Readonly<{requestId: string; key: number}>> = [];
	readonly mayHaveRun = new Set<number>();
	falseClaims = 0;
	#requests = 0;

	constructor() {
		this.fixture.announce();
	}

	arrive(key: number): void {
		this.#requests += 1;
		const requestId = `r${this.#requests}`;
		const effects = this.fixture.request(requestId, {keyHash: `k${key}`, claimOffset: key});
		const runs = effects.some(effect => effect.kind === 'run-request');
		const isNotRun = effects.some(effect => effect.kind === 'refuse-request' && effect.refusal.outcome === 'refused-not-run');
		if ((runs || isNotRun) && (this.mayHaveRun.has(key) || this.running.some(each => each.key === key))) {
			this.falseClaims += 1;
		}

		if (runs) {
			this.running.push({requestId, key});
		}
	}

	settle(pick: number, settlement: RequestSettlement): void {
		for (const {requestId, key} of this.running.splice(pick, 1)) {
			if (settlement.kind !== 'refused' || settlement.refusal.outcome !== 'refused-not-run') {
				this.mayHaveRun.add(key);
			}

			this.fixture.send('request-settled', {requestId, settlement});
		}
	}
}

const settlements = fc.constantFrom<RequestSettlement>(
	{kind: 'kept', answer: {status: 200, headers: [], body: new Uint8Array(3)}},
	{kind: 'passed'},
	{kind: 'refused', refusal: refusalOf('answer-lost')},
	{kind: 'refused', refusal: refusalOf('unreachable')},
);

const arrivals = fc.integer({min: 1, max: 3}).map(key => (callers: KeyedCallers) => {
	callers.arrive(key);
});

const ends = fc.tuple(fc.nat(1), settlements).map(([pick, settlement]) => (callers: KeyedCallers) => {
	callers.settle(pick, settlement);
});

// Drains and long waits end the interesting part of a run, so they are rare.
const keyedActions: fc.Arbitrary<(callers: KeyedCallers) => void> = fc.oneof(
	{arbitrary: arrivals, weight: 8},
	{arbitrary: ends, weight: 8},
	fc.constantFrom(10, 400_000, 700_000).map(passedMs => ({fixture}: KeyedCallers) => {
		fixture.nowMs += passedMs;
		fixture.announce();
		fixture.tick();
		fixture.list();
	}),
	fc.constant(({fixture}: KeyedCallers) => {
		fixture.send('backend-server-leaving', {backendServerId: 'b1'});
	}),
);

/** Guards against a second run of a keyed request, and against a false "not run" while or after it ran. */
test('a keyed request runs at most once under retries, lost answers and drains', t => {
	fc.assert(fc.property(fc.array(keyedActions, {maxLength: 40}), actions => {
		const callers = new KeyedCallers();
		for (const act of actions) {
			act(callers);
		}

		t.is(callers.falseClaims, 0);
	}));
});

/** Guards against a key that answers for another body, and against a table that grows without limit. */
test('a key with another body is an error, and new keys are refused when stored answers use up their memory', t => {
	const fixture = new Fixture().activate();
	fixture.announce();
	fixture.request('r1', {keyHash: 'k1', claimOffset: 1});
	fixture.send('request-settled', {requestId: 'r1', settlement: {kind: 'kept', answer: {status: 200, headers: [], body: new Uint8Array(settings.limits.keptAnswersBytes)}}});
	const kinds = (effects: readonly AgentEffect[]): string[] => effects.flatMap(effect => effect.kind === 'refuse-request' ? [effect.refusal.kind] : []);
	t.deepEqual(kinds(fixture.request('r2', {keyHash: 'k1', claimOffset: 1, bodyHash: 'other'})), ['key-body-mismatch']);
	t.deepEqual(kinds(fixture.request('r3', {keyHash: 'k2', claimOffset: 2})), ['key-released']);
	t.true(fixture.request('r4', {keyHash: 'k1', claimOffset: 1}).some(effect => effect.kind === 'answer-request'));
});

/** Guards against a second run of a task whose end no entry has received: the VM must register again with the task. */
test('a task whose end is not acknowledged is listed when the agent registers', t => {
	const fixture = new Fixture().activate();
	fixture.start('t1', 1);
	fixture.end('t1', 'finished');
	fixture.list();
	const listed = (): readonly string[] => {
		const hello = helloMessage(fixture.state);
		return hello.case === 'hello' ? (hello.value.runningTasks ?? []).map(({taskId}) => taskId ?? '') : [];
	};

	t.deepEqual(listed(), ['t1']);
	fixture.message({message: {case: 'acknowledgeTaskEvents', value: {eventIds: [...fixture.state.events.pending.keys()].map(BigInt)}}});
	t.deepEqual(listed(), []);
});

/** Guards against a second run of a key that was released and claimed again, at this agent or another one. */
test('a released claim never runs, and only a later claim of the key may', t => {
	const fixture = new Fixture().activate();
	fixture.announce();
	fixture.message({message: {case: 'configuration', value: {offset: BigInt(fixture.state.configuration.offset + 1), drainingBackendServers: ['b1']}}});
	const kinds = (effects: readonly AgentEffect[]): string[] => effects.map(effect => effect.kind === 'refuse-request' ? effect.refusal.kind : effect.kind).filter(kind => kind !== 'count');
	t.deepEqual(kinds(fixture.request('r1', {keyHash: 'k1', claimOffset: 5})), ['key-released']);
	fixture.message({message: {case: 'configuration', value: {offset: BigInt(fixture.state.configuration.offset + 1), drainingBackendServers: []}}});
	t.deepEqual(kinds(fixture.request('r2', {keyHash: 'k1', claimOffset: 5})), ['key-released']);
	t.deepEqual(kinds(fixture.request('r3', {keyHash: 'k1', claimOffset: 9})), ['run-request']);
});

/** Guards against new requests for a leaving backend server, and against an answer to `leaving` while requests are in flight. */
test('a drain refuses at once and ends when the requests in flight have ended', t => {
	const fixture = new Fixture().activate();
	fixture.announce();
	fixture.request('r1');
	const isAnswered = (effects: readonly AgentEffect[]): boolean => effects.some(effect => effect.kind === 'answer-leaving');
	t.false(isAnswered(fixture.send('backend-server-leaving', {backendServerId: 'b1'})));
	t.deepEqual(fixture.state.backendServers.valueSeq().map(backendServer => phaseOf(backendServer)).toArray(), ['leaving']);
	t.true(fixture.request('r2').some(effect => effect.kind === 'refuse-request' && effect.refusal.kind === 'draining'));
	t.true(isAnswered(fixture.send('request-settled', {requestId: 'r1', settlement: {kind: 'passed'}})));
});

test('a VM without serving and filling tasks no longer reports a shortage of processors for filling work', t => {
	const fixture = new Fixture().activate();
	fixture.state = {...fixture.state, fillingThrottle: {...initialFillingThrottle, fillingRoomMilli: 300}};
	fixture.send('worker-usage', {
		usage: {
			measuredAtMonotonicMs: fixture.nowMs, processorsUsedMilli: 0, memoryUsedMb: 0, tasks: [],
		},
	});
	t.is(fixture.state.fillingThrottle.fillingRoomMilli, undefined);
});

test('a processor share that the worker did not apply is sent again with the next measurement', t => {
	const fixture = new Fixture().activate();
	const task = {
		taskId: 't1', fillsIdle: true, image: 'stress', fillingMilli: 2000, latencyTargetMs: 0, phase: 'running', sentShareMilli: 1000, attempt: 1,
	};
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only what the share depends on.
	fixture.state = {...fixture.state, tasks: fixture.state.tasks.set('t1', task as never)};
	fixture.send('throttle-failed', {taskId: 't1'});
	const effects = fixture.send('worker-usage', {
		usage: {
			measuredAtMonotonicMs: fixture.nowMs, processorsUsedMilli: 0, memoryUsedMb: 0, tasks: [{
				taskId: 't1', processorsUsedMilli: 2000, memoryUsedMb: 0, relativeSpeedMilli: 0, latencyTailMs: undefined,
			}],
		},
	});
	t.deepEqual(effects.filter(({kind}) => kind === 'throttle-task'), [{kind: 'throttle-task', taskId: 't1', shareMilli: 1000}]);
});

/** Guards against a second run of a task that finished, and whose end the worker lists only after those before it are deleted. */
test('a task that a list of some ends does not name is neither reported as cancelled nor refused', t => {
	const fixture = new Fixture().activate();
	fixture.start('t1', 1);
	fixture.list();
	fixture.start('t2', 1);
	fixture.nowMs += 100;
	const list = {workerIncarnation: 'w0', capacity, tasks: []};
	fixture.send('worker-tasks', {requestedAtMs: fixture.nowMs, list: {...list, listedEnds: 'some'}});
	t.deepEqual([...fixture.state.tasks.keys()].toSorted(), ['t1', 't2']);
	t.is(fixture.state.events.pending.filter(({outcome}) => outcome.case === 'ended').size, 0);
	const finished: WorkerTask = {
		taskId: 't1', attempt: 1, phase: 'finished', limit: capacity, latencyCritical: false, checkpoint: '', reason: 'done',
	};
	fixture.send('worker-tasks', {requestedAtMs: fixture.nowMs, list: {...list, tasks: [finished], listedEnds: 'some'}});
	t.deepEqual(
		[...fixture.state.events.pending.values()].flatMap(({taskId, outcome}) => outcome.case === 'ended' ? [`${taskId} ${TaskOutcome[outcome.value.outcome]}`] : []),
		['t1 FINISHED'],
	);
});

// Guards against a start in an evacuated failure domain by an agent that has just restarted.
test('an agent refuses starts until it has the configuration, and while its failure domain is evacuated; what runs continues', t => {
	const fixture = new Fixture();
	fixture.send('entry-connected', {entryAddress: '127.0.0.1:2'});
	fixture.list();
	fixture.tick();
	fixture.grant();
	fixture.start('t1', 1);
	fixture.configure({offset: 5});
	fixture.start('t2', 1);
	fixture.configure({offset: 6, vmEvacuated: true});
	fixture.start('t3', 1);
	// An entry that is behind sends an older configuration.
	fixture.configure({offset: 5});
	fixture.start('t4', 1);
	fixture.configure({offset: 8});
	fixture.start('t5', 1);
	fixture.tick();
	t.deepEqual([...fixture.started.keys()], ['t2#1', 't5#1']);
	t.deepEqual([...refusedAttempts(fixture.effects)].toSorted(), ['t1#1', 't3#1', 't4#1']);
	t.is(fixture.state.tasks.get('t2')?.stopping, undefined);
});

// Guards against a start that is sent again after the request, and against a false "not run" of one that took effect.
test('an unanswered start is stopped when the failure domain is evacuated, and reported as not run once the worker does not list it', t => {
	for (const wasExecuted of [false, true]) {
		const fixture = new Fixture().activate();
		fixture.losesAnswers = true;
		fixture.start('t1', 1);
		if (!wasExecuted) {
			fixture.lose('t1');
		}

		t.is(fixture.state.tasks.get('t1')?.phase, 'starting');
		fixture.nowMs += 10;
		const effects = fixture.message({message: {case: 'configuration', value: {offset: 6n, vmEvacuated: true}}});
		t.true(effects.some(effect => effect.kind === 'checkpoint-task'));
		fixture.tick();
		t.is(fixture.started.get('t1#1'), 1);
		t.false(refusedAttempts(fixture.effects).has('t1#1'));
		fixture.nowMs += 10;
		fixture.send('stop-answered', {taskId: 't1'});
		fixture.nowMs += 10;
		fixture.list();
		t.is(refusedAttempts(fixture.effects).has('t1#1'), !wasExecuted);
		t.is(fixture.started.get('t1#1'), 1);
	}
});

// An agent whose entries are all cut off from the log does not learn of an evacuation, and its lease outlasts the bound.
test('an unanswered start is not sent again while no entry has granted a lease lately', t => {
	const fixture = new Fixture().activate();
	fixture.losesAnswers = true;
	fixture.start('t1', 1);
	fixture.lose('t1');
	fixture.nowMs += 2600;
	fixture.tick();
	t.is(fixture.started.get('t1#1'), 1);
	fixture.grant();
	fixture.tick();
	t.is(fixture.started.get('t1#1'), 2);
});
