import {create} from '@bufbuild/protobuf';
import {type AgentEffect, type AgentEffectOf} from '../agent/agent-effect.js';
import {type AgentEvent, type AgentEventKind, type AgentEventPayloads} from '../agent/agent-event.js';
import {initialAgentState} from '../agent/agent-state.js';
import {reduceAgent} from '../agent/reduce-agent.js';
import {type ClusterRecord} from '../cluster/cluster-record.js';
import {type Step, taskIdOf} from '../cluster/workflow.js';
import {AgentMessageSchema, EntryMessageSchema} from '../generated/arbutushinge/v1/agent_pb.js';
import {type LoggedRecord} from '../log/log-envelope.js';
import {agentSettingsSchema} from '../settings/agent-settings.js';
import {entrySettingsSchema} from '../settings/entry-settings.js';
import {type WorkerTask, type WorkerTasks} from '../worker/worker-api.js';
import {type EntryEvent} from './entry-event.js';
import {initialEntryState, type EntryState} from './entry-state.js';
import {reduceEntry} from './reduce-entry.js';

/** The VM of the fixture. */
export const vmId = 'vm-1';
/** The only task of a job with one task. */
export const taskId = taskIdOf('job', {occurrence: 0, stepIndex: 0}, 0);
const capacity = {processorsMilli: 4000, memoryMb: 4096, accelerators: 0};
/** Demand of each task. */
export const demand = {processorsMilli: 1000, memoryMb: 64, accelerators: 0};
/** Addresses of the entries. */
export const entryAddresses = ['127.0.0.1:1', '127.0.0.1:2'];
const tickMs = 250;

const agentSettings = agentSettingsSchema.parse({
	role: 'agent', vmId, failureDomain: 'a', rack: 'r', requestAddress: '127.0.0.1:3', entryAddresses, workerUrl: 'http://127.0.0.1:4', guards: {enabled: false},
});

export type SiteEntry = {state: EntryState; readonly address: string; readOffset: number; readonly appends: ClusterRecord[]; readonly inbox: EntryEvent[]};

/** Two entries over one log, and the agent of a VM whose worker the test controls. */
export class AgentSite {
	nowMs = 10_000;
	readonly starts: number[] = [];
	/** Tasks that the agent told its worker to stop. */
	readonly stops: string[] = [];
	readonly entries = entryAddresses.map((address): SiteEntry => ({
		state: initialEntryState(address), address, readOffset: 0, appends: [{
			kind: 'entry-registered', entryId: address, failureDomain: 'a', operatorAddress: address,
		}], inbox: [],
	}));

	readonly #log: LoggedRecord[] = [];
	#agent = initialAgentState(agentSettings, 'agent-0');

	readonly #events: AgentEvent[] = [];
	#incarnations = 0;

