import {type AgentSettings} from './settings/agent-settings.js';
import {type EntrySettings} from './settings/entry-settings.js';
import {type ReplayFunctions} from './operator/replay-records.js';
import {type EventLog} from './telemetry/event-log.js';
import {type Metrics} from './telemetry/metrics.js';
import {type Timeline} from './telemetry/timeline-event.js';

/** What runs until it is stopped. */
export type RoleProcess = Readonly<{stop: () => Promise<void>}>;

/** What every role is started with. */
export type RoleContext<Settings> = Readonly<{settings: Settings; eventLog: EventLog; metrics: Metrics; timeline: Timeline}>;

type Callable = (...inputs: readonly unknown[]) => unknown;

/** Modules that a role or a command loads when it runs, so that no process loads another role's modules. */
const modules = {
	entry: './entry/entry-process.js',
	agent: './agent/agent-process.js',
	worker: './platform/worker-client.js',
	replay: './operator/replay-functions.js',
} as const;

/**
Starts the entry.

@example
const entry = await startEntryRole({settings, eventLog, metrics, timeline});
await entry.stop();
*/
export async function startEntryRole(context: RoleContext<EntrySettings>): Promise<RoleProcess> {
	const startEntry = await loadFunction(modules.entry, 'startEntry');
	return checkRoleProcess(await startEntry(context));
}

/**
Starts the agent with a client of its worker.

@example
const agent = await startAgentRole({settings, eventLog, metrics, timeline});
await agent.stop();
*/
export async function startAgentRole(context: RoleContext<AgentSettings>): Promise<RoleProcess> {
	const startAgent = await loadFunction(modules.agent, 'startAgent');
	const createWorkerClient = await loadFunction(modules.worker, 'createWorkerClient');
	return checkRoleProcess(await startAgent({...context, worker: createWorkerClient({baseUrl: context.settings.workerUrl})}));
}

/**
Loads the entry's own reducer and placement for replay.

@example
const functions = await loadReplayFunctions();
*/
export async function loadReplayFunctions(): Promise<ReplayFunctions> {
	const createReplayFunctions = await loadFunction(modules.replay, 'createReplayFunctions');
	const functions = createReplayFunctions();
	if (!isReplayFunctions(functions)) {
		throw new TypeError(`${modules.replay} gives no replay functions`);
	}

	return functions;
}

async function loadFunction(path: string, name: string): Promise<Callable> {
	const loaded: unknown = await import(path);
	const value: unknown = typeof loaded === 'object' && loaded !== null ? Object.entries(loaded).find(([key]) => key === name)?.[1] : undefined;
	if (!isCallable(value)) {
		throw new TypeError(`${path} exports no function ${name}`);
	}

	return value;
}

function isCallable(value: unknown): value is Callable {
	return typeof value === 'function';
}

function checkRoleProcess(value: unknown): RoleProcess {
	if (!isRoleProcess(value)) {
		throw new TypeError('the role was started but cannot be stopped');
	}

	return value;
}

function isRoleProcess(value: unknown): value is RoleProcess {
	return typeof value === 'object' && value !== null && 'stop' in value && isCallable(value.stop);
}

function isReplayFunctions(value: unknown): value is ReplayFunctions {
	return typeof value === 'object' && value !== null && 'initialState' in value && 'applyRecord' in value && 'decide' in value;
}
