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
`waiting` needs room that evictions will give, `starting` was sent to the worker, `running` is confirmed by the
worker, `ended` waits until its event is acknowledged and the worker has deleted it.
*/
export type TaskPhase = 'waiting' | 'starting' | 'running' | 'ended';

/** The newest attempt of a task on this VM. */
export type AgentTask = Readonly<{
	taskId: string;
	attempt: number;
	limit: Resources;
	latencyCritical: boolean;
	phase: TaskPhase;
	/** Kept until the worker confirms the start. */
	start: StartTask | undefined;
	/** Whether a start call to the worker is under way. */
	startInFlight: boolean;
	/** Whether a try of the start got no answer, so that the worker may still carry it out. */
	startUncertain: boolean;
	/** When the worker took a stop of an attempt whose start is uncertain. */
	stopAnsweredAtMs: number | undefined;
	/** A worker's list that was requested earlier says nothing about the current phase. */
	changedAtMs: number;
	/** Why the task is being stopped, if it is. */
	stopping: 'evict' | 'cancel' | undefined;
	stoppingReason: string;
	/** Bound of the tail of its response times; 0 for a task that serves no users. */
	latencyTargetMs: number;
	/** Whether it takes only processors that other tasks leave idle. */
	fillsIdle: boolean;
	/** Processors that it takes at most when it fills idle ones, in thousandths. */
	fillingMilli: number;
	/** What it runs; tasks of the same image disturb others, and are disturbed, alike. */
	image: string;
	/** Share of its processors that the worker was last told, in thousandths. */
	paceMilli: number;
	/** Event that reports the end; missing before. */
	endEventId: number | undefined;
}>;

/** What the agent knows of its stream to one entry. */
export type EntryLink = Readonly<{
	connected: boolean;
	/** What was last sent of each backend server on this stream; only changes are sent again. */
	reported: ImmutableMap<string, string>;
	usageSentAtMs: number;
	/** End of the window of the last usage report that was sent. */
	usageMeasuredAtMs: number;
	/** Estimates of the press of filling work that were sent on this stream. */
	reportedPress: ImmutableMap<string, number>;
}>;

/** A link that is not connected. */
export const closedLink: EntryLink = {
	connected: false, reported: immutableMap(), usageSentAtMs: Number.NEGATIVE_INFINITY, usageMeasuredAtMs: Number.NEGATIVE_INFINITY, reportedPress: immutableMap(),
};

/** The part of the configuration in force that concerns this VM. */
export type AppliedConfiguration = Readonly<{
	offset: number;
	services: ImmutableMap<string, Readonly<{latencyTargetMs: number; demand: Resources}>>;
	drainingBackendServers: readonly string[];
	vmDraining: boolean;
}>;

/** A request that was admitted or waits for the result of its key. */
export type ActiveRequest = Readonly<{requestId: string; backendServerId: string; keyHash: string | undefined; runs: boolean}>;

/**
`counting` waits for the worker's first list, `active` takes work, `ending` waits for the worker's run-once
tasks to stop so that a new incarnation can register.
*/
export type AgentPhase = 'counting' | 'active' | 'ending';

/** Everything an agent knows. */
export type AgentState = Readonly<{
	settings: AgentSettings;
	incarnation: string;
	phase: AgentPhase;
	/** Set when the phase became `ending`; only a later worker list counts. */
	endingSinceMs: number;
	/** A graceful stop is under way. */
	stop: Readonly<{sinceMs: number; tasksStopped: boolean; finished: boolean}> | undefined;
	heartbeatSequence: number;
	lease: Lease;
	/** Worker process that the ledger was counted from. */
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
	pace: FillingThrottle;
}>;

/**
Makes the state of an agent that has not counted anything yet.

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
			offset: 0, services: immutableMap(), drainingBackendServers: [], vmDraining: false,
		},
		entries: immutableMap(settings.entryAddresses.map(address => [address, closedLink])),
		backendServers: immutableMap(),
		requests: immutableMap(),
		keys: emptyKeyTable,
		usage: undefined,
		guard: initialGuard,
		pace: initialFillingThrottle,
	};
}
