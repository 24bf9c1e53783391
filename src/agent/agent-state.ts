import {Map as immutableMap, type Map as ImmutableMap} from 'immutable';
import type {Resources} from '../cluster/resources.js';
import type {StartTask} from '../generated/arbutushinge/v1/agent_pb.js';
import type {WorkerUsage} from '../worker/worker-api.js';
import type {AgentSettings} from '../settings/agent-settings.js';
import {noResources} from './no-resources.js';
import {emptyAttemptTable, type AttemptTable} from './attempt-table.js';
import type {BackendServerTable} from './backend-server-table.js';
import {initialGuard, type Guard} from './guard.js';
import {emptyKeyTable, type KeyTable} from './key-table.js';
import {noLease, type Lease} from './lease.js';
import {emptyLedger, type Ledger} from './ledger.js';
import {initialFillingThrottle, type FillingThrottle} from './filling-throttle.js';
import {noTaskEvents, type TaskEvents} from './task-events.js';
import {initialWorkerView, type WorkerView} from './worker-view.js';

/**
`waiting`: until evictions have released enough resources; `starting`: sent to the worker; `running`: confirmed by the worker;
`ended`: until its event is acknowledged and the worker has deleted it.
*/
export type TaskPhase = 'waiting' | 'starting' | 'running' | 'ended';

/** The newest attempt of a task on this VM. */
export type AgentTask = Readonly<{
	taskId: string;
	attempt: number;
	limit: Resources;
	latencyCritical: boolean;
	phase: TaskPhase;
	/** The start command, until the worker confirms the start. */
	start: StartTask | undefined;
	/** Whether a start call to the worker is pending. */
	startInFlight: boolean;
	/** Whether a try of the start got no answer, so that the worker may still execute it. */
	startUncertain: boolean;
	/** When the worker accepted a stop of an attempt whose start is not confirmed. */
	stopAnsweredAtMs: number | undefined;
	/** Time of the last change of phase or start; worker lists that were requested before it do not show it. */
	changedAtMs: number;
	/** Why the task is being stopped, if it is. */
	stopping: 'evict' | 'cancel' | undefined;
	stoppingReason: string;
	/** Target of its tail latency; 0 for a task that is not a serving task. */
	latencyTargetMs: number;
	/** Whether it is a filling task, which uses only processors that other tasks leave idle. */
	fillsIdle: boolean;
	/** Demand of a filling task at full share, in thousandths of a processor. */
	fillingMilli: number;
	/** Image that it runs; tasks of the same image have the same latency impact and the same sensitivity to it. */
	image: string;
	/** Processor share that was last sent to the worker, in thousandths. */
	sentShareMilli: number;
	/** ID of the event that reports the end; undefined before. */
	endEventId: number | undefined;
}>;

/** State of the agent's stream to one entry. */
export type EntryLink = Readonly<{
	connected: boolean;
	/** Last report of each backend server on this stream, encoded as JSON; only changes are sent again. */
	reported: ImmutableMap<string, string>;
	usageSentAtMs: number;
	/** End of the window of the last usage report that was sent. */
	usageMeasuredAtMs: number;
	/** Estimates of latency impact that were sent on this stream. */
	reportedLatencyImpacts: ImmutableMap<string, number>;
}>;

/** A link without a connection. */
export const closedLink: EntryLink = {
	connected: false, reported: immutableMap(), usageSentAtMs: Number.NEGATIVE_INFINITY, usageMeasuredAtMs: Number.NEGATIVE_INFINITY, reportedLatencyImpacts: immutableMap(),
};

/** The part of the configuration in force that concerns this VM. */
export type AppliedConfiguration = Readonly<{
	offset: number;
	services: ImmutableMap<string, Readonly<{latencyTargetMs: number; demand: Resources}>>;
	drainingBackendServers: readonly string[];
	vmDraining: boolean;
	/** Whether the failure domain of the VM is evacuated: nothing is started, and what runs continues. */
	vmEvacuated: boolean;
	/** False until an entry has sent the configuration. An agent that has just started does not know until then whether it may start anything. */
	isReceived: boolean;
}>;

/** A request that was admitted (`runs`) or waits for the result of its key. */
export type ActiveRequest = Readonly<{requestId: string; backendServerId: string; keyHash: string | undefined; runs: boolean}>;

/**
`counting`: waits for the worker's first list; `collecting`: reports the ends that the worker lists, so that it lists those behind them, before
the incarnation registers with all tasks that hold a claim; `active`: accepts work; `ending`: waits until the worker's run-once tasks have stopped,
so that a new incarnation can register.
*/
export type AgentPhase = 'counting' | 'collecting' | 'active' | 'ending';

/** The whole state of an agent. */
export type AgentState = Readonly<{
	settings: AgentSettings;
	incarnation: string;
	phase: AgentPhase;
	/** When the phase became `ending`; only worker lists that were requested later complete it. */
	endingSinceMs: number;
	/** The graceful stop in progress, if any. */
	stop: Readonly<{sinceMs: number; tasksStopped: boolean; finished: boolean}> | undefined;
	heartbeatSequence: number;
	lease: Lease;
	/** The worker process whose tasks the ledger and `tasks` hold. */
	worker: WorkerView;
	ledger: Ledger;
	tasks: ImmutableMap<string, AgentTask>;
	attempts: AttemptTable;
	events: TaskEvents;
	configuration: AppliedConfiguration;
	entries: ImmutableMap<string, EntryLink>;
	backendServers: BackendServerTable;
	requests: ImmutableMap<string, ActiveRequest>;
	keys: KeyTable;
	usage: WorkerUsage | undefined;
	guard: Guard;
	fillingThrottle: FillingThrottle;
}>;

/**
Returns the state of an agent that has received no worker list yet.

@example
initialAgentState(settings, 'incarnation-1');
*/
export function initialAgentState(settings: AgentSettings, incarnation: string): AgentState {
	return {
		settings,
		incarnation,
		phase: 'counting',
		endingSinceMs: 0,
		stop: undefined,
		heartbeatSequence: 0,
		lease: noLease,
		worker: initialWorkerView,
		ledger: emptyLedger(noResources),
		tasks: immutableMap(),
		attempts: emptyAttemptTable,
		events: noTaskEvents,
		configuration: {
			offset: 0, services: immutableMap(), drainingBackendServers: [], vmDraining: false, vmEvacuated: false, isReceived: false,
		},
		entries: immutableMap(settings.entryAddresses.map(address => [address, closedLink])),
		backendServers: immutableMap(),
		requests: immutableMap(),
		keys: emptyKeyTable,
		usage: undefined,
		guard: initialGuard,
		fillingThrottle: initialFillingThrottle,
	};
}
