import {randomUUID} from 'node:crypto';
import {err, ok, type Result} from 'true-myth/result';
import {type TypedError} from '../errors/typed-error.js';
import {createEventLoop} from '../event-loop/create-event-loop.js';
import {logLoopFailures} from '../event-loop/log-loop-failures.js';
import {createSuspensionDetector} from '../event-loop/suspension-detector.js';
import type {Intake} from '../intake/intake.js';
import {monotonicMs} from '../worker/monotonic-clock.js';
import type {AgentSettings} from '../settings/agent-settings.js';
import type {EventLog} from '../telemetry/event-log.js';
import type {Metrics} from '../telemetry/metrics.js';
import type {Timeline} from '../telemetry/timeline-event.js';
import type {AgentEffect, AgentEffectKind, AgentEffectOf} from './agent-effect.js';
import type {AgentEvent} from './agent-event.js';
import {initialAgentState, type AgentState} from './agent-state.js';
import {createBackendServerClient} from './backend-server-client.js';
import {openEntrySession} from './entry-session.js';
import {createEntrySessions} from './entry-sessions.js';
import {reduceAgent} from './reduce-agent.js';
import {openRequestServer, type RequestServer} from './request-server.js';
import {createWorkerDriver} from './worker-driver.js';
import type {Worker} from './worker.js';

/** Dependencies of an agent that its process provides. */
export type AgentDependencies = Readonly<{
	settings: AgentSettings;
	eventLog: EventLog;
	metrics: Metrics;
	timeline: Timeline;
	worker: Worker;
	/** Account of the process for its servers. */
	intake?: Intake;
	/** Reports the entries when the settings do not list them; `onEntries` is called with the addresses of all entries, best first. */
	watchEntries?: (onEntries: (entryAddresses: readonly string[]) => void) => Readonly<{close: () => void}>;
}>;

/** A running agent. */
export type RunningAgent = Readonly<{
	/** Drains the VM's requests, stops its run-once tasks with a checkpoint, reports them and closes the streams. */
	stop: () => Promise<void>;
}>;

