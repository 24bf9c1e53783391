import {create} from '@bufbuild/protobuf';
import test from 'ava';
import fc from 'fast-check';
import type {AgentEffect} from './agent/agent-effect.js';
import type {AgentEvent, AgentEventKind, AgentEventPayloads} from './agent/agent-event.js';
import {initialAgentState, type AgentState} from './agent/agent-state.js';
import {reduceAgent} from './agent/reduce-agent.js';
import {isLeaseLive} from './agent/lease.js';
import type {ClusterState} from './cluster/cluster-state.js';
import {computePlan} from './cluster/compute-plan.js';
import type {Intent, Job} from './cluster/intent.js';
import {
	addResources, fitsInto, noResources, type Resources,
} from './cluster/resources.js';
import type {AgentCommand} from './entry/control-effect.js';
import type {EntryEffect} from './entry/entry-effect.js';
import type {EntryEvent} from './entry/entry-event.js';
import {initialEntryState, type EntryState} from './entry/entry-state.js';
import {checkClusterState} from './cluster/check-cluster-state.js';
import {applyRecord, emptyClusterState} from './cluster/reduce-cluster.js';
import {reduceEntry} from './entry/reduce-entry.js';
import {AgentMessageSchema, EntryMessageSchema} from './generated/arbutushinge/v1/agent_pb.js';
import type {LogEnvelope} from './log/log-envelope.js';
import type {StartTaskRequest, WorkerTask} from './worker/worker-api.js';
import {agentSettingsSchema} from './settings/agent-settings.js';
import {entrySettingsSchema} from './settings/entry-settings.js';

const tickMs = 250;

const workMs = 1500;

const capacity: Resources = {processorsMilli: 4000, memoryMb: 4096, accelerators: 0};

const entryAddresses = ['127.0.0.1:1', '127.0.0.1:2'];

/** Limits of the agents' contact; the last is far beyond the leases, as of an agent without one. */
const contactLimitsMs = [2500, 4000, 60_000];

const service = {
	service: 's', teamId: 'team', latencyTargetMs: 100, demandPerBackendServer: {processorsMilli: 1000, memoryMb: 64, accelerators: 0},
};

type AppendMode = 'ok' | 'answer-lost' | 'late';

/** A simulated process; events that arrive while it is frozen stay in its inbox. */
class Process {
	alive = true;
	frozen = false;
	inbox: Array<() => void> = [];

	readonly clock: () => number;

	constructor(clock: () => number) {
		this.clock = clock;
	}

	drain(): void {
		while (this.alive && !this.frozen) {
			const next = this.inbox.shift();
			if (next === undefined) {
				return;
			}

			next();
		}
	}
}

type Entry = {
	process: Process;
	state: EntryState;
	settings: ReturnType<typeof entrySettingsSchema.parse>;
	sequence: number;
	waiting: LogEnvelope[];
	inFlight: LogEnvelope[];
	isReading: boolean;
	cutFromLog: boolean;
	/** Grants leases as versions did that did not bound the contact. */
	isEarlierVersion: boolean;
};

type Run = {taskId: string; attempt: number; vmId: string; incarnations: Set<string>; phase: WorkerTask['phase']; checkpoint: string};

type SimulatedTask = WorkerTask & {deadlineMs: number; doneMs: number; run: Run};

type Vm = {
	vmId: string;
	process: Process;
	state: AgentState;
	worker: Map<string, SimulatedTask>;
	fails: boolean;
	hidesEnds: boolean;
	/** The worker lists one end at a time, and the next one once that is deleted. */
	pagesEnds: boolean;
	losesAnswers: boolean;
	hasBackendServer: boolean;
	isLeaving: boolean;
	running: Array<Readonly<{requestId: string; reply: Reply}>>;
};

type Reply = (result: Extract<Extract<EntryEvent, {kind: 'request'}>['event'], {kind: 'forward-finished'}>['result']) => void;

type Link = {sessionId: string; connected: boolean; cut: boolean; held: boolean; toEntry: Array<() => void>; toAgent: Array<() => void>};

function ensure(condition: boolean, message: string): void {
	if (!condition) {
		throw new Error(message);
	}
}

/** Runs the reducers of two entries and three agents with a simulated log, workers and backend servers, and checks the invariants. */
class Fleet {
	nowMs = 10_000;
	logDown = false;
	appendMode: AppendMode = 'ok';
	readonly log: LogEnvelope[] = [];
	late: LogEnvelope[][] = [];
	readonly entries: Entry[];
	readonly vms: Vm[];
	readonly links: Link[][];
	readonly runs: Run[] = [];
	readonly commands: Array<Readonly<{vm: Vm; command: AgentCommand}>> = [];
	readonly keyRuns = new Map<string, number>();
	readonly requests = new Map<string, Readonly<{key: string; ranBefore: boolean}>>();
	readonly replies = new Map<string, Reply>();
	readonly accepted = new Map<string, Job>();
	jobs: Job[] = [];
	/** VMs whose tasks were freed, by whether the agent then held no lease because of its limit of contact alone. */
	readonly freed = {sooner: 0, all: 0};
	#ids = 0;
	#applied: ClusterState = emptyClusterState;

