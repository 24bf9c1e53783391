import {type Result} from 'true-myth/result';
import {type TypedError} from './errors/typed-error.js';
import {type ReplayFunctions} from './operator/replay-records.js';
import {type AgentSettings} from './settings/agent-settings.js';
import {type EntrySettings} from './settings/entry-settings.js';
import {type EventLog} from './telemetry/event-log.js';
import {type Metrics} from './telemetry/metrics.js';
import {type Timeline} from './telemetry/timeline-event.js';

/** What runs until it is stopped. */
export type RoleProcess = Readonly<{stop: () => Promise<void>}>;

/** What every role is started with. */
export type RoleContext<Settings> = Readonly<{settings: Settings; eventLog: EventLog; metrics: Metrics; timeline: Timeline}>;

// Each role's modules are loaded when it runs, so that an agent holds none of the entry's in memory.

/**
Starts the entry.

@example
const entry = await startEntryRole({settings, eventLog, metrics, timeline});
*/
export async function startEntryRole(context: RoleContext<EntrySettings>): Promise<Result<RoleProcess, TypedError>> {
	const {startEntry} = await import('./entry/entry-process.js');
	return startEntry(context);
}

/**
Starts the agent with a client of its worker.

@example
const agent = await startAgentRole({settings, eventLog, metrics, timeline});
*/
export async function startAgentRole(context: RoleContext<AgentSettings>): Promise<Result<RoleProcess, TypedError>> {
	const {startAgent} = await import('./agent/agent-process.js');
	const {createWorkerClient} = await import('./platform/worker-client.js');
	return startAgent({...context, worker: createWorkerClient({baseUrl: context.settings.workerUrl})});
}

/**
Loads the entry's own reducer and placement for replay.

@example
const functions = await loadReplayFunctions();
*/
export async function loadReplayFunctions(): Promise<ReplayFunctions> {
	const {createReplayFunctions} = await import('./operator/replay-functions.js');
	return createReplayFunctions();
}
