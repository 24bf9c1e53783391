import {err, ok, type Result} from 'true-myth/result';
import {type AgentDependencies} from './agent/agent-process.js';
import {type TypedError} from './errors/typed-error.js';
import {type Intake} from './intake/intake.js';
import {type AgentSettings} from './settings/agent-settings.js';
import {type EntrySettings} from './settings/entry-settings.js';
import {type EventLog} from './telemetry/event-log.js';
import {type Metrics} from './telemetry/metrics.js';
import {type Timeline} from './telemetry/timeline-event.js';

/** A started role, which runs until it is stopped. */
export type RoleProcess = Readonly<{stop: () => Promise<void>}>;

/** Settings and telemetry that every role is started with. */
export type RoleContext<Settings> = Readonly<{settings: Settings; eventLog: EventLog; metrics: Metrics; timeline: Timeline; intake: Intake}>;

type StartRole<Settings> = (context: RoleContext<Settings>) => Promise<Result<RoleProcess, TypedError>>;

/** Functions that start each role. They load its modules only when called, so that an agent has none of the entry's modules in memory. */
export const startRole: Readonly<{entry: StartRole<EntrySettings>; agent: StartRole<AgentSettings>}> = {
	async entry(context) {
		const {
			settings, eventLog, metrics, intake,
		} = context;
		if (!settings.platform) {
			const {startEntry} = await import('./entry/entry-process.js');
			return startEntry(context);
		}

		const [{startPlatformEntry}, {openEntryPlatform}, {processorsMilliOf}] = await Promise.all([
			import('./entry/platform-entry.js'), import('../platform/open-entry-platform.js'), import('./settings/processors-milli.js'),
		]);
		const {entryId, agentAddress} = settings;
		return startPlatformEntry({
			...context,
			platform: openEntryPlatform({
				settings: settings.platform, entryId, agentAddress, processorsMilli: processorsMilliOf(settings), eventLog, metrics, intake,
			}),
		});
	},
	async agent(context) {
		const [{startAgent}, connected] = await Promise.all([import('./agent/agent-process.js'), connectWorker(context)]);
		if (connected.isErr) {
			return err(connected.error);
		}

		const {close, ...parts} = connected.value;
		const agent = await startAgent({...context, ...parts});
		if (agent.isErr) {
			await close();
			return err(agent.error);
		}

		return ok({
			async stop() {
				await agent.value.stop();
				await close();
			},
		});
	},
};

type ConnectedWorker = Readonly<Pick<AgentDependencies, 'worker' | 'watchEntries'> & {close: () => Promise<void>}>;

/** Connects the agent to the worker on its VM: that of the users' platform, or a worker with the interface of `worker-api.ts`. */
async function connectWorker({settings, eventLog, intake}: RoleContext<AgentSettings>): Promise<Result<ConnectedWorker, TypedError>> {
	if (settings.platform) {
		const {openAgentPlatform} = await import('../platform/open-agent-platform.js');
		return ok(await openAgentPlatform({settings: settings.platform, eventLog, intake}));
	}

	if (settings.workerUrl === undefined) {
		return err({kind: 'worker-missing', message: 'the settings name no worker', remedy: 'set workerUrl, or platform on the users\' platform'});
	}

	const {createWorkerClient} = await import('./worker/worker-client.js');
	const worker = createWorkerClient({baseUrl: settings.workerUrl});
	return ok({worker, close: async () => worker.close()});
}