	constructor(earlierVersion?: number) {
		// Each process has its own clock; their rates differ by less than the lease's margin allows.
		this.entries = entryAddresses.map((agentAddress, index) => this.#startEntry(entrySettingsSchema.parse({
			role: 'entry', entryId: `entry-${index + 1}`, failureDomain: 'a', callerAddress: '127.0.0.1:3', operatorAddress: '127.0.0.1:4', agentAddress, operatorTokenFile: 'token', logServiceUrl: 'http://127.0.0.1:5', timings: {
				entryHeartbeatMs: 500, entryTimeoutMs: 2000, heartbeatTimeoutMs: 1000, leaseDurationMs: 6000, logFreshnessMs: 800, leaseMarginMs: 300,
			},
		}), new Process(() => (this.nowMs * (index === 0 ? 1.02 : 0.99)) + (index * 77_000)), index === earlierVersion));
		this.vms = [0, 1, 2].map(index => {
			const clock = () => (this.nowMs * (1 + (index / 100))) + (index * 5000);
			return {
				vmId: `vm-${index + 1}`, process: new Process(clock), state: this.#agentState(index), worker: new Map(), fails: false, hidesEnds: false, pagesEnds: false, losesAnswers: false, hasBackendServer: index < 2, isLeaving: false, running: [],
			};
		});
		this.links = this.vms.map(() => this.entries.map(() => ({
			sessionId: '', connected: false, cut: false, held: false, toEntry: [], toAgent: [],
		})));
	}

	id(prefix: string): string {
		this.#ids += 1;
		return `${prefix}${this.#ids}`;
	}

	/** Advances the time by `tickMs` and runs all processes that are not frozen. */
	advance(): void {
		this.nowMs += tickMs;
		for (const vm of this.vms) {
			this.#advanceWorker(vm);
		}

		for (const [vmIndex, vm] of this.vms.entries()) {
			for (const [entryIndex, entry] of this.entries.entries()) {
				this.#updateLink(vm, entry, this.links[vmIndex]![entryIndex]!, entryIndex);
			}
		}

		for (const entry of this.entries) {
			this.#advanceEntry(entry);
		}

		for (const vm of this.vms) {
			this.#advanceAgent(vm);
		}

		this.#checkFreedTasks();
		this.#checkCapacities();
	}

	submit(index: number, job: Job): void {
		this.jobs = [...this.jobs.filter(each => each.jobId !== job.jobId), job];
		this.toEntry(this.entries[index % 2]!, {kind: 'deferred-asked', replyId: job.jobId, subject: {kind: 'job', job}});
	}

	cancel(index: number, jobId: string): void {
		this.toEntry(this.entries[index % 2]!, {kind: 'deferred-asked', replyId: this.id('reply'), subject: {kind: 'cancel-job', jobId}});
	}

	/** Plans an intent and confirms the plan at one entry; plans of both entries may conflict in the log. */
	confirm(index: number, intent: Intent): void {
		const entry = this.entries[index % 2]!;
		const plan = computePlan(entry.state.cluster, intent, {planId: this.id('plan'), nowMs: this.nowMs, expiresInMs: 600_000});
		if (plan.isOk) {
			this.toEntry(entry, {kind: 'deferred-asked', replyId: plan.value.planId, subject: {kind: 'plan', plan: plan.value}});
		}
	}

	/** Sends a keyed request as a caller, or repeats an earlier one. */
	request(index: number, key: string): void {
		const requestId = this.id('request');
		const entry = this.entries[index % 2]!;
		this.requests.set(requestId, {key, ranBefore: this.keyRuns.has(key)});
		this.toEntry(entry, {
			kind: 'request', event: {
				kind: 'request-arrived', requestId, service: 's', idempotency: 'keyed', keyHash: key, bodyHash: 'body', priority: 'urgent', caller: 'caller', deadlineAtMs: entry.process.clock() + 4000, firstAttempt: false, arrivedAtMs: entry.process.clock(),
			},
		});
	}

	killEntry(index: number, isBatchWritten: boolean): void {
		const entry = this.entries[index]!;
		if (entry.process.alive && isBatchWritten && entry.inFlight.length > 0) {
			this.late.push(entry.inFlight);
		}

		for (const links of this.links) {
			this.#disconnect(links[index]!, index, this.vms[this.links.indexOf(links)], undefined);
		}

		entry.process.alive = false;
	}

	killAgent(index: number): void {
		for (const [entryIndex, link] of this.links[index]!.entries()) {
			this.#disconnect(link, entryIndex, undefined, this.entries[entryIndex]);
		}

		const vm = this.vms[index]!;
		vm.process.alive = false;
		for (const {reply} of vm.running) {
			reply({kind: 'broken-before-answer', message: 'the agent died', canResend: true});
		}

		vm.running = [];
	}

	restartKilled(): void {
		for (const [index, entry] of this.entries.entries()) {
			if (!entry.process.alive) {
				this.entries[index] = this.#startEntry(entry.settings, new Process(entry.process.clock), entry.isEarlierVersion);
			}
		}

		for (const [index, vm] of this.vms.entries()) {
			if (!vm.process.alive) {
				vm.process = new Process(vm.process.clock);
				vm.state = this.#agentState(index);
			}
		}
	}

	setCut(vmIndex: number, entryIndex: number, cut: boolean): void {
		const link = this.links[vmIndex]![entryIndex]!;
		link.cut = cut;
		if (cut) {
			this.#disconnect(link, entryIndex, this.vms[vmIndex], this.entries[entryIndex]);
		}
	}

	/** Delivers an earlier command to its agent again. */
	repeatCommand(pick: number): void {
		const old = this.commands[this.commands.length - 1 - (pick % Math.max(1, this.commands.length))];
		if (old) {
			this.#deliverCommand(old.vm, entryAddresses[0]!, old.command);
		}
	}

	writeLate(): void {
		for (const batch of this.late.splice(0)) {
			this.log.push(...batch);
		}
	}

	heal(): void {
		this.writeLate();
		this.logDown = false;
		this.appendMode = 'ok';
		for (const link of this.links.flat()) {
			link.cut = false;
			link.held = false;
		}

		for (const entry of this.entries) {
			entry.cutFromLog = false;
			entry.process.frozen = false;
		}

		for (const vm of this.vms) {
			vm.process.frozen = false;
			vm.fails = false;
			vm.hidesEnds = false;
			vm.pagesEnds = false;
			vm.losesAnswers = false;
		}

		this.restartKilled();
	}

	toEntry(entry: Entry, event: EntryEvent): void {
		entry.process.inbox.push(() => {
			this.#reduceEntry(entry, event);
		});
	}

	toAgent<Kind extends AgentEventKind>(vm: Vm, kind: Kind, payload: AgentEventPayloads[Kind]): void {
		vm.process.inbox.push(() => {
			this.#reduceAgent(vm, kind, payload);
		});
	}

	/** Returns messages that name the tasks that have not ended, with their phase. */
	unfinished(): readonly string[] {
		return this.entries.flatMap(({state: {cluster}}) => [...cluster.tasks.values()]
			.filter(task => !['finished', 'cancelled', 'failed', 'unplaceable'].includes(task.phase))
			.map(task => `${task.spec.taskId} is ${task.phase}`));
	}

	#startEntry(settings: Entry['settings'], process: Process, isEarlierVersion: boolean): Entry {
		return {
			process, settings, state: initialEntryState(this.id('e')), sequence: 0, waiting: [], inFlight: [], isReading: false, cutFromLog: false, isEarlierVersion,
		};
	}

	#agentState(index: number): AgentState {
		return initialAgentState(agentSettingsSchema.parse({
			role: 'agent', vmId: `vm-${index + 1}`, failureDomain: `domain-${index + 1}`, rack: 'r', requestAddress: `127.0.0.1:1${index}`, entryAddresses, workerUrl: 'http://127.0.0.1:6', guards: {enabled: false}, timings: {contactLimitMs: contactLimitsMs[index]},
		}), this.id('a'));
	}

	#disconnect(link: Link, entryIndex: number, vm: Vm | undefined, entry: Entry | undefined): void {
		if (!link.connected) {
			return;
		}

		link.connected = false;
		link.toAgent = [];
		link.toEntry = [];
		if (vm) {
			this.toAgent(vm, 'entry-disconnected', {entryAddress: entryAddresses[entryIndex]!});
		}

		if (entry) {
			this.toEntry(entry, {kind: 'agent-session-closed', sessionId: link.sessionId});
		}
	}

	#updateLink(vm: Vm, entry: Entry, link: Link, entryIndex: number): void {
		if (!link.connected && !link.cut && [vm.process, entry.process].every(({alive, frozen}) => alive && !frozen)) {
			link.connected = true;
			link.sessionId = this.id('session');
			this.toAgent(vm, 'entry-connected', {entryAddress: entryAddresses[entryIndex]!});
		}

		if (link.connected && !link.held) {
			for (const deliver of [...link.toEntry.splice(0), ...link.toAgent.splice(0)]) {
				deliver();
			}
		}
	}

	#advanceEntry(entry: Entry): void {
		const {process} = entry;
		const isLogReachable = !this.logDown && !entry.cutFromLog;
		if (!process.alive || process.frozen) {
			return;
		}

		process.drain();
		if (!isLogReachable) {
			this.#reduceEntry(entry, {kind: 'log-failed', message: 'fault'});
		} else if (!entry.isReading) {
			const from = entry.state.cluster.offset + 1;
			const records = this.log.slice(from, from + 100).map((envelope, index) => ({offset: from + index, envelope}));
			const reachedTail = from + records.length >= this.log.length;
			const readSentAtMs = process.clock();
			entry.isReading = true;
			process.inbox.push(() => {
				entry.isReading = false;
				this.#reduceEntry(entry, {
					kind: 'log-page', records, readSentAtMs, reachedTail,
				});
			});
		}

		this.#reduceEntry(entry, {kind: 'tick'});
		if (entry.inFlight.length === 0) {
			entry.inFlight = entry.waiting.splice(0);
		}

		if (isLogReachable && entry.inFlight.length > 0) {
			const batch = entry.inFlight;
			if (this.appendMode === 'late') {
				this.late.push(batch);
			} else {
				this.log.push(...batch);
			}

			if (this.appendMode === 'ok') {
				entry.inFlight = [];
			}
		}
	}

	#reduceEntry(entry: Entry, event: EntryEvent): void {
		const {offset} = entry.state.cluster.configuration;
		const transition = reduceEntry(entry.state, event, {
			nowMs: entry.process.clock(), wallTimeMs: this.nowMs, seed: this.#ids, pendingAppends: entry.waiting.length + entry.inFlight.length,
		}, entry.settings);
		entry.state = transition.state;
		ensure(transition.state.cluster.configuration.offset >= offset, 'the configuration of an entry went back to an earlier offset');
		for (const effect of transition.effects) {
			this.#executeEntry(entry, effect);
		}
	}

	#executeEntry(entry: Entry, effect: EntryEffect): void {
		switch (effect.kind) {
			case 'append-record': {
				if (entry.isEarlierVersion && effect.record.kind === 'entry-bounds-contact') {
					break;
				}

				entry.sequence += 1;
				entry.waiting.push({
					writer: entry.settings.entryId, incarnation: entry.state.incarnation, sequence: entry.sequence, record: effect.record,
				});
				if (effect.record.kind === 'task-ended' && effect.record.outcome === 'refused-not-run') {
					const {taskId, attempt} = effect.record;
					ensure(!this.runs.some(run => run.taskId === taskId && run.attempt === attempt), `${taskId}#${attempt} ran and is reported as not run`);
				}

				break;
			}

			case 'send-to-agent': {
				const vmIndex = this.vms.findIndex(({vmId}) => vmId === effect.vmId);
				const vm = this.vms[vmIndex]!;
				const link = this.links[vmIndex]![this.entries.indexOf(entry)];
				const command = entry.isEarlierVersion ? this.#earlierCommand(entry, vm, effect.command) : effect.command;
				this.commands.push({vm, command});
				link?.toAgent.push(() => {
					this.#deliverCommand(vm, entry.settings.agentAddress, command);
				});
				break;
			}

			case 'restart-incarnation': {
				entry.waiting = [];
				entry.inFlight = [];
				entry.sequence = 0;
				this.#reduceEntry(entry, {kind: 'incarnation-started', incarnation: this.id('e')});
				break;
			}

			case 'forward-request': {
				this.#forward(entry, effect);
				break;
			}

			case 'answer-request': {
				const {key, ranBefore} = this.requests.get(effect.requestId)!;
				ensure(effect.outcome !== 'refused-not-run' || !ranBefore, `${key} ran and is answered as not run: ${effect.error.kind}`);
				break;
			}

			case 'answer-deferred': {
				const job = this.jobs.find(each => each.jobId === effect.replyId);
				if (job && effect.answer.result === 'accepted') {
					this.accepted.set(job.jobId, job);
				}

				break;
			}

			case 'write-snapshot':
			case 'record-timeline':
			case 'log-event':
			case 'count-metric':
			case 'confirm-log-tail':
			case 'cancel-forward': {
				break;
			}
		}
	}

	#earlierCommand({state, settings: {timings}, process}: Entry, {vmId}: Vm, command: AgentCommand): AgentCommand {
		if (command.case !== 'leaseGrant') {
			return command;
		}

		const mayGrant = state.cluster.entries.has(state.incarnation)
			&& process.clock() - state.log.tailConfirmedSentAtMs <= timings.logFreshnessMs
			&& state.cluster.vms.get(vmId)?.phase === 'live'
			&& state.cluster.vms.get(vmId)?.agentIncarnation === state.links.get(vmId)?.agentIncarnation;
		return {case: 'leaseGrant', value: {heartbeatSequence: command.value.heartbeatSequence, durationMs: mayGrant ? timings.leaseDurationMs : 0}};
	}

	#forward(entry: Entry, effect: Extract<EntryEffect, {kind: 'forward-request'}>): void {
		const vmIndex = this.vms.findIndex(({vmId}) => vmId === effect.vmId);
		const vm = this.vms[vmIndex]!;
		const {key} = this.requests.get(effect.requestId)!;
		const forwardId = `${effect.requestId}/${effect.attempt}`;
		const reply: Reply = result => {
			this.replies.delete(forwardId);
			this.toEntry(entry, {
				kind: 'request', event: {
					kind: 'forward-finished', requestId: effect.requestId, attempt: effect.attempt, backendServerId: effect.backendServerId, result,
				},
			});
		};

		if (this.links[vmIndex]![this.entries.indexOf(entry)]?.cut !== false || !vm.process.alive) {
			reply({kind: 'not-sent', message: 'no connection', canResend: true});
			return;
		}

		this.replies.set(forwardId, reply);
		this.toAgent(vm, 'request-arrived', {
			request: {
				requestId: forwardId,
				backendServerId: effect.backendServerId,
				key: effect.claimOffset === undefined
					? undefined
					: {
						keyHash: key, bodyHash: 'body', claimOffset: effect.claimOffset, agentIncarnation: effect.agentIncarnation,
					},
			},
		});
	}

	#deliverCommand(vm: Vm, entryAddress: string, command: AgentCommand): void {
		this.toAgent(vm, 'entry-message', {entryAddress, message: create(EntryMessageSchema, {message: command}).message});
	}

	#advanceAgent(vm: Vm): void {
		const {process} = vm;
		if (!process.alive || process.frozen) {
			return;
		}

		process.drain();
		if (vm.hasBackendServer) {
			this.#reduceAgent(vm, 'backend-server-announced', {
				announcement: {
					backendServerId: `b-${vm.vmId}`, service: 's', address: '127.0.0.1:7', slots: 2, connections: 4,
				},
			});
		}

		for (const {requestId, reply} of vm.running.splice(0)) {
			this.#reduceAgent(vm, 'request-settled', {requestId, settlement: {kind: 'kept', answer: {status: 200, headers: [], body: new Uint8Array(1)}}});
			reply({kind: 'answered'});
		}

		this.#reduceAgent(vm, 'tick', {latencies: []});
		const tasks = [...vm.worker.values()].map(({deadlineMs: _, doneMs: __, run: ___, ...task}): WorkerTask => vm.hidesEnds && task.phase !== 'running'
			? {
				...task, phase: 'running', checkpoint: '', reason: '',
			}
			: task);
		const firstEnd = tasks.find(({phase}) => phase !== 'running');
		const listed = vm.pagesEnds ? tasks.filter(task => task.phase === 'running' || task === firstEnd) : tasks;
		this.toAgent(vm, 'worker-tasks', {
			requestedAtMs: process.clock(),
			list: {
				workerIncarnation: `worker-${vm.vmId}`, capacity, tasks: listed, listedEnds: vm.pagesEnds && firstEnd !== undefined ? 'some' : 'all',
			},
		});
	}

	#reduceAgent<Kind extends AgentEventKind>(vm: Vm, kind: Kind, payload: AgentEventPayloads[Kind]): void {
		const {offset} = vm.state.configuration;
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The parameters keep kind and payload together.
		const transition = reduceAgent(vm.state, {kind, nowMs: vm.process.clock(), ...payload} as AgentEvent);
		vm.state = transition.state;
		ensure(transition.state.configuration.offset >= offset, 'the configuration of an agent went back to an earlier offset');
		for (const effect of transition.effects) {
			this.#executeAgent(vm, effect);
		}
	}

	#executeAgent(vm: Vm, effect: AgentEffect): void {
		switch (effect.kind) {
			case 'send': {
				this.#sendToEntry(vm, effect);
				break;
			}

			case 'start-task': {
				const result = this.#startTask(vm, effect.taskId, effect.request);
				this.toAgent(vm, 'start-answered', {
					taskId: effect.taskId, attempt: effect.request.attempt, result: vm.losesAnswers ? 'unknown' : result, reason: '',
				});
				break;
			}

			case 'checkpoint-task':
			case 'stop-task': {
				this.#endTask(vm, effect.taskId, effect.kind === 'stop-task' ? 'stopped' : 'checkpointed');
				break;
			}

			case 'delete-task': {
				if (vm.worker.get(effect.taskId)?.phase !== 'running') {
					vm.worker.delete(effect.taskId);
				}

				break;
			}

			case 'set-lease': {
				for (const task of vm.worker.values()) {
					if (effect.deadlineMonotonicMs > vm.process.clock()) {
						task.deadlineMs = Math.max(task.deadlineMs, effect.deadlineMonotonicMs);
					}
				}

				break;
			}

			case 'create-incarnation': {
				this.#reduceAgent(vm, 'incarnation-created', {incarnation: this.id('a')});
				break;
			}

			case 'run-request': {
				const reply = this.replies.get(effect.requestId);
				const {key} = this.requests.get(effect.requestId.split('/')[0]!)!;
				ensure(!vm.isLeaving, `${effect.backendServerId} is leaving and got ${effect.requestId}`);
				ensure(!this.keyRuns.has(key), `${key} ran twice`);
				this.keyRuns.set(key, 1);
				vm.running.push({requestId: effect.requestId, reply: reply ?? (() => undefined)});
				break;
			}

			case 'answer-request': {
				this.replies.get(effect.requestId)?.({kind: 'answered'});
				break;
			}

			case 'refuse-request': {
				const {refusal} = effect;
				this.replies.get(effect.requestId)?.(refusal.outcome === 'refused-not-run'
					? {
						...refusal, kind: 'refused-not-run', errorKind: refusal.kind, canResend: true,
					}
					: {kind: refusal.outcome, message: refusal.message, canResend: true});
				break;
			}

			case 'throttle-task':
			case 'answer-leaving':
			case 'forget-backend-server':
			case 'log':
			case 'count':
			case 'record':
			case 'finish-stop': {
				break;
			}
		}
	}

	#sendToEntry(vm: Vm, {entryAddress, message}: Extract<AgentEffect, {kind: 'send'}>): void {
		const entryIndex = entryAddresses.indexOf(entryAddress);
		const link = this.links[this.vms.indexOf(vm)]![entryIndex]!;
		const {sessionId} = link;
		const sent = create(AgentMessageSchema, {message}).message;
		if (!link.connected) {
			return;
		}

		link.toEntry.push(() => {
			const entry = this.entries[entryIndex]!;
			switch (sent.case) {
				case 'hello': {
					this.toEntry(entry, {kind: 'agent-hello', sessionId, hello: sent.value});
					break;
				}

				case 'heartbeat': {
					this.toEntry(entry, {kind: 'agent-heartbeat', sessionId, heartbeat: sent.value});
					break;
				}

				case 'taskEvents': {
					this.toEntry(entry, {kind: 'agent-task-events', sessionId, events: sent.value.events});
					break;
				}

				case undefined: {
					break;
				}
			}
		});
	}

	/** Starts a task as the platform's worker does, and checks the start against all earlier runs of the task. */
	#startTask(vm: Vm, taskId: string, request: StartTaskRequest): 'started' | 'refused' | 'unknown' {
		const known = vm.worker.get(taskId);
		if (known?.attempt === request.attempt) {
			return 'started';
		}

		if (request.leaseDeadlineMonotonicMs <= vm.process.clock()) {
			return 'unknown';
		}

		if (known && (known.phase === 'running' || known.attempt > request.attempt)) {
			return 'refused';
		}

		const name = `${taskId}#${request.attempt}`;
		const earlier = this.runs.filter(run => run.taskId === taskId);
		for (const run of earlier) {
			const isLeaseOver = this.log.some(({record}) => record.kind === 'vm-lease-expired' && run.incarnations.has(record.agentIncarnation));
			ensure(run.phase !== 'running', `${name} starts on ${vm.vmId} while attempt ${run.attempt} runs on ${run.vmId}`);
			ensure(run.attempt < request.attempt, `${name} starts after attempt ${run.attempt}`);
			ensure(run.phase !== 'finished' || isLeaseOver, `${name} starts after attempt ${run.attempt} has finished on ${run.vmId}`);
			ensure(run !== earlier.at(-1) || run.phase !== 'checkpointed' || isLeaseOver || request.checkpoint === run.checkpoint, `${name} resumes without the checkpoint of attempt ${run.attempt}`);
		}

		const run: Run = {
			taskId, attempt: request.attempt, vmId: vm.vmId, incarnations: new Set([vm.state.incarnation]), phase: 'running', checkpoint: '',
		};
		this.runs.push(run);
		vm.worker.set(taskId, {
			taskId, attempt: request.attempt, phase: 'running', limit: request.limit, latencyCritical: request.latencyCritical, checkpoint: '', reason: '', deadlineMs: request.leaseDeadlineMonotonicMs, doneMs: Number(request.checkpoint), run,
		});
		return 'started';
	}

	#endTask(vm: Vm, taskId: string, phase: WorkerTask['phase']): void {
		const task = vm.worker.get(taskId);
		if (task?.phase === 'running') {
			task.run.phase = phase;
			task.run.checkpoint = phase === 'checkpointed' ? String(task.doneMs) : '';
			vm.worker.set(taskId, {...task, phase, checkpoint: task.run.checkpoint});
		}
	}

	#advanceWorker(vm: Vm): void {
		for (const task of vm.worker.values()) {
			if (task.phase === 'running' && vm.process.alive) {
				// The run goes on under the agent's next incarnation, which may not be registered in the log yet.
				task.run.incarnations.add(vm.state.incarnation);
			}

			task.doneMs += task.phase === 'running' ? tickMs : 0;
			if (vm.fails) {
				this.#endTask(vm, task.taskId, 'failed');
			} else if (vm.process.clock() >= task.deadlineMs) {
				this.#endTask(vm, task.taskId, 'checkpointed');
			} else if (task.doneMs >= workMs) {
				this.#endTask(vm, task.taskId, 'finished');
			}
		}
	}

	/** Checks, at the moment when the log frees the tasks of a VM, that nothing on it may run them any more. */
	#checkFreedTasks(): void {
		for (const [index, envelope] of this.log.slice(this.#applied.offset + 1).entries()) {
			const before = this.#applied;
			this.#applied = applyRecord(before, {offset: before.offset + 1, envelope});
			const {record} = envelope;
			if (record.kind !== 'vm-lease-expired' || before.vms.get(record.vmId)?.phase !== 'revoked' || this.#applied.vms.get(record.vmId)?.phase !== 'expired') {
				continue;
			}

			const vm = this.vms.find(({vmId}) => vmId === record.vmId)!;
			const nowMs = vm.process.clock();
			const {incarnation, lease} = vm.state;
			ensure(incarnation !== record.agentIncarnation || !vm.process.alive || !isLeaseLive(lease, nowMs), `the tasks of ${vm.vmId} are free while its agent holds a lease (${index})`);
			ensure([...vm.worker.values()].every(({phase}) => phase !== 'running'), `the tasks of ${vm.vmId} are free while its worker runs one`);
			this.freed.all++;
			this.freed.sooner += (lease.grantedUntilMs ?? 0) > nowMs ? 1 : 0;
		}
	}

	#checkCapacities(): void {
		for (const vm of this.vms) {
			let sum = vm.state.ledger.holders.get(`backend-server/b-${vm.vmId}`) ?? noResources;
			for (const task of vm.worker.values()) {
				sum = task.phase === 'running' ? addResources(sum, task.limit) : sum;
			}

			ensure(fitsInto(sum, capacity), `${vm.vmId} runs more than its capacity`);
		}

		for (const {state: {cluster}} of this.entries) {
			ensure([...cluster.vms.values()].every(vm => fitsInto(vm.committed, vm.capacity)), 'a VM is committed beyond its capacity');
			const contradiction = checkClusterState(cluster);
			ensure(contradiction === undefined, contradiction ?? '');
		}
	}
}