/**
Starts the agent of this VM.

@example
const agent = await startAgent({settings, eventLog, metrics, timeline, worker});
if (agent.isOk) {
	await agent.value.stop();
}
*/
export async function startAgent({settings, eventLog, metrics, timeline, worker, watchEntries, intake}: AgentDependencies): Promise<Result<RunningAgent, TypedError>> {
	let finishStop: (() => void) | undefined;
	const stopped = new Promise<void>(resolve => {
		finishStop = resolve;
	});
	const ports: {requestServer?: RequestServer} = {};

	const driver = createWorkerDriver({
		worker, eventLog, nowMs: monotonicMs, dispatch,
	});
	const client = createBackendServerClient({
		keyedAnswerBytes: settings.limits.keyedAnswerBytes,
		nowMs: monotonicMs,
		eventLog,
		settle(requestId, settlement) {
			dispatch({
				kind: 'request-settled', nowMs: monotonicMs(), requestId, settlement,
			});
		},
	});

	const answer = (effect: AgentEffectOf<'run-request' | 'refuse-request' | 'answer-request' | 'answer-leaving'>): void => {
		ports.requestServer?.execute(effect);
	};

	const effectHandlers: Readonly<{[Kind in AgentEffectKind]: (effect: AgentEffectOf<Kind>) => void}> = {
		send({entryAddress, message}) {
			sessions.send(entryAddress, message);
		},
		'start-task': driver.execute,
		'checkpoint-task': driver.execute,
		'stop-task': driver.execute,
		'delete-task': driver.execute,
		'throttle-task': driver.execute,
		'set-lease': driver.execute,
		'create-incarnation'() {
			dispatch({kind: 'incarnation-created', nowMs: monotonicMs(), incarnation: randomUUID()});
		},
		'run-request': answer,
		'refuse-request': answer,
		'answer-request': answer,
		'answer-leaving': answer,
		'forget-backend-server'({backendServerId}) {
			client.remove(backendServerId);
		},
		log({level, event, fields}) {
			eventLog[level](event, fields);
		},
		count({metric}) {
			metrics.increment(metric);
		},
		record({entry}) {
			timeline.record(entry);
		},
		'finish-stop'() {
			finishStop?.();
		},
	};

	function execute<Kind extends AgentEffectKind>(effect: AgentEffectOf<Kind>): void {
		effectHandlers[effect.kind](effect);
	}

	const loop = createEventLoop<AgentState, AgentEvent, AgentEffect>({
		initialState: initialAgentState(settings, randomUUID()), reduce: reduceAgent, execute, onFailure: logLoopFailures({eventLog, metrics, nowMs: monotonicMs}),
	});

	const suspensions = createSuspensionDetector({wallTimeMs: Date.now, steadyMs: monotonicMs});

	function dispatch(event: AgentEvent): void {
		const suspendedMs = suspensions.suspendedMs();
		if (suspendedMs > 0) {
			loop.dispatch({kind: 'vm-resumed', nowMs: monotonicMs(), suspendedMs});
		}

		loop.dispatch(event);
	}

	const opened = await openRequestServer({
		requestAddress: settings.requestAddress,
		headerBytes: settings.limits.headerBytes,
		client,
		nowMs: monotonicMs,
		dispatch,
		health() {
			const {stop, incarnation, phase, configuration} = loop.state();
			return {
				status: stop === undefined ? 'ok' : 'leaving', vmId: settings.vmId, incarnation, phase, configurationOffset: configuration.offset,
			};
		},
		timeline: fromSequence => timeline.read(fromSequence),
		...(intake && {intake}),
	});
	if (opened.isErr) {
		return err(opened.error);
	}

	ports.requestServer = opened.value;
	const sessions = createEntrySessions({
		count: settings.entryStreams,
		nowMs: monotonicMs,
		eventLog,
		onChange(entryAddresses) {
			dispatch({kind: 'entries-discovered', nowMs: monotonicMs(), entryAddresses});
		},
		open: (entryAddress, {connected, disconnected}) => openEntrySession(entryAddress, {
			connected() {
				connected();
				eventLog.info('entry-connected', {entryAddress});
				dispatch({kind: 'entry-connected', nowMs: monotonicMs(), entryAddress});
			},
			disconnected(reason) {
				disconnected(reason);
				eventLog.warn('entry-disconnected', {entryAddress, reason});
				dispatch({kind: 'entry-disconnected', nowMs: monotonicMs(), entryAddress});
			},
			message(message) {
				if (message.case === 'leaseGrant' && message.value.durationMs > 0) {
					sessions.recordGrant(entryAddress);
				}

				dispatch({
					kind: 'entry-message', nowMs: monotonicMs(), entryAddress, message,
				});
			},
		}, {random: Math.random, heartbeatMs: settings.timings.heartbeatMs, eventLog}),
	});
	sessions.rank(settings.entryAddresses);
	const entriesWatch = watchEntries?.(sessions.rank);
	const heartbeatTimer = setInterval(() => {
		dispatch({kind: 'tick', nowMs: monotonicMs(), latencies: client.latencies()});
		sessions.review(loop.state().phase === 'active');
	}, settings.timings.heartbeatMs);
	const pollTimer = setInterval(() => {
		void driver.poll();
	}, settings.timings.workerPollMs);
	void driver.poll();
	eventLog.info('agent-started', {vmId: settings.vmId, incarnation: loop.state().incarnation, requestAddress: settings.requestAddress});

	return ok({
		async stop() {
			dispatch({kind: 'stop-requested', nowMs: monotonicMs()});
			await stopped;
			clearInterval(heartbeatTimer);
			clearInterval(pollTimer);
			entriesWatch?.close();
			await sessions.close();
			await opened.value.close();
			await client.close();
			eventLog.info('agent-stopped', {vmId: settings.vmId});
		},
	});
}