	/** Handles an event after those before it and all their effects, as the agent's event loop does. */
	toAgent<Kind extends AgentEventKind>(kind: Kind, payload: AgentEventPayloads[Kind]): void {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The parameters keep kind and payload together.
		this.#events.push({kind, nowMs: this.nowMs, ...payload} as AgentEvent);
		if (this.#events.length > 1) {
			return;
		}

		for (let event = this.#events[0]; event !== undefined; event = this.#events[0]) {
			const {state, effects} = reduceAgent(this.#agent, event);
			this.#agent = state;
			for (const effect of effects) {
				this.#carryOut(effect);
			}

			this.#events.shift();
		}
	}

	/** Submits a job with one step of equal tasks through an entry, and connects the agent to both entries. */
	submitJob(entry: SiteEntry, step: Partial<Step> = {}): void {
		entry.appends.push({
			kind: 'job-submitted', job: {
				jobId: 'job', teamId: 't', workClass: 'batch', priority: 'normal', tasks: [], workflow: {
					queue: 'q', service: 's', payload: '', steps: [{
						count: 1, demand, declaredRunTimeMs: 60_000, ...step,
					}], maxFailures: 5,
				},
			},
		});
		this.connectAgent();
	}

	connectAgent(): void {
		for (const entryAddress of entryAddresses) {
			this.toAgent('entry-connected', {entryAddress});
		}
	}

	/** Replaces the agent's process by one that knows nothing. */
	restartAgent(): void {
		this.#incarnations++;
		this.#agent = initialAgentState(agentSettings, `agent-${this.#incarnations}`);
		this.connectAgent();
	}

	/** Delivers the list of a life of the worker; lives are numbered from 1. */
	list(life: number, tasks: readonly WorkerTask[], listedEnds: WorkerTasks['listedEnds'] = 'all'): void {
		this.toAgent('worker-tasks', {
			requestedAtMs: this.nowMs, list: {
				workerIncarnation: `worker-${life}`, capacity, tasks, listedEnds, service: 's', startedAtMs: life,
			},
		});
	}

	/** Handles the messages of an entry, writes what it appends and lets it read the log. */
	runEntry(entry: SiteEntry): void {
		for (const event of entry.inbox.splice(0)) {
			this.#toEntry(entry, event);
		}

		this.nowMs++;
		for (const record of entry.appends.splice(0)) {
			const sequence = this.#log.filter(({envelope}) => envelope.writer === entry.address).length + 1;
			this.#log.push({
				offset: this.#log.length, envelope: {
					writer: entry.address, incarnation: entry.state.incarnation, sequence, record,
				},
			});
		}

		const records = this.#log.slice(entry.readOffset);
		entry.readOffset = this.#log.length;
		this.#toEntry(entry, {
			kind: 'log-page', records, readSentAtMs: this.nowMs, reachedTail: true,
		});
	}

	/** Lets time pass; entries that are left out neither handle messages nor read the log. */
	advance(lengthMs: number, entries: readonly SiteEntry[] = this.entries): void {
		for (const endMs = this.nowMs + lengthMs; this.nowMs < endMs;) {
			this.nowMs += tickMs;
			this.toAgent('tick', {latencies: []});
			for (const entry of entries) {
				this.#toEntry(entry, {kind: 'tick'});
				this.runEntry(entry);
			}
		}
	}

	#toEntry(entry: SiteEntry, event: EntryEvent): void {
		const {state, effects} = reduceEntry(entry.state, event, {
			nowMs: this.nowMs, wallTimeMs: this.nowMs, seed: 1, pendingAppends: 0,
		}, entrySettingsSchema.parse({
			role: 'entry', entryId: entry.address, failureDomain: 'a', callerAddress: '127.0.0.1:5', operatorAddress: '127.0.0.1:6', agentAddress: entry.address,
		}));
		entry.state = state;
		for (const effect of effects) {
			if (effect.kind === 'append-record') {
				entry.appends.push(effect.record);
			} else if (effect.kind === 'send-to-agent') {
				this.toAgent('entry-message', {entryAddress: entry.address, message: create(EntryMessageSchema, {message: effect.command}).message});
			}
		}
	}

	#carryOut(effect: AgentEffect): void {
		if (effect.kind === 'create-incarnation') {
			this.#incarnations++;
			this.toAgent('incarnation-created', {incarnation: `agent-${this.#incarnations}`});
		}

		if (effect.kind === 'start-task') {
			this.starts.push(effect.request.attempt);
			this.toAgent('start-answered', {
				taskId: effect.taskId, attempt: effect.request.attempt, result: 'started', reason: '',
			});
		}

		if (effect.kind === 'stop-task' || effect.kind === 'checkpoint-task') {
			this.stops.push(effect.taskId);
		}

		if (effect.kind === 'send') {
			this.#send(effect);
		}
	}

	#send({entryAddress, message: body}: AgentEffectOf<'send'>): void {
		const {inbox} = this.entries.find(({address}) => address === entryAddress)!;
		const {message} = create(AgentMessageSchema, {message: body});
		const sessionId = `${vmId}@${entryAddress}`;
		if (message.case === 'hello') {
			inbox.push({kind: 'agent-hello', sessionId, hello: message.value});
		}

		if (message.case === 'heartbeat') {
			inbox.push({kind: 'agent-heartbeat', sessionId, heartbeat: message.value});
		}

		if (message.case === 'taskEvents') {
			inbox.push({kind: 'agent-task-events', sessionId, events: message.value.events});
		}
	}
}