type Action = Readonly<{name: string; act: (fleet: Fleet) => void}>;

const action = <Value>(name: string, values: fc.Arbitrary<Value>, act: (fleet: Fleet, value: Value) => void): fc.Arbitrary<Action> =>
	values.map(value => ({
		name: `${name} ${JSON.stringify(value)}`,
		act(fleet: Fleet) {
			act(fleet, value);
		},
		toString: () => `${name} ${JSON.stringify(value)}`,
	}));

const entryIndex = fc.nat(1);
const vmIndex = fc.nat(2);

const jobOf = (number: number, tasks: number, processorsMilli: number, priority: Job['priority']): Job => ({
	jobId: `job-${number}`,
	teamId: 'team',
	workClass: 'batch',
	priority,
	tasks: Array.from({length: tasks}, (_, index) => ({
		taskId: `job-${number}-${index}`, demand: {processorsMilli, memoryMb: 64, accelerators: 0}, declaredRunTimeMs: 1, payload: '',
	})),
});

const actions: fc.Arbitrary<Action> = fc.oneof(
	{
		weight: 8, arbitrary: action('pass', fc.integer({min: 1, max: 12}), (fleet, ticks) => {
			for (let tick = 0; tick < ticks; tick++) {
				fleet.advance();
			}
		}),
	},
	// No VM has the capacity for 5,000 millicores.
	{
		weight: 3, arbitrary: action('submit', fc.tuple(entryIndex, fc.nat(9), fc.integer({min: 1, max: 4}), fc.constantFrom(1000, 2000, 3000, 5000), fc.constantFrom<Job['priority']>('urgent', 'normal', 'background')), (fleet, [entry, number, tasks, processorsMilli, priority]) => {
			if (!fleet.jobs.some(job => job.jobId === `job-${number}`)) {
				fleet.submit(entry, jobOf(number, tasks, processorsMilli, priority));
			}
		}),
	},
	{
		weight: 3, arbitrary: action('request', fc.tuple(entryIndex, fc.nat(5)), (fleet, [entry, key]) => {
			fleet.request(entry, `key-${key}`);
		}),
	},
	action('cancel', fc.tuple(entryIndex, fc.nat(9)), (fleet, [entry, number]) => {
		fleet.cancel(entry, `job-${number}`);
	}),
	action('log down', fc.boolean(), (fleet, down) => {
		fleet.logDown = down;
	}),
	action('appends', fc.constantFrom<AppendMode>('ok', 'answer-lost', 'late'), (fleet, mode) => {
		fleet.appendMode = mode;
	}),
	action('write late', fc.constant(true), fleet => {
		fleet.writeLate();
	}),
	action('cut entry from the log', fc.tuple(entryIndex, fc.boolean()), (fleet, [entry, cut]) => {
		fleet.entries[entry]!.cutFromLog = cut;
	}),
	action('kill entry', fc.tuple(entryIndex, fc.boolean()), (fleet, [entry, isBatchWritten]) => {
		fleet.killEntry(entry, isBatchWritten);
	}),
	{
		weight: 2, arbitrary: action('kill agent', vmIndex, (fleet, vm) => {
			fleet.killAgent(vm);
		}),
	},
	{
		weight: 2, arbitrary: action('restart killed processes', fc.constant(true), fleet => {
			fleet.restartKilled();
		}),
	},
	{
		weight: 2, arbitrary: action('freeze entry', fc.tuple(entryIndex, fc.boolean()), (fleet, [entry, frozen]) => {
			fleet.entries[entry]!.process.frozen = frozen;
		}),
	},
	{
		weight: 2, arbitrary: action('freeze agent', fc.tuple(vmIndex, fc.boolean()), (fleet, [vm, frozen]) => {
			fleet.vms[vm]!.process.frozen = frozen;
		}),
	},
	{
		weight: 2, arbitrary: action('cut', fc.tuple(vmIndex, fc.constantFrom([0], [1], [0, 1]), fc.boolean()), (fleet, [vm, entries, cut]) => {
			for (const entry of entries) {
				fleet.setCut(vm, entry, cut);
			}
		}),
	},
	action('hold', fc.tuple(vmIndex, entryIndex, fc.boolean()), (fleet, [vm, entry, held]) => {
		fleet.links[vm]![entry]!.held = held;
	}),
	{
		weight: 2, arbitrary: action('repeat command', fc.nat(30), (fleet, pick) => {
			fleet.repeatCommand(pick);
		}),
	},
	action('worker', fc.tuple(vmIndex, fc.constantFrom<'fails' | 'hidesEnds' | 'pagesEnds' | 'losesAnswers'>('fails', 'hidesEnds', 'pagesEnds', 'losesAnswers'), fc.boolean()), (fleet, [vm, fault, on]) => {
		fleet.vms[vm]![fault] = on;
	}),
	action('backend server leaves', fc.nat(1), (fleet, vm) => {
		fleet.toAgent(fleet.vms[vm]!, 'backend-server-leaving', {backendServerId: `b-vm-${vm + 1}`});
	}),
	action('drain', fc.tuple(entryIndex, vmIndex, fc.constantFrom<'drain-vm' | 'return-vm'>('drain-vm', 'return-vm')), (fleet, [entry, vm, kind]) => {
		fleet.confirm(entry, {kind, vmId: `vm-${vm + 1}`});
	}),
);

