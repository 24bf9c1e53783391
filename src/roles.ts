import {ok, type Result} from 'true-myth/result';
import {type TypedError} from './errors/typed-error.js';
import {type AgentSettings} from './settings/agent-settings.js';
import {type EntrySettings} from './settings/entry-settings.js';
import {type EventLog} from './telemetry/event-log.js';
import {type Metrics} from './telemetry/metrics.js';
import {type Timeline} from './telemetry/timeline-event.js';

/** What runs until it is stopped. */
export type RoleProcess = Readonly<{stop: () => Promise<void>}>;

/** What every role is started with. */
export type RoleContext<Settings> = Readonly<{settings: Settings; eventLog: EventLog; metrics: Metrics; timeline: Timeline}>;

type StartRole<Settings> = (context: RoleContext<Settings>) => Promise<Result<RoleProcess, TypedError>>;

/** Starts each role; its modules are loaded only then, so that an agent holds none of the entry's in memory. */
export const startRole: Readonly<{entry: StartRole<EntrySettings>; agent: StartRole<AgentSettings>}> = {
	async entry(context) {
		const {startEntry} = await import('./entry/entry-process.js');
		return startEntry(context);
	},
	async agent(context) {
		const [{startAgent}, {createWorkerClient}] = await Promise.all([
			import('./agent/agent-process.js'), import('./worker/worker-client.js'),
		]);
		const worker = createWorkerClient({baseUrl: context.settings.workerUrl});
		const agent = await startAgent({...context, worker});
		if (agent.isErr) {
			await worker.close();
			return agent;
		}

		return ok({
			async stop() {
				await agent.value.stop();
				await worker.close();
			},
		});
	},
};