function advanceBy(fleet: Fleet, ticks: number, isDone: () => boolean = () => false): void {
	for (let tick = 0; tick < ticks && !isDone(); tick++) {
		fleet.advance();
	}
}

const phasesOf = (cluster: ClusterState) => Object.fromEntries([...cluster.tasks.values()].map(task => [task.spec.taskId, task.phase]));

/** Guards against broken invariants under every fault that the harness can simulate at the reducers' interfaces, alone and combined. */
test('no sequence of faults breaks an invariant, and every task that can run ends after the faults', t => {
	let finished = 0;
	const freed = {sooner: 0, all: 0};
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(actions, {minLength: 20, maxLength: 60}), fc.constantFrom(undefined, undefined, undefined, 0, 1), (list, earlierVersion) => {
			const fleet = new Fleet(earlierVersion);
			advanceBy(fleet, 8);
			fleet.confirm(0, {kind: 'admit-service', service});
			advanceBy(fleet, 8);
			for (const {act} of list) {
				act(fleet);
				fleet.advance();
			}

			fleet.heal();
			advanceBy(fleet, 40);
			for (const vm of fleet.vms) {
				fleet.confirm(0, {kind: 'return-vm', vmId: vm.vmId});
				advanceBy(fleet, 4);
			}

			advanceBy(fleet, 800, () => fleet.unfinished().length === 0);
			ensure(fleet.unfinished().length === 0, `not finished: ${fleet.unfinished().join(', ')}`);
			advanceBy(fleet, 4);
			const [first, second] = fleet.entries.map(({state}) => JSON.stringify(phasesOf(state.cluster)));
			ensure(first === second, 'the task phases at the two entries differ');
			for (const job of fleet.accepted.values()) {
				ensure(job.tasks.every(task => fleet.entries[0]!.state.cluster.tasks.has(task.taskId)), `${job.jobId} was accepted and is lost`);
			}

			finished += fleet.runs.filter(run => run.phase === 'finished').length;
			freed.all += fleet.freed.all;
			freed.sooner += fleet.freed.sooner;
		}), {includeErrorInReport: true});
	});
	t.log({finished, ...freed});
	t.true(finished > 0);
	t.true(freed.all > 0);
});
